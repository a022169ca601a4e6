package agent

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"syscall"
	"time"

	"shelfproxy/internal/logs"
	"shelfproxy/internal/supervisor"
	"shelfproxy/internal/supervisor/handover"
)

// pipeCloseTimeout bounds how long watch waits for the last notifications of a process that has ended. Without a bound it could
// wait for long, because a child of the process may keep the notification pipe open.
const pipeCloseTimeout = time.Second

// start starts a process. If that fails, it reports to the core that the process has ended.
func (a *Agent) start(e supervisor.Start) {
	cmd, child, err := a.command(e.Instance)
	if err == nil {
		err = cmd.Start()
		child.CloseInherited()
		if err == nil {
			a.running[e.Process] = cmd.Process
			go a.watch(e, cmd, child) // this goroutine ends after the process
			return
		}
		child.Discard()
	}
	a.opt.Log.Error("failed to start a process", logs.Event, "instance_unstartable", "instance", e.Instance, "error", err.Error())
	go a.postUntilTaken(supervisor.Exited{Process: e.Process}) // the event loop must not wait for its own queue; the goroutine ends when the event is queued
}

// command returns the command that starts a process of an instance, and what the process inherits.
func (a *Agent) command(instance int) (*exec.Cmd, *handover.Child, error) {
	program, args, env := a.opt.Command(instance)
	child, err := handover.NewChild(a.sockets[instance])
	if err != nil {
		return nil, nil, err
	}
	cmd := exec.CommandContext(context.Background(), program, args...) // never cancelled: only the core ends processes
	cmd.Env, cmd.ExtraFiles = append(env, child.Env...), child.Files
	cmd.Stdout, cmd.Stderr = os.Stdout, os.Stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a process group of its own, so that Ctrl-C in the terminal reaches the supervisor only
	return cmd, child, nil
}

// watch reports the notifications and the end of a process to the core.
func (a *Agent) watch(e supervisor.Start, cmd *exec.Cmd, child *handover.Child) {
	pipeClosed := make(chan struct{}) // closed when readNotifications returns
	go a.readNotifications(e, child, pipeClosed)
	err := cmd.Wait()
	select {
	case <-pipeClosed:
	case <-time.After(pipeCloseTimeout):
	}
	a.opt.Log.Info("a process ended", logs.Event, "instance_exit", "instance", e.Instance, "process", e.Process, "pid", cmd.Process.Pid,
		"state", cmd.ProcessState.String())
	a.Submit(func() { delete(a.running, e.Process) })
	a.postUntilTaken(supervisor.Exited{Process: e.Process, Clean: err == nil})
}

// readNotifications reports a process's notifications to the core until its pipe is closed. Response counts are lost while the
// event loop's queue is full.
func (a *Agent) readNotifications(e supervisor.Start, child *handover.Child, pipeClosed chan<- struct{}) {
	defer close(pipeClosed)
	err := child.ReadNotifications(
		func() { a.postUntilTaken(supervisor.Ready{Process: e.Process}) },
		func(responses, failed int) {
			a.Post(supervisor.ResponseCounts{Process: e.Process, Responses: responses, Failed: failed})
		})
	if errors.Is(err, handover.ErrMalformedNotification) {
		a.opt.Log.Warn("a process sent a malformed notification", logs.Event, "instance_nonsense",
			"instance", e.Instance, "process", e.Process)
	}
}
