package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/workload"
)

// clients simulates all clients. It sends the requests of the plan's workload to nodes over reused connections, and reports to
// the checker what the clients observe.
type clients struct {
	world        *world
	schedule     *workload.Schedule
	idle         [][]*clientConn // idle connections by node index; the most recently used one is last
	open         []*clientConn
	byID         map[string]*clientRequest
	lastID       int
	lateRequests []*clientRequest // requests whose first send was at or after Plan.HealthyFrom
	history      history
	rejected     map[string]bool // ids of rejected requests of at-most-once classes
}

// clientRequest is one request of a client. It may be sent several times, each time with a new id.
type clientRequest struct {
	workload.Arrival
	id       string
	class    string
	isWrite  bool
	timeout  time.Duration
	sentAt   Time
	deadline Time // at least the deadline of the previous request on the connection, because responses come in order
	isRead   bool // the node has read all of the request
	attempts int
	result   string // how the request ended; empty while it has not ended
	conn     *clientConn
}

// Limits and delays of the simulated clients.
const (
	maxSends        = 4                     // maximum number of times that a client tries to send one request
	minShortTimeout = 5 * time.Millisecond  // shortest time that a client with a short timeout waits
	reconnectDelay  = 50 * time.Millisecond // wait if no node accepts connections; a load balancer in front of the nodes would take this time to find one
	maxPipelined    = 5                     // maximum number of unanswered requests on one connection
)

func newClients(w *world) *clients {
	return &clients{
		world:    w,
		schedule: workload.New(w.plan.Workload),
		idle:     make([][]*clientConn, len(w.nodes)),
		byID:     map[string]*clientRequest{},
		rejected: map[string]bool{},
	}
}

func (c *clients) start() {
	c.scheduleNext()
	for _, at := range c.world.plan.AbusiveClients {
		c.world.at(at, c.connectAbusiveClient)
	}
}

// scheduleNext schedules the next request of the workload.
func (c *clients) scheduleNext() {
	arrival, ok := c.schedule.Next()
	if !ok {
		return
	}
	c.world.at(arrival.At, func() {
		c.world.report.Scheduled++
		class := c.world.plan.Classes[arrival.Class]
		request := &clientRequest{Arrival: arrival, class: class.Name, isWrite: class.Write}
		if c.world.now >= c.world.plan.HealthyFrom {
			c.lateRequests = append(c.lateRequests, request)
		}
		c.send(request)
		c.scheduleNext()
	})
}

// send sends a request to the node that the workload chose for the request, or to the next node that accepts connections. Each
// further attempt to send the request begins one node later.
func (c *clients) send(request *clientRequest) {
	world := c.world
	request.attempts++
	if request.attempts > maxSends {
		request.result = "gave up"
		return
	}
	conn := c.connection(request)
	if conn == nil {
		world.after(reconnectDelay, func() { c.send(request) })
		return
	}
	c.lastID++
	request.id, request.conn, request.isRead = "q"+strconv.Itoa(c.lastID), conn, false
	class := world.plan.Classes[request.Class]
	request.timeout = time.Duration(float64(class.Deadline.D()) * (0.5 + 0.5*world.rng.Float64()))
	if world.networkFault(world.plan.Network.ShortTimeouts) {
		request.timeout = world.drawBetween(minShortTimeout, world.plan.Nodes.ConnectTimeout.D())
	}
	request.sentAt, request.deadline = world.now, world.now+request.timeout
	if n := len(conn.unanswered); n > 0 {
		request.deadline = max(request.deadline, conn.unanswered[n-1].deadline)
	}
	c.byID[request.id] = request
	conn.unanswered = append(conn.unanswered, request)
	world.logEvent("ask", request.id, request.class, strconv.Itoa(conn.node))
	conn.stream.write(request.encode())
	c.scheduleTimeout(request)
	if world.networkFault(world.plan.Network.ClientDisconnects) {
		c.scheduleDisconnect(request)
	}
}

// encode returns the request as a RESP command.
func (r *clientRequest) encode() []byte {
	parameters := fmt.Sprintf("c=%s,d=%d", r.class, r.timeout.Milliseconds())
	if r.IdempotencyKey != "" {
		parameters += ",k=" + r.IdempotencyKey
	}
	var command []byte
	if r.isWrite {
		command = redcon.AppendBulkString(redcon.AppendArray(command, 5), "CACHE.SET")
	} else {
		command = redcon.AppendBulkString(redcon.AppendArray(command, 4), "CACHE.GET")
	}
	command = redcon.AppendBulkString(command, r.Key)
	command = redcon.AppendBulkString(command, r.id)
	command = redcon.AppendBulkString(command, parameters)
	if r.isWrite {
		command = redcon.AppendBulk(command, bytes.Repeat([]byte{'w'}, r.Size))
	}
	return command
}

