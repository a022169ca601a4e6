package emulator

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/wireformat"
)

// conn is a connection from a node to a box or the origin. One goroutine reads requests, another writes answers in
// the order of the requests; what is answered, and when, is the model's.
type conn struct {
	e      *Emulator
	id     model.ConnID
	node   int
	net    net.Conn
	origin bool
	began  stamp // when the first byte of the request in hand came

	mu     sync.Mutex
	ready  sync.Cond
	slots  []*slot
	closed bool
}

// slot is the place of one request's answer.
type slot struct {
	seq    uint64 // of the attempt; 0 where the connection answers by itself
	http   bool
	id     string
	out    []byte
	spoilt model.CorruptionKind
	ready  bool
	last   bool // close after it
}

// stamp notes when the first byte of a request came; the reader clears it between requests.
type stamp struct {
	r  io.Reader
	at atomic.Int64 // Unix nanoseconds
}

func (s *stamp) Read(p []byte) (int, error) {
	n, err := s.r.Read(p)
	if n > 0 {
		s.at.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// most is how many requests of a connection may wait for answers.
const most = 4096

func (e *Emulator) newConn(nc net.Conn, slotNo, node int, origin bool) {
	c := &conn{e: e, id: model.ConnID(e.nextConn.Add(1)), node: node, net: nc, origin: origin}
	c.ready.L = &c.mu
	c.began.r = nc
	e.stats.Connections.Add(1)
	if !e.post(func(now time.Duration) {
		e.conns[c.id] = c
		e.carry(now, e.portal.Step(now, model.Connect{Conn: c.id, Node: node, Slot: slotNo}))
	}) {
		nc.Close()
		return
	}
	go c.write()
	if origin {
		go c.readHTTP()
	} else {
		go c.readRESP()
	}
}

// hold takes the place of an answer. It waits while too many are waited for, and is false at the end.
func (c *conn) hold(s *slot) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.slots) >= most && !c.closed {
		c.ready.Wait()
	}
	if c.closed {
		return false
	}
	c.slots = append(c.slots, s)
	if s.ready {
		c.ready.Broadcast()
	}
	return true
}

// say answers by the connection alone, without the model.
func (c *conn) say(out []byte, last bool) bool {
	return c.hold(&slot{out: out, ready: true, last: last})
}

// first is when the first byte of the request that was just read came, and clears it. One that came together with
// the request before it counts from now.
func (c *conn) first() time.Duration {
	at := c.began.at.Swap(0)
	if at == 0 {
		return time.Since(c.e.start)
	}
	return time.Unix(0, at).Sub(c.e.start.Round(0))
}

func (c *conn) readRESP() {
	defer c.left()
	rd := redcon.NewReader(&c.began)
	for {
		cmd, err := rd.ReadCommand()
		if err != nil {
			if strings.HasPrefix(err.Error(), "Protocol error") {
				c.e.malformed(c, err.Error())
				c.say(redcon.AppendError(nil, "ERR "+err.Error()), true)
			}
			return
		}
		if !c.takeRESP(cmd) {
			return
		}
	}
}

func (c *conn) takeRESP(cmd redcon.Command) bool {
	switch name := strings.ToUpper(string(cmd.Args[0])); name {
	case "CACHE.GET", "CACHE.SET":
		q, why := wireformat.ParseRequest(c.e.classes, name == "CACHE.SET", cmd.Args)
		if why != "" {
			c.e.malformed(c, why)
			return c.say(redcon.AppendError(nil, "SYNTAX "+why), false)
		}
		return c.attempt(q, false)
	case "PING":
		return c.probe(false, false)
	case "INFO":
		if len(cmd.Args) == 2 && strings.EqualFold(string(cmd.Args[1]), "load") {
			if c.e.plan.Nodes.HealthChecks {
				return c.probe(true, false)
			}
			return c.say(redcon.AppendError(nil, "NOPERM probes are not allowed"), false)
		}
		return c.say(redcon.AppendError(nil, "ERR unknown section"), false)
	case "CLIENT", "SELECT":
		return c.say(redcon.AppendOK(nil), false)
	default: // HELLO too: these boxes speak RESP2 only
		return c.say(redcon.AppendError(nil, "ERR unknown command"), false)
	}
}

// attempt hands a request to the model.
func (c *conn) attempt(q model.Request, isHTTP bool) bool {
	e := c.e
	first := c.first()
	s := &slot{seq: e.nextSeq.Add(1), http: isHTTP, id: q.ID}
	if !c.hold(s) {
		return false
	}
	q.Conn, q.Seq = c.id, s.seq
	e.stats.Requests.Add(1)
	return e.post(func(now time.Duration) {
		if q.Deadline > 0 {
			q.Deadline += now
		}
		if server := e.portal.ServerOf(c.id); server != "" { // else its process died meanwhile
			e.check.AttemptArrived(now, min(first, now), c.node, server, q.ID, q.Class, q.Seq)
		}
		e.carry(now, e.portal.Step(now, model.RequestArrived{Request: q}))
	})
}

