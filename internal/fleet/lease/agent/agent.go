// Package agent runs the agreement on duties inside a node: one goroutine owns the core, and a bounded queue leads to it.
// It decides nothing.
package agent

import (
	"context"
	"log/slog"
	"net/url"

	"shelfproxy/internal/control"
	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/logs"
)

// Options are what an agent is made of. Its functions are called from the agent's goroutine and must not wait.
type Options struct {
	Core   lease.Config
	Send   func(to int, data []byte) error // to one node, by its number
	Holder func(duty string, node int)     // who has a duty from now on: lease.Mine, lease.None for nobody, or a node
	Said   func(duty string)               // the holder of a duty told all
	Note   func(kind lease.NoteKind)       // counts
	Log    *slog.Logger
}

// Agent is one node's part in the agreement.
type Agent struct {
	*eventloop.Loop[lease.Event, lease.Effect]
	opt   Options
	core  *lease.Core
	self  int
	nodes int
}

// New makes an agent; Serve serves it.
func New(opt Options) (*Agent, error) {
	core, err := lease.New(opt.Core)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core, self: opt.Core.Self, nodes: opt.Core.Nodes}
	a.Loop = eventloop.New(core, a.do)
	return a, nil
}

// Heard hands over a datagram of another node. While the agent is behind it is lost, as any may be.
func (a *Agent) Heard(from int, data []byte) { a.Post(lease.Heard{From: from, Data: data}) }

// Say tells all others something under a duty, if this node still has it at that moment.
func (a *Agent) Say(duty string) { a.Post(lease.Say{Duty: duty}) }

// Resign gives back what this node holds.
func (a *Agent) Resign() { a.Post(lease.Resign{}) }

// Move takes another list of peers. What is sent from then on goes by it.
func (a *Agent) Move(p lease.Peers) {
	a.Tell(func() {
		a.Step(p)
		a.self, a.nodes = p.Self, p.Nodes
	})
}

// ticks is how often in a lease the core looks around.
const ticks = 16

// Serve owns the core until stop is closed.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.opt.Core.Lease/ticks, func() { a.Step(lease.Tick{}) })
}

func (a *Agent) do(e lease.Effect) {
	switch e := e.(type) {
	case lease.Send:
		for to := range a.nodes {
			if to != a.self && (e.To == lease.All || e.To == to) {
				a.opt.Send(to, e.Data) // one that cannot be sent is lost
			}
		}
	case lease.Holder:
		node := e.Node
		if node == a.self {
			node = lease.Mine
		}
		a.opt.Holder(e.Duty, node)
	case lease.Said:
		a.opt.Said(e.Duty)
	case lease.Note:
		a.opt.Note(e.Kind)
		level := slog.LevelDebug
		switch e.Kind {
		case lease.NoteHeld, lease.NoteHandedOver, lease.NoteLost:
			level = slog.LevelInfo
		case lease.NoteStale:
			level = slog.LevelWarn
		}
		a.opt.Log.Log(context.Background(), level, "the fleet's agreement on duties", logs.Event, "duty_"+e.Kind.String(), "duty", e.Duty,
			"node", e.Node, "token", e.Token, "reason", e.Why.String())
	}
}

// Register adds the operators' call: duties.
func (a *Agent) Register(s *control.Server) {
	s.Look("duties", func(url.Values) (any, error) {
		var status []lease.Status
		if err := a.Ask(func() { status = a.core.Status(a.Now()) }); err != nil {
			return nil, control.ErrBusy
		}
		return status, nil
	})
}
