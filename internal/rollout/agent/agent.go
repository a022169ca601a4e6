// Package agent runs the agreement on who may go out of service inside a node: one goroutine owns the core, and a bounded
// queue leads to it. It decides nothing.
package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/url"
	"time"

	"shelfproxy/internal/control"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/rollout"
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

const queueLength = 1024

// Agent is one node's part in the agreement.
type Agent struct {
	opt   Options
	core  *rollout.Core
	queue chan func()
	start time.Time
	gone  bool
	over  chan struct{}

	told rollout.Served // to the core
}

// New makes an agent; Run serves it.
func New(opt Options) (*Agent, error) {
	core, err := rollout.New(opt.Core)
	if err != nil {
		return nil, err
	}
	return &Agent{opt: opt, core: core, queue: make(chan func(), queueLength), start: time.Now(), over: make(chan struct{})}, nil
}

// Heard hands over a datagram of another node. While the agent is behind it is lost, as any may be.
func (a *Agent) Heard(from int, data []byte) { a.post(rollout.Heard{From: from, Data: data}) }

// Post tells the core something. It never waits.
func (a *Agent) Post(ev rollout.Event) { a.post(ev) }

func (a *Agent) post(ev rollout.Event) bool {
	select {
	case a.queue <- func() { a.step(ev) }:
		return true
	default:
		return false
	}
}

// Run owns the core until stop is closed.
func (a *Agent) Run(stop <-chan struct{}) {
	defer close(a.over)
	tick := time.NewTicker(a.opt.Core.Beacon / 4)
	defer tick.Stop()
	for {
		select {
		case f := <-a.queue:
			f()
		case <-tick.C:
			if a.opt.Served != nil {
				if s := a.opt.Served(); s.Answers > a.told.Answers {
					a.step(rollout.Served{Answers: s.Answers - a.told.Answers, Failed: s.Failed - a.told.Failed, Slow: s.Slow - a.told.Slow})
					a.told = s
				}
			}
			a.step(rollout.Tick{})
		case <-stop:
			return
		}
	}
}

func (a *Agent) now() rollout.Time { return time.Since(a.start) }

func (a *Agent) step(ev rollout.Event) {
	for _, e := range a.core.Step(a.now(), ev) {
		a.do(e)
	}
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
		if a.gone || !a.core.MayGo(a.now()) {
			return
		}
		a.gone = true
		a.step(rollout.Going{})
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
func (a *Agent) Status() (rollout.Status, error) {
	got := make(chan rollout.Status, 1)
	select {
	case a.queue <- func() { got <- a.core.Status(a.now()) }:
	default:
		return rollout.Status{}, control.ErrBusy
	}
	select {
	case s := <-got:
		return s, nil
	case <-a.over:
		return rollout.Status{}, control.ErrBusy
	}
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
			if !a.post(ev) {
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
