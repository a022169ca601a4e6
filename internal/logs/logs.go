// Package logs creates the structured logs of the project's programs.
//
// Every record has a component and an event. The name of an event does not change between releases, so that scripts can
// match it; the message is for people. The records of each event are rate limited and the dropped ones are counted, so that a
// persistent fault can neither flood the log nor use up the node's CPU time.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"golang.org/x/term"
)

// Event is the key of the attribute that holds the name of the event.
const Event = "event"

// Options configures a logger.
type Options struct {
	Level  slog.Level
	Format string // one of Formats; "auto" means text on a terminal and JSON otherwise
}

// Formats lists the valid values of Options.Format.
var Formats = []string{"auto", "text", "json"}

// Level parses the name of a level: debug, info, warn or error.
func Level(name string) (slog.Level, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(name)); err != nil {
		return level, fmt.Errorf("%q is none of debug, info, warn, error", name)
	}
	return level, nil
}

// New returns a logger that writes to w.
func New(w io.Writer, options Options) *slog.Logger {
	handlerOptions := &slog.HandlerOptions{Level: options.Level}
	var handler slog.Handler
	if isText(w, options.Format) {
		handler = slog.NewTextHandler(w, handlerOptions)
	} else {
		handler = slog.NewJSONHandler(w, handlerOptions)
	}
	return slog.New(newLimiter(handler))
}

// isText reports whether records are written as text rather than JSON.
func isText(w io.Writer, format string) bool {
	switch format {
	case "text":
		return true
	case "json":
		return false
	}
	file, isFile := w.(*os.File)
	return isFile && term.IsTerminal(int(file.Fd()))
}

// Component returns a logger for one part of a program. The events of each component are rate limited separately.
func Component(logger *slog.Logger, name string) *slog.Logger {
	component := logger.With("component", name)
	if limited, ok := component.Handler().(*limiter); ok {
		limited.component = name
	}
	return component
}
