// Package listener is the clients' side: it reads their RESP2 commands, hands them on as flows, and writes the
// answers in the order of the commands. It knows flows, not the module. Core decides; Listener moves the bytes.
package listener

import (
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/request"
)

// small is how many bytes are copied into one buffer to be written.
const small = 4 << 10

// Listener accepts clients and serves them until it is closed.
type Listener struct {
	ln    net.Listener
	sink  request.Handler
	count *counters.Counters
	write time.Duration

	mu       sync.Mutex
	core     *Core
	room     sync.Cond // there may be room for another connection
	draining bool
	done     sync.WaitGroup
}

// socket is the shell's part of a connection.
type socket struct {
	net  net.Conn
	wake chan struct{} // holds one word while there may be something to write, or it has ended

	raw  syscall.RawConn
	poll [1]unix.PollFd
	left bool                  // the client has closed, whatever it sent before
	look func(fd uintptr) bool // looks whether it has
}

func newSocket(nc net.Conn) *socket {
	s := &socket{net: nc, wake: make(chan struct{}, 1)}
	s.raw, _ = nc.(syscall.Conn).SyscallConn() // a TCP connection has one
	s.look = func(fd uintptr) bool {
		s.poll[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLRDHUP}
		n, err := unix.Poll(s.poll[:], 0)
		s.left = n > 0 && err == nil
		return s.left
	}
	return s
}

// hold waits, without reading, until the client has closed the connection or goOn is called, and tells whether it has closed,
// also where bytes that it sent before wait to be read. A read would show the close only behind them, and they may be requests
// that nobody waits for.
func (s *socket) hold() (left bool) {
	s.raw.Read(s.look)
	s.net.SetReadDeadline(time.Time{})             // before the core is asked: what it wants from then on is set after
	s.raw.Control(func(fd uintptr) { s.look(fd) }) // a hold that was over before it began has not looked
	return s.left
}

// goOn ends a hold, or the next one.
func (s *socket) goOn() { s.net.SetReadDeadline(past) }

var past = time.Unix(1, 0)

// endSending tells the client that nothing more comes, and the reader that it is to throw away what does.
func (s *socket) endSending() {
	if c, ok := s.net.(interface{ CloseWrite() error }); ok {
		c.CloseWrite()
	}
	s.goOn()
}

// New starts nothing yet; Serve does. See NewCore for classes and tenants.
func New(ln net.Listener, sink request.Handler, classes, tenants []string, limits Limits, count *counters.Counters) *Listener {
	l := &Listener{ln: ln, sink: sink, count: count, write: limits.WriteTimeout, core: NewCore(time.Now(), classes, tenants, limits, count)}
	l.core.Reply = l.reply
	l.room.L = &l.mu
	return l
}

// call makes one call of the core and carries out what it wants done.
func (l *Listener) call(f func(now time.Time, fx *Effects)) {
	var some [8]Effect
	fx := Effects(some[:0])
	l.mu.Lock()
	f(time.Now(), &fx)
	l.mu.Unlock()
	l.carry(fx)
}

func (l *Listener) carry(fx Effects) {
	for i := range fx {
		switch e := &fx[i]; e.Kind {
		case HandleRequest:
			l.sink.Handle(e.Request) // may wait
		case ClientDisconnected:
			l.sink.ClientDisconnected(e.Request)
		case WriteResponses:
			word(e.Conn.Socket.(*socket).wake)
		case ResumeReading:
			e.Conn.Socket.(*socket).goOn()
		case HalfClose:
			s := e.Conn.Socket.(*socket)
			s.endSending()
			word(s.wake)
		case CloseConnection:
			s := e.Conn.Socket.(*socket)
			s.net.Close()
			word(s.wake)
		case CapacityAvailable:
			l.room.Broadcast()
		}
	}
}

func word(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Serve accepts until Close.
func (l *Listener) Serve() error {
	go l.sweep()
	for {
		nc, err := l.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // set by Close: all that had come is accepted
			return l.ln.Close()
		}
		if err != nil {
			l.count.AcceptFailed.Add(1)
			time.Sleep(5 * time.Millisecond) // out of descriptors, say: those in use come back
			continue
		}
		s := newSocket(nc)
		l.done.Add(2)
		l.call(func(now time.Time, fx *Effects) {
			c := l.core.Accepted(now)
			c.Socket = s
			go l.read(c, s)
			go l.writes(c, s)
		})
		l.mu.Lock()
		for {
			var fx Effects
			ok := l.core.HasCapacity(time.Now(), &fx)
			if len(fx) > 0 {
				l.mu.Unlock()
				l.carry(fx)
				l.mu.Lock()
				continue // what it closed may have made the room
			}
			if ok {
				break
			}
			l.room.Wait() // the rest waits in the kernel's queue
		}
		l.mu.Unlock()
	}
}

