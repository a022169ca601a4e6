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
	// otherRequestsPrior is a number of assumed requests per server. Popularity adds them to the counted requests, as
	// if they had been for other keys. Without them, a node that has counted only a few requests would regard their
	// keys as popular.
	otherRequestsPrior = 0.5
	// While fewer counted requests per server than minRequestsPerServer are left, counts fade slowly (see
	// sparseWindow). This leaves enough requests to estimate the popularity of keys from. With 300 nodes, the other
	// nodes report about this many requests per server in one second by gossip.
	minRequestsPerServer = 4.0
	// window is the time in which counts fall to 1/e while more than minRequestsPerServer requests per server are
	// counted.
	window = 1500 * time.Millisecond
	// sparseWindow is the time in which counts fall to 1/e while at most minRequestsPerServer requests per server are
	// counted.
	sparseWindow = 30 * time.Second

	// seenThreshold is the count above which a key was requested before, counted in requests of the current weight. The
	// current request alone makes a count of 1.
	seenThreshold = 1.5
	// keepDivisor bounds which keys Prune drops: those whose count is below 1/keepDivisor (a tenth) of the weight of
	// the latest request.
	keepDivisor = 10
	minDivisor  = 1e-9 // least value of a divisor, to avoid a division by zero
)

// Fade returns what is left of a count after the elapsed time. While the count is above the value of the parameter
// enough, it falls to 1/e of its value in each window. A count below that value falls to 1/e only in each sparseWindow.
func Fade(count float64, elapsed, window time.Duration, enough float64, sparseWindow time.Duration) float64 {
	return max(count*math.Exp(-float64(elapsed)/float64(window)),
		min(count, enough)*math.Exp(-float64(elapsed)/float64(sparseWindow)))
}

// Increment returns the weight with which the next request counts. total is the sum of the weights of all requests so
// far, and increment is the weight of the latest request. The longer the elapsed time, the greater is the returned
// weight. So earlier requests count less in comparison, without a change to their counts. For the remaining parameters
// see Fade.
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
	increment float64 // weight of the latest request
	totalAt   Time    // time of the last addition to total
	pruneAt   Time    // earliest time at which Prune next drops keys that are no longer requested
}

// Add counts a request for a key; servers is the number of cache servers. A request that another node reports counts as
// much as one of this node's requests. The other nodes report only a part of their requests, so this node's requests
// are over-represented. But this node is one of many, so a key's fraction of the counts is close to its fraction of the
// requests of the whole fleet.
func (k *KeyCounts) Add(now Time, key gossip.Fingerprint, servers float64) {
	if k.counts == nil {
		k.counts, k.increment = map[gossip.Fingerprint]float64{}, 1
	}
	enough := minRequestsPerServer * servers
	k.increment = Increment(k.total, k.increment, now-k.totalAt, window, enough, sparseWindow)
	k.total, k.totalAt = k.total+k.increment, now
	k.counts[key] += k.increment
}

// Popularity returns how many requests for a key were counted, as a multiple of what an average server gets for all its
// keys. The latest request for the key is left out.
func (k *KeyCounts) Popularity(key gossip.Fingerprint, servers float64) float64 {
	return max(0, k.counts[key]-k.increment) /
		max(k.total+otherRequestsPrior*servers*k.increment, minDivisor) * servers
}

// WasSeen reports whether the key was counted before the current request.
func (k *KeyCounts) WasSeen(key gossip.Fingerprint) bool {
	return k.counts[key] > seenThreshold*k.increment
}

// Prune drops keys that are no longer requested. It also divides all counts by the weight of the latest request, which
// would otherwise grow without bound. Prune does so at most once in each sparseWindow.
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
