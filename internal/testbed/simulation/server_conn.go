package simulation

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/wireformat"
)

// serverConn is a connection from a node as the cache server or the origin sees it. The model decides what is answered, and when.
type serverConn struct {
	world    *world
	id       model.ConnID
	node     int
	isOrigin bool
	stream   *stream
	socket   *poolSocket // the node's

	input           nonBlockingBuffer
	reader          *redcon.Reader
	bytesReceived   int
	bytesParsed     int
	firstByteSentAt Time // when the first byte of the current request was sent
	httpInput       []byte
	pending         []*pendingResponse // in the order of the requests
	isCorrupt       bool               // a corrupt response was sent: nothing follows, as it could not be told from that
	arrived         map[string]bool    // ids of the requests that arrived completely
}

// endlessChunks is how many chunks of a value of endless length are sent.
const endlessChunks = 40

// pendingResponse is the response to one request, which goes out when those before it have.
type pendingResponse struct {
	seq        uint64
	id         string
	text       []byte
	corruption model.CorruptionKind
	isReady    bool
	isLast     bool
}

// errNeedMoreBytes is returned where all bytes that arrived have been read.
var errNeedMoreBytes = errors.New("more bytes are wanted")

// nonBlockingBuffer is a reader that never waits.
type nonBlockingBuffer struct{ bytes.Buffer }

// Read reads what is there; errNeedMoreBytes where nothing is.
func (f *nonBlockingBuffer) Read(b []byte) (int, error) {
	if f.Len() == 0 {
		return 0, errNeedMoreBytes
	}
	return f.Buffer.Read(b)
}

