package simulation

import (
	"strconv"
	"time"

	"shelfproxy/internal/upstream"
)

// pool stands in for the shell of a forward.Core: the goroutines and sockets between it and one server.
type pool struct {
	node        *node
	incarnation int
	id          string
	codec       upstream.Codec
	core        *upstream.Core
	report      func(*upstream.Attempt, upstream.Response)
	timerAt     Time
	sockets     []*poolSocket
	written     map[*upstream.Attempt]*serverConn // forwards whose request went out whole, and where
}

// poolSocket is a connection to a server.
type poolSocket struct {
	pool    *pool
	stream  *stream
	conn    *upstream.Conn
	server  *serverConn
	inbox   []byte // came, and not read yet
	eof     bool
	reset   bool // and not in order
	reading bool
	writing bool
}

func (p *pool) now() time.Time { return p.node.now() }

// Send, Abandon, CloseIdle and Update are what the loop calls.
func (p *pool) Send(f *upstream.Attempt) (upstream.Outcome, bool) {
	var fx upstream.Effects
	end, ok := p.core.Send(p.now(), f, &fx)
	p.execute(fx)
	return end, ok
}

func (p *pool) Abandon(f *upstream.Attempt) bool {
	var fx upstream.Effects
	written := p.core.Abandon(p.now(), f, &fx)
	p.execute(fx)
	if !written {
		p.checkNeverRan(f, "abandoned as not written")
	}
	return written
}

func (p *pool) Withdraw(f *upstream.Attempt) bool {
	var fx upstream.Effects
	done := p.core.Withdraw(p.now(), f, &fx)
	p.execute(fx)
	if done {
		p.checkNeverRan(f, "withdrawn as not written")
	}
	return done
}

func (p *pool) CloseIdle() {
	var fx upstream.Effects
	p.core.CloseIdle(p.now(), &fx)
	p.execute(fx)
}

func (p *pool) Update(addr string, left bool) []*upstream.Attempt {
	var fx upstream.Effects
	drained := p.core.Update(p.now(), addr, left, &fx)
	p.execute(fx)
	for _, f := range drained {
		p.checkNeverRan(f, "drained")
	}
	return drained
}

// checkNeverRan checks what is said of a forward that never ran: its request must not have come whole to its server.
func (p *pool) checkNeverRan(f *upstream.Attempt, what string) {
	if c := p.written[f]; c != nil && f.Request != nil && c.arrived[string(f.Request.ID)] {
		p.node.world.violation(InvariantNeverRan, "%s at %s is %s, and came whole", f.Request.ID, p.id, what)
	}
}

// armTimer books the next look at the core.
func (p *pool) armTimer() {
	at := p.core.NextTimer()
	if at.IsZero() {
		return
	}
	w := p.node.world
	t := max(p.node.simTime(at), w.now)
	if p.timerAt > 0 && p.timerAt <= t {
		return
	}
	p.timerAt = t
	p.node.schedule(t-w.now, func() {
		if p.timerAt == t {
			p.timerAt = 0
		}
		var fx upstream.Effects
		p.core.HandleTimers(p.now(), &fx)
		p.execute(fx)
	})
}

func (p *pool) execute(fx upstream.Effects) {
	for _, e := range fx {
		switch e.Kind {
		case upstream.Dial:
			p.dial(e.Conn, e.Addr)
		case upstream.Write:
			s := e.Conn.Socket.(*poolSocket)
			p.node.schedule(p.node.lag(), s.writeNext)
		case upstream.CloseConnection:
			e.Conn.Socket.(*poolSocket).closeStream()
		case upstream.ReportOutcome:
			switch a := e.Response; a.Outcome {
			case upstream.PoolExhausted, upstream.ServerDraining, upstream.ConnectFailed, upstream.WriteInterrupted, upstream.NotSent:
				p.checkNeverRan(e.Attempt, a.Outcome.String())
			}
			p.report(e.Attempt, e.Response)
		}
	}
	p.armTimer()
}