// Usage is how many connections there are, and how often one more had to wait for a place.
func (l *Listener) Usage() (used int, refused int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Usage()
}

// SetMaxConnections changes how many connections there may be.
func (l *Listener) SetMaxConnections(n int) {
	l.call(func(_ time.Time, fx *Effects) { l.core.SetMaxConnections(n, fx) })
}

// sweep has the core look at its connections until the listener is closed and the last of them has ended.
func (l *Listener) sweep() {
	for wait := latest; ; {
		time.Sleep(wait)
		over := false
		l.call(func(now time.Time, fx *Effects) {
			wait = l.core.ExpireIdle(now, fx)
			used, _ := l.core.Usage()
			over = l.draining && used == 0
		})
		if over {
			return
		}
	}
}

// StopAccepting leaves new connections to whoever else accepts at the same socket.
func (l *Listener) StopAccepting() { l.ln.Close() }

// lastAccept is how long connections that the system has taken already may wait to be accepted, once the listener closes: what
// was sent on them would be lost with them.
const lastAccept = 20 * time.Millisecond

// Close stops accepting and closes connections as soon as nothing is owed on them.
func (l *Listener) Close() {
	l.call(func(now time.Time, fx *Effects) {
		l.draining = true
		l.core.Drain(now, fx)
	})
	ln, ok := l.ln.(interface{ SetDeadline(time.Time) error })
	if !ok || ln.SetDeadline(time.Now().Add(lastAccept)) != nil {
		l.ln.Close()
	}
}

// Wait returns when the last connection is closed.
func (l *Listener) Wait() { l.done.Wait() }

// read moves bytes to the core until the connection ends. While the core wants none it waits for the end alone.
func (l *Listener) read(c *Conn, s *socket) {
	defer l.done.Done()
	var fx Effects
	for held := false; ; {
		n, left := 0, false
		var err error
		if held {
			left = s.hold()
		} else {
			n, err = s.net.Read(c.ReadBuffer())
		}
		if errors.Is(err, os.ErrDeadlineExceeded) { // of a hold that was over by itself
			s.net.SetReadDeadline(time.Time{})
			err = nil
		}
		fx = fx[:0]
		l.mu.Lock()
		switch now := time.Now(); {
		case left || err != nil && n == 0:
			l.core.ConnectionEnded(now, c, &fx)
		case c.IsClosed(): // what comes is thrown away
		case n > 0:
			l.core.BytesReceived(now, c, n, &fx)
		case held:
			l.core.Resume(now, c, &fx)
		}
		over := c.IsClosed() && !c.IsLingering()
		held = !c.IsClosed() && c.IsPaused()
		l.mu.Unlock()
		l.carry(fx)
		clear(fx) // they hold on to what was read
		if over {
			return
		}
	}
}

// reply passes a final answer to the core.
func (l *Listener) reply(c *Conn, slot *ResponseSlot, r request.Response) {
	var some [2]Effect
	fx := Effects(some[:0])
	l.mu.Lock()
	l.core.Respond(time.Now(), c, slot, r, &fx)
	l.mu.Unlock()
	l.carry(fx)
}

// writes moves answers to the client until the connection ends.
func (l *Listener) writes(c *Conn, s *socket) {
	defer l.done.Done()
	var out [][]byte
	var buf []byte // at most small and its line ends
	var fx Effects
	for range s.wake {
		for {
			l.mu.Lock()
			next, size := l.core.NextToWrite(c, out[:0])
			over := c.IsClosed()
			l.mu.Unlock()
			if over {
				return
			}
			if out = next; size == 0 {
				break
			}
			now := time.Now()
			s.net.SetWriteDeadline(now.Add(l.write))
			var err error
			if size <= small { // one buffer costs less than a list of them
				buf = buf[:0]
				for _, b := range out {
					buf = append(buf, b...)
				}
				_, err = s.net.Write(buf)
			} else {
				bufs := net.Buffers(out)
				_, err = bufs.WriteTo(s.net)
			}
			clear(out) // they hold on to what was read
			fx = fx[:0]
			l.mu.Lock()
			l.core.WriteCompleted(time.Now(), c, err == nil, &fx)
			l.mu.Unlock()
			l.carry(fx)
			clear(fx)
		}
	}
}
