package listener

import (
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/pause"
	"shelfproxy/internal/request"
)

// Conn is the connection of one client. Core and its shell share it. The shell calls its methods under the lock that guards the
// core, except ReadBuffer, which only the connection's reader goroutine calls.
type Conn struct {
	// Socket is the shell's data of the connection; the core does not use it.
	Socket any
	// NotifyMemory has the shell call Core.Resume if the connection is paused. It must not block, and it may be called under any
	// lock. The shell sets it before the first call of BytesReceived.
	NotifyMemory func()

	id                  uint64 // identifies the connection in the connection table
	commands            commandReader
	presence            presence        // whether the client may still be there
	slots               []*ResponseSlot // one per command whose response is not written yet, in the order of the commands
	withheld            int             // number of slots whose requests are not handed over yet
	writing             int             // number of leading slots whose responses are being written
	writingSince        time.Time       // when the last write of responses began
	isPaused            bool            // no further command is read: MaxPipelined commands wait for responses, or there is no memory for another response
	work                recentWork      // by which connections are chosen that wait while the processor is short
	turnLeft            int             // work that the connection may still do in its turn while the processor is short
	isWaitingForTurn    bool            // the connection is paused until it is its turn
	responseSize        sizeEstimate
	reservedMemory      int                   // bytes of response memory that are reserved for the response to the next command
	memoryWait          *admission.MemoryWait // the reservation of response memory that the connection waits for; nil if it waits for none
	argumentWait        *admission.MemoryWait // the reservation for a long argument that the connection waits for; nil if it waits for none
	hasWaitedForMemory  bool                  // the command that is read has waited for its memory
	argumentSince       time.Time             // when the connection began to wait for that memory or, after it was reserved, to read the argument
	isFramingBroken     bool                  // the framing is broken: no further byte is read
	closeAfterResponses bool                  // close the connection once all pending responses are written
	isCheckingUnread    bool                  // CheckUnread has been requested, and UnreadChecked has not been called yet
	wasKeptPastDeadline bool                  // the connection was kept open once after the drain deadline, because unread bytes had arrived
	endReason           EndReason             // why the connection closes; valid once closeAfterResponses or isClosed is set
	end                 End                   // valid once isClosed is set
	isClosed            bool
	acceptedAt          time.Time
	arrivedBy           time.Time // time by which the bytes that were read last had arrived; zero if unknown
	sentAfter           time.Time // bytes that are read from now on were sent at this time or later
	lingerDeadline      time.Time // when a closed connection stops lingering; zero if the connection does not linger
}

func newConn(id uint64) *Conn {
	return &Conn{id: id, NotifyMemory: func() {}}
}

// accepted records when the connection was accepted, and the earliest time at which the client may have opened it.
func (c *Conn) accepted(now, openedSince time.Time) {
	c.acceptedAt, c.sentAfter = now, openedSince
	c.presence.start = now
}

// BytesArrived records the time by which the next bytes for the core had arrived.
func (c *Conn) BytesArrived(by time.Time) { c.arrivedBy = by }

// arrival returns the earliest time at which a command that is decoded now may have arrived. That is the time that the kernel
// reports, or the result of arrivalAcrossPause if that is earlier or the kernel reports none. earliest is the result of
// pauseTracker.earliestArrival and is only passed on to arrivalAcrossPause.
func (c *Conn) arrival(now, earliest time.Time) time.Time {
	bound := c.arrivalAcrossPause(now, earliest)
	if !c.arrivedBy.IsZero() && c.arrivedBy.Before(bound) {
		return c.arrivedBy
	}
	return bound
}

// arrivalAcrossPause returns the earliest time at which a command that is read now may have arrived on this connection. For most
// connections that is earliest: the beginning of a pause that has just ended, or else now. If this connection waited to be
// accepted, the command may have arrived as soon as its client opened the connection. The result is never before the write of the
// previous response began, because only a client that pipelines sends a command before it has the response to the previous one.
func (c *Conn) arrivalAcrossPause(now, earliest time.Time) time.Time {
	waited := pause.IsShown(c.sentAfter, c.acceptedAt) // false once a response was written: sentAfter is then not before acceptedAt
	if waited && now.Sub(c.acceptedAt) < settleTime || earliest.Before(c.sentAfter) {
		return c.sentAfter
	}
	return earliest
}

// ReadBuffer returns the buffer for the next bytes from the client. It must not be filled while the connection is paused.
func (c *Conn) ReadBuffer() []byte { return c.commands.buffer[:] }

// IsPaused reports whether the shell must stop reading until the effect ResumeReading.
func (c *Conn) IsPaused() bool { return c.isPaused }

// IsClosed reports whether the connection has ended. Bytes that still arrive on it are discarded.
func (c *Conn) IsClosed() bool { return c.isClosed }

// IsLingering reports whether the connection has ended but is still read for a while. Closing a socket that holds unread bytes
// resets the connection, and the client would lose the last responses that it has not read yet.
func (c *Conn) IsLingering() bool { return !c.lingerDeadline.IsZero() }

// hasResponseToWrite reports whether a write may start: no write is in progress, and the first pending response is ready.
func (c *Conn) hasResponseToWrite() bool {
	return !c.isClosed && c.writing == 0 && len(c.slots) > 0 && c.slots[0].isReady
}

// End returns how the connection ended. It is valid once IsClosed returns true.
func (c *Conn) End() End { return c.end }

// unansweredRequests returns the number of requests whose responses are not written yet.
func (c *Conn) unansweredRequests() (owed int) {
	for _, slot := range c.slots {
		if slot.isRequest {
			owed++
		}
	}
	return owed
}

// ResponseSlot holds the response to one command. The slots of a connection are in the order of its commands.
type ResponseSlot struct {
	requestClient

	request    *request.Request // the request until it is answered; nil for a command that the listener answers itself
	isWithheld bool             // the request is not handed over yet, as its client may have left
	isRequest  bool             // the command was handed to the handler as a request
	isReady    bool
	prefix     []byte // the first bytes of the response, or all of them
	value      []byte // written after prefix and followed by CRLF; nil if prefix is the whole response; not copied

	reservedMemory int // bytes of response memory that hold value
	commandMemory  int // bytes of request memory that hold value, if it is an argument of the command
}

func (s *ResponseSlot) size() int { return len(s.prefix) + len(s.value) }
