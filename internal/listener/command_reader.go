package listener

import (
	"errors"
	"slices"

	"github.com/tidwall/redcon"
)

const (
	readBufferSize   = 4 << 10 // bytes
	usualArguments   = 5       // arguments of a write, the command with the most of them
	bulkHeaderExtras = 3       // bytes of the header of a bulk string beside its digits
)

// emptyBulkHeader is the header of an empty bulk string.
const emptyBulkHeader = "$0\r\n"

var (
	// errNeedMoreBytes is returned by commandReader.next when all bytes that were received have been used.
	errNeedMoreBytes = errors.New("more bytes are needed")
	// errNeedMemory is returned by commandReader.next when the memory for a long argument has to be reserved first.
	errNeedMemory = errors.New("memory is needed")
)

// command is a complete command. Its arguments are slices of a buffer that is used for nothing else.
type command struct {
	args           [][]byte
	reservedMemory int  // bytes of request memory that are reserved for the arguments
	isIncomplete   bool // a long argument was discarded for lack of memory, and is empty
}

// commandReader collects the bytes of a connection's commands and parses them. Before it collects a long argument, the caller has to
// reserve the memory or have the argument discarded; next returns errNeedMemory meanwhile. It never waits for bytes or memory, and
// is not safe for concurrent use.
type commandReader struct {
	framing framingGuard
	buffer  [readBufferSize]byte // buffer[start:end] was read from the client and is not used yet
	start   int
	end     int

	raw            []byte // the bytes of the current command so far
	reservedMemory int    // bytes that are reserved for the current command
	isIncomplete   bool   // a long argument of the current command was discarded

	// The fields below are about the long argument that is being read, if there is one.

	argumentStart  int  // index in raw of its header
	neededMemory   int  // its length, while neither its memory is reserved nor the argument discarded
	argumentMemory int  // the part of reservedMemory that is for it
	isDiscarding   bool // its bytes are discarded
}

// bytesRead records that n bytes were read into buffer. All earlier bytes must have been used.
func (r *commandReader) bytesRead(n int) { r.start, r.end = 0, n }

// hasBytes reports whether bytes were read that are not used yet.
func (r *commandReader) hasBytes() bool { return r.start < r.end }

// hasPartialCommand reports whether part of a command has arrived, but not all of it.
func (r *commandReader) hasPartialCommand() bool { return r.framing.hasPartialCommand() }

// isReadingLongArgument reports whether memory is reserved for an argument that has not arrived completely.
func (r *commandReader) isReadingLongArgument() bool {
	return r.argumentMemory > 0 && r.framing.state == expectBulk
}

// next returns the next complete command. The error is errNeedMoreBytes, errNeedMemory, or a protocolError once the framing is
// broken.
func (r *commandReader) next() (command, error) {
	for {
		switch {
		case r.framing.err != nil:
			return command{}, r.framing.err
		case r.neededMemory > 0:
			return command{}, errNeedMemory
		case !r.hasBytes():
			return command{}, errNeedMoreBytes
		case r.isDiscarding:
			r.start += r.framing.skipBulk(r.end - r.start)
			r.isDiscarding = r.framing.state == expectBulk
			continue
		}
		accepted := r.framing.accept(r.buffer[r.start:r.end])
		r.raw = append(r.raw, r.buffer[r.start:r.start+accepted]...)
		r.start += accepted
		if r.framing.isAtLongBulk {
			r.startLongArgument()
		} else if accepted > 0 && !r.framing.hasPartialCommand() {
			return r.takeCommand()
		}
	}
}

// startLongArgument records that the header of a long argument was collected last.
func (r *commandReader) startLongArgument() {
	r.framing.isAtLongBulk = false
	r.argumentStart = len(r.raw) - r.framing.digits - bulkHeaderExtras
	r.neededMemory, r.argumentMemory = r.framing.number, 0
}

// memoryReserved has the long argument that follows collected: its memory is reserved.
func (r *commandReader) memoryReserved() {
	r.argumentMemory, r.neededMemory = r.neededMemory, 0
	r.reservedMemory += r.argumentMemory
	r.raw = slices.Grow(r.raw, r.argumentMemory+len(crlf))
}

// discardArgument has the long argument that is being read, or that follows, replaced by an empty one. It returns the memory that
// was reserved for it.
func (r *commandReader) discardArgument() (reserved int) {
	reserved = r.argumentMemory
	r.reservedMemory -= reserved
	r.neededMemory, r.argumentMemory = 0, 0
	r.isDiscarding, r.isIncomplete = true, true
	r.raw = append(slices.Clone(r.raw[:r.argumentStart]), emptyBulkHeader...)
	return reserved
}

// takeCommand returns the current command, which is complete, and starts the next one.
func (r *commandReader) takeCommand() (command, error) {
	isComplete, args, _, _, err := redcon.ReadNextCommand(r.raw, make([][]byte, 0, usualArguments))
	taken := command{args: args, reservedMemory: r.reservedMemory, isIncomplete: r.isIncomplete}
	r.raw, r.reservedMemory, r.isIncomplete, r.argumentMemory = nil, 0, false, 0
	if err != nil || !isComplete { // never so: the framing was checked
		r.framing.err = errInvalidFraming
		return command{}, r.framing.err
	}
	return taken, nil
}

// abandon ends the reading of commands. It returns the memory that is reserved for the current one.
func (r *commandReader) abandon() (reserved int) {
	reserved = r.reservedMemory
	r.raw, r.reservedMemory, r.argumentMemory, r.neededMemory = nil, 0, 0, 0
	return reserved
}
