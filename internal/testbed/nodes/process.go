// Package nodes runs nodes as child processes of the testbed. The kernel kills a child when the process that started it ends
// in any way, so that no node outlives its run.
package nodes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	pollInterval = 20 * time.Millisecond // interval at which a node is checked for readiness
	pingTimeout  = time.Second           // timeout of one check of readiness
	maxTail      = 600                   // maximum number of bytes of the log that an error quotes
)

// Process is a node that was started. Its methods are safe for concurrent use.
type Process struct {
	Name    string
	Listen  string // address of the node's listener
	LogPath string

	cmd     *exec.Cmd
	done    chan struct{} // closed when the process has ended
	exitErr error         // result of waiting for the process; valid once done is closed

	mu         sync.Mutex
	isStopping bool
}

// Command describes how to start a node.
type Command struct {
	Program string
	Args    []string
	Name    string // name of the node, used in messages
	Listen  string // address of the node's listener
	Config  string // path of the configuration file; the log is written to the same folder
	Sockets int    // limit of the process's open descriptors; 0 leaves the system's limit
}

// Start starts a node. It does not wait until the node is ready. The caller ends the node with Stop.
func Start(command Command) (*Process, error) {
	process := &Process{Name: command.Name, Listen: command.Listen, LogPath: strings.TrimSuffix(command.Config, ".json") + ".log",
		done: make(chan struct{})}
	log, err := os.OpenFile(process.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open the log of node %s: %w", command.Name, err)
	}
	defer func() { _ = log.Close() }() // the child has its own descriptor of the log
	// The context never ends the process. Stop ends it gracefully.
	process.cmd = exec.CommandContext(context.Background(), command.Program, command.Args...)
	process.cmd.Env = append(os.Environ(), "LB_CONFIG="+command.Config)
	process.cmd.Stdout, process.cmd.Stderr = log, log
	// The node gets its own process group, so that Ctrl-C at the terminal reaches only the testbed. The testbed then ends its
	// nodes gracefully.
	process.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	runOnLauncherThread(func() { err = process.cmd.Start() })
	if err != nil {
		return nil, fmt.Errorf("start node %s: %w", command.Name, err)
	}
	if command.Sockets > 0 {
		limit := unix.Rlimit{Cur: uint64(command.Sockets), Max: uint64(command.Sockets)}
		if err := unix.Prlimit(process.PID(), unix.RLIMIT_NOFILE, &limit, nil); err != nil {
			_ = process.cmd.Process.Kill() // the node must not run without its limit on descriptors
			return nil, errors.Join(fmt.Errorf("limit the descriptors of node %s: %w", command.Name, err), process.cmd.Wait())
		}
	}
	go func() { // the goroutine ends with the process
		process.exitErr = process.cmd.Wait()
		close(process.done)
	}()
	return process, nil
}

// StartReady starts a node and waits until it answers PING. If the node does not answer within the timeout, StartReady
// stops it and returns an error.
func StartReady(ctx context.Context, command Command, timeout time.Duration) (*Process, error) {
	p, err := Start(command)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := p.WaitReady(ctx); err != nil {
		_ = p.Stop(time.Second) // its error is dropped: the error of WaitReady says more
		return nil, err
	}
	return p, nil
}

// PID returns the process id of the node.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// WaitReady waits until the node answers PING. It returns an error if the process or the context ends before.
func (p *Process) WaitReady(ctx context.Context) error {
	for {
		if ping(ctx, p.Listen) {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("node %s exited during startup: %w: %s", p.Name, orExitStatusZero(p.exitErr), p.Tail())
		case <-ctx.Done():
			return fmt.Errorf("node %s did not start: %w: %s", p.Name, ctx.Err(), p.Tail())
		case <-time.After(pollInterval):
		}
	}
}

var errExitStatusZero = errors.New("exit status 0")

func orExitStatusZero(err error) error {
	if err == nil {
		return errExitStatusZero
	}
	return err
}

// ping reports whether the node at an address answers PING.
func ping(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(pingTimeout)); err != nil {
		return false
	}
	if _, err := fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		return false
	}
	reply, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && reply == "+PONG\r\n"
}

// Signal sends a signal to the node. After SIGTERM or SIGKILL the node counts as stopping.
func (p *Process) Signal(signal syscall.Signal) error {
	if signal == syscall.SIGTERM || signal == syscall.SIGKILL {
		p.ExpectExit()
	}
	return p.cmd.Process.Signal(signal)
}

// ExpectExit marks the node as stopping. It is used when the node is about to end without a signal.
func (p *Process) ExpectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isStopping = true
}

// IsStopping reports whether the node was told to end or is expected to end.
func (p *Process) IsStopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isStopping
}

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Stop sends SIGTERM, waits for the process to end and kills it after the timeout. It returns an error if the process had
// to be killed or ended with an error.
func (p *Process) Stop(timeout time.Duration) error {
	_ = p.Signal(syscall.SIGTERM) // fails if the process has ended already; then done is closed
	select {
	case <-p.done:
	case <-time.After(timeout):
		_ = p.Signal(syscall.SIGKILL)
		<-p.done
		return fmt.Errorf("node %s did not end within %s of SIGTERM", p.Name, timeout)
	}
	if p.exitErr != nil {
		return fmt.Errorf("node %s ended with %w: %s", p.Name, p.exitErr, p.Tail())
	}
	return nil
}

// Tail returns the end of the log, or the error if the log cannot be read.
func (p *Process) Tail() string {
	log, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	if len(log) > maxTail {
		log = log[len(log)-maxTail:]
	}
	return strings.TrimSpace(string(log))
}
