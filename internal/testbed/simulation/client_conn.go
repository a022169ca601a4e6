package simulation

import (
	"bytes"
	"strconv"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/wireformat"
)

type clientConn struct {
	clients     *clients
	node        int
	incarnation int
	end         *stream
	buf         []byte
	unanswered  []*clientRequest // in the order of the commands
	closed      bool
}

func (k *clientConn) forget() {
	k.closed = true
	c := k.clients
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

// disconnect closes the connection from the client's side: whatever is owed on it is not waited for.
func (k *clientConn) disconnect() {
	if k.closed {
		return
	}
	k.forget()
	k.end.close()
	for _, q := range k.unanswered {
		if q.result == "" {
			k.clients.world.checker.ClientDisconnected(k.clients.world.now, q.id)
			k.clients.history.seen(q, "left", nil, k.clients.world.now)
			k.clients.finish(q, "left")
		}
	}
}

// ended is the end of the connection from the node's side.
func (k *clientConn) ended(bool) {
	if k.closed {
		return
	}
	k.forget()
	w := k.clients.world
	alive := w.nodes[k.node].incarnation == k.incarnation
	for _, q := range k.unanswered {
		if q.result != "" {
			continue
		}
		if alive && q.isRead {
			w.checker.ConnectionEnded(w.now, q.id, false)
			k.clients.history.seen(q, "lost", nil, w.now)
			k.clients.finish(q, "lost")
			continue
		}
		w.checker.ClientDisconnected(w.now, q.id) // its node's process is gone, or never read it
		if q.isRead && q.isWrite {                // it may have run: whether to ask again is its user's affair
			k.clients.history.seen(q, "gone", nil, w.now)
			k.clients.finish(q, "gone")
			continue
		}
		delete(k.clients.byID, q.id)
		w.logEvent("again", q.id)
		k.clients.send(q)
	}
}

// received takes answers, in the order of the commands.
func (k *clientConn) received(b []byte, _ Time) {
	if k.closed {
		return
	}
	w := k.clients.world
	k.buf = append(k.buf, b...)
	for !k.closed {
		kind, value, n := parseResponse(k.buf)
		if n == 0 {
			return
		}
		k.buf = append([]byte(nil), k.buf[n:]...)
		if len(k.unanswered) == 0 {
			w.violation(InvariantOrder, "node %d answers what nobody asked", k.node)
			k.disconnect()
			return
		}
		q := k.unanswered[0]
		k.unanswered = k.unanswered[1:]
		madeFor := wireformat.RequestOfValue(value)
		if kind == invariants.Served && madeFor != q.id {
			w.violation(InvariantOrder, "%s is served what was made for %q", q.id, madeFor)
		}
		if q.result == "" {
			if !q.isRead {
				w.violation(InvariantOrder, "%s is answered before it was read", q.id)
			}
			w.checker.RequestAnswered(w.now, q.id, kind, madeFor)
			k.clients.history.seen(q, kind.String(), value, w.now)
			k.clients.finish(q, kind.String())
		}
		if len(k.unanswered) == 0 {
			k.clients.idle[k.node] = append(k.clients.idle[k.node], k)
		}
	}
}

// parseResponse cuts one answer off; n is 0 where it has not come whole.
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
