// Package tomlfile reads TOML files strictly: a field that is not known is an error, and every error, also one that
// a caller finds later in a value, names the file, the line and the field. The operator's file of the node and the
// scenarios of the lab are read with it. It decides nothing about what the fields mean.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a file that was read, with the line of every field in it.
type File struct {
	Path  string
	lines map[string]int
}

// Error is what is wrong with one field of a file.
type Error struct {
	Path  string
	Line  int    // 0 where the field is not in the file
	Field string // dotted, with the index of an element as in fault[2].kind; empty for the file as a whole
	Text  string
}

func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Path)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	if e.Field != "" {
		b.WriteString(": " + e.Field)
	}
	return b.String() + ": " + e.Text
}

// Read decodes the file at path into v, which holds the defaults. Values of types with UnmarshalText are given as
// strings.
func Read(path string, v any) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		var pathErr *os.PathError
		if errors.As(err, &pathErr) {
			err = pathErr.Err
		}
		return nil, &Error{Path: path, Text: err.Error()}
	}
	return Parse(path, text, v)
}

// Parse is Read for a text that is in memory; path is only for messages.
func Parse(path string, text []byte, v any) (*File, error) {
	f := &File{Path: path, lines: map[string]int{}}
	f.index(text)
	dec := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields().EnableUnmarshalerInterface()
	err := dec.Decode(v)
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case err == nil:
		return f, nil
	case errors.As(err, &unknown):
		e := unknown.Errors[0]
		line, _ := e.Position()
		return nil, &Error{Path: path, Line: line, Field: strings.Join(e.Key(), "."), Text: "there is no such field"}
	case errors.As(err, &bad):
		line, _ := bad.Position()
		field := strings.Join(bad.Key(), ".")
		if field == "" {
			field = f.at(line)
		}
		return nil, &Error{Path: path, Line: line, Field: field, Text: strings.TrimPrefix(bad.Error(), "toml: ")}
	}
	e := &Error{Path: path, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	var value *ValueError
	if errors.As(err, &value) {
		e.Line, e.Text = lineOf(text, value.Raw), value.Text
		e.Field = f.at(e.Line)
	}
	return nil, e
}

// ValueError is what an UnmarshalTOML returns for a value that it can't use; Parse finds its place.
type ValueError struct {
	Raw  []byte // as the file has it
	Text string
}

func (e *ValueError) Error() string { return e.Text }

// lineOf is the first line that gives a field this value. The library tells UnmarshalTOML the bytes but not where
// they are; another field with the same bytes before it would be named in its stead.
func lineOf(text, raw []byte) int {
	for i, line := range bytes.Split(text, []byte{'\n'}) {
		if _, value, ok := bytes.Cut(line, []byte{'='}); ok && bytes.HasPrefix(bytes.TrimSpace(value), raw) {
			return i + 1
		}
	}
	return 0
}

// Line is the line of a field, or of the nearest table around it that the file has; 0 without either.
func (f *File) Line(field string) int {
	for f != nil && field != "" {
		if n, ok := f.lines[field]; ok {
			return n
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return 0
}

// Has tells whether the file sets a field.
func (f *File) Has(field string) bool {
	if f == nil {
		return false
	}
	_, ok := f.lines[field]
	return ok
}

// Errorf is an error about a field.
func (f *File) Errorf(field, format string, args ...any) error {
	e := &Error{Line: f.Line(field), Field: field, Text: fmt.Sprintf(format, args...)}
	if f != nil {
		e.Path = f.Path
	}
	return e
}

// at is the field that a line sets, for errors that do not name it: not a part of it.
func (f *File) at(line int) (field string) {
	for name, n := range f.lines {
		if n == line && (field == "" || len(name) < len(field)) {
			field = name
		}
	}
	return field
}

// index notes the line of every key. Elements of arrays of tables are numbered from 0. A text with an error is
// indexed as far as it goes.
func (f *File) index(text []byte) {
	var p unstable.Parser
	p.Reset(text)
	table := ""
	counts := map[string]int{}
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for k := e.Key(); k.Next(); {
			n := k.Node()
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
			parts = append(parts, string(n.Data))
		}
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			// A part that names an array means its last element.
			path := ""
			for i, part := range parts {
				path = join(path, part)
				if n := counts[path]; n > 0 && (e.Kind == unstable.Table || i < len(parts)-1) {
					path += "[" + strconv.Itoa(n-1) + "]"
				}
			}
			if e.Kind == unstable.ArrayTable {
				counts[path]++
				path += "[" + strconv.Itoa(counts[path]-1) + "]"
			}
			table = path
			f.lines[path] = line
		case unstable.KeyValue:
			name := join(table, strings.Join(parts, "."))
			f.lines[name] = line
			f.inner(&p, name, e.Value(), line)
		}
	}
}

// inner notes the fields of inline tables and of arrays of them.
func (f *File) inner(p *unstable.Parser, name string, v *unstable.Node, line int) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			kv := it.Node()
			var parts []string
			at := line
			for k := kv.Key(); k.Next(); {
				n := k.Node()
				if len(parts) == 0 {
					at = p.Shape(n.Raw).Start.Line
				}
				parts = append(parts, string(n.Data))
			}
			field := join(name, strings.Join(parts, "."))
			f.lines[field] = at
			f.inner(p, field, kv.Value(), at)
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			field := name + "[" + strconv.Itoa(i) + "]"
			f.lines[field] = line
			f.inner(p, field, it.Node(), line)
		}
	}
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// Duration is a time.Duration written as in "1.5s" or "250ms".
type Duration time.Duration

// UnmarshalText reads a duration; one without a unit is an error.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"250ms\" or \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes it in the form that UnmarshalText reads.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// D is the duration as the standard library's.
func (d Duration) D() time.Duration { return time.Duration(d) }
