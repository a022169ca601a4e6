// Package eventloop runs a core, a state machine without clock or I/O, in the one goroutine that owns it. Other goroutines
// reach the core through a bounded queue. The core's clock counts from the creation of the loop.
package eventloop

import (
	"errors"
	"time"
)

// Core is a state machine that handles one event at a time and returns the effects to carry out.
type Core[Event, Effect any] interface {
	Step(now time.Duration, event Event) []Effect
}

// Loop runs a core in one goroutine, which takes its work from a queue. Post, Submit, Call and Now are safe for concurrent
// use.
type Loop[Event, Effect any] struct {
	core  Core[Event, Effect]
	apply func(Effect)
	queue chan func() // functions for the loop's goroutine; never closed
	start time.Time
	ended chan struct{} // closed when Run returns
}

// queueLength is the maximum number of functions that wait for the loop's goroutine.
const queueLength = 1024

// ErrBusy is returned by Call if the queue is full or the loop has ended.
var ErrBusy = errors.New("eventloop: the queue is full or the loop has ended")

// New returns a loop whose clock starts now; Run runs it. The loop's goroutine calls apply to carry out each effect. apply
// must not block.
func New[Event, Effect any](core Core[Event, Effect], apply func(Effect)) *Loop[Event, Effect] {
	return &Loop[Event, Effect]{
		core:  core,
		apply: apply,
		queue: make(chan func(), queueLength),
		start: time.Now(),
		ended: make(chan struct{}),
	}
}

// Now returns the time on the core's clock. Code that acts on a decision of the core has to call Now at the moment when it
// acts: a decision made before the process was paused may no longer hold when the process resumes.
func (l *Loop[Event, Effect]) Now() time.Duration { return time.Since(l.start) }

// Step has the core handle an event and carries out the effects. Only the loop's goroutine may call Step.
func (l *Loop[Event, Effect]) Step(event Event) {
	for _, effect := range l.core.Step(l.Now(), event) {
		l.apply(effect)
	}
}

// Post queues an event for the core. It never blocks: if the queue is full the event is dropped and Post returns false.
func (l *Loop[Event, Effect]) Post(event Event) bool { return l.Submit(func() { l.Step(event) }) }

// Submit queues a function for the loop's goroutine. It never blocks: if the queue is full the function is dropped and
// Submit returns false.
func (l *Loop[Event, Effect]) Submit(f func()) bool {
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// Call has the loop's goroutine call f and waits until f has returned. It returns ErrBusy if the queue is full, or if the
// loop ends before f has returned. f must not call Call.
func (l *Loop[Event, Effect]) Call(f func()) error {
	done := make(chan struct{}) // closed by the loop's goroutine once f has returned
	if !l.Submit(func() { f(); close(done) }) {
		return ErrBusy
	}
	select {
	case <-done:
		return nil
	case <-l.ended:
		return ErrBusy
	}
}

// Run runs the loop in the calling goroutine until stop is closed, and calls tick at each interval. It must be called only
// once. Functions that are still queued when it returns are not called.
func (l *Loop[Event, Effect]) Run(stop <-chan struct{}, interval time.Duration, tick func()) {
	defer close(l.ended)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case f := <-l.queue:
			f()
		case <-ticker.C:
			tick()
		case <-stop:
			return
		}
	}
}
