// Package tomlfile reads TOML files strictly: an unknown key is an error. Every error names the file, the line and the
// field, even if a caller finds the error in a value later. The operators' files and the testbed's scenarios are read
// with this package. The meaning of the fields is left to the callers.
package tomlfile

import (
	"bytes"
	"errors"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// File is a TOML file that was read, with the line of each field. It does not change and may be read by any goroutine.
// The methods of a nil *File behave as for a file that sets nothing.
type File struct {
	Path  string
	lines map[string]int // line of each field, by the dotted name of the field
}

// Read decodes the file at path into target, a pointer to a struct that holds the defaults. Values of types with an
// UnmarshalText method are strings in the file. An error is an *Error.
func Read(path string, target any) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var pathError *os.PathError
		if errors.As(err, &pathError) {
			err = pathError.Err // the text of an *Error already begins with the path
		}
		return nil, &Error{Path: path, Text: err.Error(), Err: err}
	}
	return Parse(path, text, target)
}

// Parse decodes a text in memory as Read decodes a file. path is only used in errors.
func Parse(path string, text []byte, target any) (*File, error) {
	file := &File{Path: path, lines: indexLines(text)}
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().EnableUnmarshalerInterface()
	if err := decoder.Decode(target); err != nil {
		return nil, file.decodeError(text, err)
	}
	return file, nil
}

// Line returns the line of a field, or of the nearest table around it that the file has. It returns 0 if the file has
// neither.
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

// fieldAt returns the field that is set on a line, for errors that do not name the field. If parts of the field are set
// on the same line, fieldAt returns the field as a whole.
func (f *File) fieldAt(line int) (field string) {
	for name, at := range f.lines {
		if at == line && (field == "" || len(name) < len(field)) {
			field = name
		}
	}
	return field
}
