package rollout

import (
	"math"
	"slices"
	"time"
)

// responseStats counts this node's responses. While the node is ready, old responses lose weight exponentially, because nodes
// that start are compared with the recent responses of this node.
type responseStats struct {
	total, failed, slow float64
	updatedAt           Time
}

func (s *responseStats) decay(elapsed, timeConstant time.Duration) {
	keep := math.Exp(-float64(elapsed) / float64(max(timeConstant, 1)))
	s.total, s.failed, s.slow = s.total*keep, s.failed*keep, s.slow*keep
}

func (s *responseStats) add(counts ResponseCounts) {
	s.total += float64(counts.Responses)
	s.failed += float64(counts.Failed)
	s.slow += float64(counts.Slow)
}

// health returns the fractions of failed and of slow responses, or an unknown health if there are fewer than minSamples responses.
func (s *responseStats) health(minSamples int) health {
	if s.total < float64(max(1, minSamples)) {
		return health{}
	}
	fraction := func(count float64) byte { return byte(min(fractionScale, fractionScale*count/s.total)) }
	return health{IsKnown: true, Failed: fraction(s.failed), Slow: fraction(s.slow)}
}

// checkResponses adds counts to this node's statistics. While this node is in the observation period after its start, its rates
// of failed and of slow responses are compared with the medians of the other nodes. If one of them is higher by more than the
// configured bound, this node becomes unhealthy and halts the release. High rates at all nodes halt nothing: then the cause is
// the origin or the network, and going back to the previous release would not help.
func (c *Core) checkResponses(now Time, counts ResponseCounts) {
	if c.state == Ready {
		c.responses.decay(now-c.responses.updatedAt, c.cfg.ObservationPeriod)
	}
	c.responses.updatedAt = now
	c.responses.add(counts)
	own := c.ownHealth()
	if c.state != Starting || !own.IsKnown {
		return
	}
	median := c.medianHealth()
	isFailing := own.failureRate() > c.cfg.MaxFailureRate+median.failureRate()
	isSlow := own.slowRate() > c.cfg.MaxSlowRate+median.slowRate()
	if isFailing || isSlow {
		c.state = Unhealthy
		c.triggerHeartbeat()
		c.log(LogNodeUnhealthy, c.cfg.Self, 0, ReasonNodeUnhealthy)
		c.raiseHalt(ReasonNodeUnhealthy, c.cfg.Self)
	}
}

// ownHealth returns what this node reports of its own responses.
func (c *Core) ownHealth() health { return c.responses.health(c.cfg.MinSamples) }

// medianHealth returns the lower medians of the rates that the other ready nodes report, or zeros if none of them reports any.
// A few nodes that report wrong or high rates hardly change the median, with which this node's rates are compared.
func (c *Core) medianHealth() health {
	var failed, slow []byte
	for node, peer := range c.peers {
		if node != c.cfg.Self && peer.hasReported && peer.state == Ready && peer.health.IsKnown {
			failed = append(failed, peer.health.Failed)
			slow = append(slow, peer.health.Slow)
		}
	}
	if len(failed) == 0 {
		return health{}
	}
	return health{IsKnown: true, Failed: lowerMedian(failed), Slow: lowerMedian(slow)}
}

// lowerMedian sorts values and returns the median, or the smaller of the two middle values if their number is even. There must
// be at least one value.
func lowerMedian(values []byte) byte {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
