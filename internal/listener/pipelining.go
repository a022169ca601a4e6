package listener

import "shelfproxy/internal/admission"

const (
	// sizeEstimateDecay is the divisor that gives how much the largest known size falls with each response. With a half, the
	// estimates are twice the sizes in the mean, however long and short responses follow each other.
	sizeEstimateDecay = 2
	// sizeEstimateMargin is added to each estimate: the bytes of a response beside its value, in the server's protocol.
	sizeEstimateMargin = 1 << 10
)

// sizeEstimate estimates the size of the next response of a connection from the sizes of the responses before.
type sizeEstimate struct {
	largest int // bytes of the largest response of late; an older one counts less
	known   int // number of responses so far
}

// observe records the size of a response.
func (e *sizeEstimate) observe(size int) {
	e.largest = max(size, e.largest-e.largest/sizeEstimateDecay)
	e.known++
}

// bytes returns the estimate. The less responses are known, the nearer it is to maxValue, the largest value that a client may
// write.
func (e *sizeEstimate) bytes(maxValue int) int {
	return max(e.largest, maxValue>>e.known) + sizeEstimateMargin
}

// reserveForNext reports whether the next command of a connection may be decoded. If earlier commands are unanswered, the memory
// for its response is reserved first: the response will have to wait for theirs. Without memory the connection waits, until there
// is some or the earlier commands are answered.
func (c *Core) reserveForNext(conn *Conn) bool {
	if len(conn.slots) == 0 {
		c.releaseForNext(conn)
		return true
	}
	if conn.reservedMemory > 0 || c.limits.ResponseMemory == nil {
		return true
	}
	if conn.memoryWait == nil {
		size := conn.responseSize.bytes(c.limits.MaxValue)
		if c.limits.ResponseMemory.Reserve(size, admission.ExpectedResponse) {
			conn.reservedMemory = size
			return true
		}
		conn.memoryWait = c.limits.ResponseMemory.Wait(size, admission.ExpectedResponse, conn.NotifyMemory)
	}
	if !conn.memoryWait.IsGranted() {
		return false
	}
	conn.reservedMemory, conn.memoryWait = conn.memoryWait.Bytes(), nil
	return true
}

// reserveAnswer reserves the memory for a response of the listener itself, which is ready at once. It uses what reserveForNext has
// reserved, and gives the rest of that back.
func (c *Core) reserveAnswer(conn *Conn, size int) bool {
	use := admission.LaterResponse
	if len(conn.slots) == 0 {
		use = admission.NextResponse
	}
	missing := max(0, size-conn.reservedMemory)
	if !c.limits.ResponseMemory.Reserve(missing, use) {
		return false
	}
	conn.reservedMemory += missing - size
	c.releaseForNext(conn)
	return true
}

// releaseForNext gives back what reserveForNext has reserved, and ends the wait.
func (c *Core) releaseForNext(conn *Conn) {
	if conn.memoryWait != nil {
		conn.memoryWait.Cancel()
		conn.memoryWait = nil
	}
	c.limits.ResponseMemory.Release(conn.reservedMemory)
	conn.reservedMemory = 0
}

// releaseSlots gives back the memory of responses that are written, or whose connection has ended. Their values are dropped, as a
// request whose last attempt is still in flight refers to its slot.
func (c *Core) releaseSlots(slots []*ResponseSlot) {
	for _, slot := range slots {
		c.limits.ResponseMemory.Release(slot.reservedMemory)
		c.limits.RequestMemory.Release(slot.commandMemory)
		slot.reservedMemory, slot.commandMemory, slot.prefix, slot.value = 0, 0, nil, nil
		if slot.request != nil {
			c.limits.ResponseMemory.Release(slot.request.TakeReservedMemory())
		}
	}
}
