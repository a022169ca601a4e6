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

// serverConn is the server's end of a connection from a node. The server is a cache server or the origin. The testbed's model of
// the servers decides which responses the server sends, and when.
type serverConn struct {
	world    *world
	id       model.ConnID
	node     int
	isOrigin bool
	stream   *stream
	socket   *poolSocket // the node's end of the connection

	input           nonBlockingBuffer
	reader          *redcon.Reader
	bytesReceived   int
	bytesParsed     int
	firstByteSentAt Time // when the node sent the first byte of the request that is being received
	httpInput       []byte
	pending         []*pendingResponse // responses that are not sent yet, in the order of the requests
	isCorrupt       bool               // a corrupt response was sent; the server sends no more, because the node could not tell where the next response begins
	arrived         map[string]bool    // ids of the requests that arrived completely
}

// endlessChunks is the maximum number of chunks that a server sends of an endless value.
const endlessChunks = 40

// pendingResponse is a response that is not sent yet. It is sent after the responses to all earlier requests on the connection.
type pendingResponse struct {
	seq        uint64
	id         string
	deadline   Time // deadline of the request; 0 for a health check
	text       []byte
	corruption model.CorruptionKind
	isReady    bool
	isLast     bool
}

// errNeedMoreBytes is the error of nonBlockingBuffer.Read if the buffer is empty.
var errNeedMoreBytes = errors.New("more bytes are wanted")

// nonBlockingBuffer is a buffer whose Read returns errNeedMoreBytes if the buffer is empty.
type nonBlockingBuffer struct{ bytes.Buffer }

// Read reads buffered bytes. It returns errNeedMoreBytes if there are none.
func (f *nonBlockingBuffer) Read(b []byte) (int, error) {
	if f.Len() == 0 {
		return 0, errNeedMoreBytes
	}
	return f.Buffer.Read(b)
}

