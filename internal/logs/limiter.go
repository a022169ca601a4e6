package logs

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// The rate limit for the records of one event of one component.
const (
	burst  = 10               // maximum number of records that are written in a window
	window = 10 * time.Second // length of a window; the next window's first record holds the number of dropped records
)

// droppedKey is the key of the attribute that holds the number of records dropped in the previous window.
const droppedKey = "left_out"

// limiter is a slog.Handler that passes on the first records of each event in a window, and drops and counts the others.
// Event names are constants in the code, so their number is bounded. Three kinds of records are never dropped: those
// without an event, errors, and records below the level info, which are written only if an operator has asked for them.
// limiter is safe for concurrent use.
type limiter struct {
	slog.Handler
	component string
	windows   *eventWindows // shared by all loggers that are derived from the same one
}

// eventWindows holds the current window of each event.
type eventWindows struct {
	mu     sync.Mutex
	events map[eventKey]*eventWindow
}

// eventKey identifies an event of a component.
type eventKey struct{ component, event string }

// eventWindow counts the records of one event since the start of the window.
type eventWindow struct {
	start   time.Time
	records int
	dropped int
}

func newLimiter(handler slog.Handler) *limiter {
	return &limiter{Handler: handler, windows: &eventWindows{events: map[eventKey]*eventWindow{}}}
}

// Handle writes a record, or drops it if its event has reached the limit of its window. The first record of the next window
// holds the number of dropped records.
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

// eventOf returns the value of a record's Event attribute, or "" if the record has none.
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

// allow counts a record and reports whether it may be written. If the record starts a new window, droppedBefore is the
// number of records dropped in the previous one.
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

// WithAttrs returns a handler that adds attributes and shares the windows of this one.
func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), component: l.component, windows: l.windows}
}

// WithGroup returns a handler that adds a group and shares the windows of this one.
func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), component: l.component, windows: l.windows}
}
