package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shelfproxy/internal/testbed/eventlog"
	"shelfproxy/internal/testbed/eventqueue"
)

// timeline holds the virtual clock of a run, the work that is scheduled on it, its random numbers and its event log.
type timeline struct {
	opt    Options
	now    Time
	queue  eventqueue.Queue
	rng    *rand.Rand // random numbers for the network's faults and delays, and for scheduling delays
	log    *eventlog.Log
	report *Report
}

func newTimeline(rng *rand.Rand, opt Options, report *Report) timeline {
	return timeline{opt: opt, rng: rng, log: eventlog.New(), report: report}
}

// at schedules work for the time t, or for now if t has passed.
func (w *timeline) at(t Time, run func()) { w.queue.Schedule(max(t, w.now), run) }

// after schedules work to run after the duration d.
func (w *timeline) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// drawBetween returns a random duration of at least least and less than most. If most is not greater than least, it returns least.
func (w *timeline) drawBetween(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

// chance returns true with the probability p. If p is 0, it returns false and uses no random number.
func (w *timeline) chance(p float64) bool { return p > 0 && w.rng.Float64() < p }

// logEvent adds a line to the event log.
func (w *timeline) logEvent(name string, details ...string) {
	line := w.log.Append(w.now, name, details...)
	w.report.Events++
	if w.opt.Trace != nil {
		w.opt.Trace(line)
	}
}

// violation adds a violation of an invariant to the report and to the event log.
func (w *timeline) violation(invariant, format string, args ...any) {
	w.report.Violations = append(w.report.Violations, Violation{invariant, w.now, fmt.Sprintf(format, args...)})
	w.logEvent("broken", invariant)
}