// connect opens a connection from a node to the server at an address slot. It returns the node's end of the stream.
func (w *world) connect(n *node, slot int) (*stream, *serverConn) {
	w.lastID++
	c := &serverConn{world: w, id: w.lastID, node: n.index, isOrigin: slot == 0, arrived: map[string]bool{}}
	c.reader = redcon.NewReader(&c.input)
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

// nodeClosed handles the end of the connection from the node's side.
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

// received takes bytes from the node and handles the requests that they complete.
func (c *serverConn) received(b []byte, sent Time) {
	if c.world.networkFault(c.world.plan.Network.ResetBefore) { // before the last byte of the request arrived
		c.world.logEvent("reset-before", strconv.FormatUint(uint64(c.id), 10))
		c.closeBy(true)
		return
	}
	if c.bytesReceived == c.bytesParsed {
		c.firstByteSentAt = sent
	}
	c.bytesReceived += len(b)
	if c.isOrigin {
		c.httpInput = append(c.httpInput, b...)
		c.readHTTP(sent)
		return
	}
	c.input.Write(b)
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

// malformed reports a request that no client of the run sent, and resets the connection.
func (c *serverConn) malformed(why string) {
	c.world.violation(InvariantNoPanic, "node %d sent a server what no client did: %s", c.node, why)
	c.closeBy(true)
}

// handleCommand handles a command in RESP.
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

// readHTTP handles the HTTP requests that have arrived completely.
func (c *serverConn) readHTTP(sent Time) {
	for !c.stream.isClosed && len(c.httpInput) > 0 {
		if !bytes.Contains(c.httpInput, []byte("\r\n\r\n")) {
			return
		}
		source := bytes.NewReader(c.httpInput)
		reader := bufio.NewReader(source)
		request, err := http.ReadRequest(reader)
		if err != nil {
			c.malformed(err.Error())
			return
		}
		body := make([]byte, max(0, request.ContentLength))
		if _, err := io.ReadFull(reader, body); err != nil {
			return // the rest of it is on its way
		}
		parsed := len(c.httpInput) - source.Len() - reader.Buffered()
		c.httpInput = append([]byte(nil), c.httpInput[parsed:]...)
		c.bytesParsed += parsed
		c.handleHTTP(request, body)
		c.firstByteSentAt = sent
	}
}

// handleHTTP handles one HTTP request.
func (c *serverConn) handleHTTP(request *http.Request, body []byte) {
	if request.URL.Path == "/alive" {
		c.healthCheck()
		return
	}
	isWrite := request.Method == http.MethodPut
	args := [][]byte{
		nil,
		[]byte(strings.TrimPrefix(request.URL.Path, "/")),
		[]byte(request.Header.Get("X-Request-Id")),
		[]byte(request.Header.Get("X-Extras")),
	}
	if isWrite {
		args = append(args, body)
	}
	c.attempt(wireformat.ParseRequest(c.world.classes, isWrite, args))
}

// attempt gives an attempt that arrived to the model; problem says what is wrong with it, if anything is.
func (c *serverConn) attempt(request model.Request, problem string) {
	if problem != "" {
		c.malformed(problem)
		return
	}
	w := c.world
	w.seq++
	request.Conn, request.Seq = c.id, w.seq
	if request.Deadline > 0 {
		request.Deadline += w.now
	}
	c.pending = append(c.pending, &pendingResponse{seq: request.Seq, id: request.ID})
	c.arrived[request.ID] = true
	w.clients.requestArrived(request.ID)
	if server := w.system.ServerOf(c.id); server != "" { // else its process ended meanwhile
		w.logEvent("came", request.ID, server)
		w.checker.AttemptArrived(w.now, min(c.firstByteSentAt, w.now), c.node, server, request.ID, request.Class, request.Seq)
	}
	w.execute(w.system.Step(w.now, model.RequestArrived{Request: request}))
	if w.networkFault(w.plan.Network.ResetAfter) && !c.stream.isClosed {
		w.logEvent("reset-after", request.ID)
		c.closeBy(true)
	}
}

// healthCheck gives a health check that arrived to the model.
func (c *serverConn) healthCheck() {
	c.world.seq++
	c.pending = append(c.pending, &pendingResponse{seq: c.world.seq})
	c.world.execute(c.world.system.Step(c.world.now, model.HealthCheck{Conn: c.id, Seq: c.world.seq}))
}

// responseReady takes a response of the model. It goes out when those of the requests before it have.
func (w *world) responseReady(response model.Response) {
	if response.Request != "" {
		w.checkResponse(response)
	}
	conn := w.servers[response.Conn]
	if conn == nil {
		return
	}
	conn.encode(response)
	conn.sendReady()
}

// checkResponse notifies the checker of a response to a client's request.
func (w *world) checkResponse(response model.Response) {
	proof := invariants.PossiblyExecuted
	if response.WasNotExecuted() {
		proof = invariants.NotExecuted
	}
	w.checker.ResponseSent(w.now, response.Server, response.Request, response.Seq, proof, response.HasValue(), response.Outcome.String())
}

// encode fills the place of the request that a response is for.
func (c *serverConn) encode(response model.Response) {
	hasTrailing := response.Corruption == model.CorruptDuplicate || response.Corruption == model.CorruptTrailingNoise
	for _, pending := range c.pending {
		if pending.seq != response.Seq {
			continue
		}
		pending.corruption = response.Corruption
		if hasTrailing { // the response itself is good
			response.Corruption = model.NotCorrupt
		}
		if c.isOrigin {
			pending.text, pending.isLast = wireformat.EncodeHTTP(pending.id, response)
		} else {
			pending.text = wireformat.EncodeRESP(pending.id, response)
		}
		pending.isReady = true
	}
}

// sendReady sends the responses that are ready, in the order of the requests.
func (c *serverConn) sendReady() {
	for len(c.pending) > 0 && c.pending[0].isReady && !c.stream.isClosed {
		next := c.pending[0]
		c.pending = c.pending[1:]
		if c.isCorrupt {
			continue // the connection stays open but is of no further use
		}
		c.stream.write(next.text)
		c.corrupt(next)
		if next.isLast || c.world.networkFault(c.world.plan.Network.CloseAfter) {
			c.closeBy(false)
		}
	}
}

// corrupt sends what a corrupt response has behind it.
func (c *serverConn) corrupt(sent *pendingResponse) {
	switch sent.corruption {
	case model.NotCorrupt, model.CorruptLoadReport:
		if c.world.networkFault(c.world.plan.Network.TrailingBytes) {
			c.sendTrailing(sent.text)
		}
	case model.CorruptDuplicate:
		c.sendTrailing(sent.text)
	case model.CorruptTrailingNoise:
		c.sendTrailing([]byte("\x00noise"))
	case model.CorruptHugeValue:
		c.sendEndless(endlessChunks)
		c.isCorrupt = true
	default:
		c.isCorrupt = true
	}
}

// sendTrailing sends bytes behind a response, some milliseconds late. By the protocol nothing else waits on the connection then: a
// response to what the node has written meanwhile, or is about to write, could not be told from them.
func (c *serverConn) sendTrailing(trailing []byte) {
	c.world.after(c.world.drawBetween(0, 5*time.Millisecond), func() {
		if c.isBusy() {
			return
		}
		c.world.logEvent("behind", strconv.FormatUint(uint64(c.id), 10))
		c.isCorrupt = true
		c.socket.stream.data(append([]byte(nil), trailing...), c.world.now)
	})
}

// isBusy tells whether the connection has ended or carries requests.
func (c *serverConn) isBusy() bool {
	socket := c.socket
	hasEnded := c.stream.isClosed || c.stream.isUnresponsive || socket.stream.isClosed
	isOtherProcess := socket.pool.node.incarnation != socket.pool.incarnation
	return hasEnded || len(c.pending) > 0 || socket.isWriting || socket.conn.InFlight() > 0 || isOtherProcess
}

// sendEndless sends chunks of a value of endless length until the node closes the connection.
func (c *serverConn) sendEndless(chunks int) {
	if chunks > 0 && !c.stream.isClosed {
		c.stream.write(bytes.Repeat([]byte{'x'}, 4096))
		c.world.after(2*time.Millisecond, func() { c.sendEndless(chunks - 1) })
	}
}