// dial opens a connection, as the door of the server's slot lets it.
func (p *pool) dial(c *upstream.Conn, addr string) {
	w, slot := p.node.world, slotOf(addr)
	trip := w.drawBetween(200*time.Microsecond, 3*time.Millisecond)
	if w.networkFault(w.plan.Network.SlowConnect) {
		trip = w.drawBetween(0, w.plan.Nodes.ConnectTimeout.D()*3/2)
	}
	limit := w.plan.Nodes.ConnectTimeout.D()
	p.node.schedule(min(trip, limit), func() {
		var fx upstream.Effects
		state := w.acceptors[acceptorKey{slot, p.node.index}]
		switch {
		case trip >= limit || state == 1 || w.networkFault(w.plan.Network.FailConnect): // shut
			w.logEvent("refused", strconv.Itoa(slot))
			p.core.DialCompleted(p.now(), c, false, &fx)
		case state == 2: // silent: it never comes up
			p.node.schedule(limit-min(trip, limit), func() {
				var fx upstream.Effects
				p.core.DialCompleted(p.now(), c, false, &fx)
				p.execute(fx)
			})
			return
		default:
			s := &poolSocket{pool: p, conn: c}
			s.stream, s.server = w.connect(p.node, slot)
			s.server.socket = s
			s.stream.data = func(b []byte, _ Time) {
				s.inbox = append(s.inbox, b...)
				s.scheduleRead()
			}
			s.stream.ended = func(reset bool) {
				s.eof, s.reset = true, reset
				s.scheduleRead()
			}
			c.Socket = s
			p.sockets = append(p.sockets, s)
			p.core.DialCompleted(p.now(), c, true, &fx)
		}
		p.execute(fx)
	})
}

// scheduleRead has the connection's reader run.
func (s *poolSocket) scheduleRead() {
	if s.pool.node.incarnation == s.pool.incarnation && !s.reading {
		s.reading = true
		s.pool.node.schedule(s.pool.node.lag(), s.read)
	}
}

func (s *poolSocket) read() {
	s.reading = false
	p := s.pool
	var fx upstream.Effects
	for len(s.inbox) > 0 && !s.conn.IsClosed() {
		k := copy(s.conn.Decoder.ReadBuffer(), s.inbox)
		s.inbox = s.inbox[k:]
		p.core.BytesReceived(p.now(), s.conn, k, &fx)
	}
	if s.eof && !s.conn.IsClosed() {
		p.core.ConnectionEnded(p.now(), s.conn, !s.reset, &fx)
	}
	p.execute(fx)
}

// writeNext has the connection's writer run.
func (s *poolSocket) writeNext() {
	p, w := s.pool, s.pool.node.world
	var fx upstream.Effects
	stale := s.conn.IsIdle() && (len(s.inbox) > 0 || s.eof)
	f := p.core.NextToWrite(p.now(), s.conn, stale, &fx)
	p.execute(fx)
	if f == nil {
		return
	}
	b := p.codec.AppendRequest(nil, f, p.now())
	s.writing = true
	p.node.schedule(p.node.lag(), func() {
		s.writing = false
		whole, good := true, true
		switch {
		case s.stream.isClosed: // it ended since: not a byte of it leaves
			whole, good = false, false
		case w.networkFault(w.plan.Network.BreakWrite):
			k := w.rng.IntN(len(b))
			s.stream.write(b[:k])
			whole, good = false, false
			w.logEvent("break-write", s.pool.id, strconv.Itoa(k))
			s.stream.snap()
		default:
			s.stream.write(b)
			p.written[f] = s.server
		}
		var fx upstream.Effects
		p.core.WriteCompleted(p.now(), s.conn, whole, good, &fx)
		p.execute(fx)
		s.writeNext()
	})
}

// closeStream closes the connection from the node's side.
func (s *poolSocket) closeStream() {
	s.stream.close()
	for i, o := range s.pool.sockets {
		if o == s {
			s.pool.sockets = append(s.pool.sockets[:i], s.pool.sockets[i+1:]...)
			return
		}
	}
}
