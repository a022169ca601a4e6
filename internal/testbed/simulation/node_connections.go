package simulation

import (
	"slices"
	"time"

	"shelfproxy/internal/listener"
)

// listenerConn is the node's end of a client's connection.
type listenerConn struct {
	node        *node
	incarnation int
	stream      *stream
	core        *listener.Conn
	inbox       []byte
	arrivedBy   time.Time // when the last bytes of inbox arrived, which is all that a kernel tells
	isReading   bool
	hasEnded    bool
	isWriting   bool
}

// accept accepts a client's connection and returns the client's end of the stream. It returns nil if the node does not listen.
func (n *node) accept() *stream {
	if !n.isUp || !n.isAccepting {
		return nil
	}
	near, far := n.world.pipe(n.world.plan.Network.ToNode, n.world.plan.Network.ToClient)
	c := &listenerConn{node: n, incarnation: n.incarnation, stream: far, core: n.listener.Accepted(n.now(), n.now())}
	c.core.Socket = c
	c.core.NotifyMemory = func() { n.schedule(n.lag(), c.resume) }
	far.data = func(b []byte, _ Time) {
		if n.incarnation == c.incarnation {
			c.inbox, c.arrivedBy = append(c.inbox, b...), n.now()
			c.scheduleRead()
		}
	}
	far.ended = func(bool) {
		if n.incarnation == c.incarnation {
			c.hasEnded = true
			c.scheduleRead()
		}
	}
	n.conns = append(n.conns, c)
	var effects listener.Effects
	n.listener.HasCapacity(n.now(), &effects)
	n.execute(effects)
	return near
}

// scheduleRead schedules the next read of the connection after a random delay, unless a read is already scheduled.
func (c *listenerConn) scheduleRead() {
	if !c.isReading {
		c.isReading = true
		c.node.schedule(c.node.lag(), c.read)
	}
}

// read passes the bytes that arrived to the listener core.
func (c *listenerConn) read() {
	c.isReading = false
	if c.hasEnded { // the client has disconnected, so it waits for no response to the unread commands
		c.inbox = nil
	}
	for len(c.inbox) > 0 && !c.core.IsClosed() && !c.core.IsPaused() {
		var effects listener.Effects
		n := copy(c.core.ReadBuffer(), c.inbox)
		c.inbox = c.inbox[n:]
		c.core.BytesArrived(c.arrivedBy)
		c.node.listener.BytesReceived(c.node.now(), c.core, n, &effects)
		c.node.execute(effects)
	}
	if c.hasEnded && !c.core.IsClosed() {
		var effects listener.Effects
		c.node.listener.ConnectionEnded(c.node.now(), c.core, &effects)
		c.node.execute(effects)
	}
}

// resume has the listener core decode what was read before the connection was paused, and then reads on.
func (c *listenerConn) resume() {
	var effects listener.Effects
	if !c.core.IsClosed() && c.core.IsPaused() {
		c.node.listener.Resume(c.node.now(), c.core, &effects)
	}
	c.node.execute(effects)
	c.scheduleRead()
}

// checkUnread tells the listener core whether the connection has bytes that the node has not read, or has ended.
func (c *listenerConn) checkUnread() {
	var effects listener.Effects
	c.node.listener.UnreadChecked(c.node.now(), c.core, len(c.inbox) > 0 || c.hasEnded, &effects)
	c.node.execute(effects)
}

// execute executes effects of the listener core.
func (n *node) execute(effects listener.Effects) {
	for _, e := range effects {
		switch e.Kind {
		case listener.HandleRequest:
			n.world.clients.requestRead(n.index, string(e.Request.ID), e.Request.Class)
			n.core.HandleRequest(e.Request)
			n.armTimer()
		case listener.ClientDisconnected:
			n.core.ClientDisconnected(e.Request)
			n.armTimer()
		case listener.WriteResponses:
			c := e.Conn.Socket.(*listenerConn)
			n.schedule(n.lag(), c.write)
		case listener.ResumeReading:
			e.Conn.Socket.(*listenerConn).resume()
		case listener.CheckUnread:
			c := e.Conn.Socket.(*listenerConn)
			n.schedule(n.lag(), c.checkUnread)
		case listener.HalfClose:
			n.halfClose(e.Conn.Socket.(*listenerConn))
		case listener.CloseConnection:
			n.closeConn(e.Conn.Socket.(*listenerConn))
		}
	}
}

// halfClose closes the node's end of a connection. Data that the node wrote before still arrives, and data from the client is
// dropped. On a real network the node would have to wait until the client closes its end; here it need not.
func (n *node) halfClose(c *listenerConn) {
	c.stream.close()
	n.schedule(n.lag(), func() {
		var effects listener.Effects
		n.listener.ConnectionEnded(n.now(), c.core, &effects)
		n.execute(effects)
	})
}

// closeConn closes a connection and removes it from the node's connections.
func (n *node) closeConn(c *listenerConn) {
	c.stream.close()
	if i := slices.Index(n.conns, c); i >= 0 {
		n.conns = append(n.conns[:i], n.conns[i+1:]...)
	}
}

// write takes the next responses from the listener core, and writes them to the client after a random delay.
func (c *listenerConn) write() {
	if c.isWriting || c.core.IsClosed() {
		return
	}
	out, size := c.node.listener.NextToWrite(c.node.now(), c.core, nil)
	if size == 0 {
		return
	}
	c.isWriting = true
	var all []byte
	for _, b := range out {
		all = append(all, b...)
	}
	c.node.schedule(c.node.lag(), func() {
		c.isWriting = false
		if c.core.IsClosed() {
			return
		}
		isGood := !c.stream.isClosed
		c.stream.write(all)
		var effects listener.Effects
		c.node.listener.WriteCompleted(c.node.now(), c.core, isGood, &effects)
		c.node.execute(effects)
	})
}
