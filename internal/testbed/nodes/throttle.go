package nodes

import (
	"syscall"
	"time"
)

// throttlePeriod is how often a throttled process is stopped. Machines with part of a core are scheduled in periods of this order.
const throttlePeriod = 20 * time.Millisecond

// Throttle lets the process run for a share of the time only, by stopping it and letting it run in turn, until it ends. It stands
// for a machine that has part of a core.
func (p *Process) Throttle(share float64) {
	runs := time.Duration(float64(throttlePeriod) * share)
	go func() { // ends with the process
		for p.runFor(throttlePeriod-runs, syscall.SIGSTOP) && p.runFor(runs, syscall.SIGCONT) {
			continue
		}
	}()
}

// runFor sends a signal and waits; false if the process has ended.
func (p *Process) runFor(wait time.Duration, signal syscall.Signal) bool {
	_ = p.cmd.Process.Signal(signal) // fails if the process has ended
	select {
	case <-p.done:
		return false
	case <-time.After(wait):
		return true
	}
}
