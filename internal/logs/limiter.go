package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// The rate limit of one event of one component.
const (
	burst  = 10               // records that are written in a window
	window = 10 * time.Second // after which the event is written again, with the number of records that were dropped
)

// droppedKey is the key of the attribute that counts the records dropped in the window before.
const droppedKey = "left_out"

// limiter is a slog.Handler that passes on the first records of each event in a window and counts the others. Events are
// names in the code, so their number is bounded. Records without an event, errors, and records below the level info, which
// an operator has asked for, are never dropped. It is safe for concurrent use.
type limiter struct {
	slog.Handler
	component string
	windows   *eventWindows // shared by all loggers that derive from one log
}

// eventWindows holds the current window of each event.
type eventWindows struct {
	mu     sync.Mutex
	events map[eventKey]*eventWindow
}

// eventKey identifies an event of a component.
type eventKey struct{ component, event string }

// eventWindow counts the records of one event since the window began.
type eventWindow struct {
	start   time.Time
	records int
	dropped int
}

func newLimiter(handler slog.Handler) *limiter {
	return &limiter{Handler: handler, windows: &eventWindows{events: map[eventKey]*eventWindow{}}}
}

// Handle writes a record, or drops it if its event has used up its window. The first record of a later window carries the
// number of dropped ones.
func (l *limiter) Handle(ctx context.Context, record slog.Record) error {
	event := eventOf(record)
	if event == "" || record.Level >= slog.LevelError || record.Level < slog.LevelInfo {
		return l.Handler.Handle(ctx, record)
	}
	allowed, droppedBefore := l.windows.allow(eventKey{l.component, event}, record.Time)
	if !allowed {
		return nil
	}
	if droppedBefore > 0 {
		record = record.Clone()
		record.AddAttrs(slog.Int(droppedKey, droppedBefore))
	}
	return l.Handler.Handle(ctx, record)
}

// eventOf returns the event that a record names, or "".
func eventOf(record slog.Record) string {
	event := ""
	record.Attrs(func(attr slog.Attr) bool {
		if attr.Key == Event {
			event = attr.Value.String()
		}
		return event == ""
	})
	return event
}

// allow counts a record and reports whether it is written, and how many records were dropped in the window that it ends.
func (w *eventWindows) allow(key eventKey, at time.Time) (allowed bool, droppedBefore int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.events[key]
	if current == nil {
		current = &eventWindow{start: at}
		w.events[key] = current
	}
	if at.Sub(current.start) >= window {
		droppedBefore = current.dropped
		*current = eventWindow{start: at}
	}
	current.records++
	if current.records > burst {
		current.dropped++
		return false, droppedBefore
	}
	return true, droppedBefore
}

// WithAttrs returns a handler with further attributes that shares this one's windows.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), component: l.component, windows: l.windows}
}

// WithGroup returns a handler with a group that shares this one's windows.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), component: l.component, windows: l.windows}
}
