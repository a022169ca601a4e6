package upstream

import (
	"slices"
	"time"
)

// maxReassignments bounds how often an attempt gets another connection. It matters if the server closes each connection as soon
// as it is established.
const maxReassignments = 3

// close closes a connection and settles its pending attempts. Those that are possibly executed end with the given outcome.
func (c *Core) close(now time.Time, conn *Conn, outcome Outcome, effects *Effects) {
	if conn.closed {
		return
	}
	conn.closed, conn.closeOutcome = true, outcome
	c.conns = removeFrom(c.conns, conn)
	c.idle = removeFrom(c.idle, conn)
	effects.closeConnection(conn)
	c.releaseMemory(conn)
	c.budget.release(conn, effects)
	pending := conn.pending
	conn.pending, conn.unwritten = nil, nil
	if conn.writing != nil && slices.Contains(pending, conn.writing) {
		conn.pending = []*Attempt{conn.writing} // WriteCompleted settles this attempt, once it is known whether its last byte was written
	}
	c.dialForWaiting(effects) // the end of this connection may allow one for the waiting attempts
	for _, attempt := range pending {
		if attempt != conn.writing {
			c.settle(now, conn, attempt, effects)
		}
	}
}

// settle ends an attempt whose connection has closed, or assigns the attempt to another connection if nothing of it was written.
func (c *Core) settle(now time.Time, conn *Conn, attempt *Attempt, effects *Effects) {
	attempt.conn = nil
	switch {
	case attempt.abandoned:
	case attempt.possiblyExecuted:
		effects.reportOutcome(attempt, conn.closeOutcome)
	case attempt.writeStarted:
		effects.reportOutcome(attempt, WriteInterrupted)
	case c.isDraining:
		effects.reportOutcome(attempt, ServerDraining)
	case attempt.reassignments == maxReassignments:
		effects.reportOutcome(attempt, ConnectFailed)
	default: // not one byte of the attempt was written
		attempt.reassignments++
		if outcome, ok := c.assign(now, attempt, effects); !ok {
			effects.reportOutcome(attempt, outcome)
		}
	}
}
