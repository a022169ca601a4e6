package upstream

import (
	"time"

	"shelfproxy/internal/admission"
)

// reserveMemory reserves the memory of the response that arrives on a connection, as far as its size is known. It returns false
// if decoding can't go on: the connection waits for memory, or was closed. If there is no memory and the response may not be
// waited for, its value is discarded.
//
// A response waits once at most. If those that hold memory waited for more, none of them might ever get it.
func (c *Core) reserveMemory(now time.Time, conn *Conn, effects *Effects) bool {
	needed := conn.neededMemory()
	if needed <= conn.reservedMemory || conn.isDiscarding {
		return true
	}
	attempt := conn.nextAnswered()
	conn.reservedMemory += attempt.takeReservedMemory()
	missing, use := needed-conn.reservedMemory, attempt.memoryUse()
	switch {
	case missing <= 0:
		return true
	case c.memory.Reserve(missing, use):
		conn.reservedMemory += missing
		conn.mayNotWait = true
		return true
	case use == admission.NextResponse && !conn.mayNotWait:
		conn.memoryWait, conn.memoryWaitSince = c.memory.Wait(missing, use, conn.NotifyMemory), now
		conn.mayNotWait = true
		return false
	}
	return c.discardValue(now, conn, effects)
}

// MemoryGranted continues to decode a connection that waits for memory, if the memory has been reserved.
func (c *Core) MemoryGranted(now time.Time, conn *Conn, effects *Effects) {
	if conn.memoryWait == nil || !conn.memoryWait.IsGranted() {
		return
	}
	conn.reservedMemory += conn.memoryWait.Bytes()
	conn.memoryWait = nil
	for _, attempt := range conn.pending { // their responses were not read meanwhile
		attempt.memoryWait += now.Sub(conn.memoryWaitSince)
	}
	c.decode(now, conn, false, effects)
}

// discardValue discards the value that arrives on a connection. It closes the connection, and returns false, if the protocol
// can't tell where the response ends without its value.
func (c *Core) discardValue(now time.Time, conn *Conn, effects *Effects) bool {
	if !conn.hasReceived && !conn.Decoder.DiscardValue() {
		c.close(now, conn, ResponseTooLarge, effects)
		return false
	}
	conn.isDiscarding = true
	return true
}

// takeResponse takes the received response off its connection. The response takes over the memory that it needs of what is
// reserved.
func (c *Core) takeResponse(conn *Conn) Response {
	response := conn.received
	conn.received, conn.hasReceived, conn.mayNotWait = Response{}, false, false
	if conn.isDiscarding {
		conn.isDiscarding = false
		response.Value = []byte{}
		if attempt := conn.nextAnswered(); response.Outcome == Served && !attempt.isCancelled() { // nobody reads the value of a cancelled request
			response.Outcome = ResponseTooLarge
		}
	}
	response.ReservedMemory = min(len(response.Value), conn.reservedMemory)
	c.memory.Release(conn.reservedMemory - response.ReservedMemory)
	conn.reservedMemory = 0
	return response
}

// releaseMemory gives back the memory of a connection that closes.
func (c *Core) releaseMemory(conn *Conn) {
	if conn.memoryWait != nil {
		conn.memoryWait.Cancel()
		conn.memoryWait = nil
	}
	c.memory.Release(conn.reservedMemory)
	conn.reservedMemory = 0
	for _, response := range conn.held {
		c.memory.Release(response.ReservedMemory)
	}
	conn.held = nil
}

// neededMemory returns the bytes of the response that arrives, as far as they are known.
func (c *Conn) neededMemory() int {
	if c.hasReceived {
		return len(c.received.Value)
	}
	return c.Decoder.NeededMemory()
}

// IsWaitingForMemory reports whether the connection waits for the memory of a response. The shell must not read meanwhile: what
// the server sends stays in the kernel, and the server waits.
func (c *Conn) IsWaitingForMemory() bool { return c.memoryWait != nil }

// memoryUse returns the use of the memory that is reserved for the attempt's response.
func (a *Attempt) memoryUse() admission.MemoryUse {
	if !a.isWanted() || !a.isHealthCheck() && !a.Request.IsNext() {
		return admission.LaterResponse
	}
	return admission.NextResponse
}

// takeReservedMemory returns the memory that is reserved for the response to the attempt's request, and was not taken before. The
// response to an attempt that nobody waits for takes none: another attempt may need it.
func (a *Attempt) takeReservedMemory() int {
	if a.isHealthCheck() || !a.isWanted() {
		return 0
	}
	return a.Request.TakeReservedMemory()
}

// isWanted reports whether a client waits for the response.
func (a *Attempt) isWanted() bool { return !a.abandoned && !a.isCancelled() }
