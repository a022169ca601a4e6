package admission

import "time"

// slowReaderBytes is how many bytes may be unsent at a connection without its being a candidate for closing.
const slowReaderBytes = 32 << 10

// AddUnsentBytes reports that bytes of responses became ready for a connection or, below 0, were written to it.
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

// NextStuck gives up a connection that reads nothing while too many bytes are unsent at all together. The caller closes
// it at once: what is unsent will never be written, and is not counted any more.
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
		t.giveUp(worst)
	}
	return worst.id, true
}

// longestStuck returns the slow reader without progress for longest, if that is longer than the stuck timeout, or nil.
func (t *ConnectionTable) longestStuck(now Time) (worst *connection) {
	timeout := t.stuckTimeout()
	for _, c := range t.slowReaders {
		if now-c.progressAt >= timeout && (worst == nil || isStuckLonger(c, worst)) {
			worst = c
		}
	}
	return worst
}

// stuckTimeout returns the policy's timeout, shorter the more is unsent: at twice the bound a quarter of it is left.
func (t *ConnectionTable) stuckTimeout() time.Duration {
	fraction := float64(t.policy.MaxUnsentBytes) / float64(t.unsent)
	return time.Duration(float64(t.policy.StuckTimeout) * fraction * fraction)
}

func isStuckLonger(c, other *connection) bool {
	return c.progressAt < other.progressAt || c.progressAt == other.progressAt && c.id < other.id
}
