package rollout

import (
	"math"
	"slices"
	"time"
)

// responseStats counts this node's responses. While the node is ready, the counts decay, so that nodes that start are compared
// with recent responses.
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

// health returns the statistics as they are sent in heartbeats.
func (s *responseStats) health(minSamples int) health {
	if s.total < float64(max(1, minSamples)) {
		return health{}
	}
	fraction := func(count float64) byte { return byte(min(fractionScale, fractionScale*count/s.total)) }
	return health{IsKnown: true, Failed: fraction(s.failed), Slow: fraction(s.slow)}
}

// checkResponses adds counts to this node's statistics. While the node is under observation, it compares them with those of the
// other nodes. If this node does worse, it becomes unhealthy and halts the release. If all nodes do badly, the origin or the
// network is the cause, and going back to the previous release would not help.
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
// With a median, a few nodes that report wrong rates or do badly themselves do not change how this node is judged.
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

// lowerMedian sorts values and returns the lower median. There must be at least one value.
func lowerMedian(values []byte) byte {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
