package listener

import (
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/pause"
	"shelfproxy/internal/request"
)

// Conn is one client's connection. Core and its shell share it: the shell calls its methods under the lock that guards the core, except
// ReadBuffer, which is the reading goroutine's.
type Conn struct {
	// Socket belongs to the shell.
	Socket any

	id                  uint64 // in the connection table
	framing             framingGuard
	commands            *redcon.Reader  // reads from framing
	slots               []*ResponseSlot // of the responses that are owed, in the order of their commands
	writing             int             // the first slots, whose responses are being written
	writingSince        time.Time       // when the last write began
	isPaused            bool            // as many responses are owed as may be: further commands wait
	isFramingBroken     bool            // nothing more is read
	closeAfterResponses bool            // close once everything that is owed is written
	isCheckingUnread    bool            // close once the shell has found that nothing came that is not read
	hasLastCheck        bool            // it was kept open past the drain's deadline once
	endReason           EndReason       // why it is closed, once it is to be
	end                 End             // valid once isClosed is set
	isClosed            bool
	acceptedAt          time.Time
	arrivedBy           time.Time // when the last bytes that were read had come; zero if that is not known
	quietSince          time.Time // nothing that is read from now on was sent before this
	lingerDeadline      time.Time // until when a closed connection lingers; zero if it does not
}

func newConn(id uint64) *Conn {
	conn := &Conn{id: id}
	conn.commands = redcon.NewReader(&conn.framing)
	return conn
}

// accepted says when the connection was accepted, and when it may have been opened at the earliest.
func (c *Conn) accepted(now, openedSince time.Time) { c.acceptedAt, c.quietSince = now, openedSince }

// BytesArrived says that the bytes that are passed to the core next had come by a time.
func (c *Conn) BytesArrived(by time.Time) { c.arrivedBy = by }

// arrival returns when a command that is decoded now may have come at the earliest: by the time that the kernel knows of, and where
// the process may have been paused since an earlier time, not after that.
func (c *Conn) arrival(now, earliest time.Time) time.Time {
	bound := c.arrivalAcrossPause(now, earliest)
	if !c.arrivedBy.IsZero() && c.arrivedBy.Before(bound) {
		return c.arrivedBy
	}
	return bound
}

// arrivalAcrossPause returns when a command that is read now may have come at the earliest, where what the process reads now may have
// come at a given time. A command may have come while its connection waited to be accepted, but not before the write of the response
// to the last command began, unless its client pipelines.
func (c *Conn) arrivalAcrossPause(now, earliest time.Time) time.Time {
	waited := pause.IsShown(c.quietSince, c.acceptedAt) // never once a response was written
	if waited && now.Sub(c.acceptedAt) < settleTime || earliest.Before(c.quietSince) {
		return c.quietSince
	}
	return earliest
}

// ReadBuffer returns the buffer for the next bytes of the client, while the connection is not paused.
func (c *Conn) ReadBuffer() []byte { return c.framing.buffer[:] }

// IsPaused reports whether nothing more is to be read before the effect ResumeReading.
func (c *Conn) IsPaused() bool { return c.isPaused }

// IsClosed reports whether the connection has ended: what still comes on it is discarded.
func (c *Conn) IsClosed() bool { return c.isClosed }

// IsLingering reports whether the connection has ended and is to be read for a while. A close over unread bytes would reset the
// connection, and the client would lose the last responses that it has not read yet.
func (c *Conn) IsLingering() bool { return !c.lingerDeadline.IsZero() }

// hasResponseToWrite reports whether a write may start: none is going on, and the first response is there.
func (c *Conn) hasResponseToWrite() bool {
	return !c.isClosed && c.writing == 0 && len(c.slots) > 0 && c.slots[0].isReady
}

// End says how a connection that is closed ended.
func (c *Conn) End() End { return c.end }

// owedRequests returns how many requests have no response that was written.
func (c *Conn) owedRequests() (owed int) {
	for _, slot := range c.slots {
		if slot.isRequest {
			owed++
		}
	}
	return owed
}

// ResponseSlot is the place of one command's response among those of its connection.
type ResponseSlot struct {
	request   *request.Request // until it is answered; nil if the listener answers by itself
	isRequest bool             // it was given to the handler
	isReady   bool
	prefix    []byte // of the response, or all of it
	value     []byte // follows prefix, with a line end behind it; not copied
}

func (s *ResponseSlot) size() int { return len(s.prefix) + len(s.value) }
