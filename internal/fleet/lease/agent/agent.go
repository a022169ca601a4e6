// Package agent runs the lease agreement inside a node. One goroutine runs the core, which makes all decisions, with the events
// from a bounded queue. The agent carries out the effects that the core returns.
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

// ticksPerLease is the number of ticks that the core gets in a LeaseDuration.
const ticksPerLease = 16

// Options holds the settings of an agent and the functions that it calls. The agent calls the functions from its own goroutine,
// so they must not block.
type Options struct {
	Config        lease.Config
	Send          func(to int, data []byte) error // sends a datagram; to is the index of the node that gets it
	HolderChanged func(resource string, node int) // reports the holder of a lease: lease.ThisNode, lease.NoNode or another node
	Announced     func(resource string)           // reports an announcement from another node that holds a lease
	CountEvent    func(kind lease.LogEventKind)   // counts a log event
	Log           *slog.Logger
}

// Agent runs the core that grants, requests and holds leases for one node. Its methods are safe for concurrent use, except for Serve.
type Agent struct {
	*eventloop.Loop[lease.Event, lease.Effect]
	options Options
	core    *lease.Core
	peers   shell.Peers
}

// New returns an agent, which Serve runs. The error is that of lease.Config.Validate.
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

// Receive passes a datagram from another node to the core. It never blocks: while the queue is full, the datagram is dropped.
func (a *Agent) Receive(from int, data []byte) { a.Post(lease.MessageReceived{From: from, Data: data}) }

// Announce sends an announcement with the token of a lease to all other nodes. It sends nothing if this node does not hold the
// lease when the agent handles the call.
func (a *Agent) Announce(resource string) { a.Post(lease.Announce{Resource: resource}) }

// Resign gives back all leases and requests no more.
func (a *Agent) Resign() { a.Post(lease.Resign{}) }

// UpdatePeers replaces the list of peers. Datagrams that are sent afterwards go to the new peers.
func (a *Agent) UpdatePeers(changed lease.PeersChanged) {
	a.Submit(func() {
		a.Step(changed) // this node gives its leases back; the datagrams for this still go to the peers of the old list
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

// RegisterCalls adds the operators' query duties to the control server. The query returns all leases as this node sees them.
func (a *Agent) RegisterCalls(s *control.Server) {
	shell.HandleQuery(s, "duties", a.Loop, a.core.Status)
}
