package simulation

import (
	"strconv"
	"time"

	"shelfproxy/internal/upstream"
)

// pool stands in for the shell of a forward.Core: the goroutines and sockets between it and one server.
type pool struct {
	n      *node
	life   int
	id     string
	codec  upstream.Codec
	core   *upstream.Core
	report func(*upstream.Attempt, upstream.Response)
	due    Time
	socks  []*sock
	wrote  map[*upstream.Attempt]*serverConn // forwards whose request went out whole, and where
}

// sock is a connection to a server.
type sock struct {
	p       *pool
	end     *end
	conn    *upstream.Conn
	server  *serverConn
	inbox   []byte // came, and not read yet
	eof     bool
	reset   bool // and not in order
	reading bool
	writing bool
}

func (p *pool) now() time.Time { return p.n.now() }

// Send, Abandon, CloseIdle and Update are what the loop calls.
func (p *pool) Send(f *upstream.Attempt) (upstream.Outcome, bool) {
	var fx upstream.Effects
	end, ok := p.core.Send(p.now(), f, &fx)
	p.carry(fx)
	return end, ok
}

func (p *pool) Abandon(f *upstream.Attempt) bool {
	var fx upstream.Effects
	written := p.core.Abandon(p.now(), f, &fx)
	p.carry(fx)
	if !written {
		p.claims(f, "abandoned as not written")
	}
	return written
}

func (p *pool) Withdraw(f *upstream.Attempt) bool {
	var fx upstream.Effects
	done := p.core.Withdraw(p.now(), f, &fx)
	p.carry(fx)
	if done {
		p.claims(f, "withdrawn as not written")
	}
	return done
}

func (p *pool) CloseIdle() {
	var fx upstream.Effects
	p.core.CloseIdle(p.now(), &fx)
	p.carry(fx)
}

func (p *pool) Update(addr string, left bool) []*upstream.Attempt {
	var fx upstream.Effects
	drained := p.core.Update(p.now(), addr, left, &fx)
	p.carry(fx)
	for _, f := range drained {
		p.claims(f, "drained")
	}
	return drained
}

// claims checks what is said of a forward that never ran: its request must not have come whole to its server.
func (p *pool) claims(f *upstream.Attempt, what string) {
	if c := p.wrote[f]; c != nil && f.Request != nil && c.came[string(f.Request.ID)] {
		p.n.w.broken(NeverRan, "%s at %s is %s, and came whole", f.Request.ID, p.id, what)
	}
}

// arm books the next look at the core.
func (p *pool) arm() {
	at := p.core.NextTimer()
	if at.IsZero() {
		return
	}
	w := p.n.w
	t := max(p.n.simTime(at), w.now)
	if p.due > 0 && p.due <= t {
		return
	}
	p.due = t
	p.n.later(t-w.now, func() {
		if p.due == t {
			p.due = 0
		}
		var fx upstream.Effects
		p.core.HandleTimers(p.now(), &fx)
		p.carry(fx)
	})
}

func (p *pool) carry(fx upstream.Effects) {
	for _, e := range fx {
		switch e.Kind {
		case upstream.Dial:
			p.dial(e.Conn, e.Addr)
		case upstream.Write:
			s := e.Conn.Socket.(*sock)
			p.n.later(p.n.lag(), s.pull)
		case upstream.CloseConnection:
			e.Conn.Socket.(*sock).shut()
		case upstream.ReportOutcome:
			switch a := e.Response; a.Outcome {
			case upstream.PoolExhausted, upstream.ServerDraining, upstream.ConnectFailed, upstream.WriteInterrupted, upstream.NotSent:
				p.claims(e.Attempt, a.Outcome.String())
			}
			p.report(e.Attempt, e.Response)
		}
	}
	p.arm()
}

// dial opens a connection, as the door of the server's slot lets it.
func (p *pool) dial(c *upstream.Conn, addr string) {
	w, slot := p.n.w, slotOf(addr)
	trip := w.between(200*time.Microsecond, 3*time.Millisecond)
	if w.strikes(w.plan.Net.SlowConnect) {
		trip = w.between(0, w.plan.Nodes.ConnectTimeout.D()*3/2)
	}
	limit := w.plan.Nodes.ConnectTimeout.D()
	p.n.later(min(trip, limit), func() {
		var fx upstream.Effects
		state := w.doors[doorKey{slot, p.n.index}]
		switch {
		case trip >= limit || state == 1 || w.strikes(w.plan.Net.RefuseNew): // shut
			w.note("refused", strconv.Itoa(slot))
			p.core.DialCompleted(p.now(), c, false, &fx)
		case state == 2: // silent: it never comes up
			p.n.later(limit-min(trip, limit), func() {
				var fx upstream.Effects
				p.core.DialCompleted(p.now(), c, false, &fx)
				p.carry(fx)
			})
			return
		default:
			s := &sock{p: p, conn: c}
			s.end, s.server = w.connect(p.n, slot)
			s.server.sock = s
			s.end.data = func(b []byte, _ Time) {
				s.inbox = append(s.inbox, b...)
				s.wake()
			}
			s.end.ended = func(reset bool) {
				s.eof, s.reset = true, reset
				s.wake()
			}
			c.Socket = s
			p.socks = append(p.socks, s)
			p.core.DialCompleted(p.now(), c, true, &fx)
		}
		p.carry(fx)
	})
}

// wake has the connection's reader run.
func (s *sock) wake() {
	if s.p.n.life == s.p.life && !s.reading {
		s.reading = true
		s.p.n.later(s.p.n.lag(), s.read)
	}
}

func (s *sock) read() {
	s.reading = false
	p := s.p
	var fx upstream.Effects
	for len(s.inbox) > 0 && !s.conn.IsClosed() {
		k := copy(s.conn.Decoder.ReadBuffer(), s.inbox)
		s.inbox = s.inbox[k:]
		p.core.BytesReceived(p.now(), s.conn, k, &fx)
	}
	if s.eof && !s.conn.IsClosed() {
		p.core.ConnectionEnded(p.now(), s.conn, !s.reset, &fx)
	}
	p.carry(fx)
}

// pull has the connection's writer run.
func (s *sock) pull() {
	p, w := s.p, s.p.n.w
	var fx upstream.Effects
	stale := s.conn.IsIdle() && (len(s.inbox) > 0 || s.eof)
	f := p.core.NextToWrite(p.now(), s.conn, stale, &fx)
	p.carry(fx)
	if f == nil {
		return
	}
	b := p.codec.AppendRequest(nil, f, p.now())
	s.writing = true
	p.n.later(p.n.lag(), func() {
		s.writing = false
		whole, good := true, true
		switch {
		case s.end.dead: // it ended since: not a byte of it leaves
			whole, good = false, false
		case w.strikes(w.plan.Net.BreakWrite):
			k := w.rng.IntN(len(b))
			s.end.write(b[:k])
			whole, good = false, false
			w.note("break-write", s.p.id, strconv.Itoa(k))
			s.end.snap()
		default:
			s.end.write(b)
			p.wrote[f] = s.server
		}
		var fx upstream.Effects
		p.core.WriteCompleted(p.now(), s.conn, whole, good, &fx)
		p.carry(fx)
		s.pull()
	})
}

// shut closes the connection from the node's side.
func (s *sock) shut() {
	s.end.close()
	for i, o := range s.p.socks {
		if o == s {
			s.p.socks = append(s.p.socks[:i], s.p.socks[i+1:]...)
			return
		}
	}
}
