// Package logs creates the structured logs of the project's programs.
//
// Every record has a component and an event. An event's name does not change from one release to the next, so that scripts
// can match it; the message is for people. Records of an event that repeats are rate limited and the dropped ones are counted,
// so that a persistent fault can neither flood the log nor use up the node's processor.
package logs

import (
	"fmt"
	"io"
	"log/slog"
	"os"

	"golang.org/x/term"
)

// Event is the key of the attribute that names what happened.
const Event = "event"

// Options configure a log.
type Options struct {
	Level  slog.Level
	Format string // one of Formats; "auto" is text on a terminal and JSON otherwise
}

// Formats are the values of Options.Format.
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

// Component returns a logger for one part of a program. Each component's events are limited on their own.
func Component(logger *slog.Logger, name string) *slog.Logger {
	component := logger.With("component", name)
	if limited, ok := component.Handler().(*limiter); ok {
		limited.component = name
	}
	return component
}
