package target

import (
	"bytes"
	"strconv"

	"shelfproxy/internal/forward"
)

// Bounds of an answer. Past them it is garbage, and nothing of its size is allocated.
const (
	maxBulk  = 1 << 20
	maxItems = 16
	maxLine  = 4 << 10
)

// reply is one RESP2 value; its data is a slice of the buffer.
type reply struct {
	kind  byte // + - : $ *
	data  []byte
	null  bool
	items []reply
}

// parse reads one value from the start of b and returns how many bytes it took, 0 if b does not hold all of it
// yet. redcon.ReadNextRESP is not used here: it does not tell a broken value from a part of one, and a length
// near the largest integer makes it panic.
func parse(b []byte, depth int) (reply, int, error) {
	eol := bytes.IndexByte(b[:min(len(b), maxLine)], '\n')
	if eol < 0 {
		if len(b) >= maxLine || len(b) > 0 && bytes.IndexByte([]byte("+-:$*"), b[0]) < 0 {
			return reply{}, 0, forward.ErrGarbage
		}
		return reply{}, 0, nil
	}
	if eol < 2 || b[eol-1] != '\r' {
		return reply{}, 0, forward.ErrGarbage
	}
	v, at := reply{kind: b[0], data: b[1 : eol-1]}, eol+1
	switch v.kind {
	case '+', '-', ':':
		return v, at, nil
	case '$', '*':
	default:
		return reply{}, 0, forward.ErrGarbage
	}
	n, err := strconv.Atoi(string(v.data))
	if err != nil || n < -1 || v.kind == '$' && n > maxBulk || v.kind == '*' && (n > maxItems || depth > 0) {
		return reply{}, 0, forward.ErrGarbage
	}
	if v.data = nil; n < 0 {
		v.null = true
		return v, at, nil
	}
	if v.kind == '$' {
		if len(b) < at+n+2 {
			return reply{}, 0, nil
		}
		if b[at+n] != '\r' || b[at+n+1] != '\n' {
			return reply{}, 0, forward.ErrGarbage
		}
		v.data = b[at : at+n : at+n]
		return v, at + n + 2, nil
	}
	for range n {
		item, took, err := parse(b[at:], depth+1)
		if err != nil || took == 0 {
			return reply{}, 0, err
		}
		v.items = append(v.items, item)
		at += took
	}
	return v, at, nil
}
