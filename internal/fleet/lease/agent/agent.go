// Package agent runs the lease agreement inside a node: one goroutine owns the core, and a bounded queue of events leads to
// it. It decides nothing itself.
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

// ticksPerLease is how often the core looks at the clock within a LeaseDuration.
const ticksPerLease = 16

// Options are the settings of an agent and what it calls. The functions are called from the agent's goroutine and must not
// wait.
type Options struct {
	Config        lease.Config
	Send          func(to int, data []byte) error // sends a datagram to a node, by its index
	HolderChanged func(resource string, node int) // who holds a lease from now on: lease.ThisNode, lease.NoNode or another node
	Announced     func(resource string)           // the holder of a lease, another node, sent an announcement
	CountEvent    func(kind lease.LogEventKind)   // counts a log event
	Log           *slog.Logger
}

// Agent is one node's part in the lease agreement. Its methods are safe for concurrent use, but for Serve.
type Agent struct {
	*eventloop.Loop[lease.Event, lease.Effect]
	options Options
	core    *lease.Core
	peers   shell.Peers
}

// New returns an agent; Serve runs it. The error is that of lease.Config.Validate.
func New(options Options) (*Agent, error) {
	core, err := lease.New(options.Config)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		options: options,
		core:    core,
		peers:   shell.Peers{Self: options.Config.Self, Nodes: options.Config.Nodes, SendTo: options.Send},
	}
	a.Loop = eventloop.New(core, a.apply)
	return a, nil
}

// Receive hands over a datagram from another node. It never waits: while the queue is full the datagram is dropped.
func (a *Agent) Receive(from int, data []byte) { a.Post(lease.MessageReceived{From: from, Data: data}) }

// Announce sends an announcement under a lease to all other nodes, if this node still holds the lease at that moment.
func (a *Agent) Announce(resource string) { a.Post(lease.Announce{Resource: resource}) }

// Resign gives back all leases.
func (a *Agent) Resign() { a.Post(lease.Resign{}) }

// UpdatePeers replaces the list of peers. What is sent afterwards goes to the new ones.
func (a *Agent) UpdatePeers(changed lease.PeersChanged) {
	a.Submit(func() {
		a.Step(changed) // leases are given back to the peers of the old list
		a.peers.Self, a.peers.Nodes = changed.Self, changed.Nodes
	})
}

// Serve runs the agent until stop is closed. It must be called once.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.options.Config.LeaseDuration/ticksPerLease, func() { a.Step(lease.Tick{}) })
}

// apply carries out an effect of the core.
func (a *Agent) apply(effect lease.Effect) {
	switch effect := effect.(type) {
	case lease.Send:
		a.peers.Send(effect.To, effect.Data)
	case lease.HolderChanged:
		a.reportHolder(effect)
	case lease.Announced:
		a.options.Announced(effect.Resource)
	case lease.LogEvent:
		a.options.CountEvent(effect.Kind)
		a.options.Log.Log(context.Background(), logLevel(effect.Kind), "lease agreement", logs.Event, "duty_"+effect.Kind.String(),
			"duty", effect.Resource, "node", effect.Node, "token", effect.Token, "reason", effect.Reason.String())
	}
}

func (a *Agent) reportHolder(changed lease.HolderChanged) {
	node := changed.Node
	if node == a.peers.Self {
		node = lease.ThisNode
	}
	a.options.HolderChanged(changed.Resource, node)
}

func logLevel(kind lease.LogEventKind) slog.Level {
	switch kind {
	case lease.LogLeaseAcquired, lease.LogHolderChanged, lease.LogLeaseLost:
		return slog.LevelInfo
	case lease.LogTokenStale:
		return slog.LevelWarn
	}
	return slog.LevelDebug
}

// RegisterCalls adds the operators' query duties to the control server: all leases as this node sees them.
func (a *Agent) RegisterCalls(s *control.Server) {
	shell.HandleQuery(s, "duties", a.Loop, a.core.Status)
}