// connect opens a connection from a node to the server in a slot, which is a number that stands for an address. It returns
// the node's end of the stream and the server's end of the connection.
func (w *world) connect(n *node, slot int) (*stream, *serverConn) {
	w.lastID++
	c := &serverConn{world: w, id: w.lastID, node: n.index, isOrigin: slot == 0, arrived: map[string]bool{}}
	c.reader = redcon.NewReader(&c.input)
	var near *stream
	near, c.stream = w.pipe(w.plan.Network.ToServer, w.plan.Network.FromServer)
	c.stream.data = c.received
	c.stream.ended = func(bool) { c.unregister() }
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

// unregister removes the connection and tells the model that it was closed.
func (c *serverConn) unregister() {
	if c.world.servers[c.id] == c {
		delete(c.world.servers, c.id)
		c.world.execute(c.world.system.Step(c.world.now, model.Closed{Conn: c.id}))
	}
}

// closeOrReset closes or resets the connection at the server's end.
func (c *serverConn) closeOrReset(reset bool) {
	if reset {
		c.stream.reset()
	} else {
		c.stream.close()
	}
	c.unregister()
}

// received handles bytes from the node, and each request that has arrived completely with these bytes.
func (c *serverConn) received(b []byte, sent Time) {
	if c.world.networkFault(c.world.plan.Network.ResetBefore) { // reset the connection before these bytes, which may complete a request, are read
		c.world.logEvent("reset-before", strconv.FormatUint(uint64(c.id), 10))
		c.closeOrReset(true)
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

// malformed handles a request that does not come from any client of the run, so the node itself must have made it. malformed
// reports a violation and resets the connection.
func (c *serverConn) malformed(why string) {
	c.world.violation(InvariantNoPanic, "node %d sent a server what no client did: %s", c.node, why)
	c.closeOrReset(true)
}

// handleCommand handles one RESP command.
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
			return // the rest of the body has not arrived yet
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

// attempt handles an attempt that has arrived completely: it passes the attempt to the model of the servers (world.system). If
// problem is not empty, the request is malformed, and problem says why.
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
	c.pending = append(c.pending, &pendingResponse{seq: request.Seq, id: request.ID, deadline: request.Deadline})
	c.arrived[request.ID] = true
	w.checkSecondCopy(c, request.ID)
	w.clients.requestArrived(request.ID)
	if server := w.system.ServerOf(c.id); server != "" { // server is empty if the server's process has ended since the node connected
		w.logEvent("came", request.ID, server)
		w.checker.AttemptArrived(w.now, min(c.firstByteSentAt, w.now), c.node, server, request.ID, request.Class, request.Seq)
	}
	w.execute(w.system.Step(w.now, model.RequestArrived{Request: request}))
	if w.networkFault(w.plan.Network.ResetAfter) && !c.stream.isClosed {
		w.logEvent("reset-after", request.ID)
		c.closeOrReset(true)
	}
}

// healthCheck handles a health check that has arrived completely: it passes the health check to the model of the servers
// (world.system).
func (c *serverConn) healthCheck() {
	c.world.seq++
	c.pending = append(c.pending, &pendingResponse{seq: c.world.seq})
	c.world.execute(c.world.system.Step(c.world.now, model.HealthCheck{Conn: c.id, Seq: c.world.seq}))
}

// responseReady handles a response that the model of the servers has made. It sends the response after the responses to all
// earlier requests on the connection.
func (w *world) responseReady(response model.Response) {
	if response.Request != "" {
		w.reportResponse(response)
	}
	conn := w.servers[response.Conn]
	if conn == nil {
		return
	}
	conn.encode(response)
	conn.sendReady()
}

// reportResponse tells the checker that a server sends a response to a client's request.
func (w *world) reportResponse(response model.Response) {
	proof := invariants.PossiblyExecuted
	if response.WasNotExecuted() {
		proof = invariants.NotExecuted
	}
	w.checker.ResponseSent(w.now, response.Server, response.Request, response.Seq, proof, response.HasValue(), response.Outcome.String())
}

// encode encodes a response, and stores the bytes in the entry of pending that belongs to the request.
func (c *serverConn) encode(response model.Response) {
	hasTrailing := response.Corruption == model.CorruptDuplicate || response.Corruption == model.CorruptTrailingNoise
	for _, pending := range c.pending {
		if pending.seq != response.Seq {
			continue
		}
		pending.corruption = response.Corruption
		if hasTrailing { // the response itself is encoded as a valid one, and sendBytesAfter adds the corrupt bytes
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
		if c.isCorrupt || c.isDropped(next) {
			continue // the connection stays open, but nothing more, or not this response, is sent on it
		}
		c.stream.write(next.text)
		c.sendBytesAfter(next)
		if next.isLast || c.world.networkFault(c.world.plan.Network.CloseAfter) {
			c.closeOrReset(false)
		}
	}
}

// responseTransit is longer than the rest of the time in which a request and its response are on their way.
const responseTransit = 20 * time.Millisecond

// isDropped reports whether a cache server drops a response without a word, as its request has little time left: less than the
// time that opening a connection may take.
func (c *serverConn) isDropped(next *pendingResponse) bool {
	plan, now := c.world.plan, c.world.now
	isHurried := next.deadline > 0 && next.deadline-now < plan.Nodes.ConnectTimeout.D()-responseTransit
	if c.isOrigin || !isHurried || !plan.Network.DropsOverdue {
		return false
	}
	c.world.logEvent("dropped", next.id)
	return true
}

// sendBytesAfter sends bytes after a response, if the response's kind of corruption or the network's faults call for them. If the
// node can no longer tell where a response begins, sendBytesAfter makes this response the last one on the connection.
func (c *serverConn) sendBytesAfter(sent *pendingResponse) {
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

// sendTrailing sends extra bytes up to 5 ms after a response, unless the connection is busy by then. By the protocol, servers send
// extra bytes only while no request waits on the connection. Otherwise the node could not tell the extra bytes from the response
// to a request that the node has written or is about to write.
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

// isBusy reports whether the connection carries requests that are not answered yet, has ended, or belongs to an ended process.
func (c *serverConn) isBusy() bool {
	socket := c.socket
	hasEnded := c.stream.isClosed || c.stream.isUnresponsive || socket.stream.isClosed
	isOtherProcess := socket.pool.node.incarnation != socket.pool.incarnation
	return hasEnded || len(c.pending) > 0 || socket.isWriting || socket.conn.InFlight() > 0 || isOtherProcess
}

// sendEndless sends chunks of an endless value until the node closes the connection. chunks is the maximum number of chunks.
func (c *serverConn) sendEndless(chunks int) {
	if chunks > 0 && !c.stream.isClosed {
		c.stream.write(bytes.Repeat([]byte{'x'}, 4096))
		c.world.after(2*time.Millisecond, func() { c.sendEndless(chunks - 1) })
	}
}
