// Package shell holds what the agents of the fleet's protocols have in common: each runs a core in an event loop, sends its
// datagrams and answers operators' queries from its state.
package shell

import (
	"net/url"
	"time"

	"shelfproxy/internal/control"
	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/fleet/agreement"
)

// Peers are the other nodes of a fleet as destinations of datagrams. It is not safe for concurrent use.
type Peers struct {
	Self, Nodes int
	SendTo      func(node int, data []byte) error // to one node, by its index; must not wait
}

// Send sends data to one node, or to all others in the order of their indices if to is agreement.AllNodes. A datagram that cannot be
// sent is lost like one that is dropped on the way: the protocols repeat what matters.
func (p *Peers) Send(to int, data []byte) {
	for node := range p.Nodes {
		if node != p.Self && (to == agreement.AllNodes || to == node) {
			_ = p.SendTo(node, data)
		}
	}
}

// Read returns what get reads from a core's state in its loop's goroutine, and control.ErrBusy if the loop is behind or has
// ended. It waits for the loop and must not be called from its goroutine.
func Read[Value, Event, Effect any](loop *eventloop.Loop[Event, Effect], get func(now time.Duration) Value) (Value, error) {
	var value Value
	if err := loop.Call(func() { value = get(loop.Now()) }); err != nil {
		var none Value
		return none, control.ErrBusy
	}
	return value, nil
}

// HandleQuery adds an operators' query that is answered with what get reads from a core's state.
func HandleQuery[Value, Event, Effect any](s *control.Server, name string, loop *eventloop.Loop[Event, Effect], get func(now time.Duration) Value) {
	s.HandleQuery(name, func(url.Values) (any, error) { return Read(loop, get) })
}
