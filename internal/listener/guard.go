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
	maxArg     = 72 << 10
	maxCommand = 80 << 10
)

var (
	errTooLarge = errors.New("Protocol error: command is too large")
	errLength   = errors.New("Protocol error: invalid length")
	errFraming  = errors.New("Protocol error: expected an array of bulk strings")
)

// guard follows the framing of what redcon's reader will see and ends the stream before the byte that breaks it.
// redcon's own check drops the good commands that came in the same read as a broken one; a count near the largest
// integer makes it loop for ever, such a length of a bulk string makes it panic, and a command without an end
// makes its buffer grow without one.
type guard struct {
	rd     io.Reader
	err    error
	state  int
	bulk   bool // the line in hand gives the length of a bulk string, not a count of them
	n      int  // number read so far in the line
	digits int
	args   int    // bulk strings of the command still to come
	size   int    // bytes of the command so far
	half   func() // called when more is waited for with half a command in hand; may be nil
}

// What the guard expects next.
const (
	atStart  = iota // '*', or '$' within a command
	inNumber        // a digit or CR
	lineEnd         // LF
	inBulk          // bytes of a bulk string
	bulkCR
	bulkLF
)

func (g *guard) Read(b []byte) (int, error) {
	if g.err != nil {
		return 0, g.err
	}
	if g.half != nil && (g.state != atStart || g.args > 0) {
		g.half()
	}
	n, err := g.rd.Read(b)
	for i := 0; i < n; i++ {
		if g.state == inBulk {
			step := min(g.n, n-i)
			g.n -= step
			i += step - 1
			if g.n == 0 {
				g.state = bulkCR
			}
			continue
		}
		if g.err = g.step(b[i]); g.err != nil {
			return i, nil // the bytes before may hold whole commands
		}
	}
	return n, err
}

func (g *guard) step(c byte) error {
	switch g.state {
	case atStart:
		if g.bulk = g.args > 0; g.bulk && c != '$' || !g.bulk && c != '*' {
			return errFraming
		}
		g.n, g.digits, g.state = 0, 0, inNumber
	case inNumber:
		switch {
		case c == '\r' && g.digits > 0:
			g.state = lineEnd
		case c < '0' || c > '9' || g.digits > 9:
			return errLength
		default:
			g.n = g.n*10 + int(c-'0')
			g.digits++
		}
	case lineEnd:
		if c != '\n' {
			return errLength
		}
		return g.number()
	case bulkCR:
		if c != '\r' {
			return errFraming
		}
		g.state = bulkLF
	case bulkLF:
		if c != '\n' {
			return errFraming
		}
		g.state = atStart
		if g.args--; g.args == 0 {
			g.size = 0
		}
	}
	return nil
}

// number takes the count or length that a line gave.
func (g *guard) number() error {
	switch {
	case !g.bulk && g.n == 0:
		return errLength
	case !g.bulk && g.n > maxArgs, g.bulk && g.n > maxArg:
		return errTooLarge
	case !g.bulk:
		g.args, g.state = g.n, atStart
	default:
		if g.size += g.n; g.size > maxCommand {
			return errTooLarge
		}
		if g.state = inBulk; g.n == 0 {
			g.state = bulkCR
		}
	}
	return nil
}

// protocolError is what to tell a client whose framing is broken; empty for an error of the connection.
func protocolError(err error) string {
	if text := err.Error(); strings.HasPrefix(text, "Protocol error") {
		return text
	}
	return ""
}
