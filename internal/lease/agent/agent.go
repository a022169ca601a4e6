// Package agent runs the agreement on duties inside a node: one goroutine owns the core, and a bounded queue leads to it.
// It decides nothing.
package agent

import (
	"context"
	"log/slog"
	"net/url"
	"time"

	"shelfproxy/internal/control"
	"shelfproxy/internal/lease"
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

const queueLength = 1024

// Agent is one node's part in the agreement.
type Agent struct {
	opt   Options
	core  *lease.Core
	self  int
	nodes int
	queue chan func()
	start time.Time
	over  chan struct{}
}

// New makes an agent; Run serves it.
func New(opt Options) (*Agent, error) {
	core, err := lease.New(opt.Core)
	if err != nil {
		return nil, err
	}
	return &Agent{opt: opt, core: core, self: opt.Core.Self, nodes: opt.Core.Nodes, queue: make(chan func(), queueLength),
		start: time.Now(), over: make(chan struct{})}, nil
}

// Heard hands over a datagram of another node. While the agent is behind it is lost, as any may be.
func (a *Agent) Heard(from int, data []byte) { a.post(lease.Heard{From: from, Data: data}) }

// Say tells all others something under a duty, if this node still has it at that moment.
func (a *Agent) Say(duty string) { a.post(lease.Say{Duty: duty}) }

// Resign gives back what this node holds.
func (a *Agent) Resign() { a.post(lease.Resign{}) }

// Move takes another list of peers. What is sent from then on goes by it.
func (a *Agent) Move(p lease.Peers) {
	a.tell(func() {
		a.step(p)
		a.self, a.nodes = p.Self, p.Nodes
	})
}

func (a *Agent) post(ev lease.Event) bool { return a.tell(func() { a.step(ev) }) }

func (a *Agent) tell(f func()) bool {
	select {
	case a.queue <- f:
		return true
	default:
		return false
	}
}

// ticks is how often in a lease the core looks around.
const ticks = 16

// Run owns the core until stop is closed.
func (a *Agent) Run(stop <-chan struct{}) {
	defer close(a.over)
	tick := time.NewTicker(a.opt.Core.Lease / ticks)
	defer tick.Stop()
	for {
		select {
		case f := <-a.queue:
			f()
		case <-tick.C:
			a.step(lease.Tick{})
		case <-stop:
			return
		}
	}
}

// step reads the clock at the deed: what this process decided before it was stopped counts no more when it goes on.
func (a *Agent) step(ev lease.Event) {
	for _, e := range a.core.Step(time.Since(a.start), ev) {
		a.do(e)
	}
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
		got := make(chan []lease.Status, 1)
		if !a.tell(func() { got <- a.core.Status(time.Since(a.start)) }) {
			return nil, control.ErrBusy
		}
		select {
		case st := <-got:
			return st, nil
		case <-a.over:
			return nil, control.ErrBusy
		}
	})
}
