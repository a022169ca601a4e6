package supervisor

import (
	"slices"
	"time"
)

// process is one process, from its start to its end.
type process struct {
	number           int
	startedAt        Time
	isReady          bool
	readyAt          Time
	isTerminating    bool // it was told to terminate
	terminatingSince Time
	isKilled         bool
	responses        float64 // that it reported
	failed           float64 // of its responses
	lastReportAt     Time    // 0: it never reported
	isHung           bool
}

// excludePause moves the process's waits on by the length of a pause of the supervisor.
func (p *process) excludePause(length time.Duration) {
	p.startedAt += length
	p.readyAt += length
	p.terminatingSince += length
	if p.lastReportAt > 0 {
		p.lastReportAt += length
	}
}

// failureRate is the fraction of a process's responses that failed. It has reported some.
func (p *process) failureRate() float64 { return p.failed / p.responses }

// instance is one of the places at which a process serves.
type instance struct {
	current          *process   // serves
	successor        *process   // starts; if there is no current process it is the first one or a restart
	ending           []*process // were replaced and told to terminate
	failedStarts     int        // in a row
	startAfter       Time       // the end of the backoff
	replaceRequested bool
	isObserved       bool // the current process replaced another one and is within its observation period
	isBeingReplaced  bool // from the start of the successor until it is trusted and its predecessor has ended
}

// processes returns the processes of an instance that have not ended.
func (in *instance) processes() []*process {
	all := append([]*process{in.current, in.successor}, in.ending...)
	return slices.DeleteFunc(all, func(p *process) bool { return p == nil })
}

// isServing reports whether the instance has a process that is ready and does not hang.
func (in *instance) isServing() bool { return in.current != nil && !in.current.isHung }

// start starts a process of an instance.
func (c *Core) start(now Time, i int) {
	c.lastProcess++
	c.instances[i].successor = &process{number: c.lastProcess, startedAt: now}
	c.emit(Start{i, c.lastProcess})
	c.log(LogStarted, i, c.lastProcess)
}

// terminate tells a process, if there is one, to terminate, once.
func (c *Core) terminate(now Time, p *process, isReplaced bool) {
	if p != nil && !p.isTerminating {
		p.isTerminating, p.terminatingSince = true, now
		c.emit(Terminate{p.number, isReplaced})
	}
}

// kill ends a process at once, once.
func (c *Core) kill(p *process) {
	if !p.isKilled {
		p.isKilled = true
		c.emit(Kill{p.number})
	}
}

// handleReady makes a process that became ready its instance's current one.
func (c *Core) handleReady(now Time, e Ready) {
	i, p := c.find(e.Process)
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

// handleExited removes a process that ended from its instance.
func (c *Core) handleExited(now Time, e Exited) {
	i, p := c.find(e.Process)
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

// successorExited handles the end of a process that never served.
func (c *Core) successorExited(now Time, i int, p *process) {
	in := &c.instances[i]
	in.successor = nil
	c.startFailed(now, i, p)
	if in.isBeingReplaced { // the predecessor serves on
		in.isBeingReplaced = false
		c.halt(i, p.number)
	}
}

// currentExited handles the end of a process that served.
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

// startFailed counts a failed start of an instance and draws the backoff before the next one.
func (c *Core) startFailed(now Time, i int, p *process) {
	const maxDoublings = 30 // further ones would overflow, and MaxBackoff is reached long before
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
