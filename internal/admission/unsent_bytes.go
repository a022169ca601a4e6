package admission

import "time"

// slowReaderBytes is the number of unsent bytes past which a connection is a candidate for closing as stuck.
const slowReaderBytes = 32 << 10

// ResponseReady records that bytes of a response became ready for a connection. They can't be written while an earlier
// response of the connection is not ready.
func (t *ConnectionTable) ResponseReady(id uint64, bytes int) {
	if c := t.connections[id]; c != nil {
		t.addUnsent(c, bytes)
	}
}

// WriteStarted records the start of a write of responses. From now on it depends on the client how long the unsent bytes
// of the connection stay.
func (t *ConnectionTable) WriteStarted(now Time, id uint64) {
	c := t.connections[id]
	if c == nil || c.isWriting {
		return
	}
	c.isWriting, c.writingSince = true, now
	t.writing += c.unsent
	t.classifyReader(c)
}

// WriteEnded records the end of the write that WriteStarted recorded: the client has read enough for bytes to be written.
func (t *ConnectionTable) WriteEnded(id uint64, bytes int) {
	c := t.connections[id]
	if c == nil || !c.isWriting {
		return
	}
	t.addUnsent(c, -bytes)
	c.isWriting = false
	t.writing -= c.unsent
	t.classifyReader(c)
}

func (t *ConnectionTable) addUnsent(c *connection, bytes int) {
	c.unsent += bytes
	t.unsent += bytes
	if c.isWriting {
		t.writing += bytes
	}
	t.classifyReader(c)
}

// classifyReader adds a connection to the slow readers or removes it from them.
func (t *ConnectionTable) classifyReader(c *connection) {
	if c.isWriting && c.unsent > slowReaderBytes {
		t.slowReaders[c.id] = c
	} else {
		delete(t.slowReaders, c.id)
	}
}

// UnsentBytes returns the bytes of unsent responses on all connections together.
func (t *ConnectionTable) UnsentBytes() int { return t.unsent }

// ReadersResumed counts the time of all writes in progress from now on. It is called after a pause of the process, in which clients may
// have read what the process did not see.
func (t *ConnectionTable) ReadersResumed(now Time) {
	for _, c := range t.connections {
		if c.isWriting {
			c.writingSince = now
		}
	}
}

// NextStuck marks for closing a connection whose client reads nothing, if all connections with a write in progress
// together have too many unsent bytes. The caller closes the connection at once. Its unsent bytes will never be written,
// so they no longer count.
func (t *ConnectionTable) NextStuck(now Time) (id uint64, found bool) {
	if t.policy.MaxUnsentBytes <= 0 || t.writing <= t.policy.MaxUnsentBytes {
		return 0, false
	}
	worst := t.longestStuck(now)
	if worst == nil {
		return 0, false
	}
	t.addUnsent(worst, -worst.unsent)
	if !worst.isClosing {
		t.markForClosing(worst)
	}
	return worst.id, true
}

// longestStuck returns the slow reader (a connection with more than slowReaderBytes unsent bytes) whose write has been in
// progress for the longest time. It returns nil if no slow reader has reached the stuck timeout.
func (t *ConnectionTable) longestStuck(now Time) (worst *connection) {
	timeout := t.stuckTimeout()
	for _, c := range t.slowReaders {
		if now-c.writingSince >= timeout && (worst == nil || isStuckLonger(c, worst)) {
			worst = c
		}
	}
	return worst
}

// stuckTimeout returns the policy's StuckTimeout, shortened as the unsent bytes exceed their bound: at twice the bound
// it is a quarter of StuckTimeout.
func (t *ConnectionTable) stuckTimeout() time.Duration {
	fraction := float64(t.policy.MaxUnsentBytes) / float64(t.writing)
	return time.Duration(float64(t.policy.StuckTimeout) * fraction * fraction)
}

func isStuckLonger(c, other *connection) bool {
	return c.writingSince < other.writingSince || c.writingSince == other.writingSince && c.id < other.id
}
