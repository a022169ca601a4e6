package simulation

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/wireformat"
)

// serverConn is a connection from a node as the box or the origin behind a slot sees it. What is answered, and when, is the
// model's.
type serverConn struct {
	world  *world
	id     model.ConnID
	node   int
	origin bool
	stream *stream
	socket *poolSocket // the node's

	feed            nonBlockingBuffer
	reader          *redcon.Reader
	bytesReceived   int
	bytesParsed     int
	firstByteSentAt Time // when the first byte of the request in hand was sent
	httpInput       []byte
	slots           []*pendingResponse
	isCorrupt       bool // what follows a spoilt answer could not be told from it
	arrived         map[string]bool
}

type pendingResponse struct {
	seq        uint64
	id         string
	out        []byte
	corruption model.CorruptionKind
	isReady    bool
	isLast     bool
}

// errNeedMoreBytes says that all bytes that came have been read.
var errNeedMoreBytes = errors.New("more bytes are wanted")

// nonBlockingBuffer is a reader that never waits.
type nonBlockingBuffer struct{ bytes.Buffer }

func (f *nonBlockingBuffer) Read(b []byte) (int, error) {
	if f.Len() == 0 {
		return 0, errNeedMoreBytes
	}
	return f.Buffer.Read(b)
}

// connect brings a connection up at the server of a slot; it returns the node's end.
func (w *world) connect(n *node, slot int) (*stream, *serverConn) {
	w.lastID++
	c := &serverConn{world: w, id: w.lastID, node: n.index, origin: slot == 0, arrived: map[string]bool{}}
	c.reader = redcon.NewReader(&c.feed)
	var near *stream
	near, c.stream = w.pipe(w.plan.Network.ToServer, w.plan.Network.FromServer)
	c.stream.data = c.received
	c.stream.ended = func(bool) { c.nodeClosed() }
	w.servers[c.id] = c
	w.logEvent("connect", strconv.Itoa(n.index), strconv.Itoa(slot), strconv.FormatUint(uint64(c.id), 10))
	w.execute(w.system.Step(w.now, model.Connect{Conn: c.id, Node: n.index, Slot: slot}))
	if w.networkFault(w.plan.Network.GoSilent) {
		w.after(w.drawBetween(0, 3*time.Second), func() {
			near.isUnresponsive, c.stream.isUnresponsive = true, true
			w.logEvent("silent", strconv.FormatUint(uint64(c.id), 10))
		})
	}
	return near, c
}

// nodeClosed says that the node ended the connection.
func (c *serverConn) nodeClosed() {
	if c.world.servers[c.id] == c {
		delete(c.world.servers, c.id)
		c.world.execute(c.world.system.Step(c.world.now, model.Closed{Conn: c.id}))
	}
}

// closeBy ends the connection from the server's side.
func (c *serverConn) closeBy(reset bool) {
	if reset {
		c.stream.reset()
	} else {
		c.stream.close()
	}
	c.nodeClosed()
}

func (c *serverConn) received(b []byte, sent Time) {
	net := &c.world.plan.Network
	if c.world.networkFault(net.ResetBefore) { // before its last byte came
		c.world.logEvent("reset-before", strconv.FormatUint(uint64(c.id), 10))
		c.closeBy(true)
		return
	}
	if c.bytesReceived == c.bytesParsed {
		c.firstByteSentAt = sent
	}
	c.bytesReceived += len(b)
	if c.origin {
		c.httpInput = append(c.httpInput, b...)
		c.readHTTP(sent)
		return
	}
	c.feed.Write(b)
	for !c.stream.isClosed {
		cmd, err := c.reader.ReadCommand()
		if err != nil {
			if !errors.Is(err, errNeedMoreBytes) {
				c.malformed(err.Error())
			}
			return
		}
		c.bytesParsed += len(cmd.Raw)
		c.handleCommand(cmd)
		c.firstByteSentAt = sent
	}
}

// malformed is what no client of the run sent: a node made it up.
func (c *serverConn) malformed(why string) {
	c.world.violation(InvariantNoPanic, "node %d sent a server what no client did: %s", c.node, why)
	c.closeBy(true)
}

func (c *serverConn) handleCommand(cmd redcon.Command) {
	switch name := strings.ToUpper(string(cmd.Args[0])); name {
	case "CACHE.GET", "CACHE.SET":
		c.attempt(wireformat.ParseRequest(c.world.classes, name == "CACHE.SET", cmd.Args))
	case "PING":
		c.healthCheck()
	default:
		c.malformed(name)
	}
}

func (c *serverConn) readHTTP(sent Time) {
	for !c.stream.isClosed && len(c.httpInput) > 0 {
		if !bytes.Contains(c.httpInput, []byte("\r\n\r\n")) {
			return
		}
		src := bytes.NewReader(c.httpInput)
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
		took := len(c.httpInput) - src.Len() - rd.Buffered()
		c.httpInput = append([]byte(nil), c.httpInput[took:]...)
		c.bytesParsed += took
		if req.URL.Path == "/alive" {
			c.healthCheck()
		} else {
			args := [][]byte{nil, []byte(strings.TrimPrefix(req.URL.Path, "/")), []byte(req.Header.Get("X-Request-Id")), []byte(req.Header.Get("X-Extras"))}
			if req.Method == http.MethodPut {
				args = append(args, body)
			}
			c.attempt(wireformat.ParseRequest(c.world.classes, req.Method == http.MethodPut, args))
		}
		c.firstByteSentAt = sent
	}
}

