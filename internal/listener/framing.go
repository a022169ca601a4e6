package listener

import "errors"

// Bounds of one command, past which its framing counts as broken. They leave some space above the largest allowed value: a value
// that is only a little too large is still read completely, so that the client gets an error response about it.
const (
	maxArguments      = 64
	maxArgumentLength = 72 << 10 // bytes
	maxCommandLength  = 80 << 10 // bytes of all arguments
	maxLengthDigits   = 10
	readBufferSize    = 4 << 10 // bytes
)

// protocolError describes how the framing of a connection is broken. Clients receive its text after "-ERR ", so the text must not
// change.
type protocolError string

// Error returns the text for the client.
func (e protocolError) Error() string { return "Protocol error: " + string(e) }

const (
	errCommandTooLarge protocolError = "command is too large"
	errInvalidLength   protocolError = "invalid length"
	errInvalidFraming  protocolError = "expected an array of bulk strings"
)

// errNeedMoreBytes is returned by framingGuard.Read when all bytes that were received have been handed to redcon's reader.
var errNeedMoreBytes = errors.New("more bytes are needed")

// framingState is the part of the framing that a framingGuard expects next.
type framingState int

const (
	expectHeader   framingState = iota // '*' at the start of a command, '$' within one
	expectDigit                        // a digit of a count or length, or the CR after the digits
	expectHeaderLF                     // the LF that ends the line with a count or length
	expectBulk                         // contents of a bulk string
	expectBulkCR
	expectBulkLF
)

// framingGuard is the input of redcon's reader. It checks the framing and ends the stream before the byte that breaks it.
// redcon's reader cannot be left to check the framing: the reader drops valid commands that arrive in the same read as a broken
// one. An array count near the largest integer makes it loop forever, and a bulk string length of that size makes it panic. A
// command without an end makes its buffer grow without bound.
//
// framingGuard never waits for bytes: when it has none it returns errNeedMoreBytes. It is not safe for concurrent use.
type framingGuard struct {
	err      error // describes how the framing is broken; nil while it is valid
	state    framingState
	isBulk   bool // number is the length of a bulk string, not the count of an array
	number   int  // value of the digits read so far; within a bulk string, the number of its bytes that are still to come
	digits   int  // how many digits of the number have been read so far
	argsLeft int  // bulk strings of the command that are not complete yet
	length   int  // bytes of the command's bulk strings so far

	buffer [readBufferSize]byte // buffer[next:end] has been read from the client but not handed over yet
	next   int
	end    int
}

// bytesRead records that n bytes were read into buffer. All earlier bytes must have been handed over.
func (g *framingGuard) bytesRead(n int) { g.next, g.end = 0, n }

// hasBytes reports whether bytes were read that have not been handed over.
func (g *framingGuard) hasBytes() bool { return g.next < g.end }

// hasPartialCommand reports whether the first part of a command was handed over, but not all of it.
func (g *framingGuard) hasPartialCommand() bool { return g.state != expectHeader || g.argsLeft > 0 }

// Read implements io.Reader. It returns no more than the rest of the current command, because redcon's reader reuses its buffer only
// once the buffer is empty. If each read ended in a partial command, the reader would double its buffer again and again, until the
// buffer held all bytes that the client ever sent.
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
	return accepted, nil // no error yet, even if g.err is set: the bytes before the broken one may complete a command
}

// accept checks the framing of input up to the end of the current command, or up to the byte that breaks the framing, and returns
// the number of valid bytes.
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

// skipBulk skips up to available bytes of a bulk string's contents and returns how many it skipped.
func (g *framingGuard) skipBulk(available int) int {
	taken := min(g.number, available)
	g.number -= taken
	if g.number == 0 {
		g.state = expectBulkCR
	}
	return taken
}

// step checks one byte of the framing, outside the contents of bulk strings.
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

// endHeader checks and applies the count or length that the header line held.
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
