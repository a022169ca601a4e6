package listener

import (
	"maps"
	"slices"
	"time"

	"shelfproxy/internal/admission"
)

// ExpireIdle closes the connections whose timeouts have expired and returns how long to wait before the next call. Without these
// calls the connections would stay open forever and keep other clients out. A late call shows that the process did not run for a
// while.
func (c *Core) ExpireIdle(now time.Time, effects *Effects) (wait time.Duration) {
	wait = c.expireIdle(now, effects)
	c.pause.called(now, wait)
	return wait
}

func (c *Core) expireIdle(now time.Time, effects *Effects) (wait time.Duration) {
	for len(c.lingering) > 0 && !now.Before(c.lingering[0].lingerDeadline) {
		c.endLingering(c.lingering[0], effects)
	}
	c.expireArguments(now, effects)
	if c.isDraining {
		c.expireDrain(now, effects)
		return maxSweepInterval
	}
	c.closeIdle(now, effects)
	if c.pause.isOverdue(now) {
		c.table.ReadersResumed(c.tableTime(now))
	}
	c.closeStuck(now, effects)
	effects.capacityAvailable() // a connection that was too new to be evicted may be old enough now
	return c.sweepInterval(now)
}

// expireDrain closes the connections that are still open past the drain deadline, each as soon as its pending responses are
// written.
func (c *Core) expireDrain(now time.Time, effects *Effects) {
	if now.Before(c.drainDeadline) {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(c.conns)) {
		c.finish(now, c.conns[id], EndedByDrain, effects)
	}
}

// closeIdle closes connections that have been idle for too long, at most maxExpiredPerSweep in one call.
func (c *Core) closeIdle(now time.Time, effects *Effects) {
	for _, id := range c.table.ExpireIdle(c.tableTime(now), maxExpiredPerSweep) {
		reason := EndedIdle
		if c.table.Stage(id) <= admission.StagePartialCommand {
			reason = EndedWithoutCommand
		}
		c.finish(now, c.conns[id], reason, effects)
	}
}

// closeStuck closes connections whose clients read no responses, as long as the unsent bytes of all connections exceed their bound.
func (c *Core) closeStuck(now time.Time, effects *Effects) {
	for {
		id, isStuck := c.table.NextStuck(c.tableTime(now))
		if !isStuck {
			return
		}
		c.close(now, c.conns[id], EndedStuck, effects) // closes the connection even while a write is in progress
	}
}

func (c *Core) sweepInterval(now time.Time) time.Duration {
	at := c.tableTime(now)
	if next, ok := c.table.NextExpiry(at); ok {
		return min(max(next-at, minSweepInterval), maxSweepInterval)
	}
	return maxSweepInterval
}

// Drain starts to close all connections, each as soon as its pending responses are written. A connection with a partial command
// has 500 ms (lingerTimeout) to send the rest of it, and a connection that is accepted from now on has lingerTimeout to send a
// command.
func (c *Core) Drain(now time.Time, effects *Effects) {
	c.isDraining, c.drainDeadline = true, now.Add(lingerTimeout)
	effects.capacityAvailable()
	for _, id := range slices.Sorted(maps.Keys(c.conns)) {
		if conn := c.conns[id]; conn.commands.hasPartialCommand() {
			conn.closeAfterResponses, conn.endReason = true, EndedByDrain
		} else {
			c.finish(now, conn, EndedByDrain, effects)
		}
	}
}
