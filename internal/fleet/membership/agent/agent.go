// Package agent runs membership.Core inside a node. One goroutine owns the core and takes events from a bounded queue. All
// decisions are made by the core.
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

// ticksPerTimeout is how many ticks the core gets in one ProbeTimeout.
const ticksPerTimeout = 2

// Options configures an agent. The functions are called from the agent's goroutine and must not block.
type Options struct {
	Config       membership.Config
	Send         func(to int, data []byte) error // sends a datagram to one node, by its index
	SetFleetSize func(nodes int)                 // sets the number of nodes that share the work, this one included; 0: unknown
	CountEvent   func(EventKind)
	Log          *slog.Logger
}

// EventKind is the kind of an event that Options.CountEvent counts. A value that equals a membership.State means that another
// node entered that state. The constants below are the other values.
type EventKind int

// The kinds of events that are not changes of another node's state.
const (
	MessageCorrupt      EventKind = iota + EventKind(membership.Left) + 1 // a datagram was ignored because it was corrupt
	OtherPeerList                                                         // a datagram was ignored: its sender has another list of nodes
	IncarnationConflict                                                   // this node learned of a later process under this node's name
	EventKinds                                                            // number of event kinds
)

// String returns the kind's name as used in the counters.
func (k EventKind) String() string {
	if k > EventKind(membership.Left) {
		return [...]string{"garbled", "foreign", "claimed"}[k-MessageCorrupt]
	}
	return membership.State(k).String()
}

// Agent runs the membership core of one node. Receive, UpdatePeers and Shutdown may be called from any goroutine and do not
// block.
type Agent struct {
	*eventloop.Loop[membership.Event, membership.Effect]
	opt  Options
	core *membership.Core
}

// New returns an agent. The agent becomes active when Serve is called.
func New(opt Options) (*Agent, error) {
	core, err := membership.New(opt.Config)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core}
	a.Loop = eventloop.New(core, a.execute)
	return a, nil
}

// Receive passes a datagram from another node to the core. The datagram is lost if the agent's queue is full.
func (a *Agent) Receive(from int, data []byte) {
	a.Post(membership.MessageReceived{From: from, Data: data})
}

// UpdatePeers replaces the list of nodes.
func (a *Agent) UpdatePeers(p membership.PeersChanged) { a.Post(p) }

// Shutdown makes the core tell other nodes that this node is shutting down.
func (a *Agent) Shutdown() { a.Post(membership.ShutdownStarted{}) }

// Serve runs the core and returns when stop is closed. It must be called exactly once.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.opt.Config.ProbeTimeout/ticksPerTimeout, func() { a.Step(membership.Tick{}) })
}

// execute carries out an effect of the core.
func (a *Agent) execute(effect membership.Effect) {
	switch effect := effect.(type) {
	case membership.Send:
		_ = a.opt.Send(effect.To, effect.Data) // an error is ignored: the core copes with lost datagrams
	case membership.StateChanged:
		a.opt.CountEvent(EventKind(effect.To))
		a.logStateChange(effect)
	case membership.FleetSizeChanged:
		a.opt.SetFleetSize(effect.Nodes)
		a.opt.Log.Debug("the number of nodes that share the work changed", logs.Event, "member_count", "nodes", effect.Nodes)
	case membership.IncarnationConflict:
		a.opt.CountEvent(IncarnationConflict)
		a.opt.Log.Warn("another process has this node's name and a later start: it runs now, or this node's clock was set back",
			logs.Event, "member_claimed", "started_ms", effect.Incarnation)
	case membership.MessageRejected:
		a.opt.CountEvent(rejectionKind(effect))
	}
}

func (a *Agent) logStateChange(change membership.StateChanged) {
	a.opt.Log.Log(context.Background(), stateChangeLevel(change), "a node of the fleet changed its state", logs.Event, "member_"+change.To.String(),
		"node", change.Node, "was", change.From.String(), "started_ms", change.Incarnation)
}

// stateChangeLevel returns the level at which a state change is logged. Suspicions and their refutations are logged at debug
// level only, because a lossy network causes them all the time.
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
