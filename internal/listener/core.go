package listener

import (
	"slices"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/request"
)

// Core makes the decisions about client connections: what a command means, in which order responses are written, how many commands
// may wait, and which connections are closed. It has no clock, sockets or goroutines: its methods take the current time and collect
// the effects that the shell carries out. It is not safe for concurrent use.
type Core struct {
	// The code that answers a request calls Reply with the final response. The shell sets Reply to a function that passes the
	// response to Respond.
	Reply func(*Conn, *ResponseSlot, request.Response)

	classes map[string]bool
	tenants map[string]string // maps each name to itself: a request refers to this copy of the name and not to the bytes of the command
	limits  Limits
	count   *counters.Counters

	start             time.Time // time zero of the connection table's clock
	pause             pauseTracker
	processor         admission.ProcessorBudget
	turns             turnQueue
	table             *admission.ConnectionTable // decides which connections are kept; holds the open connections, not the lingering ones
	maxConnections    int
	conns             map[uint64]*Conn // the open connections by id
	longArguments     []*Conn          // connections that read a long argument, or wait for its memory, in the order in which they began
	lingering         []*Conn          // connections that have ended but are still read for a while, earliest deadline first
	lastID            uint64
	capacityExhausted int64 // number of times that a connection had to wait for capacity

	isDraining    bool
	drainDeadline time.Time // while draining: the time up to which connections with a partial command stay open
}

// NewCore returns a core. A request whose class is not among classes is answered with an error. A request whose tenant is not among
// tenants is handled without a tenant.
func NewCore(now time.Time, classes, tenants []string, limits Limits, count *counters.Counters) *Core {
	core := &Core{classes: map[string]bool{}, tenants: map[string]string{}, limits: limits, count: count,
		maxConnections: limits.MaxConnections, conns: map[uint64]*Conn{}, start: now,
		table:     admission.NewConnectionTable(connectionPolicy(limits)),
		processor: admission.ProcessorBudget{Share: limits.ProcessorShare, Burst: limits.ProcessorBurst},
		turns:     turnQueue{waited: count.Register("listener_turns_waited")}}
	for _, class := range classes {
		core.classes[class] = true
	}
	for _, tenant := range tenants {
		core.tenants[tenant] = tenant
	}
	return core
}

// tableTime converts a time to the clock of the connection table.
func (c *Core) tableTime(now time.Time) admission.Time { return now.Sub(c.start) }

// Accepted adds a new connection, which its client opened at waitingSince or later. waitingSince is now, unless connections had to
// wait to be accepted.
func (c *Core) Accepted(now, waitingSince time.Time) *Conn {
	c.lastID++
	conn := newConn(c.lastID)
	conn.accepted(now, c.pause.earliestArrival(waitingSince))
	conn.closeAfterResponses, conn.endReason = c.isDraining, EndedByDrain
	c.conns[conn.id] = conn
	c.table.Accepted(c.tableTime(now), conn.id)
	c.count.Accepted.Add(1)
	return conn
}

// HasCapacity reports whether one more connection may be accepted. If not, it closes an idle connection to make space, if there is
// one that may be closed. While draining it always returns true.
func (c *Core) HasCapacity(now time.Time, effects *Effects) bool {
	hasCapacity, victim, hasVictim := c.table.Admit(c.tableTime(now))
	if !hasCapacity {
		c.capacityExhausted++
	}
	if hasVictim {
		c.finish(now, c.conns[victim], EndedForCapacity, effects)
	}
	return hasCapacity || c.isDraining
}

// Usage returns the number of connections, including the lingering ones, and how often a new connection had to wait for capacity.
func (c *Core) Usage() (used int, exhausted int64) {
	return c.table.Len() + len(c.lingering), c.capacityExhausted
}

// UnsentBytes returns the bytes of the responses that are not written to their clients yet.
func (c *Core) UnsentBytes() int { return c.table.UnsentBytes() }

