// Package supervisor decides how the processes of many instances of a program are kept running on one machine and replaced one
// after another, without a moment in which an instance does not serve: a successor is started beside the process that it
// replaces, which is told to terminate once the successor is ready.
//
// The core has no clock, processes or I/O: it takes (now, event) and returns effects, which internal/supervisor/agent carries
// out. docs/supervise.md describes the behaviour.
package supervisor

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a point on the supervisor's clock.
type Time = time.Duration

// minPause is the time between two steps that shows that the supervisor did not run. Ticks come twenty times a second.
const minPause = time.Second

// Core decides for all instances. It is not safe for concurrent use.
type Core struct {
	cfg           Config
	rng           *rand.Rand
	instances     []instance
	lastProcess   int  // the number of the process that was started last
	isHalted      bool // no further replacement starts
	isReplacing   bool // replacements were requested and not all of them are done
	isStopping    bool
	stoppedIsSent bool
	lastStepAt    Time
	effects       []Effect // of the current step
}

// New returns a core. It starts processes with its first event.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), instances: make([]instance, cfg.Instances)}, nil
}

// Step handles one event and then everything that is due by now. It returns the effects in the order in which they are to be
// carried out; they belong to the caller. Events of unknown processes and instances have no effect.
func (c *Core) Step(now Time, ev Event) []Effect {
	c.effects = nil
	c.excludePause(now)
	switch e := ev.(type) {
	case Ready:
		c.handleReady(now, e)
	case ResponseCounts:
		c.handleResponseCounts(now, e)
	case Exited:
		c.handleExited(now, e)
	case ReplaceRequested:
		c.requestReplacement(e.Instance)
	case ReplaceAllRequested:
		c.requestAllReplacements()
	case HaltRequested:
		c.halt(noInstance, noProcess)
	case ResumeRequested:
		c.resume()
	case StopRequested:
		c.stop(now)
	}
	c.handleTimers(now)
	return c.effects
}

// excludePause moves all waits on by the time in which the supervisor did not run: no process could reach it in that time.
func (c *Core) excludePause(now Time) {
	gap := now - c.lastStepAt
	c.lastStepAt = now
	if gap < minPause {
		return
	}
	for i := range c.instances {
		for _, p := range c.instances[i].processes() {
			p.excludePause(gap)
		}
	}
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(kind LogEventKind, instance, process int) {
	c.emit(LogEvent{Kind: kind, Instance: instance, Process: process})
}

// find returns a process and the index of its instance, or nil for a number that has no process.
func (c *Core) find(number int) (int, *process) {
	for i := range c.instances {
		for _, p := range c.instances[i].processes() {
			if p.number == number {
				return i, p
			}
		}
	}
	return 0, nil
}

// handleTimers acts on what is due.
func (c *Core) handleTimers(now Time) {
	remaining := 0
	for i := range c.instances {
		c.checkTimeouts(now, i)
		c.endObservation(now, i)
		c.checkHang(now, i)
		c.finishReplacement(i)
		remaining += len(c.instances[i].processes())
	}
	if c.isStopping {
		c.reportStopped(remaining)
		return
	}
	unavailable := c.startMissing(now)
	c.startSuccessors(now, unavailable)
	c.reportAllReplaced()
}

// checkTimeouts kills the processes of an instance that did not become ready or did not end in time.
func (c *Core) checkTimeouts(now Time, i int) {
	in := &c.instances[i]
	if p := in.successor; p != nil && !p.isTerminating && !p.isKilled && now-p.startedAt >= c.cfg.ReadyTimeout {
		c.log(LogNotReady, i, p.number)
		c.kill(p)
	}
	for _, p := range in.processes() {
		if p.isTerminating && !p.isKilled && now-p.terminatingSince >= c.cfg.TerminateTimeout {
			c.log(LogTerminateTimeout, i, p.number)
			c.kill(p)
		}
	}
}

// startMissing starts a process for each instance that does not serve, and returns the number of instances that are out of
// service or being replaced.
func (c *Core) startMissing(now Time) (unavailable int) {
	for i := range c.instances {
		in := &c.instances[i]
		if !in.isServing() && in.successor == nil && now >= in.startAfter {
			in.replaceRequested = false // what starts now is what is installed now
			c.start(now, i)
		}
		if in.isBeingReplaced || !in.isServing() {
			unavailable++
		}
	}
	return unavailable
}

// stop terminates the processes that serve or start; those that were replaced have been told before.
func (c *Core) stop(now Time) {
	c.isStopping, c.isReplacing = true, false
	for i := range c.instances {
		in := &c.instances[i]
		in.replaceRequested = false
		c.terminate(now, in.current, false)
		c.terminate(now, in.successor, false)
	}
}

// reportStopped says, once, that no process remains.
func (c *Core) reportStopped(remaining int) {
	if remaining == 0 && !c.stoppedIsSent {
		c.stoppedIsSent = true
		c.emit(Stopped{})
	}
}

// isAnyReplacementOpen reports whether a replacement is requested or in progress.
func (c *Core) isAnyReplacementOpen() bool {
	return slices.ContainsFunc(c.instances, func(in instance) bool { return in.replaceRequested || in.isBeingReplaced })
}
