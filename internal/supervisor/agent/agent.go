// Package agent runs the processes of a supervisor: it carries out the effects of the core in internal/supervisor, and reports
// the processes' notifications and exits to the core. It decides nothing itself.
package agent

import (
	"context"
	"log/slog"
	"os"
	"syscall"
	"time"

	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/supervisor"
	"shelfproxy/internal/supervisor/handover"
)

// Options configure an Agent. Command and Listen are called with the number of an instance, counted from 0.
type Options struct {
	Config  supervisor.Config
	Command func(instance int) (program string, args, env []string) // returns how to start a process; called at each start
	Listen  func(instance int) string                               // returns host and port of an instance's listening socket
	Log     *slog.Logger
}

// Agent starts, signals and watches processes as the core decides. The goroutine that runs Serve owns the core and the table of
// running processes. The exported methods, except Step, may be called from any goroutine.
type Agent struct {
	*eventloop.Loop[supervisor.Event, supervisor.Effect]
	opt     Options
	core    *supervisor.Core
	sockets []*os.File          // listening sockets, by instance; they outlive all processes
	running map[int]*os.Process // running processes, by the number that the core gave each
	stopped chan struct{}       // closed by the event loop once all processes have ended after StopRequested
}

// tickInterval is the time between two ticks of the core. If the event loop's queue is full, an event that must not be lost is
// posted again after tickInterval.
const tickInterval = 50 * time.Millisecond

// New returns an agent and opens the instances' listening sockets. The processes are started by Serve.
func New(opt Options) (*Agent, error) {
	core, err := supervisor.New(opt.Config)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core, running: map[int]*os.Process{}, stopped: make(chan struct{})}
	a.Loop = eventloop.New(core, a.apply)
	for i := range opt.Config.Instances {
		socket, err := handover.ListenFile(opt.Listen(i))
		if err != nil {
			return nil, err
		}
		a.sockets = append(a.sockets, socket)
	}
	return a, nil
}

// Serve keeps the processes running until all of them have ended after supervisor.StopRequested.
func (a *Agent) Serve() {
	tick := func() { a.Step(supervisor.Tick{}) }
	a.Submit(tick) // starts the first processes without waiting for the ticker
	a.Run(a.stopped, tickInterval, tick)
}

// Signal sends a signal to all processes.
func (a *Agent) Signal(sig os.Signal) {
	a.Submit(func() {
		for _, process := range a.running {
			a.signal(process, sig)
		}
	})
}

// postUntilTaken posts an event that must not be lost: while the loop's queue is full it tries again, until the agent has stopped.
func (a *Agent) postUntilTaken(ev supervisor.Event) {
	for !a.Post(ev) {
		select {
		case <-a.stopped:
			return
		case <-time.After(tickInterval):
		}
	}
}

// apply carries out an effect of the core.
func (a *Agent) apply(effect supervisor.Effect) {
	switch e := effect.(type) {
	case supervisor.Start:
		a.start(e)
	case supervisor.Terminate:
		sig := syscall.SIGTERM
		if e.Replaced {
			sig = handover.ReplacedSignal
		}
		a.signal(a.running[e.Process], sig)
	case supervisor.Kill:
		a.signal(a.running[e.Process], syscall.SIGKILL)
	case supervisor.Stopped:
		close(a.stopped)
	case supervisor.LogEvent:
		a.log(e)
	}
}

// signal sends a signal to a process, unless it is nil. Errors are ignored: they mean that the process has ended, which the
// goroutine that waits for the process reports.
func (a *Agent) signal(process *os.Process, sig os.Signal) {
	if process != nil {
		_ = process.Signal(sig)
	}
}

// log writes a log event of the core to the log.
func (a *Agent) log(e supervisor.LogEvent) {
	attrs := []slog.Attr{slog.String(logs.Event, "instance_"+e.Kind.String())}
	if e.Instance >= 0 {
		attrs = append(attrs, slog.Int("instance", e.Instance), slog.Int("process", e.Process))
	}
	if e.Kind == supervisor.LogBackoff {
		attrs = append(attrs, slog.Duration("wait", e.Wait))
	}
	a.opt.Log.LogAttrs(context.Background(), level(e.Kind), "process supervision event", attrs...)
}

// level returns the log level of a kind of log event.
func level(kind supervisor.LogEventKind) slog.Level {
	switch kind {
	case supervisor.LogCrashed, supervisor.LogNotReady, supervisor.LogTerminateTimeout, supervisor.LogHalted,
		supervisor.LogUnhealthy, supervisor.LogHung:
		return slog.LevelWarn
	default:
		return slog.LevelInfo
	}
}
