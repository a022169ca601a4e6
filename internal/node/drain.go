package node

import (
	"maps"
	"slices"
	"time"
)

// Drain makes the core answer every request that it has taken, or still takes, by the deadline.
func (c *Core) Drain(deadline time.Time) {
	c.isDraining, c.drainDeadline = true, deadline
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		open := c.requests[id]
		c.timers.add(deadline, func() { c.expire(open) })
	}
	c.checkDrained()
}

// Drained returns a channel that is closed when the core drains and owes no response any more.
func (c *Core) Drained() <-chan struct{} { return c.drained }

func (c *Core) checkDrained() {
	if !c.isDraining || c.openRequests > 0 {
		return
	}
	select {
	case <-c.drained:
	default:
		close(c.drained)
	}
}
