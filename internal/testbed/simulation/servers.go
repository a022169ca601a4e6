package simulation

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/discovery/polling"
	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/wireformat"
)

// serverConn is a connection from a node as the box or the origin behind a slot sees it. What is answered, and when, is the
// model's.
type serverConn struct {
	w      *world
	id     model.ConnID
	node   int
	origin bool
	end    *end
	sock   *sock // the node's

	feed   feed
	rd     *redcon.Reader
	fed    int
	used   int
	first  Time // when the first byte of the request in hand was sent
	http   []byte
	slots  []*serverSlot
	spoilt bool // what follows a spoilt answer could not be told from it
	came   map[string]bool
}

type serverSlot struct {
	seq    uint64
	id     string
	out    []byte
	spoilt model.CorruptionKind
	ready  bool
	last   bool
}

// errMore says that all bytes that came have been read.
var errMore = errors.New("more bytes are wanted")

// feed is a reader that never waits.
type feed struct{ bytes.Buffer }

func (f *feed) Read(b []byte) (int, error) {
	if f.Len() == 0 {
		return 0, errMore
	}
	return f.Buffer.Read(b)
}

// connect brings a connection up at the server of a slot; it returns the node's end.
func (w *world) connect(n *node, slot int) (*end, *serverConn) {
	w.lastID++
	c := &serverConn{w: w, id: w.lastID, node: n.index, origin: slot == 0, came: map[string]bool{}}
	c.rd = redcon.NewReader(&c.feed)
	var near *end
	near, c.end = w.pipe(w.plan.Net.ToServer, w.plan.Net.FromServer)
	c.end.data = c.received
	c.end.ended = func(bool) { c.left() }
	w.servers[c.id] = c
	w.note("connect", strconv.Itoa(n.index), strconv.Itoa(slot), strconv.FormatUint(uint64(c.id), 10))
	w.carry(w.portal.Step(w.now, model.Connect{Conn: c.id, Node: n.index, Slot: slot}))
	if w.strikes(w.plan.Net.FallSilent) {
		w.after(w.between(0, 3*time.Second), func() {
			near.silent, c.end.silent = true, true
			w.note("silent", strconv.FormatUint(uint64(c.id), 10))
		})
	}
	return near, c
}

// left says that the node ended the connection.
func (c *serverConn) left() {
	if c.w.servers[c.id] == c {
		delete(c.w.servers, c.id)
		c.w.carry(c.w.portal.Step(c.w.now, model.Closed{Conn: c.id}))
	}
}

// drop ends the connection from the server's side.
func (c *serverConn) drop(reset bool) {
	if reset {
		c.end.reset()
	} else {
		c.end.close()
	}
	c.left()
}

func (c *serverConn) received(b []byte, sent Time) {
	net := &c.w.plan.Net
	if c.w.strikes(net.ResetBefore) { // before its last byte came
		c.w.note("reset-before", strconv.FormatUint(uint64(c.id), 10))
		c.drop(true)
		return
	}
	if c.fed == c.used {
		c.first = sent
	}
	c.fed += len(b)
	if c.origin {
		c.http = append(c.http, b...)
		c.readHTTP(sent)
		return
	}
	c.feed.Write(b)
	for !c.end.dead {
		cmd, err := c.rd.ReadCommand()
		if err != nil {
			if !errors.Is(err, errMore) {
				c.malformed(err.Error())
			}
			return
		}
		c.used += len(cmd.Raw)
		c.takeRESP(cmd)
		c.first = sent
	}
}

// malformed is what no client of the run sent: a node made it up.
func (c *serverConn) malformed(why string) {
	c.w.broken(Crash, "node %d sent a server what no client did: %s", c.node, why)
	c.drop(true)
}

func (c *serverConn) takeRESP(cmd redcon.Command) {
	switch name := strings.ToUpper(string(cmd.Args[0])); name {
	case "CACHE.GET", "CACHE.SET":
		c.attempt(wireformat.ParseRequest(c.w.classes, name == "CACHE.SET", cmd.Args))
	case "PING":
		c.probe()
	default:
		c.malformed(name)
	}
}

func (c *serverConn) readHTTP(sent Time) {
	for !c.end.dead && len(c.http) > 0 {
		if !bytes.Contains(c.http, []byte("\r\n\r\n")) {
			return
		}
		src := bytes.NewReader(c.http)
		rd := bufio.NewReader(src)
		req, err := http.ReadRequest(rd)
		if err != nil {
			c.malformed(err.Error())
			return
		}
		body := make([]byte, max(0, req.ContentLength))
		if n, _ := rd.Read(body[:0]); n == 0 && len(body) > rd.Buffered()+src.Len() {
			return
		}
		for at := 0; at < len(body); {
			n, err := rd.Read(body[at:])
			if at += n; err != nil {
				return
			}
		}
		took := len(c.http) - src.Len() - rd.Buffered()
		c.http = append([]byte(nil), c.http[took:]...)
		c.used += took
		if req.URL.Path == "/alive" {
			c.probe()
		} else {
			args := [][]byte{nil, []byte(strings.TrimPrefix(req.URL.Path, "/")), []byte(req.Header.Get("X-Request-Id")), []byte(req.Header.Get("X-Extras"))}
			if req.Method == http.MethodPut {
				args = append(args, body)
			}
			c.attempt(wireformat.ParseRequest(c.w.classes, req.Method == http.MethodPut, args))
		}
		c.first = sent
	}
}

