// Package eventloop runs a core, a state machine without clock or I/O, in one goroutine that owns it. A bounded queue leads
// to that goroutine, and its clock counts from the start of the loop. It decides nothing itself.
package eventloop

import (
	"errors"
	"time"
)

// Core handles an event at a time and returns the effects to carry out.
type Core[Event, Effect any] interface {
	Step(now time.Duration, event Event) []Effect
}

// Loop is a core with the queue to its goroutine. Post, Submit, Call and Now are safe for concurrent use.
type Loop[Event, Effect any] struct {
	core  Core[Event, Effect]
	apply func(Effect)
	queue chan func() // never closed
	start time.Time
	ended chan struct{} // closed by Run
}

// queueLength is how many calls may wait for the loop's goroutine.
const queueLength = 1024

// ErrBusy is returned if the queue is full or the loop has ended.
var ErrBusy = errors.New("eventloop: queue full, or loop ended")

// New returns a loop whose clock starts now; Run runs it. The loop calls apply, in its goroutine, to carry out each effect;
// apply must not wait.
func New[Event, Effect any](core Core[Event, Effect], apply func(Effect)) *Loop[Event, Effect] {
	return &Loop[Event, Effect]{
		core:  core,
		apply: apply,
		queue: make(chan func(), queueLength),
		start: time.Now(),
		ended: make(chan struct{}),
	}
}

// Now returns the time on the core's clock. Whoever acts on a decision of the core has to read it at that moment: what a
// process decided before it was stopped may no longer hold when it goes on.
func (l *Loop[Event, Effect]) Now() time.Duration { return time.Since(l.start) }

// Step has the core handle an event and carries out the effects. Only the loop's goroutine may call it.
func (l *Loop[Event, Effect]) Step(event Event) {
	for _, effect := range l.core.Step(l.Now(), event) {
		l.apply(effect)
	}
}

// Post queues an event for the core. It never waits: if the queue is full the event is dropped and Post returns false.
func (l *Loop[Event, Effect]) Post(event Event) bool { return l.Submit(func() { l.Step(event) }) }

// Submit queues a function for the loop's goroutine. It never waits: if the queue is full Submit returns false.
func (l *Loop[Event, Effect]) Submit(f func()) bool {
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// Call has the loop's goroutine call f and waits until f has returned. It returns ErrBusy if the queue is full, or if the
// loop ended before; f must not call it.
func (l *Loop[Event, Effect]) Call(f func()) error {
	done := make(chan struct{}) // closed by the loop's goroutine
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

// Run makes the calling goroutine the loop's until stop is closed, and calls tick at each interval. It must be called once.
// What is still queued at its end is not called.
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
