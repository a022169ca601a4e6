// Package listener serves the clients of a node: it reads their RESP2 commands, hands the requests to a request.Handler, and writes
// the responses in the order of the commands. Core makes the decisions; Listener is its shell and does the I/O and the timing. The
// package does not depend on the policy.
package listener

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/processor"
	"shelfproxy/internal/request"
	"shelfproxy/internal/socketstate"
)

const (
	initialEffectsCapacity         = 8 // number of effects; enough for most calls of the core
	initialResponseEffectsCapacity = 2 // number of effects; enough for most calls of Core.Respond

	maxCopiedSize     = 4 << 10               // responses of up to this many bytes together are copied into one buffer and written in one system call
	acceptRetryDelay  = 5 * time.Millisecond  // wait after a failed accept, for example for lack of descriptors, some of which are freed soon
	processorInterval = time.Millisecond      // time between two readings of the processor time that the process has used
	finalAcceptTime   = 20 * time.Millisecond // how long Close still accepts from the kernel's queue; commands on connections left in the queue are lost
)

// Listener accepts the connections of clients and serves them until it is closed. It is safe for concurrent use.
//
// Each connection has a reader and a writer goroutine, which end once the core has closed the connection; Wait waits for them. Serve
// starts one more goroutine, which closes expired connections. It ends once Close has been called and no connection is left.
type Listener struct {
	netListener  net.Listener
	handler      request.Handler
	count        *counters.Counters
	writeTimeout time.Duration
	log          *slog.Logger  // receives the ends of connections, at level debug
	closedOwing  *atomic.Int64 // counts requests without a complete response on connections that the node ended
	discarded    *atomic.Int64 // counts bytes that arrived on connections after the node had ended them

	mu       sync.Mutex // guards core, including all of its connections, and isClosed
	core     *Core
	isClosed bool
	capacity sync.Cond // uses mu; signalled when there may be capacity for another connection

	loops sync.WaitGroup // the reader and writer goroutines
}

// New returns a listener, which accepts connections once Serve is called. See NewCore for classes and tenants.
func New(netListener net.Listener, handler request.Handler, classes, tenants []string, limits Limits, count *counters.Counters,
	log *slog.Logger) *Listener {
	l := &Listener{netListener: netListener, handler: handler, count: count, writeTimeout: limits.WriteTimeout, log: log,
		closedOwing: count.Register("listener_closed_owing"), discarded: count.Register("listener_discarded_bytes"),
		core: NewCore(time.Now(), classes, tenants, limits, count)}
	l.core.Reply = l.respond
	l.capacity.L = &l.mu
	return l
}

// call runs callCore under the lock and then carries out the effects without the lock.
func (l *Listener) call(callCore func(now time.Time, effects *Effects)) {
	effects := make(Effects, 0, initialEffectsCapacity)
	l.mu.Lock()
	callCore(time.Now(), &effects)
	l.mu.Unlock()
	l.carryOut(effects)
}

// carryOut carries out effects in order. The caller must not hold the lock.
func (l *Listener) carryOut(effects Effects) {
	for i := range effects {
		switch effect := &effects[i]; effect.Kind {
		case HandleRequest:
			l.handler.Handle(effect.Request) // may block
		case ClientDisconnected:
			l.handler.ClientDisconnected(effect.Request)
		case WriteResponses:
			socketOf(effect.Conn).notifyWriter()
		case ResumeReading:
			socketOf(effect.Conn).resumeReading()
		case CheckUnread:
			socketOf(effect.Conn).requestCheck()
		case HalfClose:
			socketOf(effect.Conn).halfClose()
		case CloseConnection:
			socketOf(effect.Conn).close()
		case ReportEnd:
			l.reportEnd(effect.Conn)
		case ScheduleTurns:
			time.AfterFunc(l.core.TurnInterval(), l.grantTurns)
		case CapacityAvailable:
			l.capacity.Broadcast()
		}
	}
}

// observeProcessor tells the core how much processor time the process has used, unless it has just been told. The caller must hold
// the lock.
func (l *Listener) observeProcessor(now time.Time) {
	if now.Sub(l.core.ProcessorObservedAt()) < processorInterval {
		return
	}
	if used, ok := processor.Used(); ok {
		l.core.ProcessorUsed(now, used)
	}
}

// grantTurns lets connections go on that wait for their turn.
func (l *Listener) grantTurns() {
	l.call(func(now time.Time, effects *Effects) {
		l.observeProcessor(now)
		l.core.GrantTurns(now, effects)
	})
}

// reportEnd counts and logs how a connection ended. That the node ended it although a response was owed is logged as a warning.
func (l *Listener) reportEnd(conn *Conn) {
	end := conn.End()
	level, message, event := slog.LevelDebug, "client connection ended", "connection_ended"
	if end.Reason != EndedByClient && end.Owed > 0 {
		l.closedOwing.Add(int64(end.Owed))
		level, message, event = slog.LevelWarn, "client connection ended without the responses that were owed", "connection_ended_owing"
	}
	if l.log.Enabled(context.Background(), level) {
		l.log.Log(context.Background(), level, message, logs.Event, event, "connection", end.ConnectionID,
			"client", socketOf(conn).conn.RemoteAddr().String(), "reason", end.Reason.String(), "owed", end.Owed)
	}
}

