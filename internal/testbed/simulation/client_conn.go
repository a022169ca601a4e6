package simulation

import (
	"bytes"
	"slices"
	"strconv"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/wireformat"
)

// clientConn is the client's end of a connection to a node. The client sends several requests over the connection.
type clientConn struct {
	clients     *clients
	node        int
	incarnation int
	stream      *stream
	input       []byte
	unanswered  []*clientRequest // requests without a response, in the order of their commands
	isClosed    bool
}

// forget removes the connection from the lists of open and idle connections.
func (c *clientConn) forget() {
	c.isClosed = true
	c.clients.open = removeConn(c.clients.open, c)
	c.clients.idle[c.node] = removeConn(c.clients.idle[c.node], c)
}

// removeConn removes a connection from a list, if the list contains it.
func removeConn(conns []*clientConn, conn *clientConn) []*clientConn {
	i := slices.Index(conns, conn)
	if i < 0 {
		return conns
	}
	return append(conns[:i], conns[i+1:]...)
}

// disconnect closes the connection at the client's end. The client stops waiting for all outstanding responses.
func (c *clientConn) disconnect() {
	if c.isClosed {
		return
	}
	c.forget()
	c.stream.close()
	for _, request := range c.unanswered {
		if request.result == "" {
			c.clients.world.checker.ClientDisconnected(c.clients.world.now, request.id)
			c.clients.history.record(request, "left", nil, c.clients.world.now)
			c.clients.finish(request, "left")
		}
	}
}

// ended handles a close or reset of the connection by the node. The client sends a request again if the node's process never read
// the request. It also sends a read again if the process has ended, because a read may be executed twice.
func (c *clientConn) ended(bool) {
	if c.isClosed {
		return
	}
	c.forget()
	world := c.clients.world
	isSameProcess := world.nodes[c.node].incarnation == c.incarnation
	for _, request := range c.unanswered {
		if request.result != "" {
			continue
		}
		if isSameProcess && request.isRead {
			world.checker.ConnectionEnded(world.now, request.id, false)
			c.clients.history.record(request, "lost", nil, world.now)
			c.clients.finish(request, "lost")
			continue
		}
		world.checker.ClientDisconnected(world.now, request.id) // the node need not answer: its process has ended or never read the request
		if request.isRead && request.isWrite {                  // the write was possibly executed: the client does not retry it
			c.clients.history.record(request, "gone", nil, world.now)
			c.clients.finish(request, "gone")
			continue
		}
		delete(c.clients.byID, request.id)
		world.logEvent("again", request.id)
		c.clients.send(request)
	}
}

// received handles bytes from the node. It parses the responses in them, which come in the order of the commands.
func (c *clientConn) received(b []byte, _ Time) {
	if c.isClosed {
		return
	}
	world := c.clients.world
	c.input = append(c.input, b...)
	for !c.isClosed {
		kind, value, n := parseResponse(c.input)
		if n == 0 {
			return
		}
		c.input = append([]byte(nil), c.input[n:]...)
		if len(c.unanswered) == 0 {
			world.violation(InvariantOrder, "node %d answers what nobody asked", c.node)
			c.disconnect()
			return
		}
		request := c.unanswered[0]
		c.unanswered = c.unanswered[1:]
		c.answered(request, kind, value)
		if len(c.unanswered) == 0 {
			c.clients.idle[c.node] = append(c.clients.idle[c.node], c)
		}
	}
}

// answered checks the response to a request, and records the response.
func (c *clientConn) answered(request *clientRequest, kind invariants.Final, value []byte) {
	world := c.clients.world
	madeFor := wireformat.RequestOfValue(value)
	if kind == invariants.Served && madeFor != request.id {
		world.violation(InvariantOrder, "%s is served what was made for %q", request.id, madeFor)
	}
	if request.result != "" {
		return
	}
	if !request.isRead {
		world.violation(InvariantOrder, "%s is answered before it was read", request.id)
	}
	world.checker.RequestAnswered(world.now, request.id, kind, madeFor)
	c.clients.history.record(request, kind.String(), value, world.now)
	c.clients.finish(request, kind.String())
}

// parseResponse parses the first response in b. n is its length in bytes, or 0 if the response is incomplete.
func parseResponse(b []byte) (kind invariants.Final, value []byte, n int) {
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
