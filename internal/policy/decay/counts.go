// Package decay keeps counts that fade with time. They show how popular each key is, from the requests of this node and
// from samples of other nodes' requests. The package has no clock and no I/O; the caller acts on the counts.
package decay

import (
	"math"
	"time"

	"shelfproxy/internal/fleet/gossip"
)

// Time is a point on the caller's clock.
type Time = time.Duration

const (
	otherRequestsPrior = 0.5 // requests for other keys that Popularity adds per server, for nodes with few samples
	// minRequestsPerServer is the number of requests per server below which counts fade slowly, so that enough are left
	// to estimate popularity from. With 300 nodes, gossip brings about this many samples per server in one second.
	minRequestsPerServer = 4.0
	window               = 1500 * time.Millisecond // time in which a count falls to 1/e, above minRequestsPerServer
	sparseWindow         = 30 * time.Second        // time in which a count falls to 1/e, below minRequestsPerServer

	seenThreshold = 1.5  // a key that counts for more requests than this was seen before the current request
	keepDivisor   = 10   // a key that counts for less than 1/keepDivisor of a request is dropped
	minDivisor    = 1e-9 // keeps divisors above zero
)

// Fade returns what is left of a count after the elapsed time. While the count is above the parameter enough, it falls
// to 1/e in each window. Once about enough is left, the count falls to 1/e only in each sparseWindow.
func Fade(count float64, elapsed, window time.Duration, enough float64, sparseWindow time.Duration) float64 {
	return max(count*math.Exp(-float64(elapsed)/float64(window)),
		min(count, enough)*math.Exp(-float64(elapsed)/float64(sparseWindow)))
}

// Increment returns the weight with which the next request counts. total is the sum of the weights of all requests so
// far, and increment is the weight of the latest request. The returned weight is greater, so that earlier requests
// count less in comparison. For the remaining parameters see Fade.
func Increment(
	total, increment float64, elapsed, window time.Duration, enough float64, sparseWindow time.Duration,
) float64 {
	if total <= 0 {
		return increment
	}
	return total / max(Fade(total/increment, elapsed, window, enough, sparseWindow), minDivisor)
}

// KeyCounts counts requests by key. Each request counts with a greater weight than those before, so old requests matter
// less and less. The zero value is empty. KeyCounts is not safe for concurrent use.
type KeyCounts struct {
	counts    map[gossip.Fingerprint]float64
	total     float64 // sum of all counts
	increment float64 // weight with which a request counts at present
	totalAt   Time    // when total was last added to
	pruneAt   Time    // when Prune next drops keys that are no longer requested
}

// Add counts a request for a key; servers is the number of cache servers. Samples from other nodes count like this
// node's requests. Nodes report each request with the same probability, so a key's fraction of the counts is its
// fraction of the requests of the whole fleet.
func (k *KeyCounts) Add(now Time, key gossip.Fingerprint, servers float64) {
	if k.counts == nil {
		k.counts, k.increment = map[gossip.Fingerprint]float64{}, 1
	}
	enough := minRequestsPerServer * servers
	k.increment = Increment(k.total, k.increment, now-k.totalAt, window, enough, sparseWindow)
	k.total, k.totalAt = k.total+k.increment, now
	k.counts[key] += k.increment
}

// Popularity returns the requests for a key, without the latest one, as a multiple of an average server's requests.
func (k *KeyCounts) Popularity(key gossip.Fingerprint, servers float64) float64 {
	return max(0, k.counts[key]-k.increment) /
		max(k.total+otherRequestsPrior*servers*k.increment, minDivisor) * servers
}

// WasSeen reports whether the key was counted before the current request.
func (k *KeyCounts) WasSeen(key gossip.Fingerprint) bool {
	return k.counts[key] > seenThreshold*k.increment
}

// Prune drops keys that are no longer requested, and divides all counts by the present weight of a request. It does so
// at most once in each sparseWindow.
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
