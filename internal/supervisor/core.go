// Package supervise keeps the processes of many instances of a program running on one machine, and replaces them one after another
// without a moment in which one does not serve: a successor is started beside the process it replaces, which is told to end once
// the successor is ready. The core has no clock, no processes and no I/O: it takes (now, event) and returns effects. See
// docs/supervise.md.
package supervisor

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a point on the supervisor's clock.
type Time = time.Duration

// Config says how processes are kept.
type Config struct {
	Instances         int
	MaxConcurrent     int           // instances that are replaced at once
	ReadyTimeout      time.Duration // a process that is not ready by then is killed
	ObservationPeriod time.Duration // a process that ends, or does badly, so soon after it was ready is no good
	TerminateTimeout  time.Duration // a process that was told to end is killed after that
	HangTimeout       time.Duration // a process that says how it goes and then nothing for so long hangs; 0: nobody looks
	MinBackoff        time.Duration // before another start after a failed one; doubled with each failure in a row, with full jitter
	MaxBackoff        time.Duration
	MaxFailureRate    float64 // share of a watched process's answers that may fail, past what fails at the others
	MinSamples        int     // answers from which that is judged
	Seed              uint64
}

// Validate tells which field makes no sense.
func (c Config) Validate() error {
	switch {
	case c.Instances < 1 || c.Instances > 1000:
		return errors.New("instances: must be from 1 to 1000")
	case c.MaxConcurrent < 1 || c.MaxConcurrent > c.Instances:
		return errors.New("at_once: must be from 1 to the number of instances")
	case c.ReadyTimeout <= 0 || c.TerminateTimeout <= 0 || c.ObservationPeriod < 0:
		return errors.New("ready_within, end_within, watch: must be above 0")
	case c.HangTimeout != 0 && c.HangTimeout < time.Second:
		return errors.New("silent: must be 1s at least, or 0")
	case c.MinBackoff <= 0 || c.MaxBackoff < c.MinBackoff:
		return errors.New("backoff_least, backoff_most: must grow from above 0")
	case !(c.MaxFailureRate >= 0 && c.MaxFailureRate <= 1):
		return errors.New("max_failed: must be from 0 to 1")
	}
	return nil
}

// Event is what the core is told: one of the types below it.
type Event interface{ event() }

type (
	// Tick says that time went on.
	Tick struct{}
	// Ready says that a process serves.
	Ready struct{ Process int }
	// ResponseCounts counts answers of a process since the last such event.
	ResponseCounts struct{ Process, Responses, Failed int }
	// Exited says that a process is gone, or could not be started. Clean: it ended by itself, with 0.
	Exited struct {
		Process int
		Clean   bool
	}
	// ReplaceRequested asks for one instance to be replaced, Roll for all in turn.
	ReplaceRequested struct{ Instance int }
	// ReplaceAllRequested asks for all instances to be replaced in turn.
	ReplaceAllRequested struct{}
	// HaltRequested stops replacing; what is under way is finished.
	HaltRequested struct{}
	// ResumeRequested goes on after a halt.
	ResumeRequested struct{}
	// StopRequested ends all.
	StopRequested struct{}
)

func (Tick) event()                {}
func (Ready) event()               {}
func (ResponseCounts) event()      {}
func (Exited) event()              {}
func (ReplaceRequested) event()    {}
func (ReplaceAllRequested) event() {}
func (HaltRequested) event()       {}
func (ResumeRequested) event()     {}
func (StopRequested) event()       {}

// Effect is what the core wants done: one of the types below it.
type Effect interface{ effect() }

type (
	// Start starts a process of an instance.
	Start struct{ Instance, Process int }
	// Terminate tells a process to end. Replaced: another one takes what comes new from now on.
	Terminate struct {
		Process  int
		Replaced bool
	}
	// Kill ends a process at once.
	Kill struct{ Process int }
	// Stopped says that all that was stopped is gone.
	Stopped struct{}
	// LogEvent is for the log and the counters.
	LogEvent struct {
		Kind              LogEventKind
		Instance, Process int
		Wait              time.Duration // Waits: before the next start
	}
)

func (Start) effect()     {}
func (Terminate) effect() {}
func (Kill) effect()      {}
func (Stopped) effect()   {}
func (LogEvent) effect()  {}

// LogEventKind is what happened.
type LogEventKind int

// What is noted.
const (
	LogStarted          LogEventKind = iota
	LogServing                       // it is ready
	LogReplaced                      // by its successor, and told to end
	LogEnded                         // as it was told
	LogDrained                       // by itself, with 0: it went out by agreement, and is started again
	LogCrashed                       // by itself
	LogNotReady                      // in time: it is killed
	LogTerminateTimeout              // it did not end in time: it is killed
	LogBackoff                       // before the next start
	LogHalted                        // a successor was no good, or an operator said so
	LogResumed                       // by an operator
	LogAllReplaced                   // all that was asked for is replaced
	LogUnhealthy                     // a watched process fails more than the others
	LogHung                          // it says nothing any more: it is replaced at once
	LogEventKinds
)

