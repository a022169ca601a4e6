package simulation

import (
	"strconv"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/upstream"
)

// pool stands in for the shell of an upstream.Core, which consists of goroutines and sockets for the connections to one server.
type pool struct {
	node        *node
	incarnation int
	id          string
	codec       upstream.Codec
	core        *upstream.Core
	report      func(*upstream.Attempt, upstream.Response)
	timerAt     Time
	sockets     []*poolSocket
	written     map[*upstream.Attempt]*serverConn // by attempt that was written completely: the server's end of the connection that carried it
}

// poolSocket is the node's end of a connection to a server.
type poolSocket struct {
	pool      *pool
	stream    *stream
	conn      *upstream.Conn
	server    *serverConn
	inbox     []byte // bytes that have arrived and are not read yet
	hasEnded  bool
	wasReset  bool // the connection ended with a reset
	isReading bool
	isWriting bool
}

func (p *pool) now() time.Time { return p.node.now() }

// Send starts an attempt. The exported methods of pool implement node.Upstream.
func (p *pool) Send(attempt *upstream.Attempt) (upstream.Outcome, bool) {
	var effects upstream.Effects
	outcome, ok := p.core.Send(p.now(), attempt, &effects)
	p.execute(effects)
	return outcome, ok
}

// Abandon gives up an attempt, and returns whether it was possibly executed, as the core sees it. If it was not, Abandon checks
// that the server has not received the attempt completely.
func (p *pool) Abandon(attempt *upstream.Attempt) bool {
	var effects upstream.Effects
	written := p.core.Abandon(p.now(), attempt, &effects)
	p.execute(effects)
	if !written {
		p.checkNeverRan(attempt, "abandoned as not written")
	}
	return written
}

// Withdraw gives up an attempt if it has not been written, and returns whether it did so. In that case, Withdraw checks that the
// server has not received the attempt completely.
func (p *pool) Withdraw(attempt *upstream.Attempt) bool {
	var effects upstream.Effects
	done := p.core.Withdraw(p.now(), attempt, &effects)
	p.execute(effects)
	if done {
		p.checkNeverRan(attempt, "withdrawn as not written")
	}
	return done
}

// CloseIdle closes idle connections.
func (p *pool) CloseIdle() {
	var effects upstream.Effects
	p.core.CloseIdle(p.now(), &effects)
	p.execute(effects)
}

// Update tells the core the server's address and whether the server is draining. It returns the attempts that the core gives
// back because the server drains, and checks that the server has not received them completely.
func (p *pool) Update(addr string, isDraining bool) []*upstream.Attempt {
	var effects upstream.Effects
	drained := p.core.Update(p.now(), addr, isDraining, &effects)
	p.execute(effects)
	for _, attempt := range drained {
		p.checkNeverRan(attempt, "drained")
	}
	return drained
}

// checkNeverRan checks an attempt that is reported as never run: its request must not have arrived completely at the server.
func (p *pool) checkNeverRan(attempt *upstream.Attempt, claim string) {
	if c := p.written[attempt]; c != nil && attempt.Request != nil && c.arrived[string(attempt.Request.ID)] {
		p.node.world.violation(InvariantNeverRan, "%s at %s is %s, and came whole", attempt.Request.ID, p.id, claim)
	}
}

// armTimer schedules the core's next timer, unless a call at that time or earlier is already scheduled.
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
		var effects upstream.Effects
		p.core.HandleTimers(p.now(), &effects)
		p.execute(effects)
	})
}

// execute executes effects of the upstream core.
func (p *pool) execute(effects upstream.Effects) {
	for _, e := range effects {
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
		case upstream.Evict:
			owner := e.Conn.Socket.(*poolSocket).pool
			owner.call(func(effects *upstream.Effects) { owner.core.Evicted(owner.now(), e.Conn, effects) })
		case upstream.DescriptorAvailable:
			owner := e.Core.Owner.(*pool)
			owner.call(func(effects *upstream.Effects) { owner.core.DescriptorAvailable(effects) })
		}
	}
	p.armTimer()
}

// call runs callCore, which calls a method of the core, and then executes the effects of that method.
func (p *pool) call(callCore func(effects *upstream.Effects)) {
	var effects upstream.Effects
	callCore(&effects)
	p.execute(effects)
}

