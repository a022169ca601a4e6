package upstream

import (
	"slices"
	"time"
)

// Abandon gives an attempt up, so that its outcome is not reported. It returns whether the attempt may have been executed. The
// attempt is out until its connection is closed. The connection is closed at once if only abandoned attempts await responses on it, if
// the request may be sent elsewhere and must not be out twice, or if the responses behind can't be told apart from one to the attempt.
// Other attempts on the connection then end as Displaced.
func (c *Core) Abandon(now time.Time, attempt *Attempt, effects *Effects) (possiblyExecuted bool) {
	attempt.abandoned = true
	c.dequeue(now, attempt, effects)
	if conn := attempt.conn; conn != nil && c.mustCloseWithout(now, conn, attempt) {
		c.close(now, conn, Displaced, effects)
	}
	return attempt.possiblyExecuted
}

// mustCloseWithout reports whether a connection can't stay open as an attempt on it is abandoned.
func (c *Core) mustCloseWithout(now time.Time, conn *Conn, abandoned *Attempt) bool {
	i := slices.Index(conn.pending, abandoned)
	if i < 0 { // the attempt has its response
		return false
	}
	mayBeSentElsewhere := !abandoned.isHealthCheck() && !abandoned.isOverdue(now)
	if mayBeSentElsewhere && !c.limits.SecondCopies {
		return true
	}
	return c.mayBeDropped(now, abandoned) && slices.ContainsFunc(conn.pending[i+1:], isWanted)
}

// Withdraw abandons an attempt if nothing of it was written, and reports whether it did so.
func (c *Core) Withdraw(now time.Time, attempt *Attempt, effects *Effects) bool {
	if attempt.writeStarted || attempt.abandoned {
		return false
	}
	c.Abandon(now, attempt, effects)
	return true
}

// dequeue removes an attempt from the core's queue or, if nothing of it was written, from its connection. The connection is then
// closed if no response on it is wanted any more, or serves the next attempt.
func (c *Core) dequeue(now time.Time, attempt *Attempt, effects *Effects) {
	c.waiting = removeFrom(c.waiting, attempt)
	conn := attempt.conn
	if conn == nil {
		return
	}
	if conn.removeUnwritten(attempt) { // not one byte of the attempt was written, and none will be
		attempt.conn = nil
	}
	c.closeIfUnwanted(now, conn, effects)
	c.serveNext(now, conn, effects)
}

// closeIfUnwanted closes a connection if all attempts that await a response on it are abandoned.
func (c *Core) closeIfUnwanted(now time.Time, conn *Conn, effects *Effects) {
	if conn.awaitsOnlyAbandoned() {
		c.close(now, conn, ConnectionLost, effects)
	}
}
