package upstream

import (
	"slices"
	"time"

	"shelfproxy/internal/admission"
)

// Limits holds the timeouts and the size limits of a connection pool.
type Limits struct {
	ConnectTimeout time.Duration // limit on opening a connection, and on an attempt's wait while no connection is being opened for it
	IdleTimeout    time.Duration // an idle connection is closed after this time, so that the pool closes it before the server does
	MaxStreams     int           // maximum number of attempts assigned to one connection
	MaxConnections int           // maximum number of connections of one pool, established or being opened
	MaxQueued      int           // number of attempts that may wait while no further connection can be opened
	PipelineWithin time.Duration // an attempt is pipelined behind one sent less than this long ago, instead of opening a connection
	// DroppedWithin is the time before its deadline in which a server may drop an attempt without a response. Zero means that no attempt
	// is dropped before its deadline.
	DroppedWithin time.Duration
	// SecondCopies allows an attempt to be in flight for a request while an abandoned one is still out on an open connection.
	SecondCopies bool
}

// Budgets are the resources that the pools of several servers share.
type Budgets struct {
	Descriptors *DescriptorBudget
	Responses   *admission.MemoryBudget // nil is no bound
}

// Core manages the connections to one server. It decides which connection carries an attempt, which attempts wait, when a
// connection is opened or closed, and how each attempt ends. It has no clock, sockets or goroutines: its methods take the current
// time as an argument and append the effects that the shell has to carry out. It is not safe for concurrent use.
type Core struct {
	// Owner is for the shell's use, such as a reference to its pool. Core does not read it.
	Owner any

	codec  Codec
	limits Limits
	budget *DescriptorBudget
	memory *admission.MemoryBudget

	addr       string
	conns      []*Conn    // established connections
	idle       []*Conn    // established connections without attempts, the most recently used one last
	waiting    []*Attempt // attempts that wait for a connection, in the order in which they began to wait
	dialing    int        // number of connections that are being opened
	growth     growth
	isDraining bool // the server drains or was removed from the endpoint list: no further attempt is written to it

	isWaitingForDescriptor bool // whether the core is in DescriptorBudget.waiters; guarded by the budget's lock
}

// NewCore returns a core for the server at addr. All cores share the budgets.
func NewCore(addr string, codec Codec, limits Limits, budgets Budgets) *Core {
	return &Core{addr: addr, codec: codec, limits: limits, budget: budgets.Descriptors, memory: budgets.Responses}
}

// Connections returns the number of connections that are established or being opened.
func (c *Core) Connections() int { return len(c.conns) + c.dialing }

// Queued returns the number of attempts that wait for a connection.
func (c *Core) Queued() int { return len(c.waiting) }

// InFlight returns the number of attempts that are assigned to connections.
func (c *Core) InFlight() (attempts int) {
	for _, conn := range c.conns {
		attempts += len(conn.pending)
	}
	return attempts
}

// Send starts an attempt. If it returns false, the attempt has already ended with the returned outcome.
func (c *Core) Send(now time.Time, attempt *Attempt, effects *Effects) (Outcome, bool) {
	if c.isDraining {
		return ServerDraining, false
	}
	return c.assign(now, attempt, effects)
}

// NextTimer returns the time at which HandleTimers has to be called next, or the zero time if no call is needed.
func (c *Core) NextTimer() (next time.Time) {
	if len(c.idle) > 0 { // c.idle[0] has been idle longest
		next = c.idleDeadline(c.idle[0])
	}
	for _, attempt := range c.waiting {
		if attempt.waitDeadline.IsZero() {
			continue
		}
		if next.IsZero() || attempt.waitDeadline.Before(next) {
			next = attempt.waitDeadline
		}
		break // all bounded waits are equally long, so the first one ends first
	}
	return next
}

// HandleTimers closes the connections that have been idle for too long and ends the attempts that have waited for too long.
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

// waitTimeoutOutcome returns the outcome of an attempt that has waited for a connection for too long. The server counts as
// unreachable if the pool has no established connection, or if the attempt is a health check.
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

// Evicted closes an idle connection whose descriptor the budget has taken for another connection.
func (c *Core) Evicted(now time.Time, conn *Conn, effects *Effects) {
	c.close(now, conn, ConnectionLost, effects)
}

// DescriptorAvailable tells the core that the budget may have a descriptor for it. The core opens connections for the attempts
// that wait, or passes the notification on if none of them needs one.
func (c *Core) DescriptorAvailable(effects *Effects) {
	if len(c.waiting) <= c.dialing {
		c.budget.passOn(effects)
		return
	}
	for len(c.waiting) > c.dialing && c.dial(nil, effects) {
		continue
	}
}

// isOutdated reports whether a connection leads to a former address of the server, where another process may listen by now.
func (c *Core) isOutdated(conn *Conn) bool { return conn.addr != c.addr }

// reassignUnwritten moves the attempts of which nothing was written from outdated connections to others. Attempts that may have
// been written are waited for where they are.
func (c *Core) reassignUnwritten(now time.Time, effects *Effects) {
	for _, conn := range slices.Clone(c.conns) {
		if !c.isOutdated(conn) {
			continue
		}
		for _, attempt := range conn.removeAllUnwritten() {
			c.settle(now, conn, attempt, effects)
		}
		c.serveNext(now, conn, effects)
	}
}

// Update sets the server's address and whether the server drains. If it drains, Update returns the attempts of which nothing was
// written. They end as ServerDraining, without a ReportOutcome effect.
func (c *Core) Update(now time.Time, addr string, isDraining bool, effects *Effects) (unwritten []*Attempt) {
	hasMoved := addr != c.addr
	c.addr, c.isDraining = addr, isDraining
	if hasMoved {
		c.CloseIdle(now, effects)
	}
	if !isDraining {
		if hasMoved {
			c.reassignUnwritten(now, effects)
		}
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
