package admission

import (
	"math"
	"time"
)

// ConcurrencyLimiter bounds how many requests are in flight at one server, by the latencies of the responses. Further
// requests then wait in the node, where their order can still be chosen, and not in the server's queue.
//
// The limit is a congestion window with additive increase and multiplicative decrease (AIMD). If responses take much
// longer than the server needs, the rest of the time is spent in the server's queue, and the limit is halved. The limit
// grows again step by step while it is reached. The latency that the server itself needs, without a queue, is seen on
// two occasions: after a cut of the limit, once the server's queue has drained, and whenever almost no request is in
// flight. If that latency is longer than before, the server has become slower, and no lower limit makes it faster.
type ConcurrencyLimiter struct {
	Max float64 // the limit at the start, and its upper bound

	limit  float64
	cutAt  Time // time of the last cut of the limit; 0 before the first
	reads  latencyStats
	writes latencyStats
}

const (
	cutFactor            = 0.5              // fraction of the limit that is left after a cut
	congestedFactor      = 1.6              // multiple of the smallest mean latency (minMean) above which a latency indicates queueing
	minCongestedFraction = 0.5              // fraction of samples that must indicate queueing before the limit is cut, as one lost request or a few slow ones can raise the mean
	minUsefulLimit       = 2.0              // at a limit up to this one, a long latency is attributed to the server itself, not to its queue
	growthStep           = 0.1              // added to the limit for each response while the limit is almost reached; 1/limit if that is more
	meanSamples          = 8                // number of latencies that a mean is taken over
	minMeanGrowthTime    = 30 * time.Second // time in which minMean, the smallest mean latency, grows by a factor of e
)

// LatencySample describes how one request to the server ended.
type LatencySample struct {
	IsWrite    bool // writes and reads have separate statistics, as they take different times
	Latency    time.Duration
	IsRejected bool // the server rejected the request
	IsTimedOut bool // the request timed out without a response
}

// Limit returns the maximum number of requests in flight.
func (c *ConcurrencyLimiter) Limit() int {
	if c.limit == 0 {
		c.limit = c.Max
	}
	return int(c.limit)
}

// Observe takes a sample and adjusts the limit. A mean latency up to acceptable never counts as queueing. inFlight is the
// number of requests in flight, including the one of the sample.
func (c *ConcurrencyLimiter) Observe(now Time, sample LatencySample, acceptable time.Duration, inFlight int) {
	c.Limit() // initialises the limit
	if c.cutAt > 0 && now-sample.Latency < c.cutAt {
		return // the request was sent before the last cut, so it does not show the effect of the cut
	}
	stats := &c.reads
	if sample.IsWrite {
		stats = &c.writes
	}
	stats.record(now, sample, acceptable)
	switch {
	case sample.IsRejected || stats.isCongested(acceptable):
		if c.limit <= minUsefulLimit && !sample.IsRejected {
			stats.minMean = stats.mean
		}
		c.cut(now, inFlight)
	case float64(inFlight) >= c.limit-1:
		c.limit = min(c.Max, c.limit+max(1/c.limit, growthStep))
	}
}

// cut lowers the limit and restarts the mean latencies, as the samples so far were taken under the old limit.
func (c *ConcurrencyLimiter) cut(now Time, inFlight int) {
	c.limit, c.cutAt = max(1, min(c.limit, float64(inFlight))*cutFactor), now
	c.reads.samples, c.writes.samples = 0, 0
}

// latencyStats holds the latency statistics of one kind of request: the recent mean, and the smallest mean, which is
// the latency that the server itself needs. The smallest mean is raised only slowly, as the latency of a queue that
// never drains must not be taken for the server's own.
type latencyStats struct {
	mean, minMean     time.Duration
	congestedFraction float64 // fraction of the recent samples that indicated queueing
	samples           int     // number of samples in the mean
	updatedAt         Time
}

func (s *latencyStats) record(now Time, sample LatencySample, acceptable time.Duration) {
	if s.samples < meanSamples {
		s.samples++
	}
	threshold := s.congestedLatency(acceptable)
	latency := sample.Latency
	if sample.IsTimedOut && s.minMean > 0 {
		// The request may have been lost on its way or with its connection, so its latency only shows how long the node
		// waited. With the latency capped, about half of the samples of a mean have to time out before the mean exceeds the
		// threshold; uncapped, one timeout would be enough to raise the mean above it.
		latency = min(latency, time.Duration(congestedFactor*float64(threshold)))
	}
	s.mean += (latency - s.mean) / time.Duration(s.samples)
	congested := 0.0
	if latency > threshold {
		congested = 1
	}
	s.congestedFraction += (congested - s.congestedFraction) / float64(s.samples)
	if s.hasMean() {
		s.updateMinMean(now)
	}
}

func (s *latencyStats) updateMinMean(now Time) {
	grown := time.Duration(float64(s.minMean) * math.Exp(float64(now-s.updatedAt)/float64(minMeanGrowthTime)))
	if s.minMean == 0 || s.mean < grown {
		grown = s.mean
	}
	s.minMean, s.updatedAt = grown, now
}

// hasMean reports whether enough samples (meanSamples) were taken for a mean.
func (s *latencyStats) hasMean() bool { return s.samples == meanSamples }

// congestedLatency returns the latency above which requests are assumed to wait in the server's queue.
func (s *latencyStats) congestedLatency(acceptable time.Duration) time.Duration {
	return max(acceptable, time.Duration(congestedFactor*float64(s.minMean)))
}

func (s *latencyStats) isCongested(acceptable time.Duration) bool {
	return s.hasMean() && s.congestedFraction >= minCongestedFraction && s.mean > s.congestedLatency(acceptable)
}
