package listener

import "errors"

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

// errMore says that all bytes that came have been handed over.
var errMore = errors.New("more bytes are wanted")

// guard follows the framing of what redcon's reader will see and ends the stream before the byte that breaks it.
// redcon's own check drops the good commands that came in the same read as a broken one; a count near the largest
// integer makes it loop for ever, such a length of a bulk string makes it panic, and a command without an end
// makes its buffer grow without one. It is a reader that never waits: out of bytes it says errMore.
type guard struct {
	err     error
	state   int
	bulk    bool // the line in hand gives the length of a bulk string, not a count of them
	n       int  // number read so far in the line
	digits  int
	args    int           // bulk strings of the command still to come
	size    int           // bytes of the command so far
	buf     [4 << 10]byte // read and not yet handed over: buf[at:end]
	at, end int
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

// took says that so many bytes were put into buf, after all before were handed over.
func (g *guard) took(n int) { g.at, g.end = 0, n }

// half tells whether it has half a command in hand.
func (g *guard) half() bool { return g.state != atStart || g.args > 0 }

// Read hands over no more than the rest of the command in hand. redcon's reader starts its buffer anew only when all
// in it has been taken: with half a command at the end of each read it would double, over and over, up to all that a
// client ever sent.
func (g *guard) Read(b []byte) (int, error) {
	if g.err != nil {
		return 0, g.err
	}
	if g.at == g.end {
		return 0, errMore
	}
	in := g.buf[g.at:min(g.end, g.at+len(b))]
	n := 0
	for n < len(in) && g.err == nil {
		if g.state == inBulk {
			step := min(g.n, len(in)-n)
			g.n -= step
			n += step
			if g.n == 0 {
				g.state = bulkCR
			}
			continue
		}
		if g.err = g.step(in[n]); g.err != nil {
			break // the bytes before may hold whole commands
		}
		n++
		if g.state == atStart && g.args == 0 {
			break
		}
	}
	g.at += copy(b, in[:n])
	if n == 0 {
		return 0, g.err
	}
	return n, nil
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
