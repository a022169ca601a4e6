package simulation

import "shelfproxy/internal/listener"

// listenerConn is a client's connection at the node.
type listenerConn struct {
	node        *node
	incarnation int
	stream      *stream
	core        *listener.Conn
	inbox       []byte
	reading     bool
	eof         bool
	writing     bool
}

// accept takes a client's connection; nil where nobody listens.
func (n *node) accept() *stream {
	if !n.isUp || !n.isAccepting {
		return nil
	}
	near, far := n.world.pipe(n.world.plan.Network.ToNode, n.world.plan.Network.ToClient)
	c := &listenerConn{node: n, incarnation: n.incarnation, stream: far, core: n.listener.Accepted(n.now())}
	c.core.Socket = c
	far.data = func(b []byte, _ Time) {
		if n.incarnation == c.incarnation {
			c.inbox = append(c.inbox, b...)
			c.scheduleRead()
		}
	}
	far.ended = func(bool) {
		if n.incarnation == c.incarnation {
			c.eof = true
			c.scheduleRead()
		}
	}
	n.conns = append(n.conns, c)
	var fx listener.Effects
	n.listener.HasCapacity(n.now(), &fx)
	n.execute(fx)
	return near
}

// scheduleRead has the connection's reader run.
func (c *listenerConn) scheduleRead() {
	if !c.reading {
		c.reading = true
		c.node.schedule(c.node.lag(), c.read)
	}
}

// read moves what came to the core.
func (c *listenerConn) read() {
	c.reading = false
	if c.eof { // whatever it sent before: nobody waits for the answers
		c.inbox = nil
	}
	for len(c.inbox) > 0 && !c.core.IsClosed() && !c.core.IsPaused() {
		var fx listener.Effects
		k := copy(c.core.ReadBuffer(), c.inbox)
		c.inbox = c.inbox[k:]
		c.node.listener.BytesReceived(c.node.now(), c.core, k, &fx)
		c.node.execute(fx)
	}
	if c.eof && !c.core.IsClosed() {
		var fx listener.Effects
		c.node.listener.ConnectionEnded(c.node.now(), c.core, &fx)
		c.node.execute(fx)
	}
}

// execute carries out what the clients' side wants done.
func (n *node) execute(fx listener.Effects) {
	for _, e := range fx {
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
			c := e.Conn.Socket.(*listenerConn)
			var more listener.Effects
			n.listener.Resume(n.now(), c.core, &more)
			n.execute(more)
			c.scheduleRead()
		case listener.HalfClose: // nothing is lost on a stream of this network: what comes after the end comes to nobody
			c := e.Conn.Socket.(*listenerConn)
			c.stream.close()
			n.schedule(n.lag(), func() {
				var fx listener.Effects
				n.listener.ConnectionEnded(n.now(), c.core, &fx)
				n.execute(fx)
			})
		case listener.CloseConnection:
			c := e.Conn.Socket.(*listenerConn)
			c.stream.close()
			for i, o := range n.conns {
				if o == c {
					n.conns = append(n.conns[:i], n.conns[i+1:]...)
					break
				}
			}
		}
	}
}

// write moves answers to the client.
func (c *listenerConn) write() {
	if c.writing || c.core.IsClosed() {
		return
	}
	out, size := c.node.listener.NextToWrite(c.core, nil)
	if size == 0 {
		return
	}
	c.writing = true
	var all []byte
	for _, b := range out {
		all = append(all, b...)
	}
	c.node.schedule(c.node.lag(), func() {
		c.writing = false
		if c.core.IsClosed() {
			return
		}
		good := !c.stream.isClosed
		c.stream.write(all)
		var fx listener.Effects
		c.node.listener.WriteCompleted(c.node.now(), c.core, good, &fx)
		c.node.execute(fx)
	})
}
