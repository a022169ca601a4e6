package listener

// Bounds of one command, past which its framing counts as broken. They leave some space above the largest allowed value: a value
// that is only a little too large is still read completely, so that the client gets an error response about it.
const (
	maxArguments      = 64
	maxArgumentLength = 72 << 10 // bytes
	maxCommandLength  = 80 << 10 // bytes of all arguments
	maxLengthDigits   = 10
	// maxShortCommand is the number of bytes of a command's arguments from which on their memory is reserved.
	maxShortCommand = 4 << 10
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

// framingGuard checks the framing of commands, byte by byte, and finds the end of each command. The bytes that break the framing
// do not reach redcon's parser, which has no bounds: an array count near the largest integer makes it loop forever, and a bulk
// string length of that size makes it panic. It is not safe for concurrent use.
type framingGuard struct {
	err      error // describes how the framing is broken; nil while it is valid
	state    framingState
	isBulk   bool // number is the length of a bulk string, not the count of an array
	number   int  // value of the digits read so far; within a bulk string, the number of its bytes that are still to come
	digits   int  // how many digits of the number have been read so far
	argsLeft int  // bulk strings of the command that are not complete yet
	length   int  // bytes of the command's bulk strings so far, the one that was announced last included

	isAtLongBulk bool // the header of a bulk string that makes the command long was accepted last; the caller resets it
}

// hasPartialCommand reports whether the first part of a command was accepted, but not all of it.
func (g *framingGuard) hasPartialCommand() bool { return g.state != expectHeader || g.argsLeft > 0 }

// accept checks the framing of input up to the end of the current command, the header of a long bulk string, or the byte that breaks
// the framing. It returns the number of valid bytes.
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
		if g.isAtLongBulk || !g.hasPartialCommand() {
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
	g.isAtLongBulk = g.length > maxShortCommand && g.number > 0
	return nil
}

func (g *framingGuard) endBulk() {
	g.state = expectHeader
	if g.argsLeft--; g.argsLeft == 0 {
		g.length = 0
	}
}
