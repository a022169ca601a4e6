package nodes

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	throttleInterval = 2 * time.Millisecond  // between two looks at what the process has used
	throttleBurst    = 20 * time.Millisecond // of processor time that an idle process may save up
)

// Throttle lets the process use a share of one processor at most, until it ends: it stops the process while that has used more, and lets
// it run again. It stands for a machine that has part of a core. On a busy machine the process is not stopped beyond that.
func (p *Process) Throttle(share float64) {
	go func() { // ends with the process
		ticker := time.NewTicker(throttleInterval)
		defer ticker.Stop()
		quota := cpuQuota{share: share, lastLook: time.Now()}
		for isStopped := false; ; {
			select {
			case <-p.done:
				return
			case now := <-ticker.C:
				if mustStop := quota.isExceeded(now, cpuTime(p.PID())); mustStop != isStopped {
					isStopped = mustStop
					_ = p.cmd.Process.Signal(signalFor(mustStop)) // fails if the process has ended
				}
			}
		}
	}()
}

func signalFor(mustStop bool) syscall.Signal {
	if mustStop {
		return syscall.SIGSTOP
	}
	return syscall.SIGCONT
}

// cpuQuota is how much processor time a process may use at a moment.
type cpuQuota struct {
	share     float64 // of one processor
	available time.Duration
	lastLook  time.Time
	lastUsed  time.Duration
}

// isExceeded takes what the process has used since its start, and reports whether that is more than its share.
func (q *cpuQuota) isExceeded(now time.Time, used time.Duration) bool {
	earned := time.Duration(q.share * float64(now.Sub(q.lastLook)))
	q.available = min(throttleBurst, q.available+earned-(used-q.lastUsed))
	q.lastLook, q.lastUsed = now, used
	return q.available < 0
}

// cpuTime returns the processor time that a process has used; 0 if it has ended. The clock of a process is named by its complement
// (clock_getcpuclockid(3)).
func cpuTime(pid int) time.Duration {
	const clockOfProcess, clockBits = 2, 3
	var used unix.Timespec
	if unix.ClockGettime(int32(^pid<<clockBits|clockOfProcess), &used) != nil {
		return 0
	}
	return time.Duration(used.Nano())
}
