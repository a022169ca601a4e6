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
	"shelfproxy/internal/fleet/agreement/shell"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/logs"
)

// Options are what an agent is made of.
type Options struct {
	Config         rollout.Config
	Send           func(to int, data []byte) error // to one node, by its number
	DrainGranted   func()                          // ends the node; called once, when the fleet lets it go
	ResponseCounts func() rollout.ResponseCounts   // of the node, since its start
	CountEvent     func(kind rollout.LogEventKind) // counts
	Log            *slog.Logger
}

// Agent is one node's part in the agreement.
type Agent struct {
	*eventloop.Loop[rollout.Event, rollout.Effect]
	opt   Options
	core  *rollout.Core
	peers shell.Peers
	gone  bool
	told  rollout.ResponseCounts // to the core
}

// New makes an agent; Serve serves it.
func New(opt Options) (*Agent, error) {
	core, err := rollout.New(opt.Config)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core, peers: shell.Peers{Self: opt.Config.Self, Nodes: opt.Config.Nodes, SendTo: opt.Send}}
	a.Loop = eventloop.New(core, a.do)
	return a, nil
}

// Receive hands over a datagram of another node. While the agent is behind it is lost, as any may be.
func (a *Agent) Receive(from int, data []byte) {
	a.Post(rollout.MessageReceived{From: from, Data: data})
}

// Serve owns the core until stop is closed.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.opt.Config.HeartbeatInterval/4, func() {
		if a.opt.ResponseCounts != nil {
			if s := a.opt.ResponseCounts(); s.Responses > a.told.Responses {
				a.Step(rollout.ResponseCounts{Responses: s.Responses - a.told.Responses, Failed: s.Failed - a.told.Failed, Slow: s.Slow - a.told.Slow})
				a.told = s
			}
		}
		a.Step(rollout.Tick{})
	})
}

func (a *Agent) do(e rollout.Effect) {
	switch e := e.(type) {
	case rollout.Send:
		a.peers.Send(e.To, e.Data)
	case rollout.DrainGranted:
		// This process may have been stopped since the core decided: it is asked again, at the moment of the deed.
		if a.gone || !a.core.MayDrain(a.Now()) {
			return
		}
		a.gone = true
		a.Step(rollout.ShutdownStarted{})
		a.opt.DrainGranted()
	case rollout.LogEvent:
		a.opt.CountEvent(e.Kind)
		level := slog.LevelInfo
		switch e.Kind {
		case rollout.LogSlotRequested, rollout.LogRequestAbandoned, rollout.LogMessageCorrupt:
			level = slog.LevelDebug
		case rollout.LogHalted, rollout.LogNodeUnhealthy, rollout.LogSlotExpired:
			level = slog.LevelWarn
		}
		a.opt.Log.Log(context.Background(), level, "the fleet's agreement on who is out", logs.Event, "rollout_"+e.Kind.String(), "node", e.Node, "slot", e.Slot, "reason", e.Reason.String())
	}
}

// Status is the agreement as this node sees it.
func (a *Agent) Status() (rollout.Status, error) { return shell.Read(a.Loop, a.core.Status) }

// RegisterCalls adds the operators' calls: status, drain, halt, resume and roll with to=RELEASE.
func (a *Agent) RegisterCalls(s *control.Server) {
	s.HandleQuery("status", func(url.Values) (any, error) { return a.Status() })
	steer := func(name string, event func(url.Values) (rollout.Event, error)) {
		s.HandleCommand(name, func(query url.Values) (any, error) {
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
	steer("drain", plain(rollout.DrainRequested{}))
	steer("halt", plain(rollout.HaltRequested{}))
	steer("resume", plain(rollout.ResumeRequested{}))
	steer("roll", func(query url.Values) (rollout.Event, error) {
		to := query.Get("to")
		if to == "" {
			return nil, errors.New("to: which release?")
		}
		return rollout.ReleaseOrdered{Release: to}, nil
	})
}
