package upstream

import (
	"slices"
	"time"
)

// A response carries no id. The attempt that it belongs to follows from the order of the attempts on the connection, as long as each
// attempt before it has got a response too. A server may drop an attempt without one when little of the attempt's time is left
// (Limits.DroppedWithin). So nothing is put behind such an attempt, and responses that come while one is ahead are held until it is
// certain whose they are.

// mayBeDropped reports whether the server may have dropped the attempt without a response by now.
func (c *Core) mayBeDropped(now time.Time, attempt *Attempt) bool {
	return attempt.isOverdue(now) || attempt.isOverdue(now.Add(c.limits.DroppedWithin))
}

// mayBeFollowed reports whether another attempt may be put behind those of a connection. None is put behind one that may be dropped,
// nor behind one that must not run twice: if the other attempt is abandoned, the connection may have to be closed.
func (c *Core) mayBeFollowed(now time.Time, conn *Conn) bool {
	return !slices.ContainsFunc(conn.pending, func(ahead *Attempt) bool {
		return ahead.NeedsNewConnection || c.mayBeDropped(now, ahead)
	})
}

// deliverHeld gives the held responses of a connection to their attempts, as far as it is certain which ones these are.
func (c *Core) deliverHeld(now time.Time, conn *Conn, effects *Effects) {
	delivered := 0
	for ; delivered < len(conn.held) && c.isAttributable(now, conn, delivered); delivered++ {
		c.deliverTo(conn.popPending(), conn.held[delivered], effects)
	}
	conn.held = slices.Delete(conn.held, 0, delivered)
	if len(conn.held) > 0 && conn.pending[0].abandoned {
		c.close(now, conn, Displaced, effects) // nobody waits for the responses that would make it certain
	}
}

// isAttributable reports whether the first held response after those that are delivered belongs to the first pending attempt for
// certain. It does if the server can't have dropped that attempt, or if as many responses are held as attempts were written: then none
// was dropped.
func (c *Core) isAttributable(now time.Time, conn *Conn, delivered int) bool {
	return !c.mayBeDropped(now, conn.pending[0]) || len(conn.held)-delivered == conn.written()
}

// deliverTo reports a response as the outcome of an attempt. The response to an abandoned attempt is dropped.
func (c *Core) deliverTo(attempt *Attempt, response Response, effects *Effects) {
	response.MemoryWait = attempt.memoryWait
	if attempt.abandoned {
		c.memory.Release(response.ReservedMemory)
		return
	}
	effects.report(attempt, response)
}
