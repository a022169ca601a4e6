package listener

import (
	"errors"
	"os"
	"time"
)

// readEvent is what a reader found on its connection. One without a field that is set says that the wait was interrupted.
type readEvent struct {
	size          int       // of the bytes in the connection's buffer
	arrivedBy     time.Time // when the bytes had come
	isEnded       bool      // the connection has ended
	isUnreadCheck bool      // the core has asked for unread bytes
	hasUnread     bool      // there are some
}

// readLoop moves what the client sends to the core until the connection ends. While the connection is paused it waits for the client's
// close alone.
func (l *Listener) readLoop(conn *Conn, socket *socket) {
	defer l.loops.Done()
	var effects Effects
	for isPaused, isOver := false, false; !isOver; {
		event := nextReadEvent(conn, socket, isPaused)
		effects = effects[:0]
		l.mu.Lock()
		l.handleReadEvent(conn, event, isPaused, &effects)
		isOver = conn.IsClosed() && !conn.IsLingering()
		isPaused = !conn.IsClosed() && conn.IsPaused()
		l.mu.Unlock()
		l.carryOut(effects)
		clear(effects) // they refer to what was read
	}
}

// handleReadEvent passes an event to the core. The caller holds the lock.
func (l *Listener) handleReadEvent(conn *Conn, event readEvent, isPaused bool, effects *Effects) {
	now := time.Now()
	if event.isUnreadCheck {
		l.core.UnreadChecked(now, conn, event.hasUnread, effects)
	}
	switch {
	case event.isEnded:
		l.core.ConnectionEnded(now, conn, effects)
	case conn.IsClosed():
		l.discarded.Add(int64(event.size))
	case event.size > 0:
		conn.BytesArrived(event.arrivedBy)
		l.core.BytesReceived(now, conn, event.size, effects)
	case isPaused:
		l.core.Resume(now, conn, effects)
	}
}

// nextReadEvent waits until there is something to read, or the wait is interrupted.
func nextReadEvent(conn *Conn, socket *socket, isPaused bool) (event readEvent) {
	event.size, event.isEnded = receive(conn, socket, isPaused)
	switch {
	case event.size > 0:
		event.arrivedBy = socket.arrivedBy()
	case !event.isEnded && socket.isCheckRequested.Swap(false):
		event.isUnreadCheck, event.hasUnread = true, socket.hasUnread()
	}
	return event
}

// receive waits for bytes of the client, or for its close alone while the connection is paused. It returns the number of bytes in the
// connection's buffer, and whether the connection has ended. Neither says that the wait was interrupted.
func receive(conn *Conn, socket *socket, isPaused bool) (n int, isEnded bool) {
	if isPaused {
		return 0, socket.awaitClose()
	}
	n, err := socket.conn.Read(conn.ReadBuffer())
	if errors.Is(err, os.ErrDeadlineExceeded) { // set for an awaitClose that had ended by itself
		socket.clearReadDeadline()
		return n, false
	}
	return n, err != nil && n == 0
}

// writeLoop moves responses to the client until the connection ends.
func (l *Listener) writeLoop(conn *Conn, socket *socket) {
	defer l.loops.Done()
	var responses [][]byte
	var buffer []byte // of maxCopiedSize and some line ends at most
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
			clear(responses) // they refer to what was read
			effects = effects[:0]
			l.mu.Lock()
			l.core.WriteCompleted(time.Now(), conn, err == nil, &effects)
			l.mu.Unlock()
			l.carryOut(effects)
			clear(effects)
		}
	}
}
