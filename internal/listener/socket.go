package listener

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"shelfproxy/internal/socketstate"
)

// past is a deadline that has expired, to interrupt a wait at once.
var past = time.Unix(1, 0)

// socket is the shell's part of a connection: the network connection and the signals to its two goroutines.
type socket struct {
	conn net.Conn
	// notify holds an element while there may be responses to write, or after the connection has ended. It is never closed: the
	// writer ends once the core reports the connection as closed.
	notify chan struct{}

	isCheckRequested atomic.Bool // the core has requested a check for unread bytes; set before the reader is interrupted

	// The fields below are used by the reader goroutine only.

	raw            syscall.RawConn
	pollFDs        [1]unix.PollFd
	hasDiscarded   bool                  // bytes arrived after the node had ended the connection
	isDisconnected bool                  // the client has closed the connection, whether or not unread bytes are left
	pollClose      func(fd uintptr) bool // asks the kernel whether the client has closed, sets isDisconnected, returns it
	isBufferFull   bool                  // the last read has filled the buffer, so that more may be unread
	kernelState    socketstate.Received  // what pollReceiving learnt last
	state          receiving             // the same, for the core
	pollReceiving  func(fd uintptr)      // asks the kernel for the receiving side, sets kernelState and state
}

func newSocket(conn net.Conn) *socket {
	s := &socket{conn: conn, notify: make(chan struct{}, 1)}
	s.raw, _ = conn.(syscall.Conn).SyscallConn() // a TCP connection always has a raw connection
	s.pollClose = func(fd uintptr) bool {
		s.pollFDs[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
		n, err := unix.Poll(s.pollFDs[:], 0)
		s.isDisconnected = n > 0 && err == nil
		return s.isDisconnected
	}
	s.pollReceiving = func(fd uintptr) { s.kernelState, s.state = receivingOf(fd, s.isBufferFull) }
	return s
}

// awaitClose waits, without reading, until the client has closed the connection or resumeReading is called, and reports whether the
// client has closed it. It detects the close even if unread bytes are left. A read would report the close only after these bytes,
// which may be requests that no client waits for any more.
func (s *socket) awaitClose() (isDisconnected bool) {
	// An error means that the connection is closed or that the wait was interrupted; the next read shows which.
	_ = s.raw.Read(s.pollClose)
	_ = s.conn.SetReadDeadline(time.Time{})                 // cleared before the next call of the core, whose effects may set the deadline again
	_ = s.raw.Control(func(fd uintptr) { s.pollClose(fd) }) // the wait may have been interrupted before it polled, so poll once more
	return s.isDisconnected
}

// requestCheck interrupts the reader and has it check for unread bytes.
func (s *socket) requestCheck() {
	s.isCheckRequested.Store(true)
	s.resumeReading()
}

// checkUnread asks the kernel whether unread bytes have arrived or the client has closed the connection. If neither is so and
// closes is true, it closes the sending side before anything else runs in this process: the client then has not sent a request that
// it will get no response to, except for one that crosses the end on the network.
func (s *socket) checkUnread(closes bool) (hasUnread bool) {
	if s.raw == nil {
		return false
	}
	return socketstate.CheckUnread(s.raw, closes)
}

// receivingOf asks the kernel for the receiving side of a connection, and for the number of unread bytes if there may be some.
func receivingOf(fd uintptr, mayHaveUnread bool) (kernelState socketstate.Received, state receiving) {
	kernelState = socketstate.ReceivedOn(fd)
	state.isClosed, state.sinceData = kernelState.HasPeerClosed, kernelState.SinceData
	if mayHaveUnread {
		state.unread = socketstate.Unread(fd)
	}
	return kernelState, state
}

// received returns, after a read, the time at which it asks the kernel, the time by which the last bytes that were read had arrived, as
// the kernel reports it, which is before now if the bytes waited to be read, and the state of the receiving side.
func (s *socket) received(isBufferFull bool) (now, arrivedBy time.Time, state receiving) {
	now = time.Now() // taken before the kernel is asked: a pause between the two calls then makes the results too early, not too late
	s.isBufferFull = isBufferFull
	if s.raw.Control(s.pollReceiving) != nil {
		return now, now, receiving{isClosed: true}
	}
	return now, now.Add(-s.kernelState.SinceData), s.state
}

// age returns how long ago the connection was established, if nothing was sent on it yet.
func (s *socket) age() (age time.Duration) {
	_ = s.raw.Control(func(fd uintptr) { age = socketstate.Age(fd) }) // fails on a closed connection only
	return age
}

// look asks the kernel for the receiving side. It is safe for concurrent use.
func (s *socket) look() (state receiving) {
	look := func(fd uintptr) {
		_, state = receivingOf(fd, true)
		state.unacked = socketstate.Unacked(fd)
	}
	if s.raw.Control(look) != nil {
		state.isClosed = true // the node has closed it
	}
	return state
}

// resumeReading interrupts the wait of the reader, in awaitClose or in a read. If the reader does not wait now, its next wait is
// interrupted.
func (s *socket) resumeReading() {
	_ = s.conn.SetReadDeadline(past) // fails only on a closed connection, which interrupts the wait as well
}

// clearReadDeadline removes the deadline that resumeReading has set, so that the reader can wait again.
func (s *socket) clearReadDeadline() {
	_ = s.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, on which the next read fails too
}

// write writes the responses, which have size bytes in total. Small responses are copied into buffer and written in one system call.
// It returns the buffer for reuse.
func (s *socket) write(responses [][]byte, size int, timeout time.Duration, buffer []byte) ([]byte, error) {
	_ = s.conn.SetWriteDeadline(time.Now().Add(timeout)) // fails only on a closed connection, on which the write fails too
	if size > maxCopiedSize {
		buffers := net.Buffers(responses)
		_, err := buffers.WriteTo(s.conn)
		return buffer, err
	}
	buffer = buffer[:0]
	for _, response := range responses {
		buffer = append(buffer, response...)
	}
	_, err := s.conn.Write(buffer)
	return buffer, err
}

// halfClose closes the sending side of the connection and wakes the reader, which then discards what the client still sends.
func (s *socket) halfClose() {
	if conn, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = conn.CloseWrite() // fails if the client has disconnected, which the reader detects
	}
	s.resumeReading()
	s.notifyWriter()
}

// close closes the connection. The error of its read ends the reader, and a notification ends the writer.
func (s *socket) close() {
	_ = s.conn.Close() // an error needs no handling: the connection is not used any more
	s.notifyWriter()
}

func (s *socket) notifyWriter() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}
