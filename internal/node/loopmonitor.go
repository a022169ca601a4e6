package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/logs"
)

// slowStep is how long one step of the event loop may take before it is counted and logged: every request waits meanwhile, and
// what the platform allows a node between a clock reading and a write is 150 ms.
const slowStep = 50 * time.Millisecond

// stepKind is what the event loop does in one step.
type stepKind int

// The kinds of steps.
const (
	listStep    stepKind = iota // an update of the endpoint list
	requestStep                 // a request from the intake
	queueStep                   // the outcome of an attempt, gossip, or whatever else was posted
	timerStep                   // timers that are due
)

var stepNames = [...]string{"list", "request", "queue", "timer"}

// loopMonitor measures the steps of the event loop. Time for which the process did not run counts as well, as requests wait for that,
// too. It belongs to the event loop.
type loopMonitor struct {
	log                                 *slog.Logger
	slow, longestStep, longestQueueWait *atomic.Int64 // the two times are in microseconds
}

// newLoopMonitor returns a monitor. It registers its counters.
func newLoopMonitor(log *slog.Logger, count *counters.Counters) loopMonitor {
	return loopMonitor{log: log, slow: count.Register("loop_slow_steps"), longestStep: count.Register("loop_longest_step_us"),
		longestQueueWait: count.Register("loop_longest_wait_us")}
}

// measure runs one step.
func (m *loopMonitor) measure(kind stepKind, core *Core, step func()) {
	start := time.Now()
	step()
	took := time.Since(start)
	raise(m.longestStep, took)
	if took < slowStep {
		return
	}
	m.slow.Add(1)
	m.log.Warn("the event loop was held up by one step", logs.Event, "loop_slow", "step", stepNames[kind],
		"took_ms", took.Milliseconds(), "endpoints", len(core.endpoints), "open_requests", core.openRequests)
}

// queued notes how long a request waited for the event loop.
func (m *loopMonitor) queued(waited time.Duration) { raise(m.longestQueueWait, waited) }

// raise sets a counter that holds a maximum, in microseconds.
func raise(counter *atomic.Int64, to time.Duration) {
	if microseconds := to.Microseconds(); microseconds > counter.Load() {
		counter.Store(microseconds)
	}
}
