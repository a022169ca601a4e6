package clients

import (
	"errors"
	"net"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/scenario"
)

const (
	maxAttempts  = 3                      // maximum number of attempts of a request that no node has read so far
	attemptPause = 50 * time.Millisecond  // pause after an attempt that reached no node: front ends need time to notice a dead node
	readSlack    = 500 * time.Millisecond // additional wait for an answer after the deadline and the grace of the invariants
	// longIdle is the idle time after which a node normally may close a connection between two requests.
	longIdle = time.Second
	// crossingWindow is for connections that were idle for more than longIdle, or whose node was told to end. If such a
	// connection ends within crossingWindow after a request was sent, the node may have closed it before it could read the
	// request. The platform allows a node to be stalled for 150 ms, and the testbed itself may be late.
	crossingWindow = 300 * time.Millisecond
	// shortIdleCrossingWindow replaces crossingWindow for a connection that was idle for longIdle or less. A node with little
	// capacity may close such a connection, too.
	shortIdleCrossingWindow = 50 * time.Millisecond
)

// send sends a request and counts its result. It makes another attempt if no node could be reached, or if the node may not have
// read the request. It makes at most maxAttempts attempts.
func (c *Clients) send(r request) {
	c.count(r, func(class *Class) { class.Scheduled++ })
	for attempt := range maxAttempts {
		if attempt > 0 {
			r.id += "r" // every attempt has its own request id
		}
		if c.attempt(r) {
			return
		}
	}
	c.count(r, func(class *Class) { class.Unsent++ })
}

// attempt sends a request once and counts its result. It returns false, and counts no result, if the node may never have read the
// request. Such a request may be sent again.
func (c *Clients) attempt(r request) (isFinal bool) {
	node, ok := c.pickNode(r.Node)
	if !ok {
		time.Sleep(attemptPause)
		return false
	}
	class := c.plan.Classes[r.Class]
	conn, err := c.pool.take(node)
	if err != nil {
		time.Sleep(attemptPause)
		return false
	}
	if observer := c.options.Observer; observer != nil {
		observer.RequestSent(r.id, class.Name, node, class.Deadline.D())
	}
	sentAt := time.Now()
	answer, err := conn.exchange(r.command(class), sentAt.Add(class.Deadline.D()+c.plan.Invariants.Grace.D()+readSlack))
	if err != nil {
		_ = conn.Close() // the connection has failed already
		return c.connectionFailed(r, conn, sentAt, err)
	}
	if observer := c.options.Observer; observer != nil {
		observer.RequestAnswered(r.id, answer.kind, answer.value)
	}
	conn.answeredAt = time.Now()
	c.countAnswer(r, class, answer.kind, conn.answeredAt.Sub(c.start)-r.At, conn.answeredAt.Sub(sentAt))
	c.pool.put(node, conn)
	return true
}

// pickNode returns the node to which the front end connects a client: the node drawn or, if this node is not in use, the next
// node in use. It returns false if no node is in use.
func (c *Clients) pickNode(drawn int) (node int, ok bool) {
	nodes := c.options.Nodes
	for i := range nodes {
		node := (drawn + i) % len(nodes)
		if inUse := nodes[node].InUse; inUse == nil || inUse() || i == 0 && c.options.KeepsConnections && c.pool.hasIdle(node) {
			return node, true
		}
	}
	return 0, false
}

// countAnswer counts an answer. The latency is measured from the due time of the request, and the service time from the time
// at which the request was sent.
func (c *Clients) countAnswer(r request, class scenario.Class, kind invariants.Final, latency, service time.Duration) {
	c.count(r, func(result *Class) {
		switch kind {
		case invariants.Served:
			result.Served++
			if latency <= class.LatencyObjective.D() {
				result.WithinObjective++
			}
			record(result.Latency, latency)
			record(result.Service, service)
			c.generator.requestServed(r.At, latency)
		case invariants.Rejected:
			result.Rejected++
		case invariants.Failed:
			result.Failed++
		}
	})
}

// crossingWindowFor returns a duration: if the connection ends within this duration after sentAt, the node may have closed it
// before it read the request. A node that did read the request counts it in its own counters, which show this at the end of a
// run.
func crossingWindowFor(conn *connection, sentAt time.Time) time.Duration {
	switch {
	case conn.isStopping():
		return crossingWindow
	case conn.answeredAt.IsZero(): // a new connection cannot have been closed between two requests
		return 0
	case sentAt.Sub(conn.answeredAt) > longIdle:
		return crossingWindow
	}
	return shortIdleCrossingWindow
}

// connectionFailed counts a request whose connection ended or timed out before an answer came. It returns false, and counts
// no result, if the node may not have read the request.
func (c *Clients) connectionFailed(r request, conn *connection, sentAt time.Time, err error) (isFinal bool) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() { // not reported: the invariant checker itself finds missing answers
		c.count(r, func(class *Class) { class.Unanswered++ })
		return true
	}
	limit := crossingWindowFor(conn, sentAt)
	maybeUnread := time.Since(sentAt) <= limit
	if maybeUnread && limit == shortIdleCrossingWindow {
		c.mu.Lock()
		c.crossed++
		c.mu.Unlock()
	}
	if observer := c.options.Observer; observer != nil {
		observer.ConnectionEnded(r.id, maybeUnread)
	}
	if maybeUnread {
		return false
	}
	c.count(r, func(class *Class) { class.Unanswered++ })
	return true
}
