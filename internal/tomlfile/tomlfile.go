// Package tomlfile reads TOML files strictly: an unknown key is an error, and every error, also one that a caller finds
// later in a value, names the file, the line and the field. The operators' files and the testbed's scenarios are read
// with it. What the fields mean is the callers' concern.
package tomlfile

import (
	"bytes"
	"errors"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is a file that was read, with the line of each field in it. It does not change and may be read by any goroutine.
// The methods of a nil *File are those of a file that sets nothing.
type File struct {
	Path  string
	lines map[string]int // by dotted name
}

// Read decodes the file at path into target, a pointer to a struct that holds the defaults. Values of types with an
// UnmarshalText are given as strings. An error is an *Error.
func Read(path string, target any) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var pathError *os.PathError
		if errors.As(err, &pathError) {
			err = pathError.Err // Error names the path itself
		}
		return nil, &Error{Path: path, Text: err.Error(), Err: err}
	}
	return Parse(path, text, target)
}

// Parse is Read for a text in memory; path is only for the errors.
func Parse(path string, text []byte, target any) (*File, error) {
	file := &File{Path: path, lines: indexLines(text)}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().EnableUnmarshalerInterface()
	if err := decoder.Decode(target); err != nil {
		return nil, file.decodeError(text, err)
	}
	return file, nil
}

// Line returns the line of a field, or of the nearest table around it that the file has; 0 without either.
func (f *File) Line(field string) int {
	for f != nil && field != "" {
		if line, ok := f.lines[field]; ok {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 0
}

// Has reports whether the file sets a field.
func (f *File) Has(field string) bool {
	if f == nil {
		return false
	}
	_, ok := f.lines[field]
	return ok
}

// fieldAt returns the field that a line sets, for errors that do not name it. Where the line sets parts of the field
// too, it is the field as a whole.
func (f *File) fieldAt(line int) (field string) {
	for name, at := range f.lines {
		if at == line && (field == "" || len(name) < len(field)) {
			field = name
		}
	}
	return field
}
