package admission

import "time"

// QueueDelay tells when a queue is behind by how long things wait in it, not by how many there are: a burst that is
// worked off is none of its business, a queue whose shortest wait stays over the target is (CoDel; Nichols and
// Jacobson, "Controlling Queue Delay", 2012). Where CoDel drops one packet after another, this answers with a share
// of the work that should be refused, which rises while the queue stays behind and falls when it no longer is.
type QueueDelay struct {
	Target   time.Duration // a wait that is fine
	Interval time.Duration // over which the shortest wait counts; several service times

	begun    Time
	started  bool
	shortest time.Duration
	any      bool
	level    float64
}

// Steps of the level at the end of an interval.
const (
	sojournRise = 0.1
	sojournFall = 0.15
)

// Observe takes the wait of something that left the queue.
func (s *QueueDelay) Observe(now Time, wait time.Duration) {
	s.pass(now)
	if !s.any || wait < s.shortest {
		s.shortest, s.any = wait, true
	}
}

// pass ends the intervals that are over. One in which nothing left the queue says that it was empty.
func (s *QueueDelay) pass(now Time) {
	if !s.started {
		s.begun, s.started = now, true
		return
	}
	for n := 0; now-s.begun >= s.Interval; n++ {
		if n > 64 { // a long quiet; the level is 0 by now
			s.begun, s.level = now, 0
			break
		}
		s.begun += s.Interval
		if s.any && s.shortest > s.Target {
			// Far behind, it rises faster: each multiple of the target counts, up to four.
			s.level = min(1, s.level+sojournRise*min(4, float64(s.shortest)/float64(s.Target)))
		} else {
			s.level = max(0, s.level-sojournFall)
		}
		s.any = false
	}
}

// Level is the share of the refusable work that should be refused, from 0 to 1.
func (s *QueueDelay) Level(now Time) float64 {
	s.pass(now)
	return s.level
}
