// Package agent runs the processes of a supervisor. It decides nothing.
package agent

import (
	"context"
	"errors"
	"log/slog"
	"net/url"
	"os"
	"os/exec"
	"strconv"
	"syscall"
	"time"

	"shelfproxy/internal/control"
	"shelfproxy/internal/eventloop"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/supervisor"
	"shelfproxy/internal/supervisor/handover"
)

// Options are what an agent is made of.
type Options struct {
	Config  supervisor.Config
	Command func(instance int) (program string, args, env []string) // asked at each start
	Listen  func(instance int) string                               // where clients come, host and port
	Log     *slog.Logger
}

// Agent is a supervisor with its processes.
type Agent struct {
	*eventloop.Loop[supervisor.Event, supervisor.Effect]
	opt     Options
	core    *supervisor.Core
	sockets []*os.File // by instance; they outlive all processes
	running map[int]*os.Process
	done    chan struct{}
}

// tick is how often the core looks around.
const tick = 50 * time.Millisecond

// New opens the sockets; Serve starts the processes.
func New(opt Options) (*Agent, error) {
	core, err := supervisor.New(opt.Config)
	if err != nil {
		return nil, err
	}
	a := &Agent{opt: opt, core: core, running: map[int]*os.Process{}, done: make(chan struct{})}
	a.Loop = eventloop.New(core, a.do)
	for i := range opt.Config.Instances {
		f, err := handover.ListenFile(opt.Listen(i))
		if err != nil {
			return nil, err
		}
		a.sockets = append(a.sockets, f)
	}
	return a, nil
}

// Serve keeps the processes running until all were stopped (supervise.Stop).
func (a *Agent) Serve() {
	a.Submit(func() { a.Step(supervisor.Tick{}) })
	a.Run(a.done, tick, func() { a.Step(supervisor.Tick{}) })
}

// tell has the core take an event that must not be lost, however far the loop is behind.
func (a *Agent) tell(ev supervisor.Event) {
	for !a.Post(ev) {
		select {
		case <-a.done:
			return
		case <-time.After(tick):
		}
	}
}

// Signal sends a signal to all processes.
func (a *Agent) Signal(s os.Signal) {
	a.Submit(func() {
		for _, p := range a.running {
			p.Signal(s)
		}
	})
}

func (a *Agent) do(e supervisor.Effect) {
	switch e := e.(type) {
	case supervisor.Start:
		a.start(e)
	case supervisor.Terminate:
		if p := a.running[e.Process]; p != nil && e.Replaced {
			p.Signal(handover.ReplacedSignal)
		} else if p != nil {
			p.Signal(syscall.SIGTERM)
		}
	case supervisor.Kill:
		if p := a.running[e.Process]; p != nil {
			p.Kill()
		}
	case supervisor.Stopped:
		close(a.done)
	case supervisor.LogEvent:
		level := slog.LevelInfo
		switch e.Kind {
		case supervisor.LogCrashed, supervisor.LogNotReady, supervisor.LogTerminateTimeout, supervisor.LogHalted, supervisor.LogUnhealthy, supervisor.LogHung:
			level = slog.LevelWarn
		}
		attrs := []slog.Attr{slog.String(logs.Event, "instance_"+e.Kind.String())}
		if e.Instance >= 0 {
			attrs = append(attrs, slog.Int("instance", e.Instance), slog.Int("process", e.Process))
		}
		if e.Kind == supervisor.LogBackoff {
			attrs = append(attrs, slog.Duration("wait", e.Wait))
		}
		a.opt.Log.LogAttrs(context.Background(), level, "supervised processes", attrs...)
	}
}

