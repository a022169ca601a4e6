package clients

import (
	"errors"
	"net"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/scenario"
)

const (
	maxAttempts  = 3                      // times that a request is sent if nodes do not read it
	attemptPause = 50 * time.Millisecond  // before another attempt, as a front takes a moment to notice that a node is down
	readSlack    = 500 * time.Millisecond // how much longer than its deadline and grace an answer is read for
	// racingIdle is how long a connection must have been idle for its end to count as a close between two requests.
	racingIdle = time.Second
	// racingClose is how soon after a request its connection must have ended for the two to have crossed. The platform
	// allows a node to be held up for 150 ms, and the testbed is late itself.
	racingClose = 300 * time.Millisecond
	// crossingClose is the same for a connection that was idle for less than racingIdle: a node with little capacity may close it.
	crossingClose = 50 * time.Millisecond
)

// send sends a request, also a few times if nodes do not read it, and counts its result.
func (c *Clients) send(r request) {
	c.count(r, func(class *Class) { class.Scheduled++ })
	for attempt := range maxAttempts {
		if attempt > 0 {
			r.id += "r" // every attempt has an id of its own
		}
		if c.attempt(r) {
			return
		}
	}
	c.count(r, func(class *Class) { class.Unsent++ })
}

// attempt sends a request once and counts its result. It is false, with nothing counted, where the node never read the
// request, which may then be sent again.
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
		_ = conn.Close() // it has failed already
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

// pickNode returns the node that the front gives a client: the one drawn, or the next one in use.
func (c *Clients) pickNode(drawn int) (node int, ok bool) {
	nodes := c.options.Nodes
	for i := range nodes {
		node := (drawn + i) % len(nodes)
		if inUse := nodes[node].InUse; inUse == nil || inUse() {
			return node, true
		}
	}
	return 0, false
}

// countAnswer counts an answer with its latency, from when the request was due, and its service time, from when it was sent.
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

// longestCrossing returns how soon after a request its connection must have ended for the node perhaps not to have read it. What the
// node did read shows in its own account at the end of a run.
func longestCrossing(conn *connection, sentAt time.Time) time.Duration {
	switch {
	case conn.isStopping():
		return racingClose
	case conn.answeredAt.IsZero(): // new: nothing has ended between two requests
		return 0
	case sentAt.Sub(conn.answeredAt) > racingIdle:
		return racingClose
	}
	return crossingClose
}

// connectionFailed counts a request whose connection ended, or stayed silent, in place of an answer. It is false where the
// node may not have read the request.
func (c *Clients) connectionFailed(r request, conn *connection, sentAt time.Time, err error) (isFinal bool) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() { // the invariants find the missing answer at the deadline
		c.count(r, func(class *Class) { class.Unanswered++ })
		return true
	}
	limit := longestCrossing(conn, sentAt)
	maybeUnread := time.Since(sentAt) <= limit
	if maybeUnread && limit == crossingClose {
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
