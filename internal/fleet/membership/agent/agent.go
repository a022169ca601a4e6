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
	Core  membership.Config
	Send  func(to int, data []byte) error // to one node, by its number
	Count func(nodes int)                 // how many nodes share the work from now on, this one among them; 0: unknown
	Note  func(Note)
	Log   *slog.Logger
}

// Note is something to count.
type Note int

// The notes. One of membership's states is that of a node that came to be in it.
const (
	Garbled Note = iota + Note(membership.Left) + 1
	Foreign      // it goes by another list
	Claimed      // a later process of this node's name was heard of
	Notes
)

// String is the note's name among the counters.
func (n Note) String() string {
	if n > Note(membership.Left) {
		return [...]string{"garbled", "foreign", "claimed"}[n-Garbled]
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
	core, err := membership.New(opt.Core)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core}
	a.Loop = eventloop.New(core, a.do)
	return a, nil
}

// Heard hands over a datagram of another node. While the agent is behind it is lost, as any may be.
func (a *Agent) Heard(from int, data []byte) { a.Post(membership.Heard{From: from, Data: data}) }

// Move takes another list of nodes.
func (a *Agent) Move(p membership.Peers) { a.Post(p) }

// Leave tells the others that this node ends.
func (a *Agent) Leave() { a.Post(membership.Leave{}) }

// Serve owns the core until stop is closed.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.opt.Core.Wait/2, func() { a.Step(membership.Tick{}) })
}

func (a *Agent) do(e membership.Effect) {
	switch e := e.(type) {
	case membership.Send:
		a.opt.Send(e.To, e.Data) // one that cannot be sent is lost
	case membership.Changed:
		a.opt.Note(Note(e.Is))
		level := slog.LevelInfo
		if e.Is == membership.Suspect || e.Is == membership.Alive && (e.Was == membership.Suspect || e.Was == membership.Alive) {
			level = slog.LevelDebug
		}
		a.opt.Log.Log(context.Background(), level, "a node of the fleet", logs.Event, "member_"+e.Is.String(), "node", e.Node, "was", e.Was.String(),
			"started_ms", e.Life)
	case membership.Count:
		a.opt.Count(e.Nodes)
		a.opt.Log.Debug("the nodes that share the work", logs.Event, "member_count", "nodes", e.Nodes)
	case membership.Claimed:
		a.opt.Note(Claimed)
		a.opt.Log.Warn("another process of this node's name was heard of: one runs now, or the clock was set back", logs.Event, "member_claimed",
			"started_ms", e.Life)
	case membership.Refused:
		if e.Other {
			a.opt.Note(Foreign)
			return
		}
		a.opt.Note(Garbled)
	}
}

// Register adds the operators' call: members.
func (a *Agent) Register(s *control.Server) {
	s.Look("members", func(url.Values) (any, error) {
		var members []membership.Member
		if a.Ask(func() { members = a.core.Members(a.Now()) }) != nil {
			return nil, control.ErrBusy
		}
		return members, nil
	})
}
