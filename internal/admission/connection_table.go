package admission

// ConnectionTable decides which connections of a listener are kept. There is a queue of idle connections for each
// stage; connections with several requests have a queue for each class of the interval between requests. A queue is in
// the order in which its connections became idle, so the next connection to expire is always at the head of one of a
// few queues. The cost of an event does not depend on the number of connections, and the table is never scanned.
//
// The table closes no connection itself: ExpireIdle, Admit and NextStuck mark connections for closing. The caller closes
// them and calls Closed, or Retain for a connection that turns out not to be idle.
type ConnectionTable struct {
	policy      ConnectionPolicy
	connections map[uint64]*connection
	queues      [numQueues]idleQueue // queues of idle connections; see queueIndex
	closing     int                  // number of connections that are marked for closing and not closed yet
	unsent      int                  // bytes of unsent responses, on all connections together
	writing     int                  // bytes of unsent responses, on all connections with a write in progress together
	slowReaders map[uint64]*connection
	growth      growthRate
}

// numQueues is the number of queues: one for each stage, and one for each interval class: a range of the interval
// between requests. The queue of StageRegular stays empty, as regular connections are in the queues of their interval
// classes.
const numQueues = int(numStages) + intervalClasses

// NewConnectionTable returns an empty table.
func NewConnectionTable(policy ConnectionPolicy) *ConnectionTable {
	return &ConnectionTable{
		policy:      policy,
		connections: map[uint64]*connection{},
		slowReaders: map[uint64]*connection{},
	}
}

// SetCapacity changes the maximum number of connections. A table that holds more admits none until enough are closed.
func (t *ConnectionTable) SetCapacity(maxConnections int) { t.policy.MaxConnections = maxConnections }

// Capacity returns the maximum number of connections.
func (t *ConnectionTable) Capacity() int { return t.policy.MaxConnections }

// Len returns the number of connections, including those that are marked for closing and not closed yet.
func (t *ConnectionTable) Len() int { return len(t.connections) }

// Stage returns the stage of a connection, as of when it last became idle.
func (t *ConnectionTable) Stage(id uint64) Stage {
	if c := t.connections[id]; c != nil {
		return c.stage
	}
	return StageNew
}

// Accepted adds a connection.
func (t *ConnectionTable) Accepted(now Time, id uint64) {
	t.growth.record(now, 1)
	c := &connection{id: id, idleSince: now, stage: StageNew}
	t.connections[id] = c
	t.enqueue(c)
}

// PartialCommand records that part of a command was received. Further parts of the same command change nothing.
func (t *ConnectionTable) PartialCommand(now Time, id uint64) {
	c := t.connections[id]
	if c == nil || c.hasPartial {
		return
	}
	c.hasPartial = true
	if c.openCommands == 0 {
		c.idleSince = now
		t.enqueue(c)
	}
}

// ReadingPaused records that the node does not read a connection for lack of memory. The connection is not idle until
// ReadingResumed is called: what its client has sent may be waiting to be read.
func (t *ConnectionTable) ReadingPaused(id uint64) {
	if c := t.connections[id]; c != nil {
		c.isUnread = true
		c.unlink()
	}
}

// ReadingResumed records that a connection is read again. A client that has sent part of a command has as long for the
// rest as if that part had arrived now.
func (t *ConnectionTable) ReadingResumed(now Time, id uint64) {
	c := t.connections[id]
	if c == nil || !c.isUnread {
		return
	}
	c.isUnread = false
	if c.openCommands == 0 {
		c.idleSince = now
		t.enqueue(c)
	}
}

// CommandReceived records a complete command. The connection is not idle until the response is written.
func (t *ConnectionTable) CommandReceived(now Time, id uint64, kind Command) {
	c := t.connections[id]
	if c == nil {
		return
	}
	c.unlink()
	c.recordCommand(now, kind)
}

// ResponsesWritten records that a number of responses were written.
func (t *ConnectionTable) ResponsesWritten(now Time, id uint64, responses int) {
	c := t.connections[id]
	if c == nil {
		return
	}
	c.openCommands = max(0, c.openCommands-responses)
	if c.openCommands == 0 {
		c.idleSince = now
		t.enqueue(c)
	}
}

// Closed removes a connection.
func (t *ConnectionTable) Closed(now Time, id uint64) {
	c := t.connections[id]
	if c == nil {
		return
	}
	c.unlink()
	delete(t.connections, id)
	t.addUnsent(c, -c.unsent)
	if c.isClosing {
		t.closing--
	}
	t.growth.record(now, -1)
}

// Retain unmarks a connection that was marked for closing but turned out not to be idle. The beginning of its idle time
// does not change.
func (t *ConnectionTable) Retain(id uint64) {
	c := t.connections[id]
	if c == nil || !c.isClosing {
		return
	}
	c.isClosing = false
	t.closing--
	if c.openCommands == 0 {
		t.enqueue(c)
	}
}

// enqueue puts an idle connection into the queue that queueIndex gives, unless the connection is marked for closing or is
// not read.
func (t *ConnectionTable) enqueue(c *connection) {
	c.unlink()
	if c.isClosing || c.isUnread {
		return
	}
	c.stage = c.currentStage()
	t.queues[queueIndex(c)].push(c)
}

// queueIndex returns the index of a connection's queue: the queue of its stage or, for a regular connection, of the
// class of its mean interval between requests.
func queueIndex(c *connection) int {
	if c.stage != StageRegular {
		return int(c.stage)
	}
	return int(numStages) + intervalClass(c.meanInterval)
}

// markForClosing marks a connection that the caller has to close, takes it out of its queue, and returns its id.
func (t *ConnectionTable) markForClosing(c *connection) uint64 {
	c.unlink()
	c.isClosing = true
	t.closing++
	return c.id
}
