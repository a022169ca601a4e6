package listener

import (
	"sync/atomic"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/request"
)

const (
	// maxUnseen is how long after a sign that a client is there its requests are forwarded without a further look. The platform allows
	// an attempt to begin 100 ms after its client has closed.
	maxUnseen = 50 * time.Millisecond
	// maxVisibleUnread is the number of unread bytes up to which the kernel takes all that a client sends. With more, the window that the
	// kernel offers to the client may become full, and the client's close then waits behind bytes that it could not send yet.
	maxVisibleUnread = 32 << 10
)

// receiving is what the kernel knows of a connection to a client.
type receiving struct {
	isClosed  bool          // the client has closed the connection
	unread    int           // bytes that are not read
	unacked   int           // bytes of responses that the client's kernel has not taken yet; only look asks for them
	sinceData time.Duration // how long ago the last bytes arrived; 0 if that was a moment ago
}

// presence tells whether the client of a connection may still be there. A client that closes while the kernel can't take all that it has
// sent is seen to be gone only when a response is written to it, which resets the connection. It is safe for concurrent use.
type presence struct {
	start  time.Time    // when the connection was accepted
	seenAt atomic.Int64 // nanoseconds from start to the last sign that the client is there, or back to one before start
	// answeredAt is when the write of the last response began while a close may have been hidden, in nanoseconds from start. It becomes a
	// sign once the client's kernel has taken the response. 0 means that there was none.
	answeredAt atomic.Int64
	// mayHideClose says that the client may have closed the connection although the kernel does not know of it. Once much was unread it
	// stays set while bytes may still be on their way: the kernel offers a window again in large steps, so that little may be unread, or
	// nothing for a moment, while the client's close waits.
	mayHideClose atomic.Bool
	hiddenAt     atomic.Int64 // when much was unread last, in nanoseconds from start
	look         func() receiving
	// hasWaited is set while the connection waits for its turn, and until the next sign of the client. Where nothing waited, what a
	// client has sent is forwarded as it is read, and a close that is hidden behind it was a moment ago.
	hasWaited atomic.Bool
}

// seen records that the client was there.
func (p *presence) seen(at time.Time) {
	p.seenAt.Store(int64(at.Sub(p.start)))
	p.hasWaited.Store(false)
}

// observed records what the kernel knew of an open connection at the time now.
func (p *presence) observed(now time.Time, state receiving) {
	switch {
	case state.unread > maxVisibleUnread:
		p.mayHideClose.Store(true)
		p.hiddenAt.Store(int64(now.Sub(p.start)))
	case state.unread == 0 && state.sinceData > 0:
		p.mayHideClose.Store(false)
	}
	if !p.mayHideClose.Load() {
		p.seen(now)
	}
}

// responseTaken records that the client's kernel has taken the last response: a client that has closed resets the connection instead.
func (p *presence) responseTaken(state receiving) {
	answeredAt := p.answeredAt.Load()
	if answeredAt == 0 || answeredAt <= p.seenAt.Load() {
		return
	}
	p.seen(p.start.Add(time.Duration(answeredAt)))
	if state.unread == 0 && answeredAt > p.hiddenAt.Load() {
		p.mayHideClose.Store(false)
	}
}

// answered records that the write of a response began, while a close may have been hidden.
func (p *presence) answered(at time.Time) { p.answeredAt.Store(int64(at.Sub(p.start))) }

// isRecentlySeen reports whether the client was there maxUnseen ago or later.
func (p *presence) isRecentlySeen(now time.Time) bool {
	return now.Sub(p.start)-time.Duration(p.seenAt.Load()) <= maxUnseen
}

// isThere reports whether the client was seen of late, or its connection is open and hides no close. hasLeft says that the client has
// closed the connection; if neither is so, it may have closed it unseen.
func (p *presence) isThere(now time.Time) (isThere, hasLeft bool) {
	if p.isRecentlySeen(now) || p.look == nil {
		return true, false
	}
	state := p.look()
	if state.isClosed {
		return false, true
	}
	if state.unacked == 0 {
		p.responseTaken(state)
	}
	p.observed(now, state)
	return p.isRecentlySeen(now), false
}

// requestClient tells whether the client of one request is there. It implements request.Client.
type requestClient struct {
	presence  *presence
	decodedAt time.Time
	memory    *admission.MemoryBudget // of requests
	// hasWaitedForMemory says that the request waited unread for its memory.
	hasWaitedForMemory bool
}

// IsPresent implements request.Client. While a close may be hidden, a request is not begun, but for a write on a connection that has not
// waited for its turn: a client that writes long values has much unread. Such a write is begun at once after it was read. Where memory is
// short, the one that is answered next is begun later, too, as a sign could only be had by its rejection.
func (c *requestClient) IsPresent(now time.Time, r *request.Request) (isPresent, hasLeft bool) {
	isPresent, hasLeft = c.presence.isThere(now)
	if isPresent || hasLeft || !r.IsWrite || c.presence.hasWaited.Load() {
		return isPresent, hasLeft
	}
	isFresh := now.Sub(c.decodedAt) <= maxUnseen
	return isFresh || r.IsNext() && (c.hasWaitedForMemory || c.memory.IsShort(admission.LongCommand)), false
}

// mayHaveLeft reports whether the client of a connection may have closed it unseen.
func (c *Conn) mayHaveLeft(now time.Time) bool {
	if !c.presence.mayHideClose.Load() {
		return false
	}
	isThere, _ := c.presence.isThere(now)
	return !isThere
}
