package config

import (
	"errors"
	"fmt"
	"strings"

	"shelfproxy/internal/tomlfile"
)

// Error says why a node cannot use its configuration. The text of the error is one line: file:line: field: reason,
// without the parts that do not apply. Every error of Load is an *Error.
type Error struct {
	Path   string // path of the operators' file; empty if the value came from the platform or from the environment
	Line   int    // line of the field, or of the nearest table around the field; 0 if the file has neither
	Field  string // dotted name of the field, or name of the environment variable; empty if Reason names the field
	Reason error
}

// Error returns the configuration error as one line.
func (e *Error) Error() string {
	var text strings.Builder
	if e.Path != "" {
		text.WriteString(e.Path)
		if e.Line > 0 {
			fmt.Fprintf(&text, ":%d", e.Line)
		}
		text.WriteString(": ")
	}
	if e.Field != "" {
		text.WriteString(e.Field + ": ")
	}
	return text.String() + e.Reason.Error()
}

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Reason }

// invalid returns an Error about a field of the platform's configuration or of the environment.
func invalid(field, format string, args ...any) error {
	return &Error{Field: field, Reason: fmt.Errorf(format, args...)}
}

// invalid returns an Error about a field of the operators' file.
func (o *Operator) invalid(field, format string, args ...any) error {
	return &Error{Path: o.file.Path, Line: o.file.Line(field), Field: field, Reason: fmt.Errorf(format, args...)}
}

// fileError converts an error that tomlfile found in the operators' file to an *Error.
func fileError(err error) error {
	var found *tomlfile.Error
	if !errors.As(err, &found) {
		return &Error{Reason: err}
	}
	return &Error{Path: found.Path, Line: found.Line, Field: found.Field, Reason: errors.New(found.Text)}
}

// FieldError says which field of a JSON message has a value that is unknown or out of range. The message is the
// platform's settings or a message of the simulator.
type FieldError struct {
	Field  string // dotted path of the field
	Reason string
}

// Error returns the field and the reason on one line.
func (e *FieldError) Error() string { return "field " + e.Field + ": " + e.Reason }
