package agent

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"shelfproxy/internal/control"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/supervisor"
	"shelfproxy/internal/supervisor/settings"
)

// Run runs the processes that a supervisor's file describes and handles operators' signals and calls. It returns once all
// processes have ended after SIGTERM, SIGINT or the call stop.
func Run(file *settings.File) error {
	// Signals are registered first, because a signal that is not registered would end this process.
	reload, terminate := notify(syscall.SIGHUP), notify(syscall.SIGTERM, syscall.SIGINT)
	log := logs.Component(logs.New(os.Stderr, logs.Options{Level: slog.LevelInfo, Format: file.Fleet.LogFormat}), "fleet")
	ownPath, err := ownProgram(file)
	if err != nil {
		return err
	}
	agent, err := New(Options{
		Config: file.CoreConfig(uint64(time.Now().UnixNano())),
		Command: func(instance int) (string, []string, []string) {
			return file.Program(instance, ownPath), file.Args(instance), file.Env(instance)
		},
		Listen: file.ListenAddress,
		Log:    log,
	})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	// The two goroutines below end when stop is closed, just before this process ends. Run does not wait for them, because they
	// hold nothing that has to be saved.
	stop := make(chan struct{})
	go agent.serveControl(file.Fleet.Control, stop)
	go agent.handleSignals(reload, terminate, stop)
	log.Info("the supervisor is up", logs.Event, "supervising", "instances", file.Fleet.Instances)
	agent.Serve()
	close(stop)
	log.Info("all processes have ended", logs.Event, "supervised")
	return nil
}

// ownProgram returns the path of this program, or "" if the file names a program.
func ownProgram(file *settings.File) (string, error) {
	if file.Instance.Program != "" {
		return "", nil
	}
	return os.Executable()
}

// notify returns a channel that receives the given signals. A signal that arrives while another one is pending on the channel is
// dropped, as the pending one has the same effect.
func notify(signals ...os.Signal) <-chan os.Signal {
	received := make(chan os.Signal, 1)
	signal.Notify(received, signals...)
	return received
}

// serveControl serves operators' calls until stop is closed. If that fails, the processes run on without the control
// socket.
func (a *Agent) serveControl(path string, stop <-chan struct{}) {
	server := control.New(path)
	a.RegisterCalls(server)
	if err := server.Serve(stop); err != nil {
		a.opt.Log.Error("failed to serve the control socket", logs.Event, "control_failed", "error", err.Error())
	}
}

// handleSignals forwards SIGHUP to all processes, and stops all processes on SIGTERM and SIGINT. It returns when stop is closed.
func (a *Agent) handleSignals(reload, terminate <-chan os.Signal, stop <-chan struct{}) {
	for {
		select {
		case <-reload:
			a.Signal(syscall.SIGHUP)
		case <-terminate:
			a.Post(supervisor.StopRequested{})
		case <-stop:
			return
		}
	}
}
