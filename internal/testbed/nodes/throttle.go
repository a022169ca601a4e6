package nodes

import (
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	throttleInterval = 2 * time.Millisecond  // interval at which the used processor time is read
	throttleBurst    = 20 * time.Millisecond // maximum processor time that an idle process accumulates
)

// Throttle limits the node to a share of one processor until the node ends. See ThrottleProcess.
func (p *Process) Throttle(share float64) { ThrottleProcess(p.cmd.Process, share, p.done) }

// ThrottleProcess limits a process to a share of one processor until ended is closed, which the caller does when the process has
// ended. It stops the process while it has used more than its share, and then continues it. This emulates a machine that has only
// part of a core. Because the processor time counts, a process that gets less time on a busy machine is not stopped in addition.
func ThrottleProcess(process *os.Process, share float64, ended <-chan struct{}) {
	go func() { // the goroutine ends with the process
		ticker := time.NewTicker(throttleInterval)
		defer ticker.Stop()
		quota := cpuQuota{share: share, lastCheck: time.Now()}
		for isStopped := false; ; {
			select {
			case <-ended:
				return
			case now := <-ticker.C:
				if mustStop := quota.isExceeded(now, cpuTime(process.Pid)); mustStop != isStopped {
					isStopped = mustStop
					_ = process.Signal(signalFor(mustStop)) // fails if the process has ended
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

// cpuQuota tracks how much processor time a process may still use.
type cpuQuota struct {
	share     float64 // fraction of one processor
	available time.Duration
	lastCheck time.Time
	lastUsed  time.Duration
}

// isExceeded updates the quota with the processor time that the process has used since its start. It reports whether the
// process has used more than its share and the burst allow.
func (q *cpuQuota) isExceeded(now time.Time, used time.Duration) bool {
	earned := time.Duration(q.share * float64(now.Sub(q.lastCheck)))
	q.available = min(throttleBurst, q.available+earned-(used-q.lastUsed))
	q.lastCheck, q.lastUsed = now, used
	return q.available < 0
}

// cpuTime returns the processor time that a process has used, or 0 if the process has ended. The id of a process's clock
// contains the bitwise complement of the process id (clock_getcpuclockid(3)).
func cpuTime(pid int) time.Duration {
	const clockOfProcess, clockBits = 2, 3
	var used unix.Timespec
	if unix.ClockGettime(int32(^pid<<clockBits|clockOfProcess), &used) != nil {
		return 0
	}
	return time.Duration(used.Nano())
}
