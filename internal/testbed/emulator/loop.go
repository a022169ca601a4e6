package emulator

import (
	"time"

	"shelfproxy/internal/logs"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
)

// checkInterval is the interval at which the loop looks for requests that were not answered by their deadline.
const checkInterval = 100 * time.Millisecond

// post passes work to the loop, and waits while the queue is full. It returns false if the emulator was closed.
func (e *Emulator) post(work func(now time.Duration)) bool {
	select {
	case e.queue <- work:
		return true
	case <-e.stop:
		return false
	}
}

// Do runs a function in the loop and waits until it returns. Do returns false if the emulator was closed before.
func (e *Emulator) Do(run func(now time.Duration, system *model.System, checker *invariants.Checker)) bool {
	done := make(chan struct{})
	posted := e.post(func(now time.Duration) {
		run(now, e.system, e.checker)
		close(done)
	})
	if !posted {
		return false
	}
	select {
	case <-done:
		return true
	case <-e.ended:
		return false
	}
}

// Report passes a report to the checker of the invariants. It does not wait until the loop has run the report.
func (e *Emulator) Report(report func(now time.Duration, checker *invariants.Checker)) {
	e.post(func(now time.Duration) { report(now, e.checker) })
}

// runLoop runs the loop, which owns the model and the checker, until Close ends it.
func (e *Emulator) runLoop() {
	defer close(e.ended)
	timer := time.NewTimer(0)
	lastCheck := time.Duration(0)
	for {
		select {
		case work := <-e.queue:
			work(e.Now())
		case <-timer.C:
		case <-e.stop:
			e.endConnections()
			return
		}
		now := e.Now()
		e.advanceSystem(now)
		if now-lastCheck >= checkInterval {
			lastCheck = now
			e.checkInvariants(now)
		}
		next := min(lastCheck+checkInterval, e.system.NextEvent())
		timer.Reset(max(0, next-e.Now()))
	}
}

// endConnections resets all connections and ends all discovery calls.
func (e *Emulator) endConnections() {
	for _, conn := range e.conns {
		conn.reset()
	}
	for _, call := range e.calls {
		close(call.replies)
	}
}

// advanceSystem carries out what is scheduled in the model.
func (e *Emulator) advanceSystem(now time.Duration) {
	scheduled := e.system.NextEvent()
	if scheduled > now {
		return
	}
	// A delay beyond the range of the histogram is not recorded.
	_ = e.loopDelay.RecordValue(max(1, (now - scheduled).Microseconds()))
	if err := e.carryOut(now, e.system.Advance(now)); err != nil {
		e.log.Error("an acceptor could not be changed", logs.Event, "emulate_failed", "error", err.Error())
	}
}

// checkInvariants checks for requests that were not answered by their deadline, and logs new violations.
func (e *Emulator) checkInvariants(now time.Duration) {
	e.checker.Advance(now)
	violations := e.checker.Violations()
	for _, violation := range violations[e.reportedViolations:] {
		e.log.Error(violation.String(), logs.Event, "rule_broken", "rule", string(violation.Invariant))
	}
	e.reportedViolations = len(violations)
}