// attempt hands a request to the model.
func (c *serverConn) attempt(q model.Request, why string) {
	if why != "" {
		c.malformed(why)
		return
	}
	w := c.world
	w.seq++
	q.Conn, q.Seq = c.id, w.seq
	if q.Deadline > 0 {
		q.Deadline += w.now
	}
	c.slots = append(c.slots, &pendingResponse{seq: q.Seq, id: q.ID})
	c.arrived[q.ID] = true
	w.clients.requestArrived(q.ID)
	if server := w.system.ServerOf(c.id); server != "" { // else its process died meanwhile
		w.logEvent("came", q.ID, server)
		w.checker.AttemptArrived(w.now, min(c.firstByteSentAt, w.now), c.node, server, q.ID, q.Class, q.Seq)
	}
	w.execute(w.system.Step(w.now, model.RequestArrived{Request: q}))
	if w.networkFault(w.plan.Network.ResetAfter) && !c.stream.isClosed {
		w.logEvent("reset-after", q.ID)
		c.closeBy(true)
	}
}

func (c *serverConn) healthCheck() {
	c.world.seq++
	c.slots = append(c.slots, &pendingResponse{seq: c.world.seq})
	c.world.execute(c.world.system.Step(c.world.now, model.HealthCheck{Conn: c.id, Seq: c.world.seq}))
}

// responseReady takes an answer of the model. It goes out when those of the requests before it have.
func (w *world) responseReady(a model.Response) {
	if a.Request != "" {
		proof := invariants.MayHaveRun
		if a.Outcome == model.RejectedUnseen || a.Outcome == model.Miss {
			proof = invariants.NeverRan
		}
		whole := a.Corruption == model.NotCorrupt || a.Corruption >= model.CorruptDuplicate
		value := whole && (a.Outcome == model.Hit || a.Outcome == model.Written)
		w.checker.ResponseSent(w.now, a.Server, a.Request, a.Seq, proof, value, a.Outcome.String())
	}
	c := w.servers[a.Conn]
	if c == nil {
		return
	}
	more := a.Corruption == model.CorruptDuplicate || a.Corruption == model.CorruptTrailingNoise
	for _, s := range c.slots {
		if s.seq == a.Seq {
			s.corruption = a.Corruption
			if more { // the answer is good
				a.Corruption = model.NotCorrupt
			}
			if c.origin {
				s.out, s.isLast = wireformat.EncodeHTTP(s.id, a)
			} else {
				s.out = wireformat.EncodeRESP(s.id, a)
			}
			s.isReady = true
		}
	}
	for len(c.slots) > 0 && c.slots[0].isReady && !c.stream.isClosed {
		s := c.slots[0]
		c.slots = c.slots[1:]
		if c.isCorrupt {
			continue // the connection stays open but is of no further use
		}
		c.stream.write(s.out)
		switch s.corruption {
		case model.NotCorrupt, model.CorruptLoadReport:
			if w.networkFault(w.plan.Network.TrailingBytes) {
				c.sendTrailing(s.out)
			}
		case model.CorruptDuplicate:
			c.sendTrailing(s.out)
		case model.CorruptTrailingNoise:
			c.sendTrailing([]byte("\x00noise"))
		case model.CorruptHugeValue:
			c.sendEndless(40)
			c.isCorrupt = true
		default:
			c.isCorrupt = true
		}
		if s.isLast || w.networkFault(w.plan.Network.CloseAfter) {
			c.closeBy(false)
		}
	}
}

// sendTrailing sends more than belongs to an answer, some milliseconds late. By the protocol nothing else waits on the connection
// then: what a node has written meanwhile, or is about to write, could not be told from an answer to it.
func (c *serverConn) sendTrailing(more []byte) {
	c.world.after(c.world.drawBetween(0, 5*time.Millisecond), func() {
		s := c.socket
		if c.stream.isClosed || c.stream.isUnresponsive || s.stream.isClosed || len(c.slots) > 0 || s.writing || s.conn.InFlight() > 0 || s.pool.node.incarnation != s.pool.incarnation {
			return
		}
		c.world.logEvent("behind", strconv.FormatUint(uint64(c.id), 10))
		c.isCorrupt = true
		s.stream.data(append([]byte(nil), more...), c.world.now)
	})
}

// sendEndless sends the bytes of a value that is said to be endless until the node has had enough.
func (c *serverConn) sendEndless(times int) {
	if times > 0 && !c.stream.isClosed {
		c.stream.write(bytes.Repeat([]byte{'x'}, 4096))
		c.world.after(2*time.Millisecond, func() { c.sendEndless(times - 1) })
	}
}
