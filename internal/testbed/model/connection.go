package model

import (
	"slices"
	"strconv"
)

// ConnID identifies a connection. The driver chooses it; it is unique in a run.
type ConnID uint64

// connection is an open connection from a node to a server.
type connection struct {
	id       ConnID
	server   *server
	node     int
	inbound  *link // carries requests
	outbound *link // carries responses
	broken   bool  // a message was lost in a partition, so no later message can be delivered
}

// formatConnID returns a connection's id as it appears in the event log.
func formatConnID(id ConnID) string { return strconv.FormatUint(uint64(id), 10) }

// connect accepts a connection, or resets it if the server is dead or has too many connections.
func (sys *System) connect(event Connect) {
	srv := sys.bySlot[event.Slot]
	sys.logEvent("connect", strconv.Itoa(event.Slot), strconv.Itoa(event.Node), formatConnID(event.Conn))
	if srv == nil || srv.dead || srv.isAtConnectionLimit() {
		sys.emit(Reset{event.Conn})
		return
	}
	isSameZone := srv.zone == sys.spec.Nodes[event.Node].Zone
	sys.connections[event.Conn] = &connection{
		id:       event.Conn,
		server:   srv,
		node:     event.Node,
		inbound:  newLink(&sys.spec.Link, sys.linkRandom, isSameZone),
		outbound: newLink(&sys.spec.Link, sys.linkRandom, isSameZone),
	}
	at, _ := slices.BinarySearch(srv.open, event.Conn)
	srv.open = slices.Insert(srv.open, at, event.Conn)
	if srv.cache != nil && srv.kind.ConnectionWork > 0 {
		sys.addBackgroundWork(srv, &Request{Conn: event.Conn, Work: srv.kind.ConnectionWork, Deadline: Never})
	}
}

func (srv *server) isAtConnectionLimit() bool {
	return srv.kind != nil && srv.kind.MaxConnections > 0 && len(srv.open) >= srv.kind.MaxConnections
}

// connectionClosed handles a connection that its node closed.
func (sys *System) connectionClosed(id ConnID) {
	if conn := sys.connections[id]; conn != nil {
		sys.logEvent("close", formatConnID(id))
		sys.removeConnection(conn)
	}
}

// resetConnections resets those connections of a server for which matches returns true, in ascending order of their ids.
func (sys *System) resetConnections(srv *server, matches func(*connection) bool) {
	for _, id := range slices.Clone(srv.open) {
		if conn := sys.connections[id]; matches(conn) {
			sys.emit(Reset{id})
			sys.removeConnection(conn)
		}
	}
}

func (sys *System) removeConnection(conn *connection) {
	srv := conn.server
	delete(sys.connections, conn.id)
	if at, ok := slices.BinarySearch(srv.open, conn.id); ok {
		srv.open = slices.Delete(srv.open, at, at+1)
	}
	if srv.cache == nil {
		srv.origin.connectionClosed(conn.id)
		return
	}
	srv.cache.advance(sys.now)
	srv.cache.connectionClosed(conn.id)
	sys.serve(srv)
}

// deliver carries a message to the server of a connection and handles it there. The message is lost in a partition, or
// if the connection ends before the message is handled. A frozen server handles the message when it is no longer frozen.
func (sys *System) deliver(conn *connection, handle func()) {
	if !sys.canPass(conn) {
		return
	}
	srv := conn.server
	arrival := conn.inbound.arrival(sys.now, &sys.spec.Link, anyOf(srv.packetLoss))
	sys.schedule(arrival, func() {
		sys.whenNotFrozen(srv, func() {
			if sys.connections[conn.id] == conn {
				handle()
			}
		})
	})
}

// canPass reports whether a message that is sent now on a connection can arrive. Once a message was lost in a partition,
// no later message on the connection arrives.
func (sys *System) canPass(conn *connection) bool {
	if conn.server.partitions[conn.node] > 0 {
		conn.broken = true
	}
	return !conn.broken
}

// whenNotFrozen runs a function of a server now, or once the server is no longer frozen.
func (sys *System) whenNotFrozen(srv *server, handle func()) {
	if srv.freezes > 0 {
		srv.received = append(srv.received, handle)
		return
	}
	handle()
}

// respond sends a server's response to the node, unless the connection has ended or a partition blocks it.
func (sys *System) respond(srv *server, response Response) {
	sys.logEvent("answer", srv.id, response.Request, response.Outcome.String())
	conn := sys.connections[response.Conn]
	if conn == nil || !sys.canPass(conn) {
		return
	}
	if chance := anyOf(srv.corruption); chance > 0 && sys.corruptionRandom.Float64() < chance {
		response.Corruption = CorruptionKind(1 + sys.corruptionRandom.IntN(int(numCorruptionKinds)-1))
	}
	response.Server = srv.id
	arrival := conn.outbound.arrival(sys.now, &sys.spec.Link, anyOf(srv.packetLoss))
	sys.schedule(arrival, func() {
		if sys.connections[conn.id] == conn && !conn.broken && srv.partitions[conn.node] == 0 {
			sys.emit(response)
		}
	})
}

// rejected returns the response to a request that was rejected before it had any effect.
func rejected(request *Request) Response {
	return Response{Conn: request.Conn, Seq: request.Seq, Request: request.ID, Outcome: Rejected}
}
