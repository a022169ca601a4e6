package listener

import (
	"slices"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/request"
)

// Core decides for the connections of clients: what a command means, in which order responses are written, how many commands may wait,
// and which connections are closed. It has no clock, sockets or goroutines: its calls take the time and collect the effects to be
// carried out. It is not safe for concurrent use.
type Core struct {
	// Reply is called with the final response to a request, by whoever gives it; the shell passes it to Respond.
	Reply func(*Conn, *ResponseSlot, request.Response)

	classes map[string]bool
	tenants map[string]string // each under its own name: a request must not keep its command in memory for the name
	limits  Limits
	count   *counters.Counters

	start             time.Time // of the connection table's time
	pause             pauseTracker
	table             *admission.ConnectionTable // of the open connections; lingering ones are not in it
	maxConnections    int
	conns             map[uint64]*Conn // the open ones by id
	lingering         []*Conn          // in the order of their deadlines
	lastID            uint64
	capacityExhausted int64 // how often a connection had to wait for capacity

	isDraining    bool
	drainDeadline time.Time // while draining: when connections with an incomplete command are closed
}

// NewCore returns a core. classes are the classes of requests that exist: a request of another class is answered with an error. A
// request of a tenant that is not among tenants has no tenant.
func NewCore(now time.Time, classes, tenants []string, limits Limits, count *counters.Counters) *Core {
	core := &Core{classes: map[string]bool{}, tenants: map[string]string{}, limits: limits, count: count,
		maxConnections: limits.MaxConnections, conns: map[uint64]*Conn{}, start: now,
		table: admission.NewConnectionTable(connectionPolicy(limits))}
	for _, class := range classes {
		core.classes[class] = true
	}
	for _, tenant := range tenants {
		core.tenants[tenant] = tenant
	}
	return core
}

// tableTime converts a time to the connection table's.
func (c *Core) tableTime(now time.Time) admission.Time { return now.Sub(c.start) }

// Accepted takes a connection that a client opened, at waitingSince or later: now, unless connections had to wait to be accepted.
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

// HasCapacity reports whether one more connection may be accepted. If not, it closes one that may be closed for it.
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

// Usage returns how many connections there are, lingering ones among them, and how often one more had to wait for capacity.
func (c *Core) Usage() (used int, exhausted int64) {
	return c.table.Len() + len(c.lingering), c.capacityExhausted
}

// SetMaxConnections changes how many connections there may be.
func (c *Core) SetMaxConnections(n int, effects *Effects) {
	c.maxConnections = n
	c.table.SetCapacity(maxOpen(n))
	effects.capacityAvailable()
}

// BytesReceived says that the shell put n bytes into the connection's ReadBuffer.
func (c *Core) BytesReceived(now time.Time, conn *Conn, n int, effects *Effects) {
	if conn.isClosed {
		return
	}
	conn.framing.bytesRead(n)
	c.decode(now, conn, effects)
	c.closeIfDone(now, conn, effects)
}

// Resume goes on with what a paused connection has already sent.
func (c *Core) Resume(now time.Time, conn *Conn, effects *Effects) {
	c.decode(now, conn, effects)
	c.closeIfDone(now, conn, effects)
}

// closeIfDone closes a connection that is to be closed if nothing is owed on it and no command has begun.
func (c *Core) closeIfDone(now time.Time, conn *Conn, effects *Effects) {
	if conn.closeAfterResponses && len(conn.slots) == 0 && !conn.framing.hasPartialCommand() {
		c.closeUnlessUnread(now, conn, effects)
	}
}

// ConnectionEnded says that the client closed the connection, or that it broke.
func (c *Core) ConnectionEnded(now time.Time, conn *Conn, effects *Effects) {
	if conn.IsLingering() {
		c.endLingering(conn, effects)
		return
	}
	c.close(now, conn, EndedByClient, effects)
}

// finish closes a connection once everything that is owed on it is written.
func (c *Core) finish(now time.Time, conn *Conn, reason EndReason, effects *Effects) {
	if !conn.closeAfterResponses || reason == EndedByDrain {
		conn.closeAfterResponses, conn.endReason = true, reason
	}
	if len(conn.slots) == 0 {
		c.closeUnlessUnread(now, conn, effects)
	}
}

// closeUnlessUnread closes a connection on which nothing is owed, unless a command came that is not read yet, or that is read and not
// decoded: its client would wait for the response in vain. A process that did not run for a while sees its timers before the bytes.
func (c *Core) closeUnlessUnread(now time.Time, conn *Conn, effects *Effects) {
	switch {
	case conn.isFramingBroken || conn.endReason == EndedByQuit: // nothing more is owed
		c.closeInOrder(now, conn, effects)
	case conn.isPaused: // what is read may hold commands
		effects.add(ResumeReading, conn, nil)
	case !conn.isClosed && !conn.isCheckingUnread:
		conn.isCheckingUnread = true
		effects.add(CheckUnread, conn, nil)
	}
}

// UnreadChecked says whether bytes of a connection came that are not read. The caller is whoever reads the connection, so that no bytes
// are on their way to the core.
func (c *Core) UnreadChecked(now time.Time, conn *Conn, hasUnread bool, effects *Effects) {
	conn.isCheckingUnread = false
	switch {
	case conn.isClosed || !conn.closeAfterResponses:
	case len(conn.slots) == 0 && !conn.isPaused && (!hasUnread || c.isCheckedEnough(now, conn)):
		c.closeInOrder(now, conn, effects)
	case conn.endReason != EndedByDrain: // it is not idle after all
		conn.closeAfterResponses = false
		c.table.Retain(conn.id)
		effects.capacityAvailable()
	}
}

// isCheckedEnough reports whether a connection is closed though its client goes on sending: past the drain's deadline it is kept open
// once more.
func (c *Core) isCheckedEnough(now time.Time, conn *Conn) bool {
	if !c.isDraining || now.Before(c.drainDeadline) {
		return false
	}
	isLast := conn.hasLastCheck
	conn.hasLastCheck = true
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

// closeInOrder closes a connection whose client may still read: it lingers until the client has closed it too.
func (c *Core) closeInOrder(now time.Time, conn *Conn, effects *Effects) {
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
	conn.end = End{ConnectionID: conn.id, Reason: conn.endReason, Owed: conn.owedRequests()}
	effects.add(ReportEnd, conn, nil)
	c.countEnd(conn.endReason)
	delete(c.conns, conn.id)
	c.table.Closed(c.tableTime(now), conn.id)
}

// countEnd counts a connection that the node has ended.
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

// cancelRequests tells the requests that wait for their responses that their client has disconnected. It ends the closing of a
// connection.
func (c *Core) cancelRequests(conn *Conn, effects *Effects) {
	for _, slot := range conn.slots {
		if slot.request != nil && !slot.isReady {
			slot.request.Cancel()
			effects.add(ClientDisconnected, conn, slot.request)
		}
	}
	conn.slots = nil
	effects.capacityAvailable()
}

// endLingering closes a lingering connection for good.
func (c *Core) endLingering(conn *Conn, effects *Effects) {
	conn.lingerDeadline = time.Time{}
	c.lingering = slices.DeleteFunc(c.lingering, func(other *Conn) bool { return other == conn })
	effects.add(CloseConnection, conn, nil)
	effects.capacityAvailable()
}