// SetMaxConnections changes the maximum number of connections.
func (c *Core) SetMaxConnections(n int, effects *Effects) {
	c.maxConnections = n
	c.table.SetCapacity(maxOpen(n))
	effects.capacityAvailable()
}

// BytesReceived handles n bytes that the shell has read into the connection's ReadBuffer.
func (c *Core) BytesReceived(now time.Time, conn *Conn, n int, effects *Effects) {
	if conn.isClosed {
		return
	}
	conn.commands.bytesRead(n)
	c.decode(now, conn, effects)
	c.closeIfDone(now, conn, effects)
}

// Resume continues to decode the bytes that were read from a connection before it was paused.
func (c *Core) Resume(now time.Time, conn *Conn, effects *Effects) {
	c.decode(now, conn, effects)
	c.closeIfDone(now, conn, effects)
}

// closeIfDone closes a connection for which closeAfterResponses is set, once it has neither a pending response nor a partial
// command.
func (c *Core) closeIfDone(now time.Time, conn *Conn, effects *Effects) {
	if conn.closeAfterResponses && len(conn.slots) == 0 && !conn.commands.hasPartialCommand() {
		c.closeUnlessUnread(now, conn, effects)
	}
}

// ConnectionEnded handles a connection that the client has closed, or that has failed.
func (c *Core) ConnectionEnded(now time.Time, conn *Conn, effects *Effects) {
	if conn.IsLingering() {
		c.endLingering(conn, effects)
		return
	}
	c.close(now, conn, EndedByClient, effects)
}

// finish closes a connection once all of its pending responses are written.
func (c *Core) finish(now time.Time, conn *Conn, reason EndReason, effects *Effects) {
	if !conn.closeAfterResponses || reason == EndedByDrain {
		conn.closeAfterResponses, conn.endReason = true, reason
	}
	if len(conn.slots) == 0 {
		c.closeUnlessUnread(now, conn, effects)
	}
}

// closeUnlessUnread closes a connection without pending responses, unless a command may have arrived that is not read or not
// decoded yet: the client would never get a response to it. Such commands exist after a pause of the process, which sees expired
// timers before the bytes that arrived during the pause.
func (c *Core) closeUnlessUnread(now time.Time, conn *Conn, effects *Effects) {
	switch {
	case conn.isFramingBroken || conn.endReason == EndedByQuit: // later commands get no response anyway, so unread bytes do not matter
		c.closeGracefully(now, conn, effects)
	case conn.isWaitingForTurn: // the turn resumes the reading
	case conn.isPaused: // the bytes that were already read may hold commands, which are decoded first
		effects.add(ResumeReading, conn, nil)
	case !conn.isClosed && !conn.isCheckingUnread:
		conn.isCheckingUnread = true
		effects.add(CheckUnread, conn, nil)
	}
}

// ClosesUnlessUnread reports whether UnreadChecked closes a connection if no unread bytes have arrived. The shell then closes the
// sending side in the same moment in which it finds none: between a check and a later close, a request could arrive.
func (c *Core) ClosesUnlessUnread(conn *Conn) bool {
	return !conn.isClosed && conn.closeAfterResponses && len(conn.slots) == 0 && !conn.isPaused && !c.hasBegunCommand(conn)
}

// UnreadChecked handles the result of a CheckUnread effect: hasUnread reports whether bytes have arrived that are not read yet. It
// must be called by the goroutine that reads the connection, so that no bytes are between the socket and the core, and without any
// other call of the core after ClosesUnlessUnread.
func (c *Core) UnreadChecked(now time.Time, conn *Conn, hasUnread bool, effects *Effects) {
	conn.isCheckingUnread = false
	closesUnlessUnread := c.ClosesUnlessUnread(conn)
	hasUnread = hasUnread || c.hasBegunCommand(conn)
	switch {
	case conn.isClosed || !conn.closeAfterResponses:
	case closesUnlessUnread && !hasUnread, len(conn.slots) == 0 && !conn.isPaused && c.mayCloseDespiteUnread(now, conn):
		c.closeGracefully(now, conn, effects)
	case conn.endReason != EndedByDrain: // the connection was to be closed as idle, but has unread bytes or a pending response
		conn.closeAfterResponses = false
		c.table.Retain(conn.id)
		effects.capacityAvailable()
	}
}

