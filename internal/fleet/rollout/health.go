package rollout

import (
	"math"
	"slices"
	"time"
)

// responseStats counts this node's responses. While the node is ready the counts decay, so that what starting nodes are
// compared with is how it goes now.
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

// judgeResponses judges this node while it is under observation: if it does worse than the others, it says so and halts
// the release. What goes badly at all nodes is the fault of the origin or the network, and going back would not help.
func (c *Core) judgeResponses(now Time, counts ResponseCounts) {
	if c.state == Ready {
		c.responses.decay(now-c.responses.updatedAt, c.cfg.ObservationPeriod)
	}
	c.responses.updatedAt = now
	c.responses.add(counts)
	own := c.ownHealth()
	if c.state != Starting || !own.IsKnown {
		return
	}
	usual := c.medianHealth()
	isFailing := own.failureRate() > c.cfg.MaxFailureRate+usual.failureRate()
	isSlow := own.slowRate() > c.cfg.MaxSlowRate+usual.slowRate()
	if isFailing || isSlow {
		c.state = Unhealthy
		c.hurryHeartbeat()
		c.log(LogNodeUnhealthy, c.cfg.Self, 0, ReasonNodeUnhealthy)
		c.raiseHalt(ReasonNodeUnhealthy, c.cfg.Self)
	}
}

// ownHealth is what this node reports of its responses.
func (c *Core) ownHealth() health { return c.responses.health(c.cfg.MinSamples) }

// medianHealth returns the lower medians of the rates that the other ready nodes report, or zeros if none does. With a
// median, a few nodes that report wrongly or do badly themselves do not change the judgement.
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

// lowerMedian sorts values, of which there is at least one.
func lowerMedian(values []byte) byte {
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
