package listener

import (
	"errors"
	"os"
	"time"
)

// readEvent is what a reader found on its connection. The zero value means that the wait was interrupted.
type readEvent struct {
	size          int       // number of bytes in the connection's ReadBuffer
	at            time.Time // when the kernel was asked for the two below; only with bytes
	arrivedBy     time.Time // time by which the bytes had arrived
	state         receiving // what the kernel knew then of the receiving side
	isEnded       bool      // the connection has ended
	isUnreadCheck bool      // the core has requested a check for unread bytes
}

// readLoop passes the bytes that the client sends to the core until the connection ends. While the connection is paused it only
// waits for the client to close it.
func (l *Listener) readLoop(conn *Conn, socket *socket) {
	defer l.loops.Done()
	var effects Effects
	for isPaused, isOver := false, false; !isOver; {
		event := nextReadEvent(conn, socket, isPaused)
		effects = effects[:0]
		l.mu.Lock()
		l.handleReadEvent(conn, socket, event, isPaused, &effects)
		isOver = conn.IsClosed() && !conn.IsLingering()
		isPaused = !conn.IsClosed() && conn.IsPaused()
		l.mu.Unlock()
		l.carryOut(effects)
		clear(effects) // the effects refer to commands, which would otherwise stay in memory
	}
}

// handleReadEvent passes an event to the core. The caller must hold the lock.
func (l *Listener) handleReadEvent(conn *Conn, socket *socket, event readEvent, isPaused bool, effects *Effects) {
	now := time.Now()
	l.observeProcessor(now)
	if event.isUnreadCheck {
		hasUnread := socket.checkUnread(l.core.ClosesUnlessUnread(conn))
		l.core.UnreadChecked(now, conn, hasUnread, effects)
	}
	if conn.IsClosed() {
		l.bytesDiscarded(conn, event)
	}
	switch {
	case event.isEnded, event.state.isClosed:
		l.core.ConnectionEnded(now, conn, effects)
	case conn.IsClosed():
	case event.size > 0:
		conn.BytesArrived(event.arrivedBy)
		conn.presence.observed(event.at, event.state)
		l.core.BytesReceived(now, conn, event.size, effects)
	case isPaused, conn.hasWithheld():
		l.core.Resume(now, conn, effects)
	}
}

// nextReadEvent waits until bytes arrive, the connection ends or the wait is interrupted.
func nextReadEvent(conn *Conn, socket *socket, isPaused bool) (event readEvent) {
	event.size, event.isEnded = receive(conn, socket, isPaused)
	switch {
	case event.size > 0:
		event.at, event.arrivedBy, event.state = socket.received(event.size == readBufferSize)
	case !event.isEnded && socket.isCheckRequested.Swap(false):
		event.isUnreadCheck = true
	}
	return event
}

// receive waits for bytes from the client or, while the connection is paused, only for the client to close it. It returns the number
// of bytes in the connection's buffer, and whether the connection has ended. 0 and false mean that the wait was interrupted.
func receive(conn *Conn, socket *socket, isPaused bool) (n int, isEnded bool) {
	if isPaused {
		return 0, socket.awaitClose()
	}
	n, err := socket.conn.Read(conn.ReadBuffer())
	if errors.Is(err, os.ErrDeadlineExceeded) { // resumeReading set the deadline, for this read or for an awaitClose that had already returned
		socket.clearReadDeadline()
		return n, false
	}
	return n, err != nil && n == 0
}

// writeLoop writes responses to the client until the connection ends.
func (l *Listener) writeLoop(conn *Conn, socket *socket) {
	defer l.loops.Done()
	var responses [][]byte
	var buffer []byte // for copies of small responses; holds at most maxCopiedSize bytes and some line ends
	var effects Effects
	for range socket.notify {
		for {
			l.mu.Lock()
			next, size := l.core.NextToWrite(time.Now(), conn, responses[:0])
			isOver := conn.IsClosed()
			l.mu.Unlock()
			if isOver {
				return
			}
			if responses = next; size == 0 {
				break
			}
			var err error
			buffer, err = socket.write(responses, size, l.writeTimeout, buffer)
			clear(responses) // the responses refer to buffers that can be freed now
			effects = effects[:0]
			l.mu.Lock()
			l.core.WriteCompleted(time.Now(), conn, err == nil, &effects)
			l.mu.Unlock()
			l.carryOut(effects)
			clear(effects)
		}
	}
}
