// Package supervisor decides how the processes of many instances of a program are kept running on one machine and replaced one
// after another without downtime. A new process is started while the old process of the same instance still serves. The old
// process is told to terminate once the new one is ready.
//
// The core has no clock and does no I/O: it takes the time and an event and returns effects, which internal/supervisor/agent
// carries out. docs/supervise.md describes the behaviour.
package supervisor

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a point in time on the supervisor's clock, as the duration since the supervisor's start.
type Time = time.Duration

// minPause is a time without any event from which the supervisor concludes that it was paused. Normally a Tick comes twenty times
// a second.
const minPause = time.Second

// Core decides when the processes of all instances are started, replaced and killed. It is not safe for concurrent use.
type Core struct {
	cfg           Config
	rng           *rand.Rand
	instances     []instance
	lastProcess   int  // number of the process that was started last
	isHalted      bool // no further replacement starts until an operator resumes replacing
	isReplacing   bool // replacements were requested and not all of them are done
	isStopping    bool // StopRequested was received
	stoppedIsSent bool // the effect Stopped was emitted
	lastStepAt    Time
	effects       []Effect // effects of the current step
}

// New returns a core, or an error if cfg is invalid. The core starts a process of each instance when it handles its first
// event.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), instances: make([]instance, cfg.Instances)}, nil
}

// Step handles one event, then the timeouts that have expired, and starts the processes that are due. It returns the effects in
// the order in which they are to be carried out; the caller owns the slice. Events that name an unknown process or instance are
// ignored.
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

// excludePause extends the timeouts of all processes by the time in which the supervisor did not run, because no process could
// report to the supervisor during that time.
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

// findProcess returns the process with the given number and the index of its instance, or a nil process if there is none.
func (c *Core) findProcess(number int) (int, *process) {
	for i := range c.instances {
		for _, p := range c.instances[i].processes() {
			if p.number == number {
				return i, p
			}
		}
	}
	return 0, nil
}

// handleTimers acts on the timeouts that have expired by now and starts the processes that are due.
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

// checkTimeouts kills the processes of an instance that did not become ready within ReadyTimeout, or did not end within
// TerminateTimeout after they were told to terminate.
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

// startMissing starts a process for each instance that has no serving process or a hung one, once the wait after its last failed
// start is over. It returns the number of instances that are out of service or being replaced.
func (c *Core) startMissing(now Time) (unavailable int) {
	for i := range c.instances {
		in := &c.instances[i]
		if !in.isServing() && in.successor == nil && now >= in.startAfter {
			in.replaceRequested = false // needs no replacement: the new process runs the program that is installed now
			c.start(now, i)
		}
		if in.isBeingReplaced || !in.isServing() {
			unavailable++
		}
	}
	return unavailable
}

// stop tells all current processes and their successors to terminate. A process that has been replaced was told to terminate when
// its successor became ready.
func (c *Core) stop(now Time) {
	c.isStopping, c.isReplacing = true, false
	for i := range c.instances {
		in := &c.instances[i]
		in.replaceRequested = false
		c.terminate(now, in.current, false)
		c.terminate(now, in.successor, false)
	}
}

// reportStopped emits Stopped, once, when no process remains.
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
