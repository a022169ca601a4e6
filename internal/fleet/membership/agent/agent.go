// Package agent runs membership.Core inside a node: one goroutine owns the core, and a bounded queue leads to it. It decides
// nothing.
package agent

import (
	"context"
	"log/slog"

	"shelfproxy/internal/control"
	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/fleet/agreement/shell"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/logs"
)

// ticksPerTimeout is how often within a ProbeTimeout the core gets a tick.
const ticksPerTimeout = 2

// Options configure an agent. Its functions are called from the agent's goroutine and must not block.
type Options struct {
	Config       membership.Config
	Send         func(to int, data []byte) error // sends a datagram to one node, by its index
	SetFleetSize func(nodes int)                 // takes how many nodes share the work from now on, this one among them; 0: unknown
	CountEvent   func(EventKind)
	Log          *slog.Logger
}

// EventKind is what Options.CountEvent counts: a state of membership stands for another node that came into it, and the constants
// below for the rest.
type EventKind int

// The kinds of events that are no states.
const (
	MessageCorrupt      EventKind = iota + EventKind(membership.Left) + 1 // a datagram was ignored as corrupt
	OtherPeerList                                                         // a datagram of a node with another list of nodes was ignored
	IncarnationConflict                                                   // a later process with this node's name was learnt of
	EventKinds                                                            // number of kinds
)

// String returns the kind's name among the counters.
func (k EventKind) String() string {
	if k > EventKind(membership.Left) {
		return [...]string{"garbled", "foreign", "claimed"}[k-MessageCorrupt]
	}
	return membership.State(k).String()
}

// Agent is one node's part. Receive, UpdatePeers and Shutdown may be called from any goroutine and do not block.
type Agent struct {
	*eventloop.Loop[membership.Event, membership.Effect]
	opt  Options
	core *membership.Core
}

// New makes an agent, which takes part once Serve runs.
func New(opt Options) (*Agent, error) {
	core, err := membership.New(opt.Config)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core}
	a.Loop = eventloop.New(core, a.execute)
	return a, nil
}

// Receive hands over a datagram of another node. While the agent's queue is full it is lost.
func (a *Agent) Receive(from int, data []byte) {
	a.Post(membership.MessageReceived{From: from, Data: data})
}

// UpdatePeers replaces the list of nodes.
func (a *Agent) UpdatePeers(p membership.PeersChanged) { a.Post(p) }

// Shutdown tells the other nodes that this one ends.
func (a *Agent) Shutdown() { a.Post(membership.ShutdownStarted{}) }

// Serve owns the core until stop is closed. It must be called once, and returns only then.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.opt.Config.ProbeTimeout/ticksPerTimeout, func() { a.Step(membership.Tick{}) })
}

// execute carries an effect of the core out.
func (a *Agent) execute(effect membership.Effect) {
	switch effect := effect.(type) {
	case membership.Send:
		_ = a.opt.Send(effect.To, effect.Data) // a datagram that cannot be sent counts as lost
	case membership.StateChanged:
		a.opt.CountEvent(EventKind(effect.To))
		a.logStateChange(effect)
	case membership.FleetSizeChanged:
		a.opt.SetFleetSize(effect.Nodes)
		a.opt.Log.Debug("the number of nodes that share the work changed", logs.Event, "member_count", "nodes", effect.Nodes)
	case membership.IncarnationConflict:
		a.opt.CountEvent(IncarnationConflict)
		a.opt.Log.Warn("another process with this node's name and a later start: one runs now, or the clock was set back",
			logs.Event, "member_claimed", "started_ms", effect.Incarnation)
	case membership.MessageRejected:
		a.opt.CountEvent(rejectionKind(effect))
	}
}

func (a *Agent) logStateChange(change membership.StateChanged) {
	a.opt.Log.Log(context.Background(), stateChangeLevel(change), "a node of the fleet changed its state", logs.Event, "member_"+change.To.String(),
		"node", change.Node, "was", change.From.String(), "started_ms", change.Incarnation)
}

// stateChangeLevel keeps suspicions and their refutations, which a lossy network causes all the time, out of the log's default
// level.
func stateChangeLevel(change membership.StateChanged) slog.Level {
	wasPresent := change.From == membership.Suspect || change.From == membership.Alive
	if change.To == membership.Suspect || change.To == membership.Alive && wasPresent {
		return slog.LevelDebug
	}
	return slog.LevelInfo
}

func rejectionKind(rejected membership.MessageRejected) EventKind {
	if rejected.OtherPeerList {
		return OtherPeerList
	}
	return MessageCorrupt
}

// RegisterCalls adds the operators' query "members" to the control socket.
func (a *Agent) RegisterCalls(s *control.Server) {
	shell.HandleQuery(s, "members", a.Loop, a.core.Members)
}
