package emulator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"shelfproxy/internal/testbed/model"
)

const (
	// acceptQueue is the length of the kernel's queue of established connections.
	acceptQueue = 1024
	// maxFillers is the number of connections that are opened to fill a kernel queue of the shortest length. The kernel
	// accepts one connection more than the length of the queue.
	maxFillers = 4
	// fillTimeout bounds the time to establish a connection that fills the queue. A full queue does not answer.
	fillTimeout = 50 * time.Millisecond
	// acceptRetry is the wait after a failed accept. An accept fails while the acceptor does not accept connections or when
	// descriptors have run out.
	acceptRetry = time.Millisecond
)

// acceptor is the address of one slot for one node. It keeps its port as long as the emulator runs, whatever happens to
// the server behind it. In the state Accepting it accepts connections. In the state Refusing the kernel resets them. In
// the state Unresponsive they are never established, as with a machine behind a network partition.
//
// The standard library can't stop listening and keep the port. So the socket is created with system calls: it is bound
// once, and listen and shutdown change its state. An unresponsive acceptor listens with the shortest queue, and the queue
// is filled, so that the kernel drops further connections.
type acceptor struct {
	address  string
	listener *net.TCPListener
	accept   func(net.Conn)

	mu       sync.Mutex
	changed  sync.Cond // signals changes of state and isClosed
	state    model.AcceptorState
	isClosed bool
	fillers  []net.Conn // connections that fill the queue
}

// newAcceptor binds an acceptor on loopback, which refuses connections at first. With port 0 the operating system chooses
// the port. accept is called with each connection. close ends the goroutine that accepts connections.
func newAcceptor(port int, accept func(net.Conn)) (*acceptor, error) {
	file, port, err := bind(port)
	if err != nil {
		return nil, err
	}
	listener, err := net.FileListener(file)
	if err := errors.Join(err, file.Close()); err != nil { // the listener has its own descriptor
		return nil, err
	}
	a := &acceptor{address: fmt.Sprintf("127.0.0.1:%d", port), listener: listener.(*net.TCPListener),
		accept: accept, state: model.Refusing}
	a.changed.L = &a.mu
	go a.serve()
	return a, nil
}

// bind creates a socket that is bound but does not listen, and returns its port. The error is a *PortTakenError if the
// port is in use.
func bind(port int) (*os.File, int, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, 0, fmt.Errorf("socket: %w", err)
	}
	file := os.NewFile(uintptr(fd), "acceptor")
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		_ = file.Close() // the socket was never used
		if errors.Is(err, syscall.EADDRINUSE) {
			return nil, 0, &PortTakenError{port}
		}
		return nil, 0, fmt.Errorf("bind 127.0.0.1:%d: %w", port, err)
	}
	if port != 0 {
		return file, port, nil
	}
	// The kernel releases a port that it chose itself when the socket stops listening. It keeps a port that was requested.
	// So a second socket requests the chosen port while the first one still holds it.
	defer func() { _ = file.Close() }()
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, 0, err
	}
	return bind(name.(*syscall.SockaddrInet4).Port)
}

// PortTakenError is the error if a requested port is in use.
type PortTakenError struct{ Port int }

// Error implements error.
func (e *PortTakenError) Error() string {
	return fmt.Sprintf("port %d is taken; choose another --base-port, or 0 for free ones", e.Port)
}

// serve accepts connections until the acceptor is closed.
func (a *acceptor) serve() {
	for a.waitUntilAccepting() {
		conn, err := a.listener.Accept()
		switch {
		case err == nil:
			a.accept(conn)
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(acceptRetry)
		}
	}
}

// waitUntilAccepting waits until the acceptor accepts connections. It returns false if the acceptor was closed.
func (a *acceptor) waitUntilAccepting() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.state != model.Accepting && !a.isClosed {
		a.changed.Wait()
	}
	return !a.isClosed
}

// set changes the state of the acceptor. Only one goroutine may call it.
func (a *acceptor) set(state model.AcceptorState) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isClosed || state == a.state {
		return nil
	}
	before := a.state
	a.state = state
	raw, err := a.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) { failed = a.setSocket(int(fd), before, state) })
	a.closeFillers()
	if state == model.Unresponsive {
		go a.fillQueue() // returns after opening maxFillers connections at most
	}
	a.changed.Broadcast()
	return errors.Join(err, failed)
}

// setSocket changes the state of the socket. It ignores errors of SetDeadline, which fails only on a closed listener.
func (a *acceptor) setSocket(fd int, before, state model.AcceptorState) error {
	switch state {
	case model.Accepting:
		err := syscall.Listen(fd, acceptQueue)
		if before == model.Unresponsive {
			resetQueued(fd)
		}
		_ = a.listener.SetDeadline(time.Time{})
		return err
	case model.Refusing:
		err := syscall.Shutdown(fd, syscall.SHUT_RDWR)
		if errors.Is(err, syscall.ENOTCONN) { // the socket was not listening yet
			return nil
		}
		return err
	case model.Unresponsive:
		_ = a.listener.SetDeadline(time.Unix(1, 0)) // a deadline in the past makes a blocked Accept return
		return syscall.Listen(fd, 0)
	}
	return nil
}

// fillQueue fills the kernel's queue of an unresponsive acceptor, so that nodes can't establish connections.
func (a *acceptor) fillQueue() {
	dialer := net.Dialer{Timeout: fillTimeout}
	for range maxFillers {
		conn, err := dialer.DialContext(context.Background(), "tcp", a.address)
		if err != nil || !a.addFiller(conn) {
			return
		}
	}
}

// addFiller keeps a connection that fills the queue. If the acceptor is no longer unresponsive, it closes the connection
// and returns false.
func (a *acceptor) addFiller(conn net.Conn) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.state != model.Unresponsive || a.isClosed {
		_ = conn.Close() // nothing was sent on the connection
		return false
	}
	a.fillers = append(a.fillers, conn)
	return true
}

// closeFillers closes the connections that fill the queue. The caller holds the lock.
func (a *acceptor) closeFillers() {
	for _, conn := range a.fillers {
		_ = conn.Close() // nothing was sent on the connection
	}
	a.fillers = nil
}

// resetQueued resets the connections that were established while the acceptor was unresponsive.
func resetQueued(fd int) {
	for range acceptQueue {
		queued, _, err := syscall.Accept4(fd, syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		if err != nil {
			return
		}
		// Errors are ignored: a connection that its node has closed in the meantime needs no reset.
		_ = syscall.SetsockoptLinger(queued, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		_ = syscall.Close(queued)
	}
}

// close ends the acceptor and releases its port. It does not wait for the acceptor's goroutines.
func (a *acceptor) close() {
	a.mu.Lock()
	a.isClosed = true
	a.closeFillers()
	a.changed.Broadcast()
	a.mu.Unlock()
	// The run is over, so an error changes nothing.
	_ = a.listener.Close()
}
