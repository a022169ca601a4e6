package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/workload"
)

// clients ask nodes for what the plan's load says, over connections that they keep, and tell the rules what they see.
type clients struct {
	world        *world
	schedule     *workload.Schedule
	idle         [][]*clientConn // by node, the one used last at the end
	open         []*clientConn
	byID         map[string]*clientRequest
	lastID       int
	lateRequests []*clientRequest // due once all was to be well again
	history      history
	rejected     map[string]bool // requests that may not run twice and were refused: their clients may ask again
}

// clientRequest is one request, through all its tries.
type clientRequest struct {
	workload.Arrival
	id       string
	class    string
	isWrite  bool
	timeout  time.Duration
	sentAt   Time
	deadline Time // the wait for the answers before it on its connection does not count
	isRead   bool
	attempts int
	result   string // how; empty while it is open
	conn     *clientConn
}

func newClients(w *world) *clients {
	return &clients{world: w, schedule: workload.New(w.plan.Workload), idle: make([][]*clientConn, len(w.nodes)), byID: map[string]*clientRequest{}, rejected: map[string]bool{}}
}

func (c *clients) start() {
	c.scheduleNext()
	for i := range c.world.plan.AbusiveClients {
		c.world.at(c.world.plan.AbusiveClients[i], c.abuse)
	}
}

// scheduleNext books the next request that is due.
func (c *clients) scheduleNext() {
	a, ok := c.schedule.Next()
	if !ok {
		return
	}
	c.world.at(a.At, func() {
		c.world.report.Due++
		class := c.world.plan.Classes[a.Class]
		q := &clientRequest{Arrival: a, class: class.Name, isWrite: class.Write}
		if c.world.now >= c.world.plan.HealthyFrom {
			c.lateRequests = append(c.lateRequests, q)
		}
		c.send(q)
		c.scheduleNext()
	})
}

// send sends a request, to the node that it is drawn for or to the next that takes connections.
func (c *clients) send(q *clientRequest) {
	w := c.world
	if q.attempts++; q.attempts > 4 {
		q.result = "gave up"
		return
	}
	k := c.connection(q)
	if k == nil {
		w.after(50*time.Millisecond, func() { c.send(q) }) // a front takes a moment to notice
		return
	}
	c.lastID++
	q.id, q.conn, q.isRead = "q"+strconv.Itoa(c.lastID), k, false
	class := w.plan.Classes[q.Class]
	q.timeout = time.Duration(float64(class.Deadline.D()) * (0.5 + 0.5*w.rng.Float64()))
	q.sentAt, q.deadline = w.now, w.now+q.timeout
	if n := len(k.unanswered); n > 0 {
		q.deadline = max(q.deadline, k.unanswered[n-1].deadline)
	}
	c.byID[q.id] = q
	k.unanswered = append(k.unanswered, q)
	extras := fmt.Sprintf("c=%s,d=%d", q.class, q.timeout.Milliseconds())
	if q.IdempotencyKey != "" {
		extras += ",k=" + q.IdempotencyKey
	}
	var b []byte
	if class.Write {
		b = redcon.AppendBulkString(redcon.AppendArray(b, 5), "CACHE.SET")
	} else {
		b = redcon.AppendBulkString(redcon.AppendArray(b, 4), "CACHE.GET")
	}
	b = redcon.AppendBulkString(redcon.AppendBulkString(redcon.AppendBulkString(b, q.Key), q.id), extras)
	if class.Write {
		b = redcon.AppendBulk(b, bytes.Repeat([]byte{'w'}, q.Size))
	}
	w.logEvent("ask", q.id, q.class, strconv.Itoa(k.node))
	k.end.write(b)
	id := q.id
	w.at(q.deadline+w.plan.Invariants.Grace.D()+time.Millisecond, func() {
		if q.id == id && q.result == "" && q.conn == k {
			w.checker.Advance(w.now)
			c.history.seen(q, "timed out", nil, w.now)
			c.finish(q, "timed out")
			k.disconnect()
		}
	})
	if w.networkFault(w.plan.Network.ClientDisconnects) {
		w.after(w.drawBetween(0, q.timeout), func() {
			if q.id == id && q.result == "" && q.conn == k {
				w.logEvent("leave", id)
				k.disconnect()
			}
		})
	}
}

// connection is a connection to a node: an idle one, sometimes one with answers owed, or a new one.
func (c *clients) connection(q *clientRequest) *clientConn {
	w := c.world
	for i := range w.nodes {
		at := (q.Node + q.attempts - 1 + i) % len(w.nodes)
		if w.chance(w.plan.Network.Pipeline) {
			for _, k := range c.open {
				if k.node == at && len(k.unanswered) > 0 && len(k.unanswered) < 5 {
					return k
				}
			}
		}
		if n := len(c.idle[at]); n > 0 {
			k := c.idle[at][n-1]
			c.idle[at] = c.idle[at][:n-1]
			return k
		}
		if near := w.nodes[at].accept(); near != nil {
			k := &clientConn{clients: c, node: at, incarnation: w.nodes[at].incarnation, end: near}
			near.data = k.received
			near.ended = k.ended
			c.open = append(c.open, k)
			return k
		}
	}
	return nil
}

// requestRead says that a node read a request whole.
func (c *clients) requestRead(node int, id, class string) {
	q := c.byID[id]
	if q == nil {
		return // of a client that makes no sense
	}
	q.isRead = true
	c.world.checker.RequestSent(c.world.now, id, class, node, q.deadline)
}

// requestArrived says that a request came whole to a server.
func (c *clients) requestArrived(id string) {
	if c.rejected[id] {
		c.world.violation(InvariantRejectedNotRun, "%s comes to a server after it was refused", id)
	}
}

// finish notes how a request went.
func (c *clients) finish(q *clientRequest, how string) {
	q.result = how
	delete(c.byID, q.id)
	c.world.logEvent("end", q.id, how)
	switch how {
	case "served":
		c.world.report.Served++
	case "refused":
		c.world.report.Refused++
		if c.world.plan.Classes[q.Class].Effect == "at_most_once" {
			c.rejected[q.id] = true
		}
	case "failed":
		c.world.report.Failed++
	case "left":
		c.world.report.Left++
	}
}

// checkLiveness tells whether all was served again some time after the last fault.
func (c *clients) checkLiveness() {
	c.history.judge(c.world)
	bad, n := 0, 0
	first := ""
	for _, q := range c.lateRequests {
		if q.result == "left" {
			continue
		}
		n++
		if q.result != "served" {
			if bad++; first == "" {
				first = q.id + " " + q.result
			}
		}
	}
	may := 1 + n/20
	if c.world.plan.ScarceCapacity { // cold boxes bear less than their part for longer than a run
		may = 1 + n/6
	}
	if c.world.plan.ManyNodes { // each node meets a server every few seconds, and learns as slowly that it is well again
		may = 1 + n/3
	}
	if bad > may {
		c.world.violation(InvariantLiveness, "%d of %d requests after %.1f s were not served, the first %s", bad, n, c.world.plan.HealthyFrom.Seconds(), first)
	}
}
