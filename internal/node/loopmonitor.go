package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/logs"
)

// slowStep is the duration from which a step of the event loop is counted and logged. Every request waits during a step, and the
// platform allows a node 150 ms between reading the clock and writing.
const slowStep = 50 * time.Millisecond

// stepKind is the kind of work that the event loop does in one step.
type stepKind int

// The kinds of steps.
const (
	listStep    stepKind = iota // an update of the endpoint list
	requestStep                 // a request from the intake
	queueStep                   // the outcome of an attempt, gossip, or any other posted work
	timerStep                   // timers that are due
)

var stepNames = [...]string{"list", "request", "queue", "timer"}

// loopMonitor measures the steps of the event loop. Time in which the process was paused counts as well, as requests also wait
// then. It is used by the event loop only.
type loopMonitor struct {
	log                                 *slog.Logger
	slow, longestStep, longestQueueWait *atomic.Int64 // counters; the two times are in microseconds
}

// newLoopMonitor returns a monitor and registers its counters.
func newLoopMonitor(log *slog.Logger, count *counters.Counters) loopMonitor {
	return loopMonitor{log: log, slow: count.Register("loop_slow_steps"), longestStep: count.Register("loop_longest_step_us"),
		longestQueueWait: count.Register("loop_longest_wait_us")}
}

// measure runs one step of the event loop and records how long the step took.
func (m *loopMonitor) measure(kind stepKind, core *Core, step func()) {
	start := time.Now()
	step()
	took := time.Since(start)
	storeMax(m.longestStep, took)
	if took < slowStep {
		return
	}
	m.slow.Add(1)
	m.log.Warn("a step of the event loop took too long", logs.Event, "loop_slow", "step", stepNames[kind],
		"took_ms", took.Milliseconds(), "endpoints", len(core.endpoints), "open_requests", core.openRequests)
}

// recordQueueWait records how long a request waited for the event loop.
func (m *loopMonitor) recordQueueWait(waited time.Duration) { storeMax(m.longestQueueWait, waited) }

// storeMax raises a counter that holds a maximum, in microseconds, if the duration is longer.
func storeMax(counter *atomic.Int64, to time.Duration) {
	if microseconds := to.Microseconds(); microseconds > counter.Load() {
		counter.Store(microseconds)
	}
}