// attempt hands a request to the model.
func (c *serverConn) attempt(q model.Request, why string) {
	if why != "" {
		c.malformed(why)
		return
	}
	w := c.w
	w.seq++
	q.Conn, q.Seq = c.id, w.seq
	if q.Deadline > 0 {
		q.Deadline += w.now
	}
	c.slots = append(c.slots, &serverSlot{seq: q.Seq, id: q.ID})
	c.came[q.ID] = true
	w.clients.came(q.ID)
	if server := w.portal.ServerOf(c.id); server != "" { // else its process died meanwhile
		w.note("came", q.ID, server)
		w.check.AttemptArrived(w.now, min(c.first, w.now), c.node, server, q.ID, q.Class, q.Seq)
	}
	w.carry(w.portal.Step(w.now, model.RequestArrived{Request: q}))
	if w.strikes(w.plan.Net.ResetAfter) && !c.end.dead {
		w.note("reset-after", q.ID)
		c.drop(true)
	}
}

func (c *serverConn) probe() {
	c.w.seq++
	c.slots = append(c.slots, &serverSlot{seq: c.w.seq})
	c.w.carry(c.w.portal.Step(c.w.now, model.HealthCheck{Conn: c.id, Seq: c.w.seq}))
}

// answered takes an answer of the model. It goes out when those of the requests before it have.
func (w *world) answered(a model.Response) {
	if a.Request != "" {
		proof := invariants.MayHaveRun
		if a.Outcome == model.RejectedUnseen || a.Outcome == model.Miss {
			proof = invariants.NeverRan
		}
		whole := a.Corruption == model.NotCorrupt || a.Corruption >= model.CorruptDuplicate
		value := whole && (a.Outcome == model.Hit || a.Outcome == model.Written)
		w.check.ResponseSent(w.now, a.Server, a.Request, a.Seq, proof, value, a.Outcome.String())
	}
	c := w.servers[a.Conn]
	if c == nil {
		return
	}
	more := a.Corruption == model.CorruptDuplicate || a.Corruption == model.CorruptTrailingNoise
	for _, s := range c.slots {
		if s.seq == a.Seq {
			s.spoilt = a.Corruption
			if more { // the answer is good
				a.Corruption = model.NotCorrupt
			}
			if c.origin {
				s.out, s.last = wireformat.EncodeHTTP(s.id, a)
			} else {
				s.out = wireformat.EncodeRESP(s.id, a)
			}
			s.ready = true
		}
	}
	for len(c.slots) > 0 && c.slots[0].ready && !c.end.dead {
		s := c.slots[0]
		c.slots = c.slots[1:]
		if c.spoilt {
			continue // the connection stays open but is of no further use
		}
		c.end.write(s.out)
		switch s.spoilt {
		case model.NotCorrupt, model.CorruptLoadReport:
			if w.strikes(w.plan.Net.Behind) {
				c.behind(s.out)
			}
		case model.CorruptDuplicate:
			c.behind(s.out)
		case model.CorruptTrailingNoise:
			c.behind([]byte("\x00noise"))
		case model.CorruptHugeValue:
			c.keepComing(40)
			c.spoilt = true
		default:
			c.spoilt = true
		}
		if s.last || w.strikes(w.plan.Net.CloseAfter) {
			c.drop(false)
		}
	}
}

// behind sends more than belongs to an answer, some milliseconds late. By the protocol nothing else waits on the connection
// then: what a node has written meanwhile, or is about to write, could not be told from an answer to it.
func (c *serverConn) behind(more []byte) {
	c.w.after(c.w.between(0, 5*time.Millisecond), func() {
		s := c.sock
		if c.end.dead || c.end.silent || s.end.dead || len(c.slots) > 0 || s.writing || s.conn.InFlight() > 0 || s.p.n.life != s.p.life {
			return
		}
		c.w.note("behind", strconv.FormatUint(uint64(c.id), 10))
		c.spoilt = true
		s.end.data(append([]byte(nil), more...), c.w.now)
	})
}

// keepComing sends the bytes of a value that is said to be endless until the node has had enough.
func (c *serverConn) keepComing(times int) {
	if times > 0 && !c.end.dead {
		c.end.write(bytes.Repeat([]byte{'x'}, 4096))
		c.w.after(2*time.Millisecond, func() { c.keepComing(times - 1) })
	}
}

// call is a call of discovery: the real follower at the node's end of a stream.
type call struct {
	w        *world
	id       uint64
	n        *node
	life     int
	near     *end // the node's
	end      *end // discovery's
	follower *discovery.WatchState
	report   func(discovery.List, error)
	begun    bool
	over     bool
}

