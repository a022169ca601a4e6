// Package agent runs the agreement on duties inside a node: one goroutine owns the core, and a bounded queue leads to it.
// It decides nothing.
package agent

import (
	"context"
	"log/slog"

	"shelfproxy/internal/control"
	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/fleet/agreement/shell"
	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/logs"
)

// Options are what an agent is made of. Its functions are called from the agent's goroutine and must not wait.
type Options struct {
	Config        lease.Config
	Send          func(to int, data []byte) error // to one node, by its number
	HolderChanged func(duty string, node int)     // who has a duty from now on: lease.Mine, lease.None for nobody, or a node
	Announced     func(duty string)               // the holder of a duty told all
	CountEvent    func(kind lease.LogEventKind)   // counts
	Log           *slog.Logger
}

// Agent is one node's part in the agreement.
type Agent struct {
	*eventloop.Loop[lease.Event, lease.Effect]
	opt   Options
	core  *lease.Core
	peers shell.Peers
}

// New makes an agent; Serve serves it.
func New(opt Options) (*Agent, error) {
	core, err := lease.New(opt.Config)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core, peers: shell.Peers{Self: opt.Config.Self, Nodes: opt.Config.Nodes, SendTo: opt.Send}}
	a.Loop = eventloop.New(core, a.do)
	return a, nil
}

// Receive hands over a datagram of another node. While the agent is behind it is lost, as any may be.
func (a *Agent) Receive(from int, data []byte) { a.Post(lease.MessageReceived{From: from, Data: data}) }

// Announce tells all others something under a duty, if this node still has it at that moment.
func (a *Agent) Announce(duty string) { a.Post(lease.Announce{Resource: duty}) }

// Resign gives back what this node holds.
func (a *Agent) Resign() { a.Post(lease.Resign{}) }

// UpdatePeers takes another list of peers. What is sent from then on goes by it.
func (a *Agent) UpdatePeers(p lease.PeersChanged) {
	a.Submit(func() {
		a.Step(p)
		a.peers.Self, a.peers.Nodes = p.Self, p.Nodes
	})
}

// ticks is how often in a lease the core looks around.
const ticks = 16

// Serve owns the core until stop is closed.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.opt.Config.LeaseDuration/ticks, func() { a.Step(lease.Tick{}) })
}

func (a *Agent) do(e lease.Effect) {
	switch e := e.(type) {
	case lease.Send:
		a.peers.Send(e.To, e.Data)
	case lease.HolderChanged:
		node := e.Node
		if node == a.peers.Self {
			node = lease.ThisNode
		}
		a.opt.HolderChanged(e.Resource, node)
	case lease.Announced:
		a.opt.Announced(e.Resource)
	case lease.LogEvent:
		a.opt.CountEvent(e.Kind)
		level := slog.LevelDebug
		switch e.Kind {
		case lease.LogLeaseAcquired, lease.LogHolderChanged, lease.LogLeaseLost:
			level = slog.LevelInfo
		case lease.LogTokenStale:
			level = slog.LevelWarn
		}
		a.opt.Log.Log(context.Background(), level, "the fleet's agreement on duties", logs.Event, "duty_"+e.Kind.String(), "duty", e.Resource,
			"node", e.Node, "token", e.Token, "reason", e.Reason.String())
	}
}

// RegisterCalls adds the operators' call: duties.
func (a *Agent) RegisterCalls(s *control.Server) {
	shell.HandleQuery(s, "duties", a.Loop, a.core.Status)
}
