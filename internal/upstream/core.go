package upstream

import (
	"slices"
	"time"
)

// Limits bound a pool.
type Limits struct {
	ConnectTimeout time.Duration // bounds the opening of a connection, and the wait for one that nobody is opening
	IdleTimeout    time.Duration // an idle connection is closed after this, before the server closes it
	MaxStreams     int           // attempts on one connection
	MaxConnections int           // connections of one pool
	MaxQueued      int           // attempts that wait for a connection
	PipelineWithin time.Duration // an attempt is pipelined behind one that is younger than this rather than opening a connection
}

// Core decides for the connections to one server: which connection carries an attempt, which attempts wait, when a connection is
// opened or closed, and how each attempt ends. It has no clock, sockets or goroutines: its calls take the time and collect the
// effects to be carried out. It is not safe for concurrent use.
type Core struct {
	// Owner belongs to the shell.
	Owner any

	codec  Codec
	limits Limits
	budget *DescriptorBudget

	addr       string
	conns      []*Conn    // established
	idle       []*Conn    // the established ones without attempts; the one used last is at the end
	waiting    []*Attempt // for a connection, in order
	dialing    int        // connections that are being opened
	growth     growth
	isDraining bool // the server drains or was removed: nothing new is written to it

	isWaitingForDescriptor bool // belongs to the descriptor budget
}

// NewCore returns a core for the server at an address.
func NewCore(addr string, codec Codec, limits Limits, budget *DescriptorBudget) *Core {
	return &Core{addr: addr, codec: codec, limits: limits, budget: budget}
}

// Connections returns the number of connections that are established or being opened.
func (c *Core) Connections() int { return len(c.conns) + c.dialing }

// Queued returns the number of attempts that wait for a connection.
func (c *Core) Queued() int { return len(c.waiting) }

// InFlight returns the number of attempts that are on connections.
func (c *Core) InFlight() (attempts int) {
	for _, conn := range c.conns {
		attempts += len(conn.pending)
	}
	return attempts
}

// Send starts an attempt. If it returns false the attempt has already ended with the returned outcome.
func (c *Core) Send(now time.Time, attempt *Attempt, effects *Effects) (Outcome, bool) {
	if c.isDraining {
		return ServerDraining, false
	}
	return c.assign(now, attempt, effects)
}

// NextTimer returns when HandleTimers is to be called; the zero time if there is nothing to wait for.
func (c *Core) NextTimer() (next time.Time) {
	if len(c.idle) > 0 { // the one that has been idle for longest is first
		next = c.idleDeadline(c.idle[0])
	}
	for _, attempt := range c.waiting {
		if attempt.waitDeadline.IsZero() {
			continue
		}
		if next.IsZero() || attempt.waitDeadline.Before(next) {
			next = attempt.waitDeadline
		}
		break // all wait equally long, in their order
	}
	return next
}

// HandleTimers ends waits and closes idle connections whose time is over.
func (c *Core) HandleTimers(now time.Time, effects *Effects) {
	for len(c.idle) > 0 && !now.Before(c.idleDeadline(c.idle[0])) {
		c.close(now, c.idle[0], ConnectionLost, effects)
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(attempt *Attempt) bool {
		if attempt.waitDeadline.IsZero() || now.Before(attempt.waitDeadline) {
			return false
		}
		effects.reportOutcome(attempt, c.waitTimeoutOutcome(attempt))
		return true
	})
}

func (c *Core) idleDeadline(conn *Conn) time.Time { return conn.idleSince.Add(c.limits.IdleTimeout) }

// waitTimeoutOutcome returns the outcome of an attempt that has waited for too long: without connections, or for a health check, the
// server counts as unreachable.
func (c *Core) waitTimeoutOutcome(attempt *Attempt) Outcome {
	if attempt.isHealthCheck() || len(c.conns) == 0 {
		return ConnectFailed
	}
	return PoolExhausted
}

// CloseIdle closes the connections without attempts.
func (c *Core) CloseIdle(now time.Time, effects *Effects) {
	for len(c.idle) > 0 {
		c.close(now, c.idle[len(c.idle)-1], ConnectionLost, effects)
	}
}

// Evicted closes an idle connection whose descriptor the budget has taken for another one.
func (c *Core) Evicted(now time.Time, conn *Conn, effects *Effects) {
	c.close(now, conn, ConnectionLost, effects)
}

// DescriptorAvailable says that there may be a descriptor for attempts that wait for a connection.
func (c *Core) DescriptorAvailable(effects *Effects) {
	if len(c.waiting) <= c.dialing {
		c.budget.passOn(effects)
		return
	}
	for len(c.waiting) > c.dialing && c.dial(nil, effects) {
		continue
	}
}

// Update sets the server's address and whether it drains. It returns the attempts of which nothing was written to a server that
// drains: they end as ServerDraining, which is not reported.
func (c *Core) Update(now time.Time, addr string, isDraining bool, effects *Effects) (unwritten []*Attempt) {
	if addr != c.addr {
		c.CloseIdle(now, effects)
	}
	c.addr, c.isDraining = addr, isDraining
	if !isDraining {
		return nil
	}
	unwritten, c.waiting = c.waiting, nil
	for _, conn := range slices.Clone(c.conns) {
		unwritten = append(unwritten, conn.removeAllUnwritten()...)
		c.serveNext(now, conn, effects)
	}
	c.CloseIdle(now, effects)
	for _, attempt := range unwritten {
		attempt.conn = nil
	}
	return unwritten
}
