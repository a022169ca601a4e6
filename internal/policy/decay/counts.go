// Package decay keeps counts that fade: how popular each key is, from the requests of this node and from samples that
// other nodes report of theirs. It has no clock and no I/O, and acts on nothing itself.
package decay

import (
	"math"
	"time"

	"shelfproxy/internal/fleet/gossip"
)

// Time is a point on the caller's clock.
type Time = time.Duration

const (
	otherRequestsPrior = 0.5 // requests a server assumed for other keys, for want of samples
	// minRequestsPerServer is how many requests a server popularity is judged from, at least: one second of the
	// gossip of 300 nodes.
	minRequestsPerServer = 4.0
	window               = 1500 * time.Millisecond // a request weighs 1/e after this long while there are more
	sparseWindow         = 30 * time.Second        // and after this long where there are fewer

	seenThreshold = 1.5  // requests counted for a key from which it was requested before
	keepDivisor   = 10   // a key that counts for less than a request over this is dropped
	minDivisor    = 1e-9 // bounds divisors away from zero
)

// Fade returns what is left of a count after a time: it falls to 1/e in each window while above enough, else in each
// sparseWindow.
func Fade(count float64, elapsed, window time.Duration, enough float64, sparseWindow time.Duration) float64 {
	return max(count*math.Exp(-float64(elapsed)/float64(window)),
		min(count, enough)*math.Exp(-float64(elapsed)/float64(sparseWindow)))
}

// Increment returns what one request counts from now on, where the total of all requests and what one of them counted
// so far are given: the total fades by making later requests weigh more.
func Increment(
	total, increment float64, elapsed, window time.Duration, enough float64, sparseWindow time.Duration,
) float64 {
	if total <= 0 {
		return increment
	}
	return total / max(Fade(total/increment, elapsed, window, enough, sparseWindow), minDivisor)
}

// KeyCounts counts requests by key. Counts fade by making later ones weigh more. The zero value is empty. It is not
// safe for concurrent use.
type KeyCounts struct {
	counts    map[gossip.Fingerprint]float64
	total     float64 // of all counts
	increment float64 // what one request counts now
	totalAt   Time    // when total was last added to
	pruneAt   Time    // when keys that are no longer requested are dropped next
}

// Add counts a request for a key, in front of so many servers. Samples of other nodes count like own requests: each
// is reported with the same chance, so the shares are those of the whole fleet.
func (k *KeyCounts) Add(now Time, key gossip.Fingerprint, servers float64) {
	if k.counts == nil {
		k.counts, k.increment = map[gossip.Fingerprint]float64{}, 1
	}
	enough := minRequestsPerServer * servers
	k.increment = Increment(k.total, k.increment, now-k.totalAt, window, enough, sparseWindow)
	k.total, k.totalAt = k.total+k.increment, now
	k.counts[key] += k.increment
}

// Popularity returns the part of an average server's requests that other requests for the key bring.
func (k *KeyCounts) Popularity(key gossip.Fingerprint, servers float64) float64 {
	return max(0, k.counts[key]-k.increment) /
		max(k.total+otherRequestsPrior*servers*k.increment, minDivisor) * servers
}

// WasSeen reports whether the key was counted before the request in hand.
func (k *KeyCounts) WasSeen(key gossip.Fingerprint) bool {
	return k.counts[key] > seenThreshold*k.increment
}

// Prune drops keys that are no longer requested and scales the counts back, once in a sparseWindow.
func (k *KeyCounts) Prune(now Time) {
	if now < k.pruneAt || k.counts == nil {
		return
	}
	k.pruneAt = now + sparseWindow
	for key, count := range k.counts {
		if count < k.increment/keepDivisor {
			delete(k.counts, key)
		} else {
			k.counts[key] = count / k.increment
		}
	}
	k.total, k.increment = k.total/k.increment, 1
}

// Len returns how many keys are counted.
func (k *KeyCounts) Len() int { return len(k.counts) }
