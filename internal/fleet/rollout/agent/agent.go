// Package agent runs the agreement on who may go out of service inside a node: one goroutine owns the core, and a bounded
// queue leads to it. It decides nothing.
package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/url"

	"shelfproxy/internal/control"
	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/logs"
)

// Options are what an agent is made of.
type Options struct {
	Core   rollout.Config
	Send   func(to int, data []byte) error // to one node, by its number
	Go     func()                          // ends the node; called once, when the fleet lets it go
	Served func() rollout.Served           // of the node, since its start
	Note   func(kind rollout.NoteKind)     // counts
	Log    *slog.Logger
}

// Agent is one node's part in the agreement.
type Agent struct {
	*eventloop.Loop[rollout.Event, rollout.Effect]
	opt  Options
	core *rollout.Core
	gone bool
	told rollout.Served // to the core
}

// New makes an agent; Serve serves it.
func New(opt Options) (*Agent, error) {
	core, err := rollout.New(opt.Core)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core}
	a.Loop = eventloop.New(core, a.do)
	return a, nil
}

// Heard hands over a datagram of another node. While the agent is behind it is lost, as any may be.
func (a *Agent) Heard(from int, data []byte) { a.Post(rollout.Heard{From: from, Data: data}) }

// Serve owns the core until stop is closed.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.opt.Core.Beacon/4, func() {
		if a.opt.Served != nil {
			if s := a.opt.Served(); s.Answers > a.told.Answers {
				a.Step(rollout.Served{Answers: s.Answers - a.told.Answers, Failed: s.Failed - a.told.Failed, Slow: s.Slow - a.told.Slow})
				a.told = s
			}
		}
		a.Step(rollout.Tick{})
	})
}

func (a *Agent) do(e rollout.Effect) {
	switch e := e.(type) {
	case rollout.Send:
		for to := range a.opt.Core.Nodes {
			if to != a.opt.Core.Self && (e.To == rollout.All || e.To == to) {
				a.opt.Send(to, e.Data) // one that cannot be sent is lost
			}
		}
	case rollout.Go:
		// This process may have been stopped since the core decided: it is asked again, at the moment of the deed.
		if a.gone || !a.core.MayGo(a.Now()) {
			return
		}
		a.gone = true
		a.Step(rollout.Going{})
		a.opt.Go()
	case rollout.Note:
		a.opt.Note(e.Kind)
		level := slog.LevelInfo
		switch e.Kind {
		case rollout.NoteAsked, rollout.NoteGaveUp, rollout.NoteGarbled:
			level = slog.LevelDebug
		case rollout.NoteHalted, rollout.NoteBroken, rollout.NoteExpired:
			level = slog.LevelWarn
		}
		a.opt.Log.Log(context.Background(), level, "the fleet's agreement on who is out", logs.Event, "rollout_"+e.Kind.String(), "node", e.Node, "slot", e.Slot, "reason", e.Reason.String())
	}
}

// Status is the agreement as this node sees it.
func (a *Agent) Status() (status rollout.Status, err error) {
	if a.Ask(func() { status = a.core.Status(a.Now()) }) != nil {
		err = control.ErrBusy
	}
	return status, err
}

// Register adds the operators' calls: status, drain, halt, resume and roll with to=RELEASE.
func (a *Agent) Register(s *control.Server) {
	s.Look("status", func(url.Values) (any, error) { return a.Status() })
	steer := func(name string, event func(url.Values) (rollout.Event, error)) {
		s.Steer(name, func(query url.Values) (any, error) {
			ev, err := event(query)
			if err != nil {
				return nil, err
			}
			if !a.Post(ev) {
				return nil, control.ErrBusy
			}
			return a.Status()
		})
	}
	plain := func(ev rollout.Event) func(url.Values) (rollout.Event, error) {
		return func(url.Values) (rollout.Event, error) { return ev, nil }
	}
	steer("drain", plain(rollout.Leave{}))
	steer("halt", plain(rollout.Halt{}))
	steer("resume", plain(rollout.Resume{}))
	steer("roll", func(query url.Values) (rollout.Event, error) {
		to := query.Get("to")
		if to == "" {
			return nil, errors.New("to: which release?")
		}
		return rollout.Roll{Release: to}, nil
	})
}
