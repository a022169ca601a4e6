// Package logs makes the structured logs of the project's programs. Every line has a component and an event, a name
// that does not change from one release to the next and that scripts may look for; the message is for people. Lines
// of an event that repeats are limited and counted, so that trouble can't drown the log or cost the node its core.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"sync"
	"time"

	"golang.org/x/term"
)

// The limit on lines of one event and component.
const (
	burst  = 10               // lines of an event in a window
	window = 10 * time.Second // after which it may be written again, with how often it was left out
)

// Event is the attribute that names what happened.
const Event = "event"

// Options say how a log is written.
type Options struct {
	Level  slog.Level
	Format string // "text", "json", or "auto": text on a terminal, JSON otherwise
}

// Formats are the words for Options.Format.
var Formats = []string{"auto", "text", "json"}

// Level reads a level: debug, info, warn or error.
func Level(word string) (slog.Level, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(word)); err != nil {
		return l, fmt.Errorf("%q is none of debug, info, warn, error", word)
	}
	return l, nil
}

// New returns a logger that writes to w.
func New(w io.Writer, o Options) *slog.Logger {
	opt := &slog.HandlerOptions{Level: o.Level}
	f, isFile := w.(*os.File)
	text := o.Format == "text" || o.Format != "json" && isFile && term.IsTerminal(int(f.Fd()))
	var h slog.Handler = slog.NewJSONHandler(w, opt)
	if text {
		h = slog.NewTextHandler(w, opt)
	}
	return slog.New(&limiter{Handler: h, seen: &seen{events: map[string]*tally{}}})
}

// Component is a logger for one part of a program.
func Component(l *slog.Logger, name string) *slog.Logger {
	c := l.With("component", name)
	if lim, ok := c.Handler().(*limiter); ok {
		lim.component = name
	}
	return c
}

// limiter passes on the first lines of each event in a window and counts the rest. Events are words of the code,
// so their number is bounded by it; a line without one is never limited.
type limiter struct {
	slog.Handler
	component string
	seen      *seen
}

type seen struct {
	mu     sync.Mutex
	events map[string]*tally
}

type tally struct {
	since   time.Time
	lines   int
	dropped int
}

func (l *limiter) Handle(ctx context.Context, r slog.Record) error {
	event := ""
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == Event {
			event = a.Value.String()
		}
		return event == ""
	})
	if event == "" || r.Level >= slog.LevelError {
		return l.Handler.Handle(ctx, r)
	}
	l.seen.mu.Lock()
	key := l.component + "\x00" + event
	t := l.seen.events[key]
	if t == nil {
		t = &tally{since: r.Time}
		l.seen.events[key] = t
	}
	dropped := 0
	if r.Time.Sub(t.since) >= window {
		dropped = t.dropped
		*t = tally{since: r.Time}
	}
	t.lines++
	over := t.lines > burst
	if over {
		t.dropped++
	}
	l.seen.mu.Unlock()
	if over {
		return nil
	}
	if dropped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("left_out", dropped))
	}
	return l.Handler.Handle(ctx, r)
}

func (l *limiter) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &limiter{Handler: l.Handler.WithAttrs(attrs), component: l.component, seen: l.seen}
}

func (l *limiter) WithGroup(name string) slog.Handler {
	return &limiter{Handler: l.Handler.WithGroup(name), component: l.component, seen: l.seen}
}
