package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shelfproxy/internal/testbed/eventlog"
	"shelfproxy/internal/testbed/eventqueue"
)

// timeline is the virtual clock of a run, the work scheduled on it, its random numbers, and its event log.
type timeline struct {
	opt    Options
	now    Time
	queue  eventqueue.Queue
	rng    *rand.Rand // for the network and the schedulers
	log    *eventlog.Log
	report *Report
}

func newTimeline(rng *rand.Rand, opt Options, report *Report) timeline {
	return timeline{opt: opt, rng: rng, log: eventlog.New(), report: report}
}

// at schedules work for a time, or for now if that has passed.
func (w *timeline) at(t Time, run func()) { w.queue.Schedule(max(t, w.now), run) }

// after schedules work for some time from now.
func (w *timeline) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// drawBetween draws a duration from least up to, but not including, most.
func (w *timeline) drawBetween(least, most time.Duration) time.Duration {
	if most <= least {
		return least
	}
	return least + time.Duration(w.rng.Int64N(int64(most-least)))
}

// chance draws whether something with the probability p happens. It draws nothing where p is 0.
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
func (w *timeline) violation(rule, format string, args ...any) {
	w.report.Violations = append(w.report.Violations, Violation{rule, w.now, fmt.Sprintf(format, args...)})
	w.logEvent("broken", rule)
}
