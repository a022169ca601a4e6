package upstream

import "time"

// Abandon gives an attempt up: its outcome is not reported. It reports whether the attempt may have been executed. The connection is
// closed, which tells the server, unless other attempts wait for responses on it.
func (c *Core) Abandon(now time.Time, attempt *Attempt, effects *Effects) (possiblyExecuted bool) {
	attempt.abandoned = true
	c.dequeue(now, attempt, effects)
	return attempt.possiblyExecuted
}

// Withdraw abandons an attempt if nothing of it was written, and reports whether it did.
func (c *Core) Withdraw(now time.Time, attempt *Attempt, effects *Effects) bool {
	if attempt.writeStarted || attempt.abandoned {
		return false
	}
	c.Abandon(now, attempt, effects)
	return true
}

// dequeue takes an attempt of which nothing was written out of whatever it waits in.
func (c *Core) dequeue(now time.Time, attempt *Attempt, effects *Effects) {
	c.waiting = removeFrom(c.waiting, attempt)
	conn := attempt.conn
	if conn == nil {
		return
	}
	if conn.removeUnwritten(attempt) { // not one byte of it was written, and none will be
		attempt.conn = nil
	}
	c.closeIfUnwanted(now, conn, effects)
	c.serveNext(now, conn, effects)
}

// closeIfUnwanted closes a connection on which only responses to abandoned attempts are awaited.
func (c *Core) closeIfUnwanted(now time.Time, conn *Conn, effects *Effects) {
	if conn.awaitsOnlyAbandoned() {
		c.close(now, conn, ConnectionLost, effects)
	}
}
