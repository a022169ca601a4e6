package upstream

import (
	"slices"
	"time"
)

// assign finds a connection for an attempt of which nothing was written, or queues it. If it returns false the attempt has ended
// with the returned outcome.
func (c *Core) assign(now time.Time, attempt *Attempt, effects *Effects) (Outcome, bool) {
	if attempt.NeedsNewConnection && c.dial(attempt, effects) {
		return 0, true
	}
	if conn := c.availableConnection(now, attempt, effects); conn != nil {
		c.enqueue(conn, attempt, effects)
		return 0, true
	}
	if c.dial(nil, effects) {
		c.waiting = append(c.waiting, attempt)
		return 0, true
	}
	if conn := c.leastLoaded(); conn != nil { // no more connections may be opened
		c.enqueue(conn, attempt, effects)
		return 0, true
	}
	if len(c.waiting) >= c.limits.MaxQueued {
		return PoolExhausted, false
	}
	// No connection is being opened for this attempt. It waits no longer than it would for one that is, as the policy may know
	// better than to let it wait until its deadline.
	attempt.waitDeadline = now.Add(c.limits.ConnectTimeout)
	c.waiting = append(c.waiting, attempt)
	return 0, true
}

// availableConnection returns a connection on which an attempt waits for little or nothing; nil if there is none, or if the load
// justifies one more connection.
func (c *Core) availableConnection(now time.Time, attempt *Attempt, effects *Effects) *Conn {
	if conn := c.takeIdle(now, effects); conn != nil {
		return conn
	}
	if i := slices.IndexFunc(c.conns, (*Conn).isBeingFreed); i >= 0 {
		return c.conns[i]
	}
	if conn := c.pipelineCandidate(now, attempt); conn != nil && !c.growth.shouldGrow(now) {
		return conn
	}
	return nil
}

// takeIdle returns the idle connection that was used last; nil if there is none.
func (c *Core) takeIdle(now time.Time, effects *Effects) *Conn {
	for last := len(c.idle) - 1; last >= 0; last = len(c.idle) - 1 {
		conn := c.idle[last]
		c.idle = c.idle[:last]
		if c.budget.takeIdle(conn) {
			return conn
		}
		c.close(now, conn, ConnectionLost, effects)
	}
	return nil
}

// pipelineCandidate returns a connection with a single attempt that was sent a moment ago: the response behind that one comes
// little later than it would on a connection that has to be opened first. A health check must not wait behind requests, nor
// requests behind a health check.
func (c *Core) pipelineCandidate(now time.Time, attempt *Attempt) *Conn {
	if attempt.isHealthCheck() || attempt.NeedsNewConnection || c.limits.MaxStreams < 2 {
		return nil
	}
	for _, conn := range c.conns {
		if len(conn.pending) != 1 {
			continue
		}
		ahead := conn.pending[0]
		if !ahead.isHealthCheck() && !ahead.abandoned && now.Sub(ahead.SentAt) < c.limits.PipelineWithin {
			return conn
		}
	}
	return nil
}

// leastLoaded returns the connection with the fewest attempts that may take one more; nil if there is none. Responses come in
// order, so an attempt is put behind as few others as possible.
func (c *Core) leastLoaded() (best *Conn) {
	for _, conn := range c.conns {
		if len(conn.pending) < c.limits.MaxStreams && (best == nil || len(conn.pending) < len(best.pending)) {
			best = conn
		}
	}
	return best
}

// enqueue gives an attempt to a connection.
func (c *Core) enqueue(conn *Conn, attempt *Attempt, effects *Effects) {
	attempt.conn, attempt.waitDeadline = conn, time.Time{}
	conn.pending = append(conn.pending, attempt)
	conn.unwritten = append(conn.unwritten, attempt)
	effects.write(conn)
}

// serveNext gives a connection without attempts the one that has waited for longest, or makes the connection idle.
func (c *Core) serveNext(now time.Time, conn *Conn, effects *Effects) {
	switch {
	case conn.closed || len(conn.pending) > 0 || conn.writing != nil:
	case c.isDraining:
		c.close(now, conn, ConnectionLost, effects)
	case len(c.waiting) > 0:
		c.enqueue(conn, c.popWaiting(), effects)
	case !slices.Contains(c.idle, conn):
		conn.idleSince = now
		c.idle = append(c.idle, conn)
		c.budget.becameIdle(conn, effects)
	}
}

// popWaiting takes the attempt that has waited for longest.
func (c *Core) popWaiting() *Attempt {
	attempt := c.waiting[0]
	c.waiting[0] = nil // the array outlives the slice and would keep the request and its value in memory
	c.waiting = c.waiting[1:]
	return attempt
}
