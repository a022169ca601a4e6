package upstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Pool holds the connections to one server. Core decides; the pool moves the bytes, keeps the clock, and calls the core
// under its lock. The methods that the node's loop calls never wait on a socket.
type Pool struct {
	codec  Codec
	dialIn time.Duration
	report func(*Attempt, Response)
	opened func()

	mu    sync.Mutex
	core  *Core
	timer *time.Timer
	armed time.Time // when the timer goes off; zero where it does not
}

// socket is the shell's part of a connection.
type socket struct {
	net  net.Conn
	raw  syscall.RawConn
	wake chan struct{} // holds one word while there may be something to write, or it has ended
}

// NewPool makes a pool. report is called from the pool's goroutines, once for each forward that ends by
// itself; opened for each new connection.
func NewPool(addr string, codec Codec, limits Limits, budget *DescriptorBudget, report func(*Attempt, Response),
	opened func()) *Pool {
	return &Pool{codec: codec, dialIn: limits.ConnectTimeout, report: report, opened: opened, core: NewCore(addr, codec, limits, budget)}
}

// Send starts a forward. When it returns false the forward has ended already, as the End says.
func (p *Pool) Send(f *Attempt) (Outcome, bool) {
	var some [2]Effect
	fx := Effects(some[:0])
	p.mu.Lock()
	end, ok := p.core.Send(time.Now(), f, &fx)
	p.arm()
	p.mu.Unlock()
	p.carry(fx, true)
	return end, ok
}

// Abandon gives a forward up and tells whether any of it may have been written. Its connection is closed,
// which tells the server, unless others wait for answers on it: those must not be killed.
func (p *Pool) Abandon(f *Attempt) (written bool) {
	var fx Effects
	p.mu.Lock()
	written = p.core.Abandon(time.Now(), f, &fx)
	p.arm()
	p.mu.Unlock()
	p.carry(fx, true)
	return written
}

// Withdraw gives up a forward of which nothing was written, and tells whether it did: it has ended then, and is not reported.
func (p *Pool) Withdraw(f *Attempt) bool {
	var fx Effects
	p.mu.Lock()
	done := p.core.Withdraw(time.Now(), f, &fx)
	p.arm()
	p.mu.Unlock()
	p.carry(fx, true)
	return done
}

// CloseIdle closes the connections that nothing waits on.
func (p *Pool) CloseIdle() {
	var fx Effects
	p.mu.Lock()
	p.core.CloseIdle(time.Now(), &fx)
	p.mu.Unlock()
	p.carry(fx, true)
}

// Update says where the server is now and whether it takes new work. Forwards of which nothing was written to a server
// that left are returned: they end as Drained.
func (p *Pool) Update(addr string, left bool) (drained []*Attempt) {
	var fx Effects
	p.mu.Lock()
	drained = p.core.Update(time.Now(), addr, left, &fx)
	p.arm()
	p.mu.Unlock()
	p.carry(fx, true)
	return drained
}

// arm sets the timer where the core wants to be called sooner than it goes off. One that goes off too soon is set anew:
// what most calls move is the end of an idle connection, to later.
func (p *Pool) arm() {
	at := p.core.NextTimer()
	if at.IsZero() || !p.armed.IsZero() && !at.Before(p.armed) {
		return
	}
	p.armed = at
	if in := time.Until(at); p.timer == nil {
		p.timer = time.AfterFunc(in, p.due)
	} else {
		p.timer.Reset(in)
	}
}

func (p *Pool) due() {
	var fx Effects
	p.mu.Lock()
	p.armed = time.Time{}
	p.core.HandleTimers(time.Now(), &fx)
	p.arm()
	p.mu.Unlock()
	p.carry(fx, false)
}

