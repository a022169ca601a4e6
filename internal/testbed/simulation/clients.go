package simulation

import (
	"bytes"
	"fmt"
	"strconv"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/wireformat"
	"shelfproxy/internal/testbed/workload"
)

// clients ask nodes for what the plan's load says, over connections that they keep, and tell the rules what they see.
type clients struct {
	w        *world
	schedule *workload.Schedule
	idle     [][]*clientConn // by node, the one used last at the end
	open     []*clientConn
	byID     map[string]*ask
	lastID   int
	late     []*ask // due once all was to be well again
	history  history
	refused  map[string]bool // requests that may not run twice and were refused: their clients may ask again
}

// ask is one request, through all its tries.
type ask struct {
	workload.Arrival
	id     string
	class  string
	writes bool
	wait   time.Duration
	sent   Time
	due    Time // the wait for the answers before it on its connection does not count
	taken  bool
	tries  int
	ended  string // how; empty while it is open
	conn   *clientConn
}

type clientConn struct {
	c      *clients
	node   int
	life   int
	end    *end
	buf    []byte
	owed   []*ask // in the order of the commands
	closed bool
}

func newClients(w *world) *clients {
	return &clients{w: w, schedule: workload.New(w.plan.Workload), idle: make([][]*clientConn, len(w.nodes)), byID: map[string]*ask{}, refused: map[string]bool{}}
}

func (c *clients) start() {
	c.next()
	for i := range c.w.plan.Rude {
		c.w.at(c.w.plan.Rude[i], c.rude)
	}
}

// next books the next request that is due.
func (c *clients) next() {
	a, ok := c.schedule.Next()
	if !ok {
		return
	}
	c.w.at(a.At, func() {
		c.w.report.Due++
		class := c.w.plan.Classes[a.Class]
		q := &ask{Arrival: a, class: class.Name, writes: class.Write}
		if c.w.now >= c.w.plan.Well {
			c.late = append(c.late, q)
		}
		c.try(q)
		c.next()
	})
}

// try sends a request, to the node that it is drawn for or to the next that takes connections.
func (c *clients) try(q *ask) {
	w := c.w
	if q.tries++; q.tries > 4 {
		q.ended = "gave up"
		return
	}
	k := c.conn(q)
	if k == nil {
		w.after(50*time.Millisecond, func() { c.try(q) }) // a front takes a moment to notice
		return
	}
	c.lastID++
	q.id, q.conn, q.taken = "q"+strconv.Itoa(c.lastID), k, false
	class := w.plan.Classes[q.Class]
	q.wait = time.Duration(float64(class.Deadline.D()) * (0.5 + 0.5*w.rng.Float64()))
	q.sent, q.due = w.now, w.now+q.wait
	if n := len(k.owed); n > 0 {
		q.due = max(q.due, k.owed[n-1].due)
	}
	c.byID[q.id] = q
	k.owed = append(k.owed, q)
	extras := fmt.Sprintf("c=%s,d=%d", q.class, q.wait.Milliseconds())
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
	w.note("ask", q.id, q.class, strconv.Itoa(k.node))
	k.end.write(b)
	id := q.id
	w.at(q.due+w.plan.Invariants.Grace.D()+time.Millisecond, func() {
		if q.id == id && q.ended == "" && q.conn == k {
			w.check.Advance(w.now)
			c.history.seen(q, "timed out", nil, w.now)
			c.finish(q, "timed out")
			k.hangUp()
		}
	})
	if w.strikes(w.plan.Net.Leave) {
		w.after(w.between(0, q.wait), func() {
			if q.id == id && q.ended == "" && q.conn == k {
				w.note("leave", id)
				k.hangUp()
			}
		})
	}
}

