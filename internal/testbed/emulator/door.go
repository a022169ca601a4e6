package emulator

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"shelfproxy/internal/testbed/model"
)

// door is the address of one slot for one node. It keeps its port for as long as the emulator runs, whatever becomes
// of the server behind it: an open door takes connections, a shut one refuses them, and at a silent one they never
// come up, as at a machine that is cut off.
//
// The standard library can't stop listening and keep the port, so the socket is made by hand: it is bound once, and
// listen and shutdown open and shut it. A silent door listens with the shortest queue, which is then filled, so that
// the kernel drops what else comes.
type door struct {
	addr   string
	file   *os.File
	ln     *net.TCPListener
	accept func(net.Conn)

	mu      sync.Mutex
	changed sync.Cond
	state   model.AcceptorState
	closed  bool
	fillers []net.Conn
}

const queue = 1024

// newDoor binds a shut door on loopback; port 0 lets the system choose.
func newDoor(port int, accept func(net.Conn)) (*door, error) {
	file, port, err := bind(port)
	if err != nil {
		return nil, err
	}
	ln, err := net.FileListener(file)
	if err != nil {
		file.Close()
		return nil, err
	}
	d := &door{addr: fmt.Sprintf("127.0.0.1:%d", port), file: file, ln: ln.(*net.TCPListener),
		accept: accept, state: model.Refusing}
	d.changed.L = &d.mu
	go d.serve()
	return d, nil
}

// bind makes a socket that is bound but does not listen.
func bind(port int) (*os.File, int, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, 0, fmt.Errorf("socket: %w", err)
	}
	file := os.NewFile(uintptr(fd), "door")
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	}
	if err != nil {
		file.Close()
		if errors.Is(err, syscall.EADDRINUSE) {
			return nil, 0, &PortTakenError{port}
		}
		return nil, 0, fmt.Errorf("bind 127.0.0.1:%d: %w", port, err)
	}
	if port != 0 {
		return file, port, nil
	}
	// A port that the system chose is given back as the socket stops listening. One that was asked for is kept, so
	// a second socket asks for it while the first one holds it.
	defer file.Close()
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return nil, 0, err
	}
	return bind(name.(*syscall.SockaddrInet4).Port)
}

// PortTakenError says that a port that was asked for is in use.
type PortTakenError struct{ Port int }

func (e *PortTakenError) Error() string {
	return fmt.Sprintf("port %d is taken; choose another --base-port, or 0 for free ones", e.Port)
}

func (d *door) serve() {
	for {
		d.mu.Lock()
		for d.state != model.Accepting && !d.closed {
			d.changed.Wait()
		}
		closed := d.closed
		d.mu.Unlock()
		if closed {
			return
		}
		c, err := d.ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(time.Millisecond) // the door is being shut, or the process is out of descriptors
			continue
		}
		d.accept(c)
	}
}

// set opens or shuts the door. It is called by one goroutine.
func (d *door) set(state model.AcceptorState) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed || state == d.state {
		return nil
	}
	was := d.state
	d.state = state
	raw, err := d.file.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		switch state {
		case model.Accepting:
			failed = syscall.Listen(int(fd), queue)
			if was == model.Unresponsive {
				d.clearQueue(int(fd))
			}
			d.ln.SetDeadline(time.Time{})
		case model.Refusing:
			if failed = syscall.Shutdown(int(fd), syscall.SHUT_RDWR); errors.Is(failed, syscall.ENOTCONN) {
				failed = nil // it never listened
			}
		case model.Unresponsive:
			d.ln.SetDeadline(time.Unix(1, 0)) // whoever waits in Accept gives up
			failed = syscall.Listen(int(fd), 0)
		}
	})
	for _, c := range d.fillers {
		c.Close()
	}
	d.fillers = nil
	if state == model.Unresponsive {
		go d.fill()
	}
	d.changed.Broadcast()
	return errors.Join(err, failed)
}

// fill takes the places in the kernel's queue of a silent door, so that no connection of a node comes up.
func (d *door) fill() {
	for range 4 {
		c, err := net.DialTimeout("tcp", d.addr, 50*time.Millisecond)
		if err != nil {
			return
		}
		d.mu.Lock()
		if d.state != model.Unresponsive || d.closed {
			d.mu.Unlock()
			c.Close()
			return
		}
		d.fillers = append(d.fillers, c)
		d.mu.Unlock()
	}
}

// clearQueue resets the connections that came up while the door was silent.
func (d *door) clearQueue(fd int) {
	for range queue {
		c, _, err := syscall.Accept4(fd, syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK)
		if err != nil {
			return
		}
		syscall.SetsockoptLinger(c, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		syscall.Close(c)
	}
}

func (d *door) close() {
	d.mu.Lock()
	d.closed = true
	for _, c := range d.fillers {
		c.Close()
	}
	d.fillers = nil
	d.changed.Broadcast()
	d.mu.Unlock()
	d.ln.Close()
	d.file.Close()
}
