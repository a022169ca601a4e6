package upstream

import "time"

// Abandon gives an attempt up, so that its outcome is not reported. It returns whether the attempt may have been executed. If
// only abandoned attempts await responses on its connection, the connection is closed, which tells the server.
func (c *Core) Abandon(now time.Time, attempt *Attempt, effects *Effects) (possiblyExecuted bool) {
	attempt.abandoned = true
	c.dequeue(now, attempt, effects)
	return attempt.possiblyExecuted
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