func (c *conn) probe(load, isHTTP bool) bool {
	e := c.e
	c.first()
	s := &slot{seq: e.nextSeq.Add(1), http: isHTTP}
	if !c.hold(s) {
		return false
	}
	e.stats.Probes.Add(1)
	return e.post(func(now time.Duration) {
		e.carry(now, e.portal.Step(now, model.HealthCheck{Conn: c.id, Seq: s.seq, Load: load}))
	})
}

// left tells the model that the node ended the connection.
func (c *conn) left() {
	c.e.post(func(now time.Duration) {
		delete(c.e.conns, c.id)
		c.e.carry(now, c.e.portal.Step(now, model.Closed{Conn: c.id}))
	})
	c.finish()
}

// finish ends both goroutines once what is ready has been written.
func (c *conn) finish() {
	c.mu.Lock()
	c.closed = true
	c.ready.Broadcast()
	c.mu.Unlock()
}

// reset ends the connection as a process that dies does.
func (c *conn) reset() {
	c.mu.Lock()
	c.closed, c.slots = true, nil
	c.ready.Broadcast()
	c.mu.Unlock()
	if tcp, ok := c.net.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.net.Close()
}

// answer fills the place of an attempt. It never waits.
func (c *conn) answer(a model.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.slots {
		if s.seq == a.Seq {
			if s.http {
				s.out, s.last = wireformat.EncodeHTTP(s.id, a)
			} else {
				s.out = wireformat.EncodeRESP(s.id, a)
			}
			s.ready, s.spoilt = true, a.Corruption
			c.ready.Broadcast()
			if a.Corruption != model.NotCorrupt {
				c.e.stats.Spoilt.Add(1)
			}
			return
		}
	}
}

func (c *conn) write() {
	defer c.net.Close()
	spoilt := false // what follows a spoilt answer could not be told from it
	for {
		c.mu.Lock()
		for !c.closed && (len(c.slots) == 0 || !c.slots[0].ready) {
			c.ready.Wait()
		}
		if len(c.slots) == 0 || !c.slots[0].ready {
			c.mu.Unlock()
			return
		}
		s := c.slots[0]
		c.slots = c.slots[1:]
		c.ready.Broadcast()
		c.mu.Unlock()
		if spoilt {
			continue // the connection stays open but is of no further use
		}
		c.net.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.net.Write(s.out); err != nil || s.last {
			return
		}
		spoilt = s.spoilt != model.NotCorrupt && s.spoilt != model.CorruptLoadReport
		if s.spoilt == model.CorruptHugeValue {
			c.keepComing()
		}
	}
}

// keepComing sends the bytes of a value that is said to be endless, slowly, until the node has had enough.
func (c *conn) keepComing() {
	chunk := bytes.Repeat([]byte{'x'}, 4096)
	for range 3 << 20 / len(chunk) * 1024 {
		c.net.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.net.Write(chunk); err != nil {
			return
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (c *conn) readHTTP() {
	defer c.left()
	rd := bufio.NewReaderSize(&c.began, 16<<10)
	for {
		req, err := http.ReadRequest(rd)
		if err != nil {
			if _, broken := err.(net.Error); !broken && err != io.EOF && err != io.ErrUnexpectedEOF {
				c.e.malformed(c, err.Error())
				c.say(wireformat.HTTPText("400 Bad Request", "", "", true), true)
			}
			return
		}
		body, err := io.ReadAll(io.LimitReader(req.Body, wireformat.MaxValue+1))
		if err != nil {
			return
		}
		if !c.takeHTTP(req, body) {
			return
		}
	}
}

func (c *conn) takeHTTP(req *http.Request, body []byte) bool {
	path := req.URL.Path
	switch {
	case path == "/alive" && req.Method == http.MethodGet:
		return c.probe(false, true)
	case path == "/metrics/load" && req.Method == http.MethodGet:
		return c.probe(true, true)
	case req.Method != http.MethodGet && req.Method != http.MethodPut:
		return c.say(wireformat.HTTPText("405 Method Not Allowed", "", "", false), false)
	}
	args := [][]byte{nil, []byte(strings.TrimPrefix(path, "/")), []byte(req.Header.Get("X-Request-Id")), []byte(req.Header.Get("X-Extras"))}
	if req.Method == http.MethodPut {
		args = append(args, body)
	}
	q, why := wireformat.ParseRequest(c.e.classes, req.Method == http.MethodPut, args)
	if why != "" {
		c.e.malformed(c, why)
		return c.say(wireformat.HTTPText("400 Bad Request", "", why, false), false)
	}
	return c.attempt(q, true)
}
