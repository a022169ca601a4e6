package listener

import (
	"errors"
	"os"
	"time"
)

// readLoop moves what the client sends to the core until the connection ends. While the connection is paused it waits for the client's
// close alone.
func (l *Listener) readLoop(conn *Conn, socket *socket) {
	defer l.loops.Done()
	var effects Effects
	var arrivedBy time.Time
	for isPaused, isOver := false, false; !isOver; {
		n, isEnded := receive(conn, socket, isPaused)
		isCheckRequested := n == 0 && !isEnded && socket.isCheckRequested.Swap(false)
		hasUnread := isCheckRequested && socket.hasUnread()
		if n > 0 {
			arrivedBy = socket.arrivedBy()
		}
		effects = effects[:0]
		l.mu.Lock()
		now := time.Now()
		if isCheckRequested {
			l.core.UnreadChecked(now, conn, hasUnread, &effects)
		}
		switch {
		case isEnded:
			l.core.ConnectionEnded(now, conn, &effects)
		case conn.IsClosed():
			l.discarded.Add(int64(n))
		case n > 0:
			conn.BytesArrived(arrivedBy)
			l.core.BytesReceived(now, conn, n, &effects)
		case isPaused:
			l.core.Resume(now, conn, &effects)
		}
		isOver = conn.IsClosed() && !conn.IsLingering()
		isPaused = !conn.IsClosed() && conn.IsPaused()
		l.mu.Unlock()
		l.carryOut(effects)
		clear(effects) // they refer to what was read
	}
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
