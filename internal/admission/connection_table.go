package admission

// ConnectionTable decides which connections of a listener are kept. Idle connections of one stage and interval class
// wait in the order in which they became idle, so the next to expire is always at the head of one of a few queues: an
// event costs the same however many connections there are, and the table is never scanned.
//
// It closes nothing itself: ExpireIdle, Admit and NextStuck give connections up, and the caller closes them and calls
// Closed, or Retain for one that turns out not to be idle.
type ConnectionTable struct {
	policy      ConnectionPolicy
	connections map[uint64]*connection
	queues      [numQueues]idleQueue // see queueIndex
	closing     int                  // connections that were given up and are not closed yet
	unsent      int                  // bytes of responses, at all connections together
	slowReaders map[uint64]*connection
	growth      growthRate
}

// numQueues is one queue for each stage, and for regular connections one for each interval class.
const numQueues = int(numStages) + intervalClasses

// NewConnectionTable returns an empty table.
func NewConnectionTable(policy ConnectionPolicy) *ConnectionTable {
	return &ConnectionTable{
		policy:      policy,
		connections: map[uint64]*connection{},
		slowReaders: map[uint64]*connection{},
	}
}

// SetCapacity changes the number of connections that there may be. A table with more admits none until enough are
// closed.
func (t *ConnectionTable) SetCapacity(maxConnections int) { t.policy.MaxConnections = maxConnections }

// Capacity returns the number of connections that there may be.
func (t *ConnectionTable) Capacity() int { return t.policy.MaxConnections }

// Len returns the number of connections, with those that were given up and are not closed yet.
func (t *ConnectionTable) Len() int { return len(t.connections) }

// Stage returns what a connection has shown.
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

// PartialCommand reports that part of a command was received. Further parts of the same command change nothing.
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

// CommandReceived reports a complete command; the connection is not idle until its response is written.
func (t *ConnectionTable) CommandReceived(now Time, id uint64, kind Command) {
	c := t.connections[id]
	if c == nil {
		return
	}
	c.unlink()
	c.recordCommand(now, kind)
}

// ResponsesWritten reports that a number of responses were written.
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
	delete(t.slowReaders, id)
	t.unsent -= c.unsent
	if c.isClosing {
		t.closing--
	}
	t.growth.record(now, -1)
}

// Retain takes back that a connection was given up: it is not idle. Its timeout counts from when it did before.
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

// enqueue puts an idle connection at its place among the others, unless it was given up.
func (t *ConnectionTable) enqueue(c *connection) {
	c.unlink()
	if c.isClosing {
		return
	}
	c.stage = c.currentStage()
	t.queues[queueIndex(c)].push(c)
}

// queueIndex returns the queue of a connection: that of its stage or, for a regular one, of its interval class.
func queueIndex(c *connection) int {
	if c.stage != StageRegular {
		return int(c.stage)
	}
	return int(numStages) + intervalClass(c.meanInterval)
}

// giveUp marks a connection as one that the caller closes, and returns its id.
func (t *ConnectionTable) giveUp(c *connection) uint64 {
	c.unlink()
	c.isClosing = true
	t.closing++
	return c.id
}
