// Package listener is the clients' side of a node: it reads their RESP2 commands, hands them to a request.Handler, and writes the
// responses in the order of the commands. Core decides; Listener moves the bytes and keeps the time for it. The package knows nothing
// of the policy.
package listener

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/request"
)

const (
	usualEffects         = 8 // of one call of the core, but for rare cases
	usualResponseEffects = 2 // as above, of a response

	maxCopiedSize    = 4 << 10               // bytes of responses that are copied into one buffer to be written
	acceptRetryDelay = 5 * time.Millisecond  // after an error, lack of descriptors among them: those in use come back
	finalAcceptTime  = 20 * time.Millisecond // for connections in the kernel's queue when the listener closes: what was sent on them would be lost
)

// Listener accepts the connections of clients and serves them until it is closed. It is safe for concurrent use.
//
// Each connection has a reader and a writer goroutine, which end once the core has closed the connection; Wait waits for them. Serve
// starts one more, which looks for connections whose time is over. It ends by itself once Close was called and no connection is left.
type Listener struct {
	netListener  net.Listener
	handler      request.Handler
	count        *counters.Counters
	writeTimeout time.Duration
	log          *slog.Logger  // of the ends of connections, at the level debug
	closedOwing  *atomic.Int64 // requests without a complete response on connections that the node ended
	discarded    *atomic.Int64 // bytes that came on connections which the node had ended

	mu       sync.Mutex // guards core, including all of its connections, and isClosed
	core     *Core
	isClosed bool
	capacity sync.Cond // of mu: there may be capacity for another connection

	loops sync.WaitGroup // the readers and writers
}

// New returns a listener that accepts once Serve is called. See NewCore for classes and tenants.
func New(netListener net.Listener, handler request.Handler, classes, tenants []string, limits Limits, count *counters.Counters,
	log *slog.Logger) *Listener {
	l := &Listener{netListener: netListener, handler: handler, count: count, writeTimeout: limits.WriteTimeout, log: log,
		closedOwing: count.Register("listener_closed_owing"), discarded: count.Register("listener_discarded_bytes"),
		core: NewCore(time.Now(), classes, tenants, limits, count)}
	l.core.Reply = l.respond
	l.capacity.L = &l.mu
	return l
}

// call makes one call of the core under the lock and carries out its effects without it.
func (l *Listener) call(callCore func(now time.Time, effects *Effects)) {
	effects := make(Effects, 0, usualEffects)
	l.mu.Lock()
	callCore(time.Now(), &effects)
	l.mu.Unlock()
	l.carryOut(effects)
}

// carryOut carries effects out, in order and without the lock.
func (l *Listener) carryOut(effects Effects) {
	for i := range effects {
		switch effect := &effects[i]; effect.Kind {
		case HandleRequest:
			l.handler.Handle(effect.Request) // may wait
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
			l.reportEnd(effect.Conn.End())
		case CapacityAvailable:
			l.capacity.Broadcast()
		}
	}
}

// reportEnd counts and logs how a connection ended.
func (l *Listener) reportEnd(end End) {
	if end.Reason != EndedByClient {
		l.closedOwing.Add(int64(end.Owed))
	}
	if l.log.Enabled(context.Background(), slog.LevelDebug) {
		l.log.Debug("a connection of a client ended", logs.Event, "connection_ended", "connection", end.ConnectionID,
			"reason", end.Reason.String(), "owed", end.Owed)
	}
}

func socketOf(conn *Conn) *socket { return conn.Socket.(*socket) }

// Serve accepts connections until Close. The error is that of closing the socket.
func (l *Listener) Serve() error {
	go l.sweep()
	var queue acceptQueue
	for {
		netConn, err := l.netListener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case errors.Is(err, os.ErrDeadlineExceeded): // set by Close: all that had come is accepted
			return l.netListener.Close()
		case err != nil:
			l.count.AcceptFailed.Add(1)
			queue.failed(time.Now())
			time.Sleep(acceptRetryDelay)
			continue
		}
		l.serveConnection(netConn, queue.succeeded(time.Now()))
		if from := time.Now(); l.awaitCapacity() {
			queue.blocked(from, time.Now())
		}
	}
}

// serveConnection starts the reader and the writer of a connection, which was opened at waitingSince or later.
func (l *Listener) serveConnection(netConn net.Conn, waitingSince time.Time) {
	socket := newSocket(netConn)
	l.loops.Add(2)
	l.call(func(now time.Time, _ *Effects) {
		conn := l.core.Accepted(now, waitingSince)
		conn.Socket = socket
		go l.readLoop(conn, socket)
		go l.writeLoop(conn, socket)
	})
}

// awaitCapacity waits until another connection may be accepted, and reports whether it did wait: meanwhile connections wait in the
// kernel's queue.
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
			continue // what it closed may have made the capacity
		}
		if hasCapacity {
			return waited
		}
		waited = true
		l.capacity.Wait()
	}
}

// Usage returns how many connections there are, and how often one more had to wait for capacity.
func (l *Listener) Usage() (used int, exhausted int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.Usage()
}

// SetMaxConnections changes how many connections there may be.
func (l *Listener) SetMaxConnections(n int) {
	l.call(func(_ time.Time, effects *Effects) { l.core.SetMaxConnections(n, effects) })
}

// sweep has the core close the connections whose time is over, until the listener is closed and its last connection has ended.
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

// StopAccepting leaves new connections to whoever else accepts on the same socket.
func (l *Listener) StopAccepting() {
	_ = l.netListener.Close() // fails if it is closed already
}

// Close stops accepting and closes connections as soon as nothing is owed on them. It does not wait for their ends.
func (l *Listener) Close() {
	l.call(func(now time.Time, effects *Effects) {
		l.isClosed = true
		l.core.Drain(now, effects)
	})
	listener, hasDeadline := l.netListener.(interface{ SetDeadline(time.Time) error })
	if !hasDeadline || listener.SetDeadline(time.Now().Add(finalAcceptTime)) != nil {
		l.StopAccepting()
	}
}

// Wait returns when the last connection is closed.
func (l *Listener) Wait() { l.loops.Wait() }

// respond passes a final response to the core.
func (l *Listener) respond(conn *Conn, slot *ResponseSlot, response request.Response) {
	effects := make(Effects, 0, usualResponseEffects)
	l.mu.Lock()
	l.core.Respond(time.Now(), conn, slot, response, &effects)
	l.mu.Unlock()
	l.carryOut(effects)
}
