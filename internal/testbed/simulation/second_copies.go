package simulation

import "time"

// closeArrivesWithin is the time in which the end of a connection has reached the server for certain.
const closeArrivesWithin = 150 * time.Millisecond

// checkSecondCopy checks an attempt that has arrived on a connection. If second copies are not allowed, an earlier attempt for the same
// request may not be out on another connection that stays open.
func (w *world) checkSecondCopy(arrivedOn *serverConn, id string) {
	earlier := w.latestAttempt[id]
	w.latestAttempt[id] = arrivedOn
	if w.plan.Network.SecondCopies || earlier == nil || earlier == arrivedOn || !earlier.hasOut(id) {
		return
	}
	w.after(closeArrivesWithin, func() {
		if earlier.hasOut(id) {
			w.violation(InvariantSecondCopy, "%s is out on the open connection %d and came on connection %d", id, earlier.id, arrivedOn.id)
		}
	})
}

// hasOut reports whether a request waits for its response on the connection, and the connection is open as far as the server can know.
func (c *serverConn) hasOut(id string) bool {
	if c.stream.isClosed || c.stream.isUnresponsive {
		return false
	}
	for _, pending := range c.pending {
		if pending.id == id {
			return true
		}
	}
	return false
}
