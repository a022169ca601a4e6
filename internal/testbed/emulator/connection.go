package emulator

import (
	"bytes"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"shelfproxy/internal/logs"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/wireformat"
)

const (
	// maxPending is the maximum number of requests of a connection that wait for their responses.
	maxPending = 4096
	// writeTimeout bounds how long a write to a node may block.
	writeTimeout = 10 * time.Second
	// hugeValueSize is the size of the value of a model.CorruptHugeValue, in bytes.
	hugeValueSize = 3 << 30
	// hugeValueChunk is the number of bytes of a huge value that are sent every hugeValueInterval.
	hugeValueChunk    = 4096
	hugeValueInterval = 2 * time.Millisecond
)

// connection is a connection from a node to a cache server or the origin. One goroutine reads requests and another writes
// responses, in the order of the requests. Both goroutines end when the node closes the connection, or when the model or
// Emulator.Close resets it. The model decides the responses and their times.
type connection struct {
	emulator *Emulator
	id       model.ConnID
	node     int
	net      net.Conn
	isOrigin bool
	reader   arrivalReader

	mu      sync.Mutex
	changed sync.Cond          // signals changes of pending and isClosed
	pending []*pendingResponse // in the order of the requests
	// isClosed says that no further request is accepted. The writer ends after it has written the responses that are ready.
	isClosed bool
}

// pendingResponse is the response, possibly not ready yet, to a request that was read.
type pendingResponse struct {
	seq        uint64 // number of the attempt; 0 for a response that does not come from the model
	requestID  string
	isReady    bool
	encoded    []byte
	corruption model.CorruptionKind
	isLast     bool // the connection is closed after this response
}

// arrivalReader reads from source and records when the first byte of a request arrived.
type arrivalReader struct {
	source io.Reader
	// firstByte is when the first byte of a request arrived, in Unix nanoseconds, or 0 between requests.
	firstByte atomic.Int64
}

// Read implements io.Reader.
func (r *arrivalReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	if n > 0 {
		r.firstByte.CompareAndSwap(0, time.Now().UnixNano())
	}
	return n, err
}

// serveConnection begins to serve a connection that a node opened to a slot. It returns at once, while goroutines serve the
// connection.
func (e *Emulator) serveConnection(accepted net.Conn, slot, node int) {
	conn := &connection{emulator: e, id: model.ConnID(e.lastConn.Add(1)), node: node, net: accepted, isOrigin: slot == originSlot}
	conn.changed.L = &conn.mu
	conn.reader.source = accepted
	e.counters.connections.Add(1)
	posted := e.post(func(now time.Duration) {
		e.conns[conn.id] = conn
		e.step(now, model.Connect{Conn: conn.id, Node: node, Slot: slot})
	})
	if !posted {
		_ = accepted.Close() // the run is over
		return
	}
	go conn.write()
	if conn.isOrigin {
		go conn.readHTTP()
	} else {
		go conn.readRESP()
	}
}

// addPending adds a response to the connection's queue. It waits while the queue is full. It returns false if the
// connection is closed.
func (c *connection) addPending(response *pendingResponse) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) >= maxPending && !c.isClosed {
		c.changed.Wait()
	}
	if c.isClosed {
		return false
	}
	c.pending = append(c.pending, response)
	if response.isReady {
		c.changed.Broadcast()
	}
	return true
}

// reply sends a response that does not come from the model. If isLast is true, the connection is closed afterwards.
func (c *connection) reply(encoded []byte, isLast bool) bool {
	return c.addPending(&pendingResponse{encoded: encoded, isReady: true, isLast: isLast})
}

// takeFirstByteTime returns when the first byte of the request that was just read arrived, and clears this time. A request
// that arrived together with the previous one counts as arriving now.
func (c *connection) takeFirstByteTime() time.Duration {
	at := c.reader.firstByte.Swap(0)
	if at == 0 {
		return time.Since(c.emulator.start)
	}
	return time.Unix(0, at).Sub(c.emulator.start.Round(0))
}