// dial opens a connection to a server, if the listening socket at addr accepts the connection within the connect timeout.
func (p *pool) dial(conn *upstream.Conn, addr string) {
	world, slot := p.node.world, slotOf(addr)
	roundTrip := world.drawBetween(200*time.Microsecond, 3*time.Millisecond)
	if world.networkFault(world.plan.Network.SlowConnect) {
		roundTrip = world.drawBetween(0, world.plan.Nodes.ConnectTimeout.D()*3/2)
	}
	limit := world.plan.Nodes.ConnectTimeout.D()
	p.node.schedule(min(roundTrip, limit), func() {
		var effects upstream.Effects
		state := world.acceptors[acceptorKey{slot, p.node.index}]
		switch {
		case roundTrip >= limit || state == model.Refusing || world.networkFault(world.plan.Network.FailConnect):
			world.logEvent("refused", strconv.Itoa(slot))
			p.core.DialCompleted(p.now(), conn, false, &effects)
		case state == model.Unresponsive: // the connection is never established: the dial times out
			p.node.schedule(limit-min(roundTrip, limit), func() {
				var effects upstream.Effects
				p.core.DialCompleted(p.now(), conn, false, &effects)
				p.execute(effects)
			})
			return
		default:
			socket := &poolSocket{pool: p, conn: conn}
			socket.stream, socket.server = world.connect(p.node, slot)
			socket.server.socket = socket
			socket.stream.data = func(b []byte, _ Time) {
				socket.inbox = append(socket.inbox, b...)
				socket.scheduleRead()
			}
			socket.stream.ended = func(reset bool) {
				socket.hasEnded, socket.wasReset = true, reset
				socket.scheduleRead()
			}
			conn.Socket, conn.NotifyMemory = socket, func() { p.node.schedule(p.node.lag(), socket.memoryGranted) }
			p.sockets = append(p.sockets, socket)
			p.core.DialCompleted(p.now(), conn, true, &effects)
		}
		p.execute(effects)
	})
}

// scheduleRead schedules the next read of the connection after a random delay, unless a read is already scheduled.
func (s *poolSocket) scheduleRead() {
	if s.pool.node.incarnation == s.pool.incarnation && !s.isReading {
		s.isReading = true
		s.pool.node.schedule(s.pool.node.lag(), s.read)
	}
}

// read passes the bytes that arrived to the upstream core.
func (s *poolSocket) read() {
	s.isReading = false
	p := s.pool
	var effects upstream.Effects
	for len(s.inbox) > 0 && !s.conn.IsClosed() && !s.conn.IsWaitingForMemory() {
		n := copy(s.conn.Decoder.ReadBuffer(), s.inbox)
		s.inbox = s.inbox[n:]
		p.core.BytesReceived(p.now(), s.conn, n, &effects)
	}
	if s.hasEnded && !s.conn.IsClosed() && !s.conn.IsWaitingForMemory() {
		p.core.ConnectionEnded(p.now(), s.conn, !s.wasReset, &effects)
	}
	p.execute(effects)
}

// memoryGranted has the upstream core go on once the memory that the connection waited for is granted, and then reads on.
func (s *poolSocket) memoryGranted() {
	s.pool.call(func(effects *upstream.Effects) { s.pool.core.MemoryGranted(s.pool.now(), s.conn, effects) })
	s.scheduleRead()
}

// writeNext writes the next request that waits on the connection, and then all requests that wait behind it.
func (s *poolSocket) writeNext() {
	pool, world := s.pool, s.pool.node.world
	var effects upstream.Effects
	stale := s.conn.AwaitsNoResponse() && (len(s.inbox) > 0 || s.hasEnded)
	attempt := pool.core.NextToWrite(pool.now(), s.conn, stale, &effects)
	pool.execute(effects)
	if attempt == nil {
		return
	}
	bytes := pool.codec.AppendRequest(nil, attempt, pool.now())
	s.isWriting = true
	pool.node.schedule(pool.node.lag(), func() {
		s.isWriting = false
		isComplete, isGood := true, true
		switch {
		case s.stream.isClosed: // the stream ended before this write, so no byte of the request is sent
			isComplete, isGood = false, false
		case world.networkFault(world.plan.Network.BreakWrite):
			k := world.rng.IntN(len(bytes))
			s.stream.write(bytes[:k])
			isComplete, isGood = false, false
			world.logEvent("break-write", s.pool.id, strconv.Itoa(k))
			s.stream.breakAfterWrites()
		default:
			s.stream.write(bytes)
			pool.written[attempt] = s.server
		}
		var effects upstream.Effects
		pool.core.WriteCompleted(pool.now(), s.conn, isComplete, isGood, &effects)
		pool.execute(effects)
		s.writeNext()
	})
}

// closeStream closes the node's end of the connection and removes it from the pool.
func (s *poolSocket) closeStream() {
	s.stream.close()
	for i, o := range s.pool.sockets {
		if o == s {
			s.pool.sockets = append(s.pool.sockets[:i], s.pool.sockets[i+1:]...)
			return
		}
	}
}
