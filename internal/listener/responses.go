package listener

import (
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/request"
)

var (
	crlf         = []byte("\r\n")
	busyResponse = []byte("-BUSY\r\n")
)

// Respond stores the response to a request in its slot. The response is written after those to all earlier commands of the
// connection.
func (c *Core) Respond(conn *Conn, slot *ResponseSlot, response request.Response, effects *Effects) {
	if conn.isClosed || slot.isReady {
		c.limits.ResponseMemory.Release(response.ReservedMemory)
		return
	}
	if response.Kind == request.Served && !slot.request.IsWrite {
		conn.responseSize.observe(len(response.Value))
	}
	c.limits.ResponseMemory.Release(slot.request.TakeReservedMemory()) // what the response did not need
	slot.reservedMemory = response.ReservedMemory
	slot.prefix, slot.value = encodeResponse(response)
	c.table.ResponseReady(conn.id, slot.size())
	slot.isReady = true
	slot.request = nil // otherwise the command and its value would stay in memory until the earlier responses are written
	c.notifyWriter(conn, effects)
}

// encodeResponse returns the RESP2 encoding of a response: prefix and, if value is not nil, value after it. The value is not
// copied, so the caller must write the CRLF that follows the value.
func encodeResponse(response request.Response) (prefix, value []byte) {
	switch response.Kind {
	case request.Served:
		return bulkPrefix(response.Value), response.Value
	case request.Rejected:
		if ms := response.RetryAfter.Milliseconds(); ms > 0 {
			return redcon.AppendError(nil, "BUSY "+strconv.FormatInt(ms, 10)), nil
		}
		return busyResponse, nil
	case request.Failed:
		return []byte("-ERR failed\r\n"), nil
	case request.Invalid:
		return redcon.AppendError(nil, "ERR "+response.Text), nil
	}
	return nil, nil
}

// bulkPrefix returns the bytes ahead of a value in its RESP2 encoding as a bulk string.
func bulkPrefix(value []byte) []byte {
	return append(strconv.AppendInt([]byte{'$'}, int64(len(value)), 10), crlf...)
}

// notifyWriter asks the shell to write responses if the first pending response is ready and no write is in progress.
func (c *Core) notifyWriter(conn *Conn, effects *Effects) {
	if conn.hasResponseToWrite() {
		effects.add(WriteResponses, conn, nil)
	}
}

// NextToWrite appends to buffers the responses that are written next, and returns the buffers with the size of these responses in
// bytes. The shell writes the responses and then calls WriteCompleted. While a write is in progress, NextToWrite returns no
// responses.
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
	if size > 0 {
		conn.writingSince = now
		c.table.WriteStarted(c.tableTime(now), conn.id)
	}
	return buffers, size
}

// WriteCompleted ends the write of the responses from NextToWrite; isWritten reports whether the write succeeded.
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
	// The slots are removed only after the write: a connection with slots is not idle, so it is not closed during the write.
	unsentBytes := responseBytes(conn.slots[:written])
	c.releaseSlots(conn.slots[:written])
	conn.slots = append([]*ResponseSlot(nil), conn.slots[written:]...) // a slice of the old array would keep the written responses in memory
	if len(conn.slots) > 0 && conn.slots[0].request != nil {
		conn.slots[0].request.MarkNext()
	}
	c.table.WriteEnded(conn.id, unsentBytes)
	c.table.ResponsesWritten(c.tableTime(now), conn.id, written)
	if conn.presence.mayHideClose.Load() {
		conn.presence.answered(conn.writingSince)
	} else {
		conn.presence.seen(conn.writingSince)
	}
	conn.sentAfter = conn.writingSince // the client may have received the responses at once and sent its next command
	switch {
	case conn.closeAfterResponses && len(conn.slots) == 0:
		c.closeUnlessUnread(now, conn, effects)
	case conn.hasWithheld(), conn.isPaused && !conn.isFramingBroken:
		effects.add(ResumeReading, conn, nil)
	}
	c.notifyWriter(conn, effects)
}

// responseBytes returns the bytes of the responses in these slots.
func responseBytes(slots []*ResponseSlot) (bytes int) {
	for _, slot := range slots {
		bytes += slot.size()
	}
	return bytes
}
