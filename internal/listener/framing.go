package listener

import "errors"

// Bounds of one command, past which its framing counts as broken. A value that is a little larger than allowed is still read
// completely, so that the client gets a response about it.
const (
	maxArguments      = 64
	maxArgumentLength = 72 << 10 // bytes
	maxCommandLength  = 80 << 10 // bytes of all arguments
	maxLengthDigits   = 10
	readBufferSize    = 4 << 10 // bytes
)

// protocolError says how the framing of a connection is broken. Clients get its text behind "-ERR ": it must not change.
type protocolError string

// Error returns the text for the client.
func (e protocolError) Error() string { return "Protocol error: " + string(e) }

const (
	errCommandTooLarge protocolError = "command is too large"
	errInvalidLength   protocolError = "invalid length"
	errInvalidFraming  protocolError = "expected an array of bulk strings"
)

// errNeedMoreBytes says that all bytes that came have been handed over.
var errNeedMoreBytes = errors.New("more bytes are needed")

// framingState is what a framingGuard expects next.
type framingState int

const (
	expectHeader   framingState = iota // '*', or '$' within a command
	expectDigit                        // or CR
	expectHeaderLF                     // of the line with a count or length
	expectBulk                         // bytes of a bulk string
	expectBulkCR
	expectBulkLF
)

// framingGuard is the input of redcon's reader. It follows the framing and ends the stream before the byte that breaks it. redcon's own
// check drops the valid commands that came in the same read as a broken one; a count near the largest integer makes it loop for ever,
// such a length of a bulk string makes it panic, and a command without an end makes its buffer grow without bound.
//
// It never waits for bytes: without any it returns errNeedMoreBytes. It is not safe for concurrent use.
type framingGuard struct {
	err      error // that broke the framing
	state    framingState
	isBulk   bool // the number that is read is the length of a bulk string, not the count of an array
	number   int  // as far as it is read; while in a bulk string, the bytes that are still to come
	digits   int  // of the number, as far as they are read
	argsLeft int  // bulk strings of the command that are still to come
	length   int  // bytes of the command's bulk strings so far

	buffer [readBufferSize]byte // buffer[next:end] was read from the client and not yet handed over
	next   int
	end    int
}

// bytesRead says that n bytes were put into buffer, after everything before was handed over.
func (g *framingGuard) bytesRead(n int) { g.next, g.end = 0, n }

// hasPartialCommand reports whether a command has begun and is not complete.
func (g *framingGuard) hasPartialCommand() bool { return g.state != expectHeader || g.argsLeft > 0 }

// Read implements io.Reader. It hands over no more than the rest of the current command: redcon's reader reuses its buffer only once
// all in it has been taken. With a partial command at the end of each read it would double the buffer, over and over, up to all bytes
// that a client ever sent.
func (g *framingGuard) Read(b []byte) (int, error) {
	if g.err != nil {
		return 0, g.err
	}
	if g.next == g.end {
		return 0, errNeedMoreBytes
	}
	input := g.buffer[g.next:min(g.end, g.next+len(b))]
	accepted := g.accept(input)
	g.next += copy(b, input[:accepted])
	if accepted == 0 {
		return 0, g.err
	}
	return accepted, nil // with an error too: the bytes before it may hold complete commands
}

// accept follows the framing up to the end of the current command, or up to a byte that breaks it, and returns the number of valid
// bytes.
func (g *framingGuard) accept(input []byte) (accepted int) {
	for accepted < len(input) {
		if g.state == expectBulk {
			accepted += g.skipBulk(len(input) - accepted)
			continue
		}
		if g.err = g.step(input[accepted]); g.err != nil {
			return accepted
		}
		accepted++
		if !g.hasPartialCommand() {
			return accepted
		}
	}
	return accepted
}

// skipBulk takes up to available bytes of a bulk string and returns how many.
func (g *framingGuard) skipBulk(available int) int {
	taken := min(g.number, available)
	g.number -= taken
	if g.number == 0 {
		g.state = expectBulkCR
	}
	return taken
}

// step takes one byte outside the contents of bulk strings.
func (g *framingGuard) step(char byte) error {
	switch g.state {
	case expectHeader:
		return g.startHeader(char)
	case expectDigit:
		return g.readDigit(char)
	case expectHeaderLF:
		if char != '\n' {
			return errInvalidLength
		}
		return g.endHeader()
	case expectBulkCR:
		if char != '\r' {
			return errInvalidFraming
		}
		g.state = expectBulkLF
	case expectBulkLF:
		if char != '\n' {
			return errInvalidFraming
		}
		g.endBulk()
	}
	return nil
}

func (g *framingGuard) startHeader(char byte) error {
	g.isBulk = g.argsLeft > 0
	if g.isBulk && char != '$' || !g.isBulk && char != '*' {
		return errInvalidFraming
	}
	g.number, g.digits, g.state = 0, 0, expectDigit
	return nil
}

func (g *framingGuard) readDigit(char byte) error {
	switch {
	case char == '\r' && g.digits > 0:
		g.state = expectHeaderLF
	case char < '0' || char > '9' || g.digits >= maxLengthDigits:
		return errInvalidLength
	default:
		g.number = g.number*10 + int(char-'0')
		g.digits++
	}
	return nil
}

// endHeader takes the count or length that was read.
func (g *framingGuard) endHeader() error {
	if g.isBulk {
		return g.startBulk()
	}
	switch {
	case g.number == 0:
		return errInvalidLength
	case g.number > maxArguments:
		return errCommandTooLarge
	}
	g.argsLeft, g.state = g.number, expectHeader
	return nil
}

func (g *framingGuard) startBulk() error {
	if g.number > maxArgumentLength {
		return errCommandTooLarge
	}
	if g.length += g.number; g.length > maxCommandLength {
		return errCommandTooLarge
	}
	if g.state = expectBulk; g.number == 0 {
		g.state = expectBulkCR
	}
	return nil
}

func (g *framingGuard) endBulk() {
	g.state = expectHeader
	if g.argsLeft--; g.argsLeft == 0 {
		g.length = 0
	}
}
