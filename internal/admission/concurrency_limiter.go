package admission

import (
	"math"
	"time"
)

// ConcurrencyLimiter bounds how many requests are in flight at one server by how long responses take, so that what
// waits for the server waits where its order can still be chosen. It is a congestion window with additive increase and
// multiplicative decrease (AIMD): where responses take much longer than the server needs, the rest of the time is spent
// in the server's queue, and half of the limit goes; it comes back step by step while it is what holds requests up. What
// the server needs shows after each cut, when its queue has drained, or where next to nothing is in flight: it may have
// become slower, and no limit makes it quicker.
type ConcurrencyLimiter struct {
	Max float64 // the limit at the start, and its upper bound

	limit  float64
	cutAt  Time // when the limit was last cut
	reads  latencyStats
	writes latencyStats
}

const (
	cutFactor          = 0.5              // fraction of the limit that stays when it is cut
	crowdedFactor      = 1.6              // times the least mean latency from which a latency means queueing
	minCrowdedFraction = 0.5              // of the samples have to mean queueing: a lost one and a few long ones move the mean
	minUsefulLimit     = 2.0              // up to this limit a long latency is the server's own
	growthStep         = 0.1              // of a place for each response, or 1/limit where that is more
	meanSamples        = 8                // samples that a mean is of
	leastFadeTime      = 30 * time.Second // in which the least mean latency grows e times
)

// LatencySample is how one request to the server ended.
type LatencySample struct {
	IsWrite    bool // writes and reads take different times
	Latency    time.Duration
	IsRejected bool // by the server
	IsTimedOut bool // without a response
}

// Limit returns how many requests may be in flight.
func (c *ConcurrencyLimiter) Limit() int {
	if c.limit == 0 {
		c.limit = c.Max
	}
	return int(c.limit)
}

// Observe takes a sample and adjusts the limit. A mean latency up to calm never means queueing; inFlight counts the
// requests in flight, the sample's among them.
func (c *ConcurrencyLimiter) Observe(now Time, sample LatencySample, calm time.Duration, inFlight int) {
	c.Limit() // sets it at the start
	if c.cutAt > 0 && now-sample.Latency < c.cutAt {
		return // sent before the last cut: it shows nothing of its effect
	}
	stats := &c.reads
	if sample.IsWrite {
		stats = &c.writes
	}
	stats.record(now, sample, calm)
	switch {
	case sample.IsRejected || stats.isCrowded(calm):
		if c.limit <= minUsefulLimit && !sample.IsRejected {
			stats.least = stats.mean
		}
		c.cut(now, inFlight)
	case float64(inFlight) >= c.limit-1:
		c.limit = min(c.Max, c.limit+max(1/c.limit, growthStep))
	}
}

// cut lowers the limit, and starts new means: those so far are of the limit before.
func (c *ConcurrencyLimiter) cut(now Time, inFlight int) {
	c.limit, c.cutAt = max(1, min(c.limit, float64(inFlight))*cutFactor), now
	c.reads.samples, c.writes.samples = 0, 0
}

// latencyStats is how long one kind of request takes: of late, and the least of that, which is what the server needs.
// The least is forgotten slowly, as a queue that never drains must not pass for the server's own time.
type latencyStats struct {
	mean, least     time.Duration
	crowdedFraction float64 // of the same samples, that meant queueing
	samples         int     // that the mean is of
	updatedAt       Time
}

func (s *latencyStats) record(now Time, sample LatencySample, calm time.Duration) {
	if s.samples < meanSamples {
		s.samples++
	}
	threshold := s.crowdedLatency(calm)
	latency := sample.Latency
	if sample.IsTimedOut && s.least > 0 {
		// It may have been lost on its way, or with its connection, and its time is only for how long somebody waited. Half
		// of those that a mean is of have to be lost before that means queueing, where one would do by its time.
		latency = min(latency, time.Duration(crowdedFactor*float64(threshold)))
	}
	s.mean += (latency - s.mean) / time.Duration(s.samples)
	crowded := 0.0
	if latency > threshold {
		crowded = 1
	}
	s.crowdedFraction += (crowded - s.crowdedFraction) / float64(s.samples)
	if s.hasMean() {
		s.updateLeast(now)
	}
}

func (s *latencyStats) updateLeast(now Time) {
	faded := time.Duration(float64(s.least) * math.Exp(float64(now-s.updatedAt)/float64(leastFadeTime)))
	if s.least == 0 || s.mean < faded {
		faded = s.mean
	}
	s.least, s.updatedAt = faded, now
}

// hasMean reports whether there are enough samples for a mean.
func (s *latencyStats) hasMean() bool { return s.samples == meanSamples }

// crowdedLatency returns the latency past which requests wait in the server's queue.
func (s *latencyStats) crowdedLatency(calm time.Duration) time.Duration {
	return max(calm, time.Duration(crowdedFactor*float64(s.least)))
}

func (s *latencyStats) isCrowded(calm time.Duration) bool {
	return s.hasMean() && s.crowdedFraction >= minCrowdedFraction && s.mean > s.crowdedLatency(calm)
}
