// Package loop runs a core in a goroutine of its own: one owner, reached by a bounded queue, with a clock that counts from its
// start. It decides nothing.
package eventloop

import (
	"errors"
	"time"
)

// Core takes events of one sort with the time, and returns effects of another.
type Core[Event, Effect any] interface {
	Step(now time.Duration, ev Event) []Effect
}

// Loop is one core and its owner.
type Loop[Event, Effect any] struct {
	core  Core[Event, Effect]
	do    func(Effect)
	queue chan func()
	start time.Time
	over  chan struct{}
}

const queueLength = 1024

// ErrBusy says that the loop is behind, or has ended.
var ErrBusy = errors.New("busy")

// New makes a loop; do carries an effect out, in the loop's goroutine, and must not wait. Run serves it.
func New[Event, Effect any](core Core[Event, Effect], do func(Effect)) *Loop[Event, Effect] {
	return &Loop[Event, Effect]{core: core, do: do, queue: make(chan func(), queueLength), start: time.Now(), over: make(chan struct{})}
}

// Now is the core's clock. It is read at the deed: what a process decided before it was stopped counts no more when it goes on.
func (l *Loop[Event, Effect]) Now() time.Duration { return time.Since(l.start) }

// Step gives the core an event. Only the loop's goroutine may call it.
func (l *Loop[Event, Effect]) Step(ev Event) {
	for _, e := range l.core.Step(l.Now(), ev) {
		l.do(e)
	}
}

// Post has the core take an event. It never waits: while the loop is behind the event is lost, and it says so.
func (l *Loop[Event, Effect]) Post(ev Event) bool { return l.Submit(func() { l.Step(ev) }) }

// Submit has f called in the loop's goroutine. It never waits.
func (l *Loop[Event, Effect]) Submit(f func()) bool {
	select {
	case l.queue <- f:
		return true
	default:
		return false
	}
}

// Call has f called in the loop's goroutine and waits until it was.
func (l *Loop[Event, Effect]) Call(f func()) error {
	done := make(chan struct{})
	if !l.Submit(func() { f(); close(done) }) {
		return ErrBusy
	}
	select {
	case <-done:
		return nil
	case <-l.over:
		return ErrBusy
	}
}

// Run owns the core until stop is closed, and calls tick so often.
func (l *Loop[Event, Effect]) Run(stop <-chan struct{}, every time.Duration, tick func()) {
	defer close(l.over)
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case f := <-l.queue:
			f()
		case <-t.C:
			tick()
		case <-stop:
			return
		}
	}
}
