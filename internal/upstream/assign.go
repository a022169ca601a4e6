package upstream

import (
	"slices"
	"time"
)

// assign finds a connection for an attempt of which nothing was written, or queues the attempt. If it returns false, the attempt
// has ended with the returned outcome.
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
	if conn := c.leastLoaded(now); conn != nil { // no further connection may be opened: share an established one
		c.enqueue(conn, attempt, effects)
		return 0, true
	}
	if len(c.waiting) >= c.limits.MaxQueued {
		return PoolExhausted, false
	}
	// No connection is being opened for this attempt. Its wait is limited to the time that opening a connection may take: the
	// policy may have a better option than to let the attempt wait until its deadline.
	attempt.waitDeadline = now.Add(c.limits.ConnectTimeout)
	c.waiting = append(c.waiting, attempt)
	return 0, true
}

// availableConnection returns a connection on which an attempt waits briefly or not at all. It returns nil if there is none, or
// if the load justifies one more connection.
func (c *Core) availableConnection(now time.Time, attempt *Attempt, effects *Effects) *Conn {
	if conn := c.takeIdle(now, effects); conn != nil {
		return conn
	}
	if i := slices.IndexFunc(c.conns, func(conn *Conn) bool { return conn.isBeingFreed() && !c.isOutdated(conn) }); i >= 0 {
		return c.conns[i]
	}
	if conn := c.pipelineCandidate(now, attempt); conn != nil && !c.growth.shouldGrow(now) {
		return conn
	}
	return nil
}

// takeIdle removes the most recently used connection from the idle ones and returns it; nil if there is none.
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

// pipelineCandidate returns a connection with a single attempt that was sent less than PipelineWithin ago; nil if there is none.
// A response that has to wait for that attempt's response comes hardly later than one over a newly opened connection. A health
// check must not wait behind requests, nor a request behind a health check.
func (c *Core) pipelineCandidate(now time.Time, attempt *Attempt) *Conn {
	if attempt.isHealthCheck() || attempt.NeedsNewConnection || c.limits.MaxStreams < 2 {
		return nil
	}
	for _, conn := range c.conns {
		if len(conn.pending) != 1 || conn.IsWaitingForMemory() || c.isOutdated(conn) || !c.mayBeFollowed(now, conn) {
			continue
		}
		ahead := conn.pending[0]
		if !ahead.isHealthCheck() && !ahead.abandoned && now.Sub(ahead.SentAt) < c.limits.PipelineWithin {
			return conn
		}
	}
	return nil
}

// leastLoaded returns the connection with the fewest attempts, among those that may take one more; nil if there is none.
// Responses come in the order of the attempts, so an attempt is put behind as few others as possible.
func (c *Core) leastLoaded(now time.Time) (best *Conn) {
	for _, conn := range c.conns {
		mayTake := !c.isOutdated(conn) && len(conn.pending) < c.limits.MaxStreams && c.mayBeFollowed(now, conn)
		if mayTake && (best == nil || len(conn.pending) < len(best.pending)) {
			best = conn
		}
	}
	return best
}

// enqueue assigns an attempt to a connection and asks the shell to write it.
func (c *Core) enqueue(conn *Conn, attempt *Attempt, effects *Effects) {
	attempt.conn, attempt.waitDeadline = conn, time.Time{}
	conn.pending = append(conn.pending, attempt)
	conn.unwritten = append(conn.unwritten, attempt)
	effects.write(conn)
}

// serveNext decides what a connection without attempts does next. It is closed if the server drains or has moved, takes the attempt that has
// waited longest, or becomes idle.
func (c *Core) serveNext(now time.Time, conn *Conn, effects *Effects) {
	switch {
	case conn.closed || len(conn.pending) > 0 || conn.writing != nil:
	case c.isDraining, c.isOutdated(conn):
		c.close(now, conn, ConnectionLost, effects)
	case len(c.waiting) > 0:
		c.enqueue(conn, c.popWaiting(), effects)
	case !slices.Contains(c.idle, conn):
		conn.idleSince = now
		c.idle = append(c.idle, conn)
		c.budget.becameIdle(conn, effects)
	}
}

// popWaiting removes from the queue the attempt that has waited longest, and returns it.
func (c *Core) popWaiting() *Attempt {
	attempt := c.waiting[0]
	c.waiting[0] = nil // the array outlives the slice and would keep the request and its value in memory
	c.waiting = c.waiting[1:]
	return attempt
}
