package admission

import "time"

// newConnectionGrace is how long a connection that has just been accepted is not evicted: it is about to send a command.
const newConnectionGrace = 100 * time.Millisecond

// Admit reports whether one more connection may be accepted. Where the table is full it evicts an idle connection, the
// one that has used up the largest part of its short idle timeout: found is true and victim is its id. There may be none
// that can be evicted, or one that was given up may still have to be closed.
func (t *ConnectionTable) Admit(now Time) (ok bool, victim uint64, found bool) {
	if t.Len() < t.policy.MaxConnections {
		return true, 0, false
	}
	if t.closing > 0 {
		return false, 0, false
	}
	worst := t.mostOverdue(now)
	if worst == nil {
		return false, 0, false
	}
	return false, t.giveUp(worst), true
}

// mostOverdue returns the idle connection that has used up the largest part of its short idle timeout, or nil.
func (t *ConnectionTable) mostOverdue(now Time) (worst *connection) {
	largest := 0.0
	for i := range t.queues {
		head := t.queues[i].head
		if head == nil || head.stage == StageNew && now-head.idleSince < newConnectionGrace {
			continue
		}
		part := float64(now-head.idleSince) / float64(t.idleTimeout(i, 1))
		if worst == nil || part > largest {
			worst, largest = head, part
		}
	}
	return worst
}
