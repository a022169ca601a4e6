package listener

import (
	"errors"
	"io"
	"strings"
)

// Bounds of one command, past which its framing counts as broken. A value somewhat over the largest is still
// read whole, so that the client gets an answer on it.
const (
	maxArgs    = 64
	maxArg     = 512 << 10
	maxCommand = 1 << 20
)

var (
	errTooLarge = errors.New("Protocol error: command is too large")
	errHeader   = errors.New("Protocol error: invalid length")
)

// guard follows the framing of what redcon's reader will see and ends the stream before it gets there with a
// length that it cannot take: a count near the largest integer makes it loop for ever, such a length of a bulk
// string makes it panic, and a command without an end makes its buffer grow without one.
type guard struct {
	rd   io.Reader
	err  error
	head byte // '*' or '$': in such a line; 0: at the start of a line; 1: in a plain line
	n    int  // number read so far in the line
	neg  bool
	args int // bulk strings still to come
	skip int // bytes of a bulk string and its CRLF still to come
	size int // bytes of the command so far
}

func (g *guard) Read(b []byte) (int, error) {
	if g.err != nil {
		return 0, g.err
	}
	n, err := g.rd.Read(b)
	for i := 0; i < n; i++ {
		if g.skip > 0 {
			step := min(g.skip, n-i)
			g.skip -= step
			g.size += step
			i += step - 1
			g.endOfPart()
			continue
		}
		if g.err = g.step(b[i]); g.err != nil {
			return i, nil // the bytes before may hold whole commands
		}
	}
	return n, err
}

func (g *guard) step(c byte) error {
	if g.size++; g.size > maxCommand {
		return errTooLarge
	}
	switch {
	case g.head == 0:
		g.n, g.neg = 0, false
		if g.head = c; c != '*' && c != '$' {
			g.head = 1
			if c == '\n' {
				g.head, g.size = 0, 0
			}
		}
	case c == '\n':
		head := g.head
		g.head = 0
		switch head {
		case '*':
			if g.n > maxArgs {
				return errTooLarge
			}
			g.args = g.n
		case '$':
			if g.n > maxArg {
				return errTooLarge
			}
			g.skip = g.n + 2
		default:
			if g.args == 0 {
				g.size = 0
			}
		}
	case g.head == 1, c == '\r':
	case c < '0' || c > '9':
		return errHeader
	default:
		if g.n = g.n*10 + int(c-'0'); g.n > maxCommand {
			return errTooLarge
		}
	}
	return nil
}

// endOfPart counts the bulk string that has just ended.
func (g *guard) endOfPart() {
	if g.skip == 0 {
		if g.args--; g.args <= 0 {
			g.args, g.size = 0, 0
		}
	}
}

// protocolError is what to tell a client whose framing is broken; empty for an error of the connection.
func protocolError(err error) string {
	if text := err.Error(); strings.HasPrefix(text, "Protocol error") {
		return text
	}
	return ""
}
