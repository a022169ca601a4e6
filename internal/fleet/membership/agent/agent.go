// Package agent runs membership inside a node. It decides nothing.
package agent

import (
	"context"
	"log/slog"
	"net/url"

	"shelfproxy/internal/control"
	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/logs"
)

// Options are what an agent is made of. Its functions are called from the agent's goroutine and must not wait.
type Options struct {
	Config       membership.Config
	Send         func(to int, data []byte) error // to one node, by its number
	SetFleetSize func(nodes int)                 // how many nodes share the work from now on, this one among them; 0: unknown
	CountEvent   func(EventKind)
	Log          *slog.Logger
}

// EventKind is something to count.
type EventKind int

// The notes. One of membership's states is that of a node that came to be in it.
const (
	MessageCorrupt      EventKind = iota + EventKind(membership.Left) + 1
	OtherPeerList                 // it goes by another list
	IncarnationConflict           // a later process of this node's name was heard of
	EventKinds
)

// String is the note's name among the counters.
func (n EventKind) String() string {
	if n > EventKind(membership.Left) {
		return [...]string{"garbled", "foreign", "claimed"}[n-MessageCorrupt]
	}
	return membership.State(n).String()
}

// Agent is one node's part.
type Agent struct {
	*eventloop.Loop[membership.Event, membership.Effect]
	opt  Options
	core *membership.Core
}

// New makes an agent; Serve serves it.
func New(opt Options) (*Agent, error) {
	core, err := membership.New(opt.Config)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core}
	a.Loop = eventloop.New(core, a.do)
	return a, nil
}

// Receive hands over a datagram of another node. While the agent is behind it is lost, as any may be.
func (a *Agent) Receive(from int, data []byte) {
	a.Post(membership.MessageReceived{From: from, Data: data})
}

// UpdatePeers takes another list of nodes.
func (a *Agent) UpdatePeers(p membership.PeersChanged) { a.Post(p) }

// Shutdown tells the others that this node ends.
func (a *Agent) Shutdown() { a.Post(membership.ShutdownStarted{}) }

// Serve owns the core until stop is closed.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.opt.Config.ProbeTimeout/2, func() { a.Step(membership.Tick{}) })
}

func (a *Agent) do(e membership.Effect) {
	switch e := e.(type) {
	case membership.Send:
		a.opt.Send(e.To, e.Data) // one that cannot be sent is lost
	case membership.StateChanged:
		a.opt.CountEvent(EventKind(e.To))
		level := slog.LevelInfo
		if e.To == membership.Suspect || e.To == membership.Alive && (e.From == membership.Suspect || e.From == membership.Alive) {
			level = slog.LevelDebug
		}
		a.opt.Log.Log(context.Background(), level, "a node of the fleet", logs.Event, "member_"+e.To.String(), "node", e.Node, "was", e.From.String(),
			"started_ms", e.Incarnation)
	case membership.FleetSizeChanged:
		a.opt.SetFleetSize(e.Nodes)
		a.opt.Log.Debug("the nodes that share the work", logs.Event, "member_count", "nodes", e.Nodes)
	case membership.IncarnationConflict:
		a.opt.CountEvent(IncarnationConflict)
		a.opt.Log.Warn("another process of this node's name was heard of: one runs now, or the clock was set back", logs.Event, "member_claimed",
			"started_ms", e.Incarnation)
	case membership.MessageRejected:
		if e.OtherPeerList {
			a.opt.CountEvent(OtherPeerList)
			return
		}
		a.opt.CountEvent(MessageCorrupt)
	}
}

// RegisterCalls adds the operators' call: members.
func (a *Agent) RegisterCalls(s *control.Server) {
	s.HandleQuery("members", func(url.Values) (any, error) {
		var members []membership.Member
		if a.Call(func() { members = a.core.Members(a.Now()) }) != nil {
			return nil, control.ErrBusy
		}
		return members, nil
	})
}