// start starts a process. One that cannot be started has ended.
func (a *Agent) start(e supervisor.Start) {
	program, args, env := a.opt.Command(e.Instance)
	child, err := handover.NewChild(a.sockets[e.Instance])
	if err == nil {
		cmd := exec.Command(program, args...)
		cmd.Env, cmd.ExtraFiles, cmd.Stdout, cmd.Stderr = append(env, child.Env...), child.Files, os.Stdout, os.Stderr
		cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a ^C in the terminal is the supervisor's affair
		err = cmd.Start()
		child.CloseInherited()
		if err == nil {
			a.running[e.Process] = cmd.Process
			go a.follow(e, cmd, child)
			return
		}
		child.Discard()
	}
	a.opt.Log.Error("a process cannot be started", logs.Event, "instance_unstartable", "instance", e.Instance, "error", err.Error())
	go a.tell(supervisor.Exited{Process: e.Process})
}

// follow hands over what a process says, and its end.
func (a *Agent) follow(e supervisor.Start, cmd *exec.Cmd, child *handover.Child) {
	heard := make(chan struct{})
	go func() {
		defer close(heard)
		err := child.ReadNotifications(func() { a.tell(supervisor.Ready{Process: e.Process}) },
			func(answers, failed int) {
				a.Post(supervisor.ResponseCounts{Process: e.Process, Responses: answers, Failed: failed})
			})
		if errors.Is(err, handover.ErrMalformedNotification) {
			a.opt.Log.Warn("a process said what makes no sense", logs.Event, "instance_nonsense", "instance", e.Instance, "process", e.Process)
		}
	}()
	err := cmd.Wait()
	select {
	case <-heard:
	case <-time.After(time.Second): // something that it started holds the pipe
	}
	a.opt.Log.Info("a process ended", logs.Event, "instance_exit", "instance", e.Instance, "process", e.Process, "pid", cmd.Process.Pid,
		"state", cmd.ProcessState.String())
	a.Submit(func() { delete(a.running, e.Process) })
	a.tell(supervisor.Exited{Process: e.Process, Clean: err == nil})
}

// Overview is what operators see.
type Overview struct {
	Halted    bool       `json:"halted"`
	Instances []Instance `json:"instances"`
}

// Instance is one of them, with the number of the process that the system knows.
type Instance struct {
	supervisor.Status
	PID    int    `json:"pid"`
	Listen string `json:"listen"`
}

// RegisterCalls adds the operators' calls: instances, replace (with instance=N, or all), halt, resume and stop.
func (a *Agent) RegisterCalls(s *control.Server) {
	look := func(url.Values) (any, error) {
		var o Overview
		if a.Call(func() {
			var all []supervisor.Status
			all, o.Halted = a.core.Statuses(a.Now())
			for _, st := range all {
				in := Instance{Status: st, Listen: a.opt.Listen(st.Instance)}
				if p := a.running[st.Process]; p != nil {
					in.PID = p.Pid
				}
				o.Instances = append(o.Instances, in)
			}
		}) != nil {
			return nil, control.ErrBusy
		}
		return o, nil
	}
	s.HandleQuery("instances", look)
	steer := func(name string, event func(url.Values) (supervisor.Event, error)) {
		s.HandleCommand(name, func(q url.Values) (any, error) {
			ev, err := event(q)
			if err != nil {
				return nil, err
			}
			if !a.Post(ev) {
				return nil, control.ErrBusy
			}
			return look(nil)
		})
	}
	plain := func(ev supervisor.Event) func(url.Values) (supervisor.Event, error) {
		return func(url.Values) (supervisor.Event, error) { return ev, nil }
	}
	steer("halt", plain(supervisor.HaltRequested{}))
	steer("resume", plain(supervisor.ResumeRequested{}))
	steer("stop", plain(supervisor.StopRequested{}))
	steer("replace", func(q url.Values) (supervisor.Event, error) {
		if !q.Has("instance") {
			return supervisor.ReplaceAllRequested{}, nil
		}
		n, err := strconv.Atoi(q.Get("instance"))
		if err != nil || n < 0 || n >= a.opt.Config.Instances {
			return nil, errors.New("instance: there is none of that number")
		}
		return supervisor.ReplaceRequested{Instance: n}, nil
	})
}
