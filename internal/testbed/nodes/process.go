// Package nodes runs nodes as child processes of the lab. A node that its rig leaves behind, however the rig ends, is
// ended by the kernel: nothing of a run outlives it.
package nodes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a node that runs.
type Process struct {
	Name, Listen string
	LogPath      string
	cmd          *exec.Cmd
	done         chan struct{}
	err          error // once done is closed

	mu       sync.Mutex
	stopping bool
}

// starter starts processes on one thread that stays: the kernel ends a child when the thread that started it ends.
var starter = struct {
	once sync.Once
	work chan func()
}{work: make(chan func())}

func onStarter(f func()) {
	starter.once.Do(func() {
		go func() {
			runtime.LockOSThread()
			for f := range starter.work {
				f()
			}
		}()
	})
	done := make(chan struct{})
	starter.work <- func() { f(); close(done) }
	<-done
}

// Start starts the program as the node of a configuration. Its log goes to a file beside the configuration.
func Start(program, name, listen, config string, args ...string) (*Process, error) {
	p := &Process{Name: name, Listen: listen, LogPath: strings.TrimSuffix(config, ".json") + ".log", done: make(chan struct{})}
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+config)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// A group of its own: Ctrl-C at the terminal is for the rig, which ends its nodes in order.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	onStarter(func() { err = p.cmd.Start() })
	if err != nil {
		return nil, fmt.Errorf("node %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// PID is its process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Ready waits until the node answers PING, as a front does before it puts a node to use.
func (p *Process) Ready(ctx context.Context) error {
	for {
		if ping(p.Listen) {
			return nil
		}
		select {
		case <-p.done:
			return fmt.Errorf("node %s ended at its start: %w: %s", p.Name, errOr(p.err), p.Tail())
		case <-ctx.Done():
			return fmt.Errorf("node %s did not come up: %w: %s", p.Name, ctx.Err(), p.Tail())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func errOr(err error) error {
	if err == nil {
		return errors.New("exit status 0")
	}
	return err
}

func ping(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n")
	line, err := bufio.NewReader(c).ReadString('\n')
	return err == nil && line == "+PONG\r\n"
}

// Signal sends a signal. After SIGTERM or SIGKILL the node counts as stopping.
func (p *Process) Signal(sig syscall.Signal) error {
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		p.mu.Lock()
		p.stopping = true
		p.mu.Unlock()
	}
	return p.cmd.Process.Signal(sig)
}

// ExpectExit says that the node ends by itself, as it was asked to.
func (p *Process) ExpectExit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// Stopping tells whether the rig has told it to end.
func (p *Process) Stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stopping
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// Stop ends the node with SIGTERM, and kills it if it is there for longer than wait. The error says that it did not
// end as it should have.
func (p *Process) Stop(wait time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(wait):
		p.Signal(syscall.SIGKILL)
		<-p.done
		return fmt.Errorf("node %s did not end within %s of SIGTERM", p.Name, wait)
	}
	if p.err != nil {
		return fmt.Errorf("node %s ended with %w: %s", p.Name, p.err, p.Tail())
	}
	return nil
}

// Tail is the end of its log.
func (p *Process) Tail() string {
	b, err := os.ReadFile(p.LogPath)
	if err != nil {
		return err.Error()
	}
	const most = 600
	if len(b) > most {
		b = b[len(b)-most:]
	}
	return strings.TrimSpace(string(b))
}

// Usage is what the process has used so far: its processor time, and its memory now.
type Usage struct {
	CPU     time.Duration
	Memory  int64 // bytes resident
	Sockets int
}

// Usage reads it from the system; it is zero where the system does not tell.
func (p *Process) Usage() (u Usage) {
	dir := fmt.Sprintf("/proc/%d/", p.PID())
	if b, err := os.ReadFile(dir + "stat"); err == nil {
		if _, rest, ok := strings.Cut(string(b), ") "); ok {
			f := strings.Fields(rest)
			if len(f) > 21 {
				var user, system, pages int64
				fmt.Sscan(f[11], &user)
				fmt.Sscan(f[12], &system)
				fmt.Sscan(f[21], &pages)
				u.CPU = time.Duration(user+system) * 10 * time.Millisecond // clock ticks of 1/100 s
				u.Memory = pages * int64(os.Getpagesize())
			}
		}
	}
	if d, err := os.ReadDir(dir + "fd"); err == nil {
		u.Sockets = len(d)
	}
	return u
}

// Find is the node's program: beside the program that runs, or built from the sources around the working folder.
func Find(ctx context.Context, dir string) (string, error) {
	if self, err := os.Executable(); err == nil {
		if beside := filepath.Join(filepath.Dir(self), "shelfproxy"); executable(beside) {
			return beside, nil
		}
	}
	out := filepath.Join(dir, "shelfproxy")
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", out, "shelfproxy/cmd/shelfproxy")
	if text, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("no shelfproxy beside this program, and it could not be built: %w: %s", err, strings.TrimSpace(string(text)))
	}
	return out, nil
}

func executable(path string) bool {
	info, err := os.Stat(path)
	return err == nil && info.Mode().IsRegular() && info.Mode()&0o111 != 0
}
