package admission

import (
	"math"
	"time"
)

// ConcurrencyLimiter bounds how much is out at one server at a time by how long answers take, so that what waits for it waits
// where its order can still be chosen. It is the congestion control of a window: where answers take twice the time that
// the server needs, half of what is out only queues, and half of the limit goes; then it comes back bit by bit while it is
// what holds work up. What the server needs shows after each cut, when the queue has drained, or where next to nothing is
// out: it may have become slower, and no limit makes it quicker.
type ConcurrencyLimiter struct {
	Max float64 // the limit at its start, and never above it

	limit float64
	cutAt Time // when it was last cut
	base  [2]base
}

// base is how long one sort of work takes: of late, and the least of that, which is what the server needs. The least is
// forgotten slowly, as a crowd that never drains must not pass for the server's own time.
type base struct {
	mean, least time.Duration
	over        float64 // share of the same answers that took as long as in a crowd
	n           int     // answers that the mean is of
	at          Time
}

const (
	cut        = 0.5              // of the limit stays when it is cut
	crowded    = 1.6              // times the least mean that is a crowd
	bottom     = 2.0              // limit from which on a long answer is the server's own
	growth     = 0.1              // of the limit comes back in a round, and one place at least
	few        = 8                // answers that a mean is of
	most       = 0.5              // of them have to take as long as in a crowd: one lost and a few long ones move the mean
	leastFades = 30 * time.Second // the least mean weighs e times as much after this long
)

// Limit is how much may be out.
func (c *ConcurrencyLimiter) Limit() int {
	if c.limit == 0 {
		c.limit = c.Max
	}
	return int(c.limit)
}

// LatencySample is how one piece of work went.
type LatencySample struct {
	IsWrite    bool // writes and reads take different times
	Latency    time.Duration
	IsRejected bool // the server turned it away
	IsTimedOut bool // nothing came
}

// Observe takes how work went. A mean up to calm is no crowd in any case; out is how much was out, this one among it.
func (c *ConcurrencyLimiter) Observe(now Time, t LatencySample, calm time.Duration, out int) {
	c.Limit()
	if c.cutAt > 0 && now-t.Latency < c.cutAt {
		return // sent before the last cut: it tells nothing of it
	}
	b := &c.base[0]
	if t.IsWrite {
		b = &c.base[1]
	}
	if b.n < few {
		b.n++
	}
	took, full := t.Latency, t.IsRejected
	crowd := max(calm, time.Duration(crowded*float64(b.least)))
	if t.IsTimedOut && b.least > 0 {
		// It may have been lost on its way, or with its connection, and its time is only for how long somebody waited. Half of
		// those that a mean is of have to be lost before that is a crowd, where one would do by its time.
		took = min(took, time.Duration(crowded*float64(crowd)))
	}
	b.mean += (took - b.mean) / time.Duration(b.n)
	over := 0.0
	if took > crowd {
		over = 1
	}
	b.over += (over - b.over) / float64(b.n)
	known := b.n == few
	if known {
		faded := time.Duration(float64(b.least) * math.Exp(float64(now-b.at)/float64(leastFades)))
		if b.at = now; b.least == 0 || b.mean < faded {
			faded = b.mean
		}
		b.least = faded
	}
	switch {
	case full || known && b.over >= most && b.mean > max(calm, time.Duration(crowded*float64(b.least))):
		if c.limit <= bottom && !full {
			b.least = b.mean
		}
		c.limit, c.cutAt = max(1, min(c.limit, float64(out))*cut), now
		c.base[0].n, c.base[1].n = 0, 0
	case float64(out) >= c.limit-1:
		c.limit = min(c.Max, c.limit+max(1/c.limit, growth))
	}
}