// conn is a connection to a node: an idle one, sometimes one with answers owed, or a new one.
func (c *clients) conn(q *ask) *clientConn {
	w := c.w
	for i := range w.nodes {
		at := (q.Node + q.tries - 1 + i) % len(w.nodes)
		if w.chance(w.plan.Net.Pipeline) {
			for _, k := range c.open {
				if k.node == at && len(k.owed) > 0 && len(k.owed) < 5 {
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
			k := &clientConn{c: c, node: at, life: w.nodes[at].life, end: near}
			near.data = k.received
			near.ended = k.ended
			c.open = append(c.open, k)
			return k
		}
	}
	return nil
}

// taken says that a node read a request whole.
func (c *clients) taken(node int, id, class string) {
	q := c.byID[id]
	if q == nil {
		return // of a client that makes no sense
	}
	q.taken = true
	c.w.check.RequestSent(c.w.now, id, class, node, q.due)
}

// came says that a request came whole to a server.
func (c *clients) came(id string) {
	if c.refused[id] {
		c.w.broken(Refused, "%s comes to a server after it was refused", id)
	}
}

// finish notes how a request went.
func (c *clients) finish(q *ask, how string) {
	q.ended = how
	delete(c.byID, q.id)
	c.w.note("end", q.id, how)
	switch how {
	case "served":
		c.w.report.Served++
	case "refused":
		c.w.report.Refused++
		if c.w.plan.Classes[q.Class].Effect == "at_most_once" {
			c.refused[q.id] = true
		}
	case "failed":
		c.w.report.Failed++
	case "left":
		c.w.report.Left++
	}
}

func (k *clientConn) drop() {
	k.closed = true
	c := k.c
	for i, o := range c.open {
		if o == k {
			c.open = append(c.open[:i], c.open[i+1:]...)
			break
		}
	}
	for i, o := range c.idle[k.node] {
		if o == k {
			c.idle[k.node] = append(c.idle[k.node][:i], c.idle[k.node][i+1:]...)
			break
		}
	}
}

// hangUp closes the connection from the client's side: whatever is owed on it is not waited for.
func (k *clientConn) hangUp() {
	if k.closed {
		return
	}
	k.drop()
	k.end.close()
	for _, q := range k.owed {
		if q.ended == "" {
			k.c.w.check.ClientDisconnected(k.c.w.now, q.id)
			k.c.history.seen(q, "left", nil, k.c.w.now)
			k.c.finish(q, "left")
		}
	}
}

// ended is the end of the connection from the node's side.
func (k *clientConn) ended(bool) {
	if k.closed {
		return
	}
	k.drop()
	w := k.c.w
	alive := w.nodes[k.node].life == k.life
	for _, q := range k.owed {
		if q.ended != "" {
			continue
		}
		if alive && q.taken {
			w.check.ConnectionEnded(w.now, q.id, false)
			k.c.history.seen(q, "lost", nil, w.now)
			k.c.finish(q, "lost")
			continue
		}
		w.check.ClientDisconnected(w.now, q.id) // its node's process is gone, or never read it
		if q.taken && q.writes {                // it may have run: whether to ask again is its user's affair
			k.c.history.seen(q, "gone", nil, w.now)
			k.c.finish(q, "gone")
			continue
		}
		delete(k.c.byID, q.id)
		w.note("again", q.id)
		k.c.try(q)
	}
}

// received takes answers, in the order of the commands.
func (k *clientConn) received(b []byte, _ Time) {
	if k.closed {
		return
	}
	w := k.c.w
	k.buf = append(k.buf, b...)
	for !k.closed {
		kind, value, n := answerOf(k.buf)
		if n == 0 {
			return
		}
		k.buf = append([]byte(nil), k.buf[n:]...)
		if len(k.owed) == 0 {
			w.broken(Order, "node %d answers what nobody asked", k.node)
			k.hangUp()
			return
		}
		q := k.owed[0]
		k.owed = k.owed[1:]
		madeFor := wireformat.RequestOfValue(value)
		if kind == invariants.Served && madeFor != q.id {
			w.broken(Order, "%s is served what was made for %q", q.id, madeFor)
		}
		if q.ended == "" {
			if !q.taken {
				w.broken(Order, "%s is answered before it was read", q.id)
			}
			w.check.RequestAnswered(w.now, q.id, kind, madeFor)
			k.c.history.seen(q, kind.String(), value, w.now)
			k.c.finish(q, kind.String())
		}
		if len(k.owed) == 0 {
			k.c.idle[k.node] = append(k.c.idle[k.node], k)
		}
	}
}

// answerOf cuts one answer off; n is 0 where it has not come whole.
func answerOf(b []byte) (kind invariants.Final, value []byte, n int) {
	eol := bytes.Index(b, []byte("\r\n"))
	if eol < 0 {
		return 0, nil, 0
	}
	switch {
	case b[0] == '$':
		size, _ := strconv.Atoi(string(b[1:eol]))
		if len(b) < eol+2+size+2 {
			return 0, nil, 0
		}
		return invariants.Served, b[eol+2 : eol+2+size], eol + 2 + size + 2
	case bytes.HasPrefix(b, []byte("-BUSY")):
		return invariants.Rejected, nil, eol + 2
	}
	return invariants.Failed, nil, eol + 2
}

// nonsense is what some clients send.
var nonsense = []string{"GET / HTTP/1.1\r\n\r\n", "*1\r\n$9999999999\r\n", "*-5\r\n", "*99999999999999999999\r\n", "*2\r\n$4\r\nPI", "\x00\xff\r\n",
	"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$3\r\nxyz\r\n$9\r\nc=nothing\r\n", "*3\r\n$9\r\nCACHE.GET\r\n$0\r\n\r\n$0\r\n\r\n", "*1\r\n$1\r\nx\r\n*1\r\n$"}

// rude is a client that makes no sense: it is owed an error or a close within 3 s.
func (c *clients) rude() {
	w := c.w
	at := w.rng.IntN(len(w.nodes))
	near := w.nodes[at].accept()
	if near == nil {
		return
	}
	life, done := w.nodes[at].life, false
	text := nonsense[w.rng.IntN(len(nonsense))]
	near.data = func([]byte, Time) { done = true }
	near.ended = func(bool) { done = true }
	w.note("rude", strconv.Quote(text))
	near.write([]byte(text))
	w.after(3*time.Second, func() {
		if !done && w.nodes[at].life == life {
			w.broken(Rude, "node %d left a client with %q alone", at, text)
		}
		near.close()
	})
}

// judge tells whether all was served again some time after the last fault.
func (c *clients) judge() {
	c.history.judge(c.w)
	bad, n := 0, 0
	first := ""
	for _, q := range c.late {
		if q.ended == "left" {
			continue
		}
		n++
		if q.ended != "served" {
			if bad++; first == "" {
				first = q.id + " " + q.ended
			}
		}
	}
	may := 1 + n/20
	if c.w.plan.Tight { // cold boxes bear less than their part for longer than a run
		may = 1 + n/6
	}
	if c.w.plan.Many { // each node meets a server every few seconds, and learns as slowly that it is well again
		may = 1 + n/3
	}
	if bad > may {
		c.w.broken(Liveness, "%d of %d requests after %.1f s were not served, the first %s", bad, n, c.w.plan.Well.Seconds(), first)
	}
}