// source is discovery as one process of a node reaches it.
type source struct {
	n    *node
	life int
}

// Watch opens a watch.
func (s source) Watch(after int64, report func(discovery.List, error)) (stop func()) {
	w := s.n.w
	w.lastAsk++
	c := &call{w: w, id: w.lastAsk, n: s.n, life: s.life, report: report, follower: discovery.NewWatchState(s.n.now(), polling.CallTimeout)}
	c.near, c.end = w.pipe(w.plan.Net.Discovery, w.plan.Net.Discovery)
	c.near.data = c.received
	c.near.ended = func(reset bool) {
		var broke error
		if reset {
			broke = errReset
		}
		c.take(nil, c.follower.ConnectionEnded(broke))
	}
	w.calls[c.id] = c
	w.after(w.between(100*time.Microsecond, time.Millisecond), func() {
		if !c.over {
			w.note("ask", strconv.Itoa(s.n.index), strconv.FormatInt(after, 10))
			w.carry(w.portal.Step(w.now, model.DiscoveryCall{Call: c.id, Node: s.n.index, Watch: true, After: after}))
		}
	})
	if w.strikes(w.plan.Net.WatchSilent) {
		w.after(w.between(0, 4*time.Second), func() {
			w.note("watch-silent", strconv.Itoa(s.n.index))
			c.near.silent, c.end.silent = true, true
		})
	}
	c.arm()
	return c.stop
}

var errReset = errors.New("connection reset by peer")

// arm books the time at which the follower looks whether it has fallen silent.
func (c *call) arm() {
	c.w.at(c.n.simTime(c.follower.Deadline()), func() {
		if c.over || c.n.life != c.life {
			return
		}
		if err := c.follower.CheckTimeout(c.n.now()); err != nil {
			c.take(nil, err)
			return
		}
		c.arm()
	})
}

// stop ends the call from the node's side.
func (c *call) stop() {
	if c.over {
		return
	}
	c.over = true
	c.near.close()
	if c.w.calls[c.id] == c {
		delete(c.w.calls, c.id)
		c.w.after(c.w.between(100*time.Microsecond, time.Millisecond), func() {
			c.w.carry(c.w.portal.Step(c.w.now, model.DiscoveryCancelled{Call: c.id}))
		})
	}
}

// take hands lists and the end of the watch to the node.
func (c *call) take(lists []discovery.List, err error) {
	if c.over || c.n.life != c.life {
		return
	}
	for _, l := range lists {
		c.report(l, nil)
	}
	if err != nil {
		c.w.note("watch-ended", strconv.Itoa(c.n.index), err.Error())
		c.stop()
		c.report(discovery.List{}, err)
	}
	c.n.arm()
}

func (c *call) received(b []byte, _ Time) {
	if c.over || c.n.life != c.life {
		return
	}
	c.n.heard = c.w.now
	lists, err := c.follower.BytesReceived(c.n.now(), b)
	c.take(lists, err)
}

// tellCall writes what discovery says to a call. What a watch was told counts from here on.
func (w *world) tellCall(t model.DiscoveryReply) {
	c := w.calls[t.Call]
	if c == nil || c.over {
		return
	}
	if t.Failed {
		delete(w.calls, t.Call)
		if c.begun {
			c.end.reset()
		} else {
			w.after(w.between(100*time.Microsecond, time.Millisecond), func() {
				if !c.over && c.n.life == c.life {
					c.take(nil, c.follower.ResponseReceived(c.n.now(), 503))
				}
			})
		}
		return
	}
	if !c.begun {
		c.begun = true
		if !c.end.silent {
			if err := c.follower.ResponseReceived(c.n.now(), 200); err != nil {
				c.take(nil, err)
				return
			}
		}
	}
	line := []byte{'\n'}
	if t.List != nil {
		line = append(wireformat.EncodeList(*t.List, func(slot int) string { return address(slot, c.n.index) }, unixMs), '\n')
	}
	c.end.write(line)
	if l := t.List; l != nil && !c.end.silent && !(l.IsFull && len(l.Entries) == 0) { // a list of nothing is no news
		w.at(c.end.lastAt, func() {
			if c.near.dead || c.near.silent { // a reset overtook it
				return
			}
			states := map[string]string{}
			for _, s := range l.Entries {
				states[s.ID] = s.State.String()
				w.check.NodeKnowsStart(c.n.index, s.ID, s.Started)
			}
			w.check.NodeNotified(w.now, c.n.index, l.IsFull, states)
		})
	}
	if t.Ends {
		delete(w.calls, t.Call)
		c.end.close()
	}
}

func unixMs(at time.Duration) int64 { return epoch.Add(at).UnixMilli() }

// address is where a node finds the server of a slot.
func address(slot, node int) string { return fmt.Sprintf("10.%d.%d.%d:6379", node, slot>>8, slot&255) }

func slotOf(addr string) (slot int) {
	var node, high, low int
	fmt.Sscanf(addr, "10.%d.%d.%d:6379", &node, &high, &low)
	return high<<8 | low
}