func (k LogEventKind) String() string {
	return [...]string{"started", "serves", "replaced", "ended", "left", "crashed", "not_ready", "overdue", "waits", "halted", "resumed", "rolled", "bad_answers", "hangs"}[k]
}

// process is one process, from its start to its end.
type process struct {
	id      int
	started Time
	ready   bool
	readyAt Time
	told    bool // to end
	toldAt  Time
	killed  bool
	answers float64
	failed  float64
	heard   Time // it last said how it goes; 0: never
	hangs   bool
}

// instance is one place that a process serves at.
type instance struct {
	current *process // serves
	next    *process // starts; a successor where there is a current one
	old     []*process
	fails   int // starts in a row that came to nothing
	startAt Time
	wanted  bool // a successor is asked for
	watched bool // the current one replaced another, and is not trusted yet
	rolling bool // from the successor's start until it is trusted and the process before has gone
}

// Core decides for all instances. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	rng      *rand.Rand
	all      []instance
	lastID   int
	halted   bool
	rolls    bool // a roll is under way
	stopping bool
	done     bool
	effects  []Effect
}

// New makes a core. It starts processes from its first event on.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 1)), all: make([]instance, cfg.Instances)}, nil
}

// Step takes one event and returns its effects, which belong to the caller.
func (c *Core) Step(now Time, ev Event) []Effect {
	c.effects = nil
	switch e := ev.(type) {
	case Ready:
		if i, p := c.find(e.Process); p != nil && !p.ready && !p.killed && !p.told {
			c.ready(now, i, p)
		}
	case ResponseCounts:
		if i, p := c.find(e.Process); p != nil {
			c.served(now, i, p, e)
		}
	case Exited:
		if i, p := c.find(e.Process); p != nil {
			c.exited(now, i, p, e.Clean)
		}
	case ReplaceRequested:
		if e.Instance >= 0 && e.Instance < len(c.all) && !c.stopping {
			c.all[e.Instance].wanted, c.rolls = true, true
		}
	case ReplaceAllRequested:
		for i := range c.all {
			c.all[i].wanted = !c.stopping
		}
		c.rolls = !c.stopping
	case HaltRequested:
		c.halt(-1, 0)
	case ResumeRequested:
		if c.halted {
			c.halted = false
			c.note(LogResumed, -1, 0)
		}
	case StopRequested:
		c.stop(now)
	}
	c.look(now)
	return c.effects
}

func (c *Core) do(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) note(kind LogEventKind, instance, process int) {
	c.do(LogEvent{Kind: kind, Instance: instance, Process: process})
}

func (c *Core) find(id int) (int, *process) {
	for i := range c.all {
		in := &c.all[i]
		for _, p := range append([]*process{in.current, in.next}, in.old...) {
			if p != nil && p.id == id {
				return i, p
			}
		}
	}
	return 0, nil
}

// halt stops replacing. What was asked for stays asked for.
func (c *Core) halt(instance, process int) {
	if !c.halted && !c.stopping {
		c.halted = true
		c.note(LogHalted, instance, process)
	}
}

// term tells a process to end, once.
func (c *Core) term(now Time, p *process, replaced bool) {
	if p != nil && !p.told {
		p.told, p.toldAt = true, now
		c.do(Terminate{p.id, replaced})
	}
}

func (c *Core) kill(p *process) {
	if !p.killed {
		p.killed = true
		c.do(Kill{p.id})
	}
}

func (c *Core) start(now Time, i int) {
	in := &c.all[i]
	c.lastID++
	in.next = &process{id: c.lastID, started: now}
	c.do(Start{i, c.lastID})
	c.note(LogStarted, i, c.lastID)
}

// ready has a process serve in the place of the one before.
func (c *Core) ready(now Time, i int, p *process) {
	in := &c.all[i]
	p.ready, p.readyAt = true, now
	c.note(LogServing, i, p.id)
	if before := in.current; before != nil {
		in.old = append(in.old, before)
		in.watched = true
		c.term(now, before, true)
		c.note(LogReplaced, i, before.id)
	}
	in.current, in.next = p, nil
}

// served judges a process that replaced another, beside the instances that have not been replaced of late.
func (c *Core) served(now Time, i int, p *process, e ResponseCounts) {
	p.answers, p.failed, p.heard = p.answers+float64(e.Responses), p.failed+float64(e.Failed), max(now, 1)
	in := &c.all[i]
	if in.current != p || !in.watched || p.answers < float64(max(1, c.cfg.MinSamples)) {
		return
	}
	var others []float64
	for j := range c.all {
		if o := &c.all[j]; j != i && o.current != nil && !o.watched && o.current.answers >= float64(max(1, c.cfg.MinSamples)) {
			others = append(others, o.current.failed/o.current.answers)
		}
	}
	usual := 0.0
	if slices.Sort(others); len(others) > 0 {
		usual = others[(len(others)-1)/2]
	}
	if p.failed/p.answers > usual+c.cfg.MaxFailureRate {
		in.watched = false
		c.note(LogUnhealthy, i, p.id)
		c.halt(i, p.id)
	}
}

