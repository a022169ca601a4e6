package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"shelfproxy/internal/pause"
	"shelfproxy/internal/socketstate"
)

// maxRetainedBuffer is the largest write buffer, in bytes, that a connection keeps for its next request.
const maxRetainedBuffer = 32 << 10

// socket is the part of a connection that its Pool owns: the network connection, and the signal that wakes its writer.
type socket struct {
	pool *Pool
	conn net.Conn
	raw  syscall.RawConn
	// notify wakes the writer. It holds an element while there may be something to write, or the connection has been closed. It
	// is never closed: the writer ends once the core says that the connection is closed.
	notify chan struct{}
	// notifyMemory wakes the reader while it waits for memory. It holds an element once the memory may be granted, or the
	// connection has been closed. It is never closed.
	notifyMemory chan struct{}
}

func newSocket(pool *Pool, conn net.Conn) *socket {
	raw, _ := conn.(syscall.Conn).SyscallConn() // a TCP connection always has a raw connection
	return &socket{pool: pool, conn: conn, raw: raw, notify: make(chan struct{}, 1), notifyMemory: make(chan struct{}, 1)}
}

func socketOf(conn *Conn) *socket { return conn.Socket.(*socket) }

func (s *socket) notifyWriter() { notify(s.notify) }

// notify puts an element into a channel that holds at most one, unless it holds one already.
func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}

// close closes the network connection. The reader ends by the error of its read or by a notification, the writer by a
// notification.
func (s *socket) close() {
	_ = s.conn.Close() // the connection is of no further use, whatever the error
	s.notifyWriter()
	notify(s.notifyMemory)
}

// write writes the bytes of one attempt. isUsable says whether the connection may be used further; it is false after an error.
func (s *socket) write(bytes []byte, deadline time.Time) (isComplete, isUsable bool) {
	_ = s.conn.SetWriteDeadline(deadline) // an error means that the connection is closed, and then the write fails as well
	n, err := s.conn.Write(bytes)
	return n == len(bytes), err == nil
}

// isStale reports whether the connection has bytes to read or has ended. It asks the kernel, as the reading goroutine may not
// have run since the bytes arrived. See Core.NextToWrite for the consequences.
func (s *socket) isStale() bool {
	return s.raw == nil || socketstate.IsReadable(s.raw)
}

// dial opens a connection and starts its reader and its writer.
func (p *Pool) dial(conn *Conn, addr string) {
	netConn, err := connectAcrossPauses(p.connectTimeout, time.Now, func() (net.Conn, error) {
		dialer := net.Dialer{Timeout: p.connectTimeout}
		return dialer.DialContext(context.Background(), "tcp", addr)
	})
	isEstablished := err == nil
	if isEstablished {
		socket := newSocket(p, netConn)
		conn.Socket, conn.NotifyMemory = socket, func() { notify(socket.notifyMemory) }
		p.opened()
	}
	var effects Effects
	p.mu.Lock()
	p.core.DialCompleted(time.Now(), conn, isEstablished, &effects)
	p.setTimer()
	p.mu.Unlock()
	if isEstablished {
		go p.writeLoop(conn, socketOf(conn))
		go p.readLoop(conn, socketOf(conn))
	}
	p.carryOut(effects, false)
}

// connectAcrossPauses calls connect. If connect fails so late after its timeout that the process must have been paused, it is
// called once more: the server may have answered in time.
func connectAcrossPauses(timeout time.Duration, now func() time.Time, connect func() (net.Conn, error)) (net.Conn, error) {
	due := now().Add(timeout)
	conn, err := connect()
	if err != nil && pause.IsShown(due, now()) {
		return connect()
	}
	return conn, err
}

// nextToWrite returns the next attempt to write, if any, and whether the connection is still open. The caller holds mu.
func (p *Pool) nextToWrite(conn *Conn, socket *socket, effects *Effects) (attempt *Attempt, isOpen bool) {
	isStale := conn.AwaitsNoResponse() && socket.isStale()
	attempt = p.core.NextToWrite(time.Now(), conn, isStale, effects)
	return attempt, !conn.closed
}

// writeLoop writes attempts to the server until the connection is closed.
func (p *Pool) writeLoop(conn *Conn, socket *socket) {
	var buffer []byte
	var effects Effects
	for range socket.notify {
		effects = effects[:0]
		p.mu.Lock()
		attempt, isOpen := p.nextToWrite(conn, socket, &effects)
		p.mu.Unlock()
		p.carryOut(effects, false)
		for isOpen && attempt != nil {
			buffer = p.codec.AppendRequest(buffer[:0], attempt, time.Now())
			isComplete, isUsable := socket.write(buffer, attempt.writeDeadline())
			effects = effects[:0]
			p.mu.Lock()
			p.core.WriteCompleted(time.Now(), conn, isComplete, isUsable, &effects)
			attempt, isOpen = p.nextToWrite(conn, socket, &effects)
			p.setTimer()
			p.mu.Unlock()
			p.carryOut(effects, false)
			clear(effects) // the effects refer to attempts, which would stay in memory
			if cap(buffer) > maxRetainedBuffer {
				buffer = nil
			}
		}
		if !isOpen {
			return
		}
	}
}

// readLoop passes what the server sends to the core until the connection is closed. Another goroutine may close the connection
// meanwhile, which releases the decoder. So the buffer for the next bytes is also requested under the lock. Until BytesReceived,
// no other goroutine uses that buffer.
func (p *Pool) readLoop(conn *Conn, socket *socket) {
	var effects Effects
	p.mu.Lock()
	buffer := conn.Decoder.ReadBuffer()
	p.mu.Unlock()
	for isClosed := false; !isClosed; {
		n, err := socket.conn.Read(buffer)
		effects = effects[:0]
		p.mu.Lock()
		now := time.Now()
		if n > 0 {
			p.core.BytesReceived(now, conn, n, &effects)
		}
		if err != nil {
			p.core.ConnectionEnded(now, conn, errors.Is(err, io.EOF), &effects)
		}
		isWaiting := conn.IsWaitingForMemory()
		if isClosed = conn.closed; !isClosed && !isWaiting {
			buffer = conn.Decoder.ReadBuffer()
		}
		p.setTimer()
		p.mu.Unlock()
		p.carryOut(effects, false)
		clear(effects)
		if isWaiting && !isClosed {
			buffer, isClosed = p.awaitMemory(conn, socket)
		}
	}
}

// awaitMemory waits until the memory that a connection waits for is granted, or the connection is closed. It returns the buffer
// for the next bytes. Nothing is read meanwhile, so what the server sends stays in the kernel, and the server has to wait.
func (p *Pool) awaitMemory(conn *Conn, socket *socket) (buffer []byte, isClosed bool) {
	for isWaiting := true; isWaiting && !isClosed; {
		<-socket.notifyMemory
		var effects Effects
		p.mu.Lock()
		p.core.MemoryGranted(time.Now(), conn, &effects)
		isWaiting, isClosed = conn.IsWaitingForMemory(), conn.closed
		if !isWaiting && !isClosed {
			buffer = conn.Decoder.ReadBuffer()
		}
		p.setTimer()
		p.mu.Unlock()
		p.carryOut(effects, false)
	}
	return buffer, isClosed
}
