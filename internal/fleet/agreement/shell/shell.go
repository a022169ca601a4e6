// Package shell holds what the agents of the protocols between a fleet's nodes have in common. Each agent runs a core, which is
// a state machine without clock or I/O, in an event loop. The agent sends the core's datagrams and answers operators' queries
// from the core's state.
package shell

import (
	"net/url"
	"time"

	"shelfproxy/internal/control"
	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/fleet/agreement"
)

// Peers sends datagrams to the other nodes of a fleet. It is not safe for concurrent use.
type Peers struct {
	Self, Nodes int
	SendTo      func(node int, data []byte) error // sends data to the node with the given index; must not block
}

// Send sends data to one node or, if to is agreement.AllNodes, to all other nodes in the order of their indices. Otherwise to is
// the index of the node. An error of SendTo is ignored: the protocols expect lost datagrams and send again what matters.
func (p *Peers) Send(to int, data []byte) {
	for node := range p.Nodes {
		if node != p.Self && (to == agreement.AllNodes || to == node) {
			_ = p.SendTo(node, data)
		}
	}
}

// Read calls get in the goroutine of a core's event loop and returns the value that get returns. get may read the core's state.
// Read returns control.ErrBusy if the loop is behind or has ended. It waits for the loop and must not be called from the loop's
// goroutine.
func Read[Value, Event, Effect any](loop *eventloop.Loop[Event, Effect], get func(now time.Duration) Value) (Value, error) {
	var value Value
	if err := loop.Call(func() { value = get(loop.Now()) }); err != nil {
		var none Value
		return none, control.ErrBusy
	}
	return value, nil
}

// HandleQuery adds an operators' query to the control server. The query is answered with the value that get returns; see Read.
func HandleQuery[Value, Event, Effect any](s *control.Server, name string, loop *eventloop.Loop[Event, Effect], get func(now time.Duration) Value) {
	s.HandleQuery(name, func(url.Values) (any, error) { return Read(loop, get) })
}
