package supervisor

import (
	"slices"
	"time"
)

// process is the state of one process from its start to its end.
type process struct {
	number           int
	startedAt        Time
	isReady          bool
	readyAt          Time
	isTerminating    bool // the process was told to terminate
	terminatingSince Time
	isKilled         bool
	responses        float64 // number of responses that the process reported
	failed           float64 // how many of these responses were failures
	lastReportAt     Time    // time of the process's last report; 0: it has sent none
	isHung           bool
}

// excludePause moves the times at which the process's timeouts began forward by the length of a pause of the supervisor, so that
// the pause does not count towards the timeouts.
func (p *process) excludePause(length time.Duration) {
	p.startedAt += length
	p.readyAt += length
	p.terminatingSince += length
	if p.lastReportAt > 0 {
		p.lastReportAt += length
	}
}

// failureRate returns the fraction of the process's responses that failed. The process must have reported at least one.
func (p *process) failureRate() float64 { return p.failed / p.responses }

// instance is the state of one of the instances of the program, each of which has one serving process at a time.
type instance struct {
	current          *process   // the process that serves; nil: none
	successor        *process   // the started process that is not ready yet; it becomes current, and replaces the previous one if any
	ending           []*process // processes that were replaced and told to terminate
	failedStarts     int        // number of failed starts in a row
	startAfter       Time       // end of the wait after a failed start: no process is started before
	replaceRequested bool
	isObserved       bool // the current process replaced another one and is still within ObservationPeriod
	isBeingReplaced  bool // true from the start of a replacement until the new process's observation is over and the old process has ended
}

// processes returns the processes of an instance that have not ended.
func (in *instance) processes() []*process {
	all := append([]*process{in.current, in.successor}, in.ending...)
	return slices.DeleteFunc(all, func(p *process) bool { return p == nil })
}

// isServing reports whether the instance has a process that is ready and does not hang.
func (in *instance) isServing() bool { return in.current != nil && !in.current.isHung }

// start asks the shell to start a process of instance i, which becomes the instance's successor.
func (c *Core) start(now Time, i int) {
	c.lastProcess++
	c.instances[i].successor = &process{number: c.lastProcess, startedAt: now}
	c.emit(Start{i, c.lastProcess})
	c.log(LogStarted, i, c.lastProcess)
}

// terminate tells the process p to terminate, unless p is nil or was told before.
func (c *Core) terminate(now Time, p *process, isReplaced bool) {
	if p != nil && !p.isTerminating {
		p.isTerminating, p.terminatingSince = true, now
		c.emit(Terminate{p.number, isReplaced})
	}
}

// kill ends a process at once, unless it was killed before.
func (c *Core) kill(p *process) {
	if !p.isKilled {
		p.isKilled = true
		c.emit(Kill{p.number})
	}
}

// handleReady makes a process that became ready the current process of its instance and tells its predecessor to terminate.
func (c *Core) handleReady(now Time, e Ready) {
	i, p := c.findProcess(e.Process)
	if p == nil || p.isReady || p.isKilled || p.isTerminating {
		return
	}
	in := &c.instances[i]
	p.isReady, p.readyAt = true, now
	c.log(LogServing, i, p.number)
	if predecessor := in.current; predecessor != nil {
		in.ending = append(in.ending, predecessor)
		in.isObserved = true
		c.terminate(now, predecessor, true)
		c.log(LogReplaced, i, predecessor.number)
	}
	in.current, in.successor = p, nil
}

// handleExited removes a process that has ended from its instance.
func (c *Core) handleExited(now Time, e Exited) {
	i, p := c.findProcess(e.Process)
	if p == nil {
		return
	}
	in := &c.instances[i]
	switch p {
	case in.successor:
		c.successorExited(now, i, p)
	case in.current:
		c.currentExited(now, i, p, e.Clean)
	default:
		in.ending = slices.DeleteFunc(in.ending, func(ending *process) bool { return ending == p })
		c.log(LogEnded, i, p.number)
	}
}

// successorExited handles the end of a process that never became ready.
func (c *Core) successorExited(now Time, i int, p *process) {
	in := &c.instances[i]
	in.successor = nil
	c.startFailed(now, i, p)
	if in.isBeingReplaced { // the predecessor continues to serve
		in.isBeingReplaced = false
		c.halt(i, p.number)
	}
}

// currentExited handles the end of an instance's current process.
func (c *Core) currentExited(now Time, i int, p *process, isClean bool) {
	in := &c.instances[i]
	in.current = nil
	isWithinObservation := now-p.readyAt < c.cfg.ObservationPeriod
	switch {
	case p.isTerminating:
		c.log(LogEnded, i, p.number)
	case isClean && !isWithinObservation:
		in.failedStarts, in.startAfter = 0, now
		c.log(LogDrained, i, p.number)
	default:
		if !isWithinObservation {
			in.failedStarts = 0
		}
		c.startFailed(now, i, p)
		if in.isObserved {
			c.halt(i, p.number)
		}
	}
	in.isObserved = false
}

// startFailed counts a failed start of instance i, and sets a random wait (the backoff) before the next start.
func (c *Core) startFailed(now Time, i int, p *process) {
	const maxDoublings = 30 // more doublings of MinBackoff could overflow, and it is above MaxBackoff long before
	in := &c.instances[i]
	if !p.isKilled {
		c.log(LogCrashed, i, p.number)
	}
	if c.isStopping {
		return
	}
	maxWait := c.cfg.MaxBackoff
	if in.failedStarts < maxDoublings {
		maxWait = min(maxWait, c.cfg.MinBackoff<<in.failedStarts)
	}
	in.failedStarts++
	wait := c.cfg.MinBackoff/2 + Time(c.rng.Int64N(int64(maxWait)))
	in.startAfter = now + wait
	c.emit(LogEvent{Kind: LogBackoff, Instance: i, Wait: wait})
}