// hasBegunCommand reports whether part of a command has arrived since a connection was to be closed as idle.
func (c *Core) hasBegunCommand(conn *Conn) bool {
	wasIdle := conn.endReason != EndedByDrain && c.table.Stage(conn.id) != admission.StagePartialCommand
	return wasIdle && conn.commands.hasPartialCommand()
}

// mayCloseDespiteUnread reports whether a connection may be closed although unread bytes have arrived. Until the drain deadline,
// a connection is kept open as long as its client sends. Past the deadline, it is kept open only once.
func (c *Core) mayCloseDespiteUnread(now time.Time, conn *Conn) bool {
	if !c.isDraining || now.Before(c.drainDeadline) {
		return false
	}
	isLast := conn.wasKeptPastDeadline
	conn.wasKeptPastDeadline = true
	return isLast
}

// close closes a connection at once.
func (c *Core) close(now time.Time, conn *Conn, reason EndReason, effects *Effects) {
	if conn.isClosed {
		return
	}
	conn.endReason = reason
	c.remove(now, conn, effects)
	effects.add(CloseConnection, conn, nil)
	c.cancelRequests(conn, effects)
}

// closeGracefully closes a connection whose client may still read responses. The connection then lingers: it is still read until
// the client has closed it too, or until its linger deadline.
func (c *Core) closeGracefully(now time.Time, conn *Conn, effects *Effects) {
	if conn.isClosed {
		return
	}
	c.remove(now, conn, effects)
	conn.lingerDeadline = now.Add(lingerTimeout)
	c.lingering = append(c.lingering, conn)
	effects.add(HalfClose, conn, nil)
	if len(c.lingering) > maxLingering(c.maxConnections) {
		c.endLingering(c.lingering[0], effects)
	}
	c.cancelRequests(conn, effects)
}

func (c *Core) remove(now time.Time, conn *Conn, effects *Effects) {
	conn.isClosed = true
	conn.end = End{ConnectionID: conn.id, Reason: conn.endReason, Owed: conn.unansweredRequests(), At: now}
	effects.add(ReportEnd, conn, nil)
	c.countEnd(conn.endReason)
	c.endTurnWait(now, conn)
	delete(c.conns, conn.id)
	c.table.Closed(c.tableTime(now), conn.id)
}

// countEnd counts a connection that the node closed because of one of its limits.
func (c *Core) countEnd(reason EndReason) {
	switch reason {
	case EndedIdle:
		c.count.ClosedIdle.Add(1)
	case EndedWithoutCommand:
		c.count.ClosedWithoutCommand.Add(1)
	case EndedForCapacity:
		c.count.ClosedForCapacity.Add(1)
	case EndedStuck:
		c.count.ClosedStuck.Add(1)
	}
}

// cancelRequests cancels the unanswered requests of a connection and tells the handler that their client has disconnected. It is the
// last step of closing a connection.
func (c *Core) cancelRequests(conn *Conn, effects *Effects) {
	for _, slot := range conn.slots {
		switch {
		case slot.request == nil || slot.isReady:
		case slot.isWithheld:
			c.limits.RequestMemory.Release(slot.request.CommandMemory)
		default:
			slot.request.Cancel()
			effects.add(ClientDisconnected, conn, slot.request)
		}
	}
	c.releaseSlots(conn.slots)
	c.releaseForNext(conn)
	c.abandonCommand(conn)
	conn.slots = nil
	effects.capacityAvailable()
}

// endLingering closes the socket of a lingering connection.
func (c *Core) endLingering(conn *Conn, effects *Effects) {
	conn.lingerDeadline = time.Time{}
	c.lingering = slices.DeleteFunc(c.lingering, func(other *Conn) bool { return other == conn })
	effects.add(CloseConnection, conn, nil)
	effects.capacityAvailable()
}