// carry carries effects out, without the lock. In the node's loop nothing may wait for that loop.
func (p *Pool) carry(fx Effects, loop bool) {
	for i := range fx {
		switch e := &fx[i]; e.Kind {
		case Dial:
			go p.dial(e.Conn, e.Addr)
		case Write:
			word(e.Conn)
		case CloseConnection:
			e.Conn.Socket.(*socket).net.Close()
			word(e.Conn)
		case ReportOutcome:
			if f, a := e.Attempt, e.Response; loop {
				go p.report(f, a)
			} else {
				p.report(f, a)
			}
		}
	}
}

func word(c *Conn) {
	select {
	case c.Socket.(*socket).wake <- struct{}{}:
	default:
	}
}

func (p *Pool) dial(c *Conn, addr string) {
	nc, err := net.DialTimeout("tcp", addr, p.dialIn)
	var s *socket
	if err == nil {
		raw, _ := nc.(syscall.Conn).SyscallConn() // a TCP connection has one
		s = &socket{net: nc, raw: raw, wake: make(chan struct{}, 1)}
		c.Socket = s
		p.opened()
	}
	var fx Effects
	p.mu.Lock()
	p.core.DialCompleted(time.Now(), c, err == nil, &fx)
	p.arm()
	p.mu.Unlock()
	if s != nil {
		go p.write(c, s)
		go p.read(c, s)
	}
	p.carry(fx, false)
}

// pull takes the next forward to write; open is false where the connection has ended.
func (p *Pool) pull(c *Conn, s *socket, fx *Effects) (f *Attempt, open bool) {
	stale := c.IsIdle() && stale(s.raw)
	f = p.core.NextToWrite(time.Now(), c, stale, fx)
	return f, !c.closed
}

// write moves forwards to the server until the connection ends.
func (p *Pool) write(c *Conn, s *socket) {
	var buf []byte
	var fx Effects
	for range s.wake {
		fx = fx[:0]
		p.mu.Lock()
		f, open := p.pull(c, s, &fx)
		p.mu.Unlock()
		p.carry(fx, false)
		for open && f != nil {
			buf = p.codec.AppendRequest(buf[:0], f, time.Now())
			s.net.SetWriteDeadline(f.writeBy())
			n, err := s.net.Write(buf)
			fx = fx[:0]
			p.mu.Lock()
			p.core.WriteCompleted(time.Now(), c, n == len(buf), err == nil, &fx)
			f, open = p.pull(c, s, &fx)
			p.arm()
			p.mu.Unlock()
			p.carry(fx, false)
			clear(fx) // they hold on to forwards
			if cap(buf) > 32<<10 {
				buf = nil
			}
		}
		if !open {
			return
		}
	}
}

// read moves what the server sends to the core until the connection ends. The decoder is the core's, and another goroutine
// may close the connection meanwhile: so the room for the next bytes is asked for under the lock too. The bytes of that room
// are this goroutine's alone until it says that they came.
func (p *Pool) read(c *Conn, s *socket) {
	var fx Effects
	p.mu.Lock()
	space := c.Decoder.ReadBuffer()
	p.mu.Unlock()
	for over := false; !over; {
		n, err := s.net.Read(space)
		fx = fx[:0]
		p.mu.Lock()
		now := time.Now()
		if n > 0 {
			p.core.BytesReceived(now, c, n, &fx)
		}
		if err != nil {
			p.core.ConnectionEnded(now, c, errors.Is(err, io.EOF), &fx)
		}
		if over = c.closed; !over {
			space = c.Decoder.ReadBuffer()
		}
		p.arm()
		p.mu.Unlock()
		p.carry(fx, false)
		clear(fx)
	}
}

// stale tells whether a connection on which nothing is awaited has bytes to read or has ended. An answer to a
// request written now would not be told from such bytes, and a request written to a closed connection is lost. It
// looks past the reading goroutine, which may not have run since the bytes came.
func stale(raw syscall.RawConn) bool {
	if raw == nil {
		return true
	}
	var peeked error
	err := raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err != nil || !errors.Is(peeked, syscall.EAGAIN)
}
