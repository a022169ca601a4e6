package admission

import "time"

// slowReaderBytes is the number of unsent bytes past which a connection is a candidate for closing as stuck.
const slowReaderBytes = 32 << 10

// AddUnsentBytes records that bytes of responses became ready for a connection or, if bytes is negative, were written.
func (t *ConnectionTable) AddUnsentBytes(now Time, id uint64, bytes int) {
	c := t.connections[id]
	if c == nil {
		return
	}
	if bytes < 0 || c.unsent == 0 {
		c.progressAt = now
	}
	c.unsent += bytes
	t.unsent += bytes
	if c.unsent > slowReaderBytes {
		t.slowReaders[id] = c
	} else {
		delete(t.slowReaders, id)
	}
}

// UnsentBytes returns the bytes of unsent responses on all connections together.
func (t *ConnectionTable) UnsentBytes() int { return t.unsent }

// NextStuck marks for closing a connection whose client reads nothing, if all connections together have too many unsent
// bytes. The caller closes the connection at once. Its unsent bytes will never be written, so they no longer count.
func (t *ConnectionTable) NextStuck(now Time) (id uint64, found bool) {
	if t.policy.MaxUnsentBytes <= 0 || t.unsent <= t.policy.MaxUnsentBytes {
		return 0, false
	}
	worst := t.longestStuck(now)
	if worst == nil {
		return 0, false
	}
	delete(t.slowReaders, worst.id)
	t.unsent -= worst.unsent
	worst.unsent = 0
	if !worst.isClosing {
		t.markForClosing(worst)
	}
	return worst.id, true
}

// longestStuck returns the slow reader (a connection with more than slowReaderBytes unsent bytes) that has made no
// progress for the longest time. It returns nil if no slow reader has reached the stuck timeout.
func (t *ConnectionTable) longestStuck(now Time) (worst *connection) {
	timeout := t.stuckTimeout()
	for _, c := range t.slowReaders {
		if now-c.progressAt >= timeout && (worst == nil || isStuckLonger(c, worst)) {
			worst = c
		}
	}
	return worst
}

// stuckTimeout returns the policy's StuckTimeout, shortened as the unsent bytes exceed their bound: at twice the bound
// it is a quarter of StuckTimeout.
func (t *ConnectionTable) stuckTimeout() time.Duration {
	fraction := float64(t.policy.MaxUnsentBytes) / float64(t.unsent)
	return time.Duration(float64(t.policy.StuckTimeout) * fraction * fraction)
}

func isStuckLonger(c, other *connection) bool {
	return c.progressAt < other.progressAt || c.progressAt == other.progressAt && c.id < other.id
}