// attempt passes a request to the model. It converts the deadline from a duration into a time of the run.
func (c *connection) attempt(request model.Request) bool {
	e := c.emulator
	firstByte := c.takeFirstByteTime()
	request.Conn, request.Seq = c.id, e.lastSeq.Add(1)
	if !c.addPending(&pendingResponse{seq: request.Seq, requestID: request.ID}) {
		return false
	}
	e.counters.requests.Add(1)
	return e.post(func(now time.Duration) {
		if request.Deadline > 0 {
			request.Deadline += now
		}
		if server := e.system.ServerOf(c.id); server != "" { // otherwise the server's process died in the meantime
			e.checker.AttemptArrived(now, min(firstByte, now), c.node, server, request.ID, request.Class, request.Seq)
		}
		e.step(now, model.RequestArrived{Request: request})
	})
}

// healthCheck passes a health check to the model.
func (c *connection) healthCheck(wantsLoad bool) bool {
	e := c.emulator
	c.takeFirstByteTime()
	check := model.HealthCheck{Conn: c.id, Seq: e.lastSeq.Add(1), Load: wantsLoad}
	if !c.addPending(&pendingResponse{seq: check.Seq}) {
		return false
	}
	e.counters.healthChecks.Add(1)
	return e.post(func(now time.Duration) { e.step(now, check) })
}

// reportMalformed counts and logs a malformed command, which a correct node never sends.
func (c *connection) reportMalformed(reason string) {
	c.emulator.counters.malformed.Add(1)
	c.emulator.log.Warn("a node sent a malformed command", logs.Event, "malformed", "node", c.node, "why", reason)
}

// disconnected reports to the model that the node closed the connection.
func (c *connection) disconnected() {
	e := c.emulator
	e.post(func(now time.Duration) {
		delete(e.conns, c.id)
		e.step(now, model.Closed{Conn: c.id})
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isClosed = true
	c.changed.Broadcast()
}

// reset closes the connection with a TCP reset, as happens when a server's process dies.
func (c *connection) reset() {
	c.mu.Lock()
	c.isClosed, c.pending = true, nil
	c.changed.Broadcast()
	c.mu.Unlock()
	// SetLinger and Close fail only if the connection is closed already.
	if tcp, ok := c.net.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.net.Close()
}

// respond encodes the response to an attempt or a health check and marks it as ready to be written. It never blocks.
func (c *connection) respond(response model.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pending := range c.pending {
		if pending.seq != response.Seq {
			continue
		}
		if c.isOrigin {
			pending.encoded, pending.isLast = wireformat.EncodeHTTP(pending.requestID, response)
		} else {
			pending.encoded = wireformat.EncodeRESP(pending.requestID, response)
		}
		pending.isReady, pending.corruption = true, response.Corruption
		c.changed.Broadcast()
		if response.Corruption != model.NotCorrupt {
			c.emulator.counters.corrupted.Add(1)
		}
		return
	}
}

// write writes the responses until the connection is closed.
func (c *connection) write() {
	defer func() { _ = c.net.Close() }() // the connection may be closed already
	// The node can't tell a corrupt response from the responses after it, so the later ones are not sent. The connection
	// stays open.
	isCorrupted := false
	for {
		response := c.nextReady()
		if response == nil {
			return
		}
		if isCorrupted {
			continue
		}
		if err := c.send(response.encoded); err != nil || response.isLast {
			return
		}
		isCorrupted = response.corruption != model.NotCorrupt && response.corruption != model.CorruptLoadReport
		if response.corruption == model.CorruptHugeValue {
			c.sendHugeValue()
		}
	}
}

// nextReady waits until the next response is ready and removes it from the queue. It returns nil if the connection was
// closed and the next response is not ready.
func (c *connection) nextReady() *pendingResponse {
	c.mu.Lock()
	defer c.mu.Unlock()
	isReady := func() bool { return len(c.pending) > 0 && c.pending[0].isReady }
	for !c.isClosed && !isReady() {
		c.changed.Wait()
	}
	if !isReady() {
		return nil
	}
	response := c.pending[0]
	c.pending = c.pending[1:]
	c.changed.Broadcast()
	return response
}

func (c *connection) send(data []byte) error {
	if err := c.net.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := c.net.Write(data)
	return err
}

// sendHugeValue slowly sends the bytes of a huge value until the node closes the connection.
func (c *connection) sendHugeValue() {
	chunk := bytes.Repeat([]byte{'x'}, hugeValueChunk)
	for range hugeValueSize / hugeValueChunk {
		if c.send(chunk) != nil {
			return
		}
		time.Sleep(hugeValueInterval)
	}
}
