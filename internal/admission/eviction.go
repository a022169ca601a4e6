package admission

import "time"

// newConnectionGrace is how long a newly accepted connection is safe from eviction, as it is probably about to send a
// command.
const newConnectionGrace = 100 * time.Millisecond

// Admit reports whether one more connection may be accepted. If the table is full, Admit marks for closing the idle
// connection that has used up the largest fraction of the idle timeout that it has in a crowded table. victim is the id
// of that connection, and found is true. found is false if no connection can be evicted, or if a connection that was
// marked for closing earlier is not closed yet.
func (t *ConnectionTable) Admit(now Time) (ok bool, victim uint64, found bool) {
	if t.Len() < t.policy.MaxConnections {
		return true, 0, false
	}
	if t.closing > 0 {
		return false, 0, false
	}
	worst := t.evictionCandidate(now)
	if worst == nil {
		return false, 0, false
	}
	return false, t.markForClosing(worst), true
}

// evictionCandidate returns the idle connection that has used up the largest fraction of the idle timeout that it has
// in a crowded table. It returns nil if no connection may be evicted.
func (t *ConnectionTable) evictionCandidate(now Time) (worst *connection) {
	largest := 0.0
	for i := range t.queues {
		head := t.queues[i].head
		if head == nil || head.stage == StageNew && now-head.idleSince < newConnectionGrace {
			continue
		}
		fraction := float64(now-head.idleSince) / float64(t.idleTimeout(i, 1))
		if worst == nil || fraction > largest {
			worst, largest = head, fraction
		}
	}
	return worst
}
