package listener

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"shelfproxy/internal/socketstate"
)

// past is a deadline that ends a wait at once.
var past = time.Unix(1, 0)

// socket is the listener's part of a connection.
type socket struct {
	conn net.Conn
	// notify holds an element while there may be something to write, or the connection has ended. It is never closed: the writer
	// ends once the core says that the connection is closed.
	notify chan struct{}

	isCheckRequested atomic.Bool // the core wants to know of unread bytes; whoever sets it interrupts the reader

	// The fields below belong to the reader.

	raw            syscall.RawConn
	pollFDs        [1]unix.PollFd
	isDisconnected bool                  // the client has closed the connection, whatever it sent before
	pollClose      func(fd uintptr) bool // sets isDisconnected and returns it
	sinceData      time.Duration         // since the last bytes came; see socketstate.SinceData
	pollSinceData  func(fd uintptr)      // sets sinceData
}

func newSocket(conn net.Conn) *socket {
	s := &socket{conn: conn, notify: make(chan struct{}, 1)}
	s.raw, _ = conn.(syscall.Conn).SyscallConn() // a TCP connection has one
	s.pollClose = func(fd uintptr) bool {
		s.pollFDs[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
		n, err := unix.Poll(s.pollFDs[:], 0)
		s.isDisconnected = n > 0 && err == nil
		return s.isDisconnected
	}
	s.pollSinceData = func(fd uintptr) { s.sinceData = socketstate.SinceData(fd) }
	return s
}

// awaitClose waits, without reading, until the client has closed the connection or resumeReading is called, and reports whether the
// client has closed it. It sees the close over unread bytes too: a read would show the close only behind them, and they may be
// requests that nobody waits for.
func (s *socket) awaitClose() (isDisconnected bool) {
	// The errors mean that the connection is closed or the wait interrupted; the read that follows shows which.
	_ = s.raw.Read(s.pollClose)
	_ = s.conn.SetReadDeadline(time.Time{})                 // before the core is called: what it wants from then on sets the deadline again
	_ = s.raw.Control(func(fd uintptr) { s.pollClose(fd) }) // a wait that was interrupted before it began has not polled
	return s.isDisconnected
}

// requestCheck has the reader look for unread bytes.
func (s *socket) requestCheck() {
	s.isCheckRequested.Store(true)
	s.resumeReading()
}

// hasUnread reports whether bytes came that are not read, or the client has closed the connection. It asks the kernel.
func (s *socket) hasUnread() bool { return s.raw != nil && socketstate.IsReadable(s.raw) }

// arrivedBy returns when the last bytes that were read had come: before now, if they waited to be read.
func (s *socket) arrivedBy() time.Time {
	now := time.Now() // before the kernel is asked: a pause between the two is on the safe side
	s.sinceData = 0
	if s.raw.Control(s.pollSinceData) != nil {
		return now
	}
	return now.Add(-s.sinceData)
}

// resumeReading interrupts awaitClose, or the next call of it.
func (s *socket) resumeReading() {
	_ = s.conn.SetReadDeadline(past) // fails on a closed connection only, which interrupts as well
}

// clearReadDeadline ends the effect of a resumeReading that interrupted no wait.
func (s *socket) clearReadDeadline() {
	_ = s.conn.SetReadDeadline(time.Time{}) // fails on a closed connection only, and so does the next read
}

// write writes the responses, of size bytes in total. It uses and returns a buffer, so that small responses are one write.
func (s *socket) write(responses [][]byte, size int, timeout time.Duration, buffer []byte) ([]byte, error) {
	_ = s.conn.SetWriteDeadline(time.Now().Add(timeout)) // fails on a closed connection only, and so does the write
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

// halfClose tells the client that nothing more comes, and the reader to discard what still does.
func (s *socket) halfClose() {
	if conn, ok := s.conn.(interface{ CloseWrite() error }); ok {
		_ = conn.CloseWrite() // fails if the client has gone, which the reader sees
	}
	s.resumeReading()
	s.notifyWriter()
}

// close ends the reader by the error of its read, and the writer by a notification.
func (s *socket) close() {
	_ = s.conn.Close() // the connection is of no further use, whatever the error
	s.notifyWriter()
}

func (s *socket) notifyWriter() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}
