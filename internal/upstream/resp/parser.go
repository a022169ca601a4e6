package resp

import (
	"bytes"
	"strconv"

	"shelfproxy/internal/upstream"
)

// Bounds of an answer. Past them it is garbage, and nothing of its size is allocated. That of a value is told to the codec.
const (
	maxItems = 3
	maxLine  = 512
	maxCount = 16 // of a line that gives a count or a length
)

// reply is one RESP2 value; its data is a slice of the buffer.
type reply struct {
	kind  byte // + - : $ *
	data  []byte
	null  bool
	items []reply
}

// parse reads one value from the start of b, with no string longer than most, and returns how many bytes it took; 0 if b does
// not hold all of it yet, and less than 0 where so many bytes at least are wanted in all. redcon.ReadNextRESP is not used here: it does not tell a broken value from a part of one, and a length
// near the largest integer makes it panic.
func parse(b []byte, depth, most int) (reply, int, error) {
	line := b[:min(len(b), maxLine)]
	if len(b) > 0 && (b[0] == '$' || b[0] == '*' || b[0] == ':') {
		line = b[:min(len(b), maxCount)]
	}
	eol := bytes.IndexByte(line, '\n')
	if eol < 0 {
		// A line that can't end well is given up at once, as the rest of it may never come.
		if len(line) < len(b) || len(line) == maxLine || len(b) > 0 && !wellBegun(line) {
			return reply{}, 0, upstream.ErrMalformedResponse
		}
		return reply{}, 0, nil
	}
	if eol < 2 || b[eol-1] != '\r' || !wellBegun(line[:eol]) {
		return reply{}, 0, upstream.ErrMalformedResponse
	}
	v, at := reply{kind: b[0], data: b[1 : eol-1]}, eol+1
	switch v.kind {
	case '+', '-', ':':
		return v, at, nil
	case '$', '*':
	default:
		return reply{}, 0, upstream.ErrMalformedResponse
	}
	n, err := strconv.Atoi(string(v.data))
	if err != nil || n < -1 || v.kind == '$' && n > most || v.kind == '*' && (n > maxItems || depth > 0) {
		return reply{}, 0, upstream.ErrMalformedResponse
	}
	if v.data = nil; n < 0 {
		v.null = true
		return v, at, nil
	}
	if v.kind == '$' {
		if len(b) < at+n+2 {
			return reply{}, -(at + n + 2), nil
		}
		if b[at+n] != '\r' || b[at+n+1] != '\n' {
			return reply{}, 0, upstream.ErrMalformedResponse
		}
		v.data = b[at : at+n : at+n]
		return v, at + n + 2, nil
	}
	for range n {
		item, took, err := parse(b[at:], depth+1, most)
		if took < 0 {
			took -= at
		}
		if err != nil || took <= 0 {
			return reply{}, took, err
		}
		v.items = append(v.items, item)
		at += took
	}
	return v, at, nil
}

// wellBegun tells whether this can be the start of a line: its kind, and printable text or a number. A carriage
// return is looked for at the end only.
func wellBegun(line []byte) bool {
	text := bytes.TrimSuffix(line[1:], []byte{'\r'})
	switch line[0] {
	case '+', '-':
		return !bytes.ContainsFunc(text, func(r rune) bool { return r < ' ' || r > '~' })
	case '$', '*', ':':
		return !bytes.ContainsFunc(text, func(r rune) bool { return r != '-' && (r < '0' || r > '9') })
	}
	return false
}
