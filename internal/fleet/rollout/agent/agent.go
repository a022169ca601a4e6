// Package agent runs the rollout agreement inside a node. One goroutine runs the core, which makes all decisions, with the
// events from a bounded queue. The agent carries out the effects that the core returns.
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

// ticksPerHeartbeat is the number of ticks that the core gets in a HeartbeatInterval.
const ticksPerHeartbeat = 4

// errNoRelease is returned to an operator who orders a release without naming it.
var errNoRelease = errors.New("to: which release?")

// Options holds the settings of an agent and the functions that it calls. The agent calls the functions from its own goroutine.
type Options struct {
	Config         rollout.Config
	Send           func(to int, data []byte) error // sends a datagram; to is the index of the node that gets it; must not block
	DrainGranted   func()                          // makes the node drain and exit; called at most once, when the fleet allows it
	ResponseCounts func() rollout.ResponseCounts   // returns the node's responses since its start; if nil, the node's rates are not checked
	CountEvent     func(kind rollout.LogEventKind) // counts a log event
	Log            *slog.Logger
}

// Agent runs the core that grants slots and decides when this node may drain. Its methods are safe for concurrent use, except for Serve.
type Agent struct {
	*eventloop.Loop[rollout.Event, rollout.Effect]
	options        Options
	core           *rollout.Core
	peers          shell.Peers
	isDraining     bool
	reportedCounts rollout.ResponseCounts // counts that were reported to the core so far
}

// New returns an agent, which Serve runs. The error is that of rollout.Config.Validate.
func New(options Options) (*Agent, error) {
	core, err := rollout.New(options.Config)
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
func (a *Agent) Receive(from int, data []byte) {
	a.Post(rollout.MessageReceived{From: from, Data: data})
}

// Serve runs the agent until stop is closed. It must be called once.
func (a *Agent) Serve(stop <-chan struct{}) {
	a.Run(stop, a.options.Config.HeartbeatInterval/ticksPerHeartbeat, a.tick)
}

func (a *Agent) tick() {
	a.reportResponses()
	a.Step(rollout.Tick{})
}

// reportResponses reports to the core the responses since the last report.
func (a *Agent) reportResponses() {
	if a.options.ResponseCounts == nil {
		return
	}
	counts, reported := a.options.ResponseCounts(), a.reportedCounts
	if counts.Responses <= reported.Responses {
		return
	}
	a.Step(rollout.ResponseCounts{
		Responses: counts.Responses - reported.Responses,
		Failed:    counts.Failed - reported.Failed,
		Slow:      counts.Slow - reported.Slow,
	})
	a.reportedCounts = counts
}

// apply carries out an effect of the core.
func (a *Agent) apply(effect rollout.Effect) {
	switch effect := effect.(type) {
	case rollout.Send:
		a.peers.Send(effect.To, effect.Data)
	case rollout.DrainGranted:
		a.drain()
	case rollout.LogEvent:
		a.options.CountEvent(effect.Kind)
		a.options.Log.Log(context.Background(), logLevel(effect.Kind), "rollout agreement", logs.Event, "rollout_"+effect.Kind.String(),
			"node", effect.Node, "slot", effect.Slot, "reason", effect.Reason.String())
	}
}

// drain begins to drain the node if the node still has its slot. The slot may be lost if this process was stalled after the core
// allowed the drain.
func (a *Agent) drain() {
	if a.isDraining || !a.core.MayDrain(a.Now()) {
		return
	}
	a.isDraining = true
	a.Step(rollout.ShutdownStarted{})
	a.options.DrainGranted()
}

func logLevel(kind rollout.LogEventKind) slog.Level {
	switch kind {
	case rollout.LogSlotRequested, rollout.LogRequestAbandoned, rollout.LogMessageCorrupt:
		return slog.LevelDebug
	case rollout.LogHalted, rollout.LogNodeUnhealthy, rollout.LogSlotExpired:
		return slog.LevelWarn
	}
	return slog.LevelInfo
}

// Status returns the state of the agreement as this node sees it, or control.ErrBusy. It waits for the agent's goroutine.
func (a *Agent) Status() (rollout.Status, error) { return shell.Read(a.Loop, a.core.Status) }

// RegisterCalls adds the operators' calls to the control server: the query status, and the commands drain, halt, resume and
// roll. The command roll takes the release as to=RELEASE. Each command answers with the status after it.
func (a *Agent) RegisterCalls(s *control.Server) {
	shell.HandleQuery(s, "status", a.Loop, a.core.Status)
	a.handleCommand(s, "drain", rollout.DrainRequested{})
	a.handleCommand(s, "halt", rollout.HaltRequested{})
	a.handleCommand(s, "resume", rollout.ResumeRequested{})
	s.HandleCommand("roll", func(query url.Values) (any, error) {
		release := query.Get("to")
		if release == "" {
			return nil, errNoRelease
		}
		return a.command(rollout.ReleaseOrdered{Release: release})
	})
}

func (a *Agent) handleCommand(s *control.Server, name string, event rollout.Event) {
	s.HandleCommand(name, func(url.Values) (any, error) { return a.command(event) })
}

// command passes an operator's event to the core and returns the status after it.
func (a *Agent) command(event rollout.Event) (any, error) {
	if !a.Post(event) {
		return nil, control.ErrBusy
	}
	return a.Status()
}
