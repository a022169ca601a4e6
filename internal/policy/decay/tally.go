// Package tally keeps counts that fade: how popular each key is, from the requests of this node and from samples that
// other nodes tell of theirs. It has no clock and no I/O, and what follows from a count is the module's affair.
package decay

import (
	"math"
	"time"

	"shelfproxy/internal/fleet/gossip"
)

// Time is a point on the caller's clock.
type Time = time.Duration

const (
	prior  = 0.5                     // requests a server assumed for other keys, for want of samples
	enough = 4.0                     // requests a server that popularity is judged from, at least: 1 s of 300 nodes' words
	window = 1500 * time.Millisecond // a request weighs 1/e after this long while there are more than enough
	age    = 30 * time.Second        // and after this long where there are fewer
)

// Fade is what is left of a count: it falls to 1/e after each window while above enough, else after each age.
func Fade(n float64, dt, window time.Duration, enough float64, age time.Duration) float64 {
	return max(n*math.Exp(-float64(dt)/float64(window)), min(n, enough)*math.Exp(-float64(dt)/float64(age)))
}

// Weight is what one request counts from now on, where all of them count all together and one counted one so much: counts
// fade by making later ones weigh more.
func Weight(all, one float64, dt, window time.Duration, enough float64, age time.Duration) float64 {
	if all <= 0 {
		return one
	}
	return all / max(Fade(all/one, dt, window, enough, age), 1e-9)
}

// Keys counts requests by key. Counts fade by making later ones weigh more.
type Keys struct {
	counts   map[gossip.Fingerprint]float64
	all, one float64 // all counts, and what one request counts now
	at       Time
	sweepAt  Time // when keys that are no longer asked for are dropped next
}

// Count counts a request for a key, in front of so many servers. Samples of other nodes count as own requests do: each
// is told with the same chance, so the shares are those of the whole fleet.
func (k *Keys) Count(now Time, key gossip.Fingerprint, servers float64) {
	if k.counts == nil {
		k.counts, k.one = map[gossip.Fingerprint]float64{}, 1
	}
	k.one = Weight(k.all, k.one, now-k.at, window, enough*servers, age)
	k.all, k.at = k.all+k.one, now
	k.counts[key] += k.one
}

// Heat is the part of an average server's requests that other requests for the key bring.
func (k *Keys) Heat(key gossip.Fingerprint, servers float64) float64 {
	return max(0, k.counts[key]-k.one) / max(k.all+prior*servers*k.one, 1e-9) * servers
}

// Met tells whether the key was counted before the request in hand.
func (k *Keys) Met(key gossip.Fingerprint) bool { return k.counts[key] > 1.5*k.one }

// Sweep drops keys that are no longer asked for and scales the counts back, now and then.
func (k *Keys) Sweep(now Time) {
	if now < k.sweepAt || k.counts == nil {
		return
	}
	k.sweepAt = now + age
	for key, n := range k.counts {
		if k.counts[key] = n / k.one; n < k.one/10 {
			delete(k.counts, key)
		}
	}
	k.all, k.one = k.all/k.one, 1
}

// Len is how many keys are counted.
func (k *Keys) Len() int { return len(k.counts) }