// scheduleTimeout makes the client give up and disconnect if the request has no response by its deadline plus the checker's grace.
func (c *clients) scheduleTimeout(request *clientRequest) {
	world, id, conn := c.world, request.id, request.conn
	world.at(request.deadline+world.plan.Invariants.Grace.D()+time.Millisecond, func() {
		if request.isOpen(id, conn) {
			world.checker.Advance(world.now)
			c.history.record(request, "timed out", nil, world.now)
			c.finish(request, "timed out")
			conn.disconnect()
		}
	})
}

// scheduleDisconnect makes the client disconnect at a random time before its timeout, if the request has no response by then.
func (c *clients) scheduleDisconnect(request *clientRequest) {
	world, id, conn := c.world, request.id, request.conn
	world.after(world.drawBetween(0, request.timeout), func() {
		if request.isOpen(id, conn) {
			world.logEvent("leave", id)
			conn.disconnect()
		}
	})
}

// isOpen reports whether the request has no result yet, and still has the id and the connection with which it was sent. A request
// that was sent again has a new id.
func (r *clientRequest) isOpen(id string, conn *clientConn) bool {
	return r.id == id && r.result == "" && r.conn == conn
}

// connection returns a connection to a node: an idle or new connection, or sometimes a connection with unanswered requests. It
// returns nil if no node accepts connections.
func (c *clients) connection(request *clientRequest) *clientConn {
	world := c.world
	for i := range world.nodes {
		at := (request.Node + request.attempts - 1 + i) % len(world.nodes)
		if world.chance(world.plan.Network.Pipeline) {
			for _, conn := range c.open {
				if conn.node == at && len(conn.unanswered) > 0 && len(conn.unanswered) < maxPipelined {
					return conn
				}
			}
		}
		if n := len(c.idle[at]); n > 0 {
			conn := c.idle[at][n-1]
			c.idle[at] = c.idle[at][:n-1]
			return conn
		}
		if stream := world.nodes[at].accept(); stream != nil {
			conn := &clientConn{clients: c, node: at, incarnation: world.nodes[at].incarnation, stream: stream}
			stream.data = conn.received
			stream.ended = conn.ended
			c.open = append(c.open, conn)
			return conn
		}
	}
	return nil
}

// requestRead records that a node has read all of a request.
func (c *clients) requestRead(node int, id, class string) {
	request := c.byID[id]
	if request == nil {
		return // the request came from an abusive client: such requests are not tracked
	}
	request.isRead = true
	c.world.checker.RequestSent(c.world.now, id, class, node, request.deadline)
}

// requestArrived checks, when a request has arrived completely at a server, that the client did not get a rejection of it before.
// Only rejections of at-most-once requests count.
func (c *clients) requestArrived(id string) {
	if c.rejected[id] {
		c.world.violation(InvariantRejectedNotRun, "%s comes to a server after it was refused", id)
	}
}

// finish records the result of a request.
func (c *clients) finish(request *clientRequest, result string) {
	request.result = result
	delete(c.byID, request.id)
	c.world.logEvent("end", request.id, result)
	switch result {
	case "served":
		c.world.report.Served++
	case "refused":
		c.world.report.Rejected++
		if c.world.plan.Classes[request.Class].Effect == "at_most_once" {
			c.rejected[request.id] = true
		}
	case "failed":
		c.world.report.Failed++
	case "left":
		c.world.report.Disconnected++
	}
}

// checkLiveness checks the history of the clients. It also checks that the requests from Plan.HealthyFrom on were served. If
// there are n such requests, at most 1 + n/20 of them may be unserved. The limit is 1 + n/6 with Plan.ScarceCapacity, and 1 + n/3
// with Plan.ManyNodes.
func (c *clients) checkLiveness() {
	c.history.check(c.world)
	unserved, total := 0, 0
	first := ""
	for _, request := range c.lateRequests {
		if request.result == "left" {
			continue
		}
		total++
		if request.result == "served" {
			continue
		}
		unserved++
		if first == "" {
			first = request.id + " " + request.result
		}
	}
	allowed := 1 + total/20
	if c.world.plan.ScarceCapacity { // servers may be in slow start up to the end of the run, and then have less capacity than their share of the load
		allowed = 1 + total/6
	}
	if c.world.plan.ManyNodes { // a node sends a request to a given server only every few seconds, so it notices late that the server is healthy
		allowed = 1 + total/3
	}
	if unserved > allowed {
		c.world.violation(InvariantLiveness, "%d of %d requests after %.1f s were not served, the first %s", unserved, total, c.world.plan.HealthyFrom.Seconds(), first)
	}
}
