package upstream

import "time"

// dial starts to open a connection if the limits allow one more, and reports whether they do. The connection is for dialedFor
// alone, or for any waiting attempt if dialedFor is nil.
func (c *Core) dial(dialedFor *Attempt, effects *Effects) bool {
	if c.Connections() >= c.limits.MaxConnections || !c.budget.acquire(c, effects) {
		return false
	}
	c.dialing++
	effects.dial(&Conn{addr: c.addr, dialedFor: dialedFor}, c.addr)
	return true
}

// dialForWaiting opens a connection if more attempts wait than connections are being opened.
func (c *Core) dialForWaiting(effects *Effects) {
	if len(c.waiting) > c.dialing {
		c.dial(nil, effects)
	}
}

// DialCompleted tells the core whether a connection that was being opened is established.
func (c *Core) DialCompleted(now time.Time, conn *Conn, isEstablished bool, effects *Effects) {
	c.dialing--
	dialedFor := conn.dialedFor
	conn.dialedFor = nil
	if dialedFor != nil && dialedFor.abandoned {
		dialedFor = nil
	}
	if isEstablished {
		c.dialSucceeded(now, conn, dialedFor, effects)
	} else {
		c.dialFailed(now, conn, dialedFor, effects)
	}
}

func (c *Core) dialSucceeded(now time.Time, conn *Conn, dialedFor *Attempt, effects *Effects) {
	conn.Decoder = c.codec.NewDecoder()
	c.conns = append(c.conns, conn)
	isUsable := !c.isDraining && !c.isOutdated(conn)
	if dialedFor != nil && isUsable {
		c.enqueue(conn, dialedFor, effects)
	}
	c.serveNext(now, conn, effects)
	if dialedFor != nil && !isUsable {
		c.settle(now, conn, dialedFor, effects)
	}
}

// dialFailed ends the attempt that the connection was to be opened for. If there is no such attempt, it ends the one that has
// waited longest. A failure at a former address of the server ends none.
func (c *Core) dialFailed(now time.Time, conn *Conn, dialedFor *Attempt, effects *Effects) {
	c.budget.release(conn, effects)
	if c.isOutdated(conn) {
		c.dialForWaiting(effects)
		if dialedFor != nil {
			c.settle(now, conn, dialedFor, effects)
		}
		return
	}
	failed := dialedFor
	if failed == nil && len(c.waiting) > 0 {
		failed = c.popWaiting()
	}
	c.dialForWaiting(effects)
	if failed != nil {
		effects.reportOutcome(failed, ConnectFailed)
	}
}
