package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error says what is wrong with one field of a file, or with the file as a whole.
type Error struct {
	Path  string
	Line  int    // line of the field; 0 if the field is not in the file
	Field string // dotted path, with the indexes of array elements, as in fault[2].kind; empty for the file as a whole
	Text  string
	Err   error // the cause, whose text is in Text; nil if there is none
}

// Error returns the error as one line, path:line: field: text, without the parts that are not known.
func (e *Error) Error() string {
	var text strings.Builder
	text.WriteString(e.Path)
	if e.Line > 0 {
		fmt.Fprintf(&text, ":%d", e.Line)
	}
	if e.Field != "" {
		text.WriteString(": " + e.Field)
	}
	return text.String() + ": " + e.Text
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Errorf returns an *Error about a field, with the line of the field.
func (f *File) Errorf(field, format string, args ...any) error {
	cause := fmt.Errorf(format, args...)
	found := &Error{Line: f.Line(field), Field: field, Text: cause.Error(), Err: cause}
	if f != nil {
		found.Path = f.Path
	}
	return found
}

// ValueError is the error that an UnmarshalTOML method returns for a value that it cannot use. Parse finds the line and
// the field of the value.
type ValueError struct {
	Raw  []byte // the value as it is written in the file
	Text string
}

// Error returns the reason.
func (e *ValueError) Error() string { return e.Text }

// decodeError converts an error of the TOML library to an *Error.
func (f *File) decodeError(text []byte, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		first := unknown.Errors[0]
		line, _ := first.Position()
		return &Error{Path: f.Path, Line: line, Field: strings.Join(first.Key(), "."), Text: "there is no such field", Err: err}
	}
	var invalid *toml.DecodeError
	if errors.As(err, &invalid) {
		line, _ := invalid.Position()
		field := strings.Join(invalid.Key(), ".")
		if field == "" {
			field = f.fieldAt(line)
		}
		return &Error{Path: f.Path, Line: line, Field: field, Text: withoutLibrary(invalid), Err: err}
	}
	var value *ValueError
	if errors.As(err, &value) {
		line := lineOfValue(text, value.Raw)
		return &Error{Path: f.Path, Line: line, Field: f.fieldAt(line), Text: value.Text, Err: err}
	}
	return &Error{Path: f.Path, Text: withoutLibrary(err), Err: err}
}

// withoutLibrary returns the text of an error without the prefix that names the TOML library.
func withoutLibrary(err error) string { return strings.TrimPrefix(err.Error(), "toml: ") }

// lineOfValue returns the first line that gives a field this value. The TOML library passes the bytes of a value to
// UnmarshalTOML, but not their position. If an earlier field has the same bytes, its line is returned instead.
func lineOfValue(text, raw []byte) int {
	for i, line := range bytes.Split(text, []byte{'\n'}) {
		_, value, ok := bytes.Cut(line, []byte{'='})
		if ok && bytes.HasPrefix(bytes.TrimSpace(value), raw) {
			return i + 1
		}
	}
	return 0
}