// exited takes the end of a process.
func (c *Core) exited(now Time, i int, p *process, clean bool) {
	in := &c.all[i]
	switch {
	case p == in.next: // it never served
		in.next = nil
		c.failed(now, i, p)
		if in.rolling { // the one before serves on
			in.rolling = false
			c.halt(i, p.id)
		}
	case p == in.current:
		in.current = nil
		switch soon := now-p.readyAt < c.cfg.ObservationPeriod; {
		case p.told:
			c.note(LogEnded, i, p.id)
		case clean && !soon:
			in.fails, in.startAt = 0, now
			c.note(LogDrained, i, p.id)
		default:
			if !soon {
				in.fails = 0
			}
			c.failed(now, i, p)
			if in.watched {
				c.halt(i, p.id)
			}
		}
		in.watched = false
	default:
		in.old = slices.DeleteFunc(in.old, func(o *process) bool { return o == p })
		c.note(LogEnded, i, p.id)
	}
}

// failed has the next start of an instance wait.
func (c *Core) failed(now Time, i int, p *process) {
	in := &c.all[i]
	if !p.killed {
		c.note(LogCrashed, i, p.id)
	}
	if c.stopping {
		return
	}
	most := c.cfg.MaxBackoff
	if in.fails < 30 {
		most = min(most, c.cfg.MinBackoff<<in.fails)
	}
	in.fails++
	wait := c.cfg.MinBackoff/2 + time.Duration(c.rng.Int64N(int64(most)))
	in.startAt = now + wait
	c.do(LogEvent{Kind: LogBackoff, Instance: i, Wait: wait})
}

func (c *Core) stop(now Time) {
	c.stopping, c.rolls = true, false
	for i := range c.all {
		in := &c.all[i]
		in.wanted = false
		c.term(now, in.current, false)
		c.term(now, in.next, false)
	}
}

// look does what is due.
func (c *Core) look(now Time) {
	left := 0
	for i := range c.all {
		in := &c.all[i]
		if p := in.next; p != nil && !p.told && now-p.started >= c.cfg.ReadyTimeout && !p.killed {
			c.note(LogNotReady, i, p.id)
			c.kill(p)
		}
		for _, p := range append([]*process{in.current, in.next}, in.old...) {
			if p == nil {
				continue
			}
			left++
			if p.told && !p.killed && now-p.toldAt >= c.cfg.TerminateTimeout {
				c.note(LogTerminateTimeout, i, p.id)
				c.kill(p)
			}
		}
		if p := in.current; p != nil && now-p.readyAt >= c.cfg.ObservationPeriod {
			in.watched, in.fails = false, 0
		}
		if p := in.current; p != nil && !p.hangs && p.heard > 0 && c.cfg.HangTimeout > 0 && now-p.heard >= c.cfg.HangTimeout {
			p.hangs = true
			c.note(LogHung, i, p.id)
		}
		if in.rolling && in.next == nil && !in.watched && len(in.old) == 0 {
			in.rolling = false
		}
	}
	if c.stopping {
		if left == 0 && !c.done {
			c.done = true
			c.do(Stopped{})
		}
		return
	}
	busy := 0
	for i := range c.all {
		in := &c.all[i]
		lame := in.current == nil || in.current.hangs
		if lame && in.next == nil && now >= in.startAt {
			in.wanted = false // what starts now is what is installed now
			c.start(now, i)
		}
		if in.rolling || lame { // one that does not serve is out as well
			busy++
		}
	}
	for i := range c.all {
		if in := &c.all[i]; in.wanted && in.current != nil && !in.current.hangs && in.next == nil && !in.rolling && !c.halted && busy < c.cfg.MaxConcurrent && now >= in.startAt {
			in.wanted, in.rolling = false, true
			busy++
			c.start(now, i)
		}
	}
	if c.rolls && !slices.ContainsFunc(c.all, func(in instance) bool { return in.wanted || in.rolling }) && !c.halted {
		c.rolls = false
		c.note(LogAllReplaced, -1, 0)
	}
}

// Status is one instance as an operator sees it.
type Status struct {
	Instance int           `json:"instance"`
	Process  int           `json:"process"` // that serves, by the supervisor's count; 0: none
	State    string        `json:"state"`   // serves, replaced, hangs, starts or waits
	For      time.Duration `json:"for_ns"`  // it has served
	Wanted   bool          `json:"to_be_replaced"`
	Failures int           `json:"failed_starts"`
	Ending   int           `json:"ending"` // processes that were told to end
}

// Statuses lists all instances, and whether replacing is halted.
func (c *Core) Statuses(now Time) (all []Status, halted bool) {
	for i := range c.all {
		in := &c.all[i]
		s := Status{Instance: i, State: "waits", Wanted: in.wanted, Failures: in.fails, Ending: len(in.old)}
		switch {
		case in.current != nil && in.current.hangs:
			s.State = "hangs"
		case in.current != nil && in.next != nil:
			s.State = "replaced"
		case in.current != nil:
			s.State = "serves"
		case in.next != nil:
			s.State = "starts"
		}
		if in.current != nil {
			s.Process, s.For = in.current.id, now-in.current.readyAt
		}
		all = append(all, s)
	}
	return all, c.halted
}