// bytesDiscarded counts bytes that arrived after the node had ended their connection, and logs the first ones of each connection. They
// may be a request that its client sent before it saw the end.
func (l *Listener) bytesDiscarded(conn *Conn, event readEvent) {
	if event.size == 0 {
		return
	}
	l.discarded.Add(int64(event.size))
	if socketOf(conn).hasDiscarded {
		return // logged before
	}
	socketOf(conn).hasDiscarded = true
	end := conn.End()
	l.log.Warn("bytes arrived on a client connection that the node had ended", logs.Event, "bytes_discarded", "connection", end.ConnectionID,
		"client", socketOf(conn).conn.RemoteAddr().String(), "reason", end.Reason.String(), "bytes", event.size,
		"arrived_after_end_ms", event.arrivedBy.Sub(end.At).Milliseconds())
}

func socketOf(conn *Conn) *socket { return conn.Socket.(*socket) }

// Serve accepts connections until Close or StopAccepting is called. It returns the error of closing the listening socket, if any.
func (l *Listener) Serve() error {
	go l.sweep()
	var queue acceptQueue
	for {
		netConn, err := l.netListener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded) && l.hasQueued() && l.limitAccepting(): // the process did not run, and they came in time
			continue
		case errors.Is(err, os.ErrDeadlineExceeded): // the deadline that Close set has passed, and no connection is left in the kernel's queue
			return l.netListener.Close()
		case err != nil:
			l.count.AcceptFailed.Add(1)
			queue.failed(time.Now())
			time.Sleep(acceptRetryDelay)
			continue
		}
		waitingSince := queue.succeeded(time.Now())
		socket := newSocket(netConn)
		if socket.look().isClosed {
			_ = netConn.Close() // nobody waits for anything on it
			continue
		}
		l.serveConnection(socket, waitingSince)
		if from := time.Now(); l.awaitCapacity() {
			queue.blocked(from, time.Now())
		}
	}
}

// serveConnection starts the reader and the writer of a connection, which its client opened at waitingSince or later.
func (l *Listener) serveConnection(socket *socket, waitingSince time.Time) {
	l.loops.Add(2)
	age := socket.age()
	l.call(func(now time.Time, _ *Effects) {
		conn := l.core.Accepted(now, waitingSince)
		conn.presence.seen(now.Add(-age))
		conn.Socket, conn.NotifyMemory, conn.presence.look = socket, socket.resumeReading, socket.look
		go l.readLoop(conn, socket)
		go l.writeLoop(conn, socket)
	})
}

// awaitCapacity waits until another connection may be accepted, and reports whether it had to wait. New connections stay in the
// kernel's queue meanwhile.
func (l *Listener) awaitCapacity() (waited bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		var effects Effects
		hasCapacity := l.core.HasCapacity(time.Now(), &effects)
		if len(effects) > 0 {
			l.mu.Unlock()
			l.carryOut(effects)
			l.mu.Lock()
			continue // the effects may have closed a connection, which frees capacity
		}
		if hasCapacity {
			return waited
		}
		waited = true
		l.capacity.Wait()
	}
}

// Usage returns the number of connections, including the lingering ones, and how often a new connection had to wait for capacity.
func (l *Listener) Usage() (used int, exhausted int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Usage()
}

// UnsentBytes returns the bytes of the responses that are not written to their clients yet.
func (l *Listener) UnsentBytes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.UnsentBytes()
}

// SetMaxConnections changes the maximum number of connections.
func (l *Listener) SetMaxConnections(n int) {
	l.call(func(_ time.Time, effects *Effects) { l.core.SetMaxConnections(n, effects) })
}

// sweep periodically has the core close expired connections, until the listener is closed and its last connection has ended.
func (l *Listener) sweep() {
	for wait, isOver := maxSweepInterval, false; !isOver; {
		time.Sleep(wait)
		l.call(func(now time.Time, effects *Effects) {
			wait = l.core.ExpireIdle(now, effects)
			used, _ := l.core.Usage()
			isOver = l.isClosed && used == 0
		})
	}
}

// StopAccepting closes the listening socket. New connections are left to other processes that accept on the same socket.
func (l *Listener) StopAccepting() {
	_ = l.netListener.Close() // an error means that it is closed already
}

// Close stops accepting and closes each connection once its pending responses are written. It does not wait for the connections to
// end.
func (l *Listener) Close() {
	l.call(func(now time.Time, effects *Effects) {
		l.isClosed = true
		l.core.Drain(now, effects)
	})
	if !l.limitAccepting() {
		l.StopAccepting()
	}
}

// limitAccepting has Accept fail finalAcceptTime from now, and reports whether that is possible.
func (l *Listener) limitAccepting() bool {
	listener, hasDeadline := l.netListener.(interface{ SetDeadline(time.Time) error })
	return hasDeadline && listener.SetDeadline(time.Now().Add(finalAcceptTime)) == nil
}

// hasQueued reports whether connections wait in the kernel's queue to be accepted.
func (l *Listener) hasQueued() bool {
	conn, ok := l.netListener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	return err == nil && socketstate.HasQueued(raw)
}

// Wait returns when the last connection is closed.
func (l *Listener) Wait() { l.loops.Wait() }

// respond passes a final response to the core.
func (l *Listener) respond(conn *Conn, slot *ResponseSlot, response request.Response) {
	effects := make(Effects, 0, initialResponseEffectsCapacity)
	l.mu.Lock()
	l.core.Respond(conn, slot, response, &effects)
	l.mu.Unlock()
	l.carryOut(effects)
}
