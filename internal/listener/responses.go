package listener

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/request"
)

var crlf = []byte("\r\n")

// Respond fills the slot of a request with its response, which is written after those of the commands before.
func (c *Core) Respond(now time.Time, conn *Conn, slot *ResponseSlot, response request.Response, effects *Effects) {
	if conn.isClosed || slot.isReady {
		return
	}
	slot.prefix, slot.value = encodeResponse(response)
	c.table.AddUnsentBytes(c.tableTime(now), conn.id, slot.size())
	slot.isReady = true
	slot.request = nil // else the command with its value would stay in memory until the responses before are written
	c.notifyWriter(conn, effects)
}

// encodeResponse returns the RESP2 bytes of a response; a value is not copied, and a line end follows it.
func encodeResponse(response request.Response) (prefix, value []byte) {
	switch response.Kind {
	case request.Served:
		prefix = append(strconv.AppendInt([]byte{'$'}, int64(len(response.Value)), 10), crlf...)
		return prefix, response.Value
	case request.Rejected:
		if ms := response.RetryAfter.Milliseconds(); ms > 0 {
			return redcon.AppendError(nil, "BUSY "+strconv.FormatInt(ms, 10)), nil
		}
		return []byte("-BUSY\r\n"), nil
	case request.Failed:
		return []byte("-ERR failed\r\n"), nil
	case request.Invalid:
		return redcon.AppendError(nil, "ERR "+response.Text), nil
	}
	return nil, nil
}

// notifyWriter has the shell write the responses that are ready, if the first one is.
func (c *Core) notifyWriter(conn *Conn, effects *Effects) {
	if conn.hasResponseToWrite() {
		effects.add(WriteResponses, conn, nil)
	}
}

// NextToWrite returns the responses to write next, appended to buffers, and their size in bytes. The shell writes them and then calls
// WriteCompleted. There are none while a write is going on.
func (c *Core) NextToWrite(now time.Time, conn *Conn, buffers [][]byte) (responses [][]byte, size int) {
	if conn.isClosed || conn.writing > 0 {
		return buffers, 0
	}
	for conn.writing < len(conn.slots) && size < maxWriteSize {
		slot := conn.slots[conn.writing]
		if !slot.isReady {
			break
		}
		conn.writing++
		size += slot.size()
		buffers = append(buffers, slot.prefix)
		if slot.value != nil {
			buffers = append(buffers, slot.value, crlf)
		}
	}
	conn.writingSince = now
	return buffers, size
}

// WriteCompleted says whether the responses from NextToWrite were written.
func (c *Core) WriteCompleted(now time.Time, conn *Conn, isWritten bool, effects *Effects) {
	written := conn.writing
	conn.writing = 0
	if conn.isClosed || written == 0 {
		return
	}
	if !isWritten {
		c.count.WriteFailed.Add(1)
		c.close(now, conn, EndedWriteFailed, effects)
		return
	}
	// Only now are these responses no longer owed: a connection with slots is not closed as idle.
	unsentBytes := requestBytes(conn.slots[:written])
	conn.slots = append(conn.slots[:0:0], conn.slots[written:]...)
	c.table.AddUnsentBytes(c.tableTime(now), conn.id, -unsentBytes)
	c.table.ResponsesWritten(c.tableTime(now), conn.id, written)
	conn.quietSince = conn.writingSince // the client may have had them at once, and sent its next command
	switch {
	case conn.closeAfterResponses && len(conn.slots) == 0:
		c.closeUnlessUnread(now, conn, effects)
	case conn.isPaused && !conn.isFramingBroken:
		effects.add(ResumeReading, conn, nil)
	}
	c.notifyWriter(conn, effects)
}

// requestBytes returns the size of the responses that Respond counted as unsent: those of requests.
func requestBytes(slots []*ResponseSlot) (bytes int) {
	for _, slot := range slots {
		if slot.isRequest {
			bytes += slot.size()
		}
	}
	return bytes
}
