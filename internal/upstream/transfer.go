package upstream

import (
	"slices"
	"time"
)

// NextToWrite returns the next attempt to write to a connection; nil if there is none. The shell writes the attempt's bytes and
// then calls WriteCompleted. The returned attempt is possibly executed from now on. This is the last check whether the client is
// still connected and whether a retry is still in time: an attempt that must not be written ends as NotSent.
//
// isStale says that the connection has bytes to read, or has ended, while no response is awaited. Such a connection is closed.
// The response to a request written now could not be told apart from such bytes, and a request written to a closed connection is
// lost.
func (c *Core) NextToWrite(now time.Time, conn *Conn, isStale bool, effects *Effects) *Attempt {
	if conn.closed || conn.writing != nil || len(conn.unwritten) == 0 {
		return nil
	}
	if isStale && conn.AwaitsNoResponse() {
		c.close(now, conn, CorruptResponse, effects) // the pending attempts are unwritten and get another connection
		return nil
	}
	for conn.nextUnwritten().mustNotBeWritten(now) {
		attempt := conn.nextUnwritten()
		c.dequeue(now, attempt, effects)
		effects.reportOutcome(attempt, NotSent)
		if conn.closed || len(conn.unwritten) == 0 {
			return nil
		}
	}
	attempt := conn.popUnwritten()
	attempt.writeStarted, attempt.possiblyExecuted = true, true
	conn.writing = attempt
	return attempt
}

// WriteCompleted tells the core how the write of the attempt from NextToWrite ended: whether its last byte was written, and
// whether the connection may still be used.
func (c *Core) WriteCompleted(now time.Time, conn *Conn, isComplete, isUsable bool, effects *Effects) {
	attempt := conn.writing
	conn.writing = nil
	if attempt == nil {
		return
	}
	if !isComplete {
		attempt.possiblyExecuted = false // the server never got the attempt's last byte
	}
	switch {
	case conn.closed: // Core.close has left this attempt to be settled here
		if i := slices.Index(conn.pending, attempt); i >= 0 {
			conn.pending = slices.Delete(conn.pending, i, i+1)
			c.settle(now, conn, attempt, effects)
		}
	case !isUsable:
		c.close(now, conn, ConnectionLost, effects)
	default:
		c.serveNext(now, conn, effects) // if the response came before this call, the connection is free now
	}
}

// BytesReceived tells the core that the shell has put n bytes into the read buffer of the connection's decoder.
func (c *Core) BytesReceived(now time.Time, conn *Conn, n int, effects *Effects) {
	conn.Decoder.BytesRead(n)
	c.decode(now, conn, false, effects)
}

// ConnectionEnded tells the core that a connection ended without the core closing it. isOrderly says that the server closed it
// normally, which completes a response without a length. A reset, or any other failure, completes no response.
func (c *Core) ConnectionEnded(now time.Time, conn *Conn, isOrderly bool, effects *Effects) {
	if isOrderly {
		c.decode(now, conn, true, effects)
	}
	c.close(now, conn, ConnectionLost, effects)
}

// decode takes the complete responses from the decoder and delivers them, until a response has to wait for memory.
func (c *Core) decode(now time.Time, conn *Conn, ended bool, effects *Effects) {
	for !conn.closed && !conn.IsWaitingForMemory() && (conn.hasReceived || conn.Decoder.Buffered() > 0) {
		if !conn.mayReceive() {
			c.close(now, conn, CorruptResponse, effects) // the bytes are no response to any attempt
			return
		}
		if !conn.hasReceived {
			var err error
			if conn.received, conn.hasReceived, err = conn.Decoder.NextResponse(ended); err != nil {
				c.close(now, conn, CorruptResponse, effects)
				return
			}
		}
		if !c.reserveMemory(now, conn, effects) || !conn.hasReceived {
			return
		}
		c.deliver(now, conn, effects)
	}
}

// deliver takes the received response and gives it to the attempt that it belongs to, once that is certain.
func (c *Core) deliver(now time.Time, conn *Conn, effects *Effects) {
	response := c.takeResponse(conn)
	if !conn.nextAnswered().isHealthCheck() && response.Outcome == Served && response.Value == nil {
		c.close(now, conn, CorruptResponse, effects) // the response to a health check has no value and can't answer a request
		return
	}
	conn.held = append(conn.held, response)
	c.deliverHeld(now, conn, effects)
	switch {
	case conn.closed:
	case response.ConnectionClose:
		c.close(now, conn, ConnectionLost, effects)
	case conn.Decoder.Buffered() > 0 && !conn.mayReceive():
		c.close(now, conn, CorruptResponse, effects) // these bytes would be taken for the response to the next attempt
	default:
		c.closeIfUnwanted(now, conn, effects)
		c.serveNext(now, conn, effects)
	}
}
