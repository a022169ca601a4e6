package tests

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

// falseProgram is a program that fails at once. Tests install it in place of the node's program for a node that does not start.
const falseProgram = "/bin/false"

const clientInterval = time.Millisecond // time between two requests of a client

// machineLoad runs three clients for each instance of a machine. Each client sends one request after another. The first opens a
// new connection for every request, the second for every twentieth request, and the third keeps its connection.
type machineLoad struct {
	answered atomic.Int64
	resent   atomic.Int64 // requests sent again on a new connection, after the node had closed the old one

	stopOnce sync.Once
	stopped  chan struct{}
	running  sync.WaitGroup
}

// errRejected is the error of a request whose answer is not a value.
var errRejected = errors.New("the answer is not a value")

// startLoad starts the clients of every instance. An error of any client fails the test.
func startLoad(t *testing.T, machine *harness.Machine, instances int) *machineLoad {
	t.Helper()
	load := &machineLoad{stopped: make(chan struct{})}
	t.Cleanup(load.stop)
	for instance := range instances {
		for _, reuse := range []func(request int) bool{
			func(int) bool { return false },
			func(request int) bool { return request%20 > 0 },
			func(int) bool { return true },
		} {
			load.running.Go(func() {
				if err := load.run(machine.Address(instance), reuse); err != nil {
					t.Errorf("instance %d: %v", instance, err)
				}
			})
		}
	}
	return load
}

// stop ends the clients and waits for them. It may be called again.
func (l *machineLoad) stop() {
	l.stopOnce.Do(func() { close(l.stopped) })
	l.running.Wait()
}

// run sends requests until the load is stopped; reuse reports whether the connection of a request is kept for the next one.
func (l *machineLoad) run(address string, reuse func(request int) bool) error {
	var conn net.Conn
	defer func() {
		if conn != nil {
			_ = conn.Close()
		}
	}()
	ticker := time.NewTicker(clientInterval)
	defer ticker.Stop()
	for request := 0; ; request++ {
		select {
		case <-l.stopped:
			return nil
		case <-ticker.C:
		}
		var err error
		if conn, err = l.get(address, conn); err != nil {
			return err
		}
		if !reuse(request) {
			_ = conn.Close() // the answer has been read, so an error of Close doesn't matter
			conn = nil
		}
	}
}

// get sends a request on conn, or on a new connection if conn is nil, and returns the connection that it used last. A node may
// close a connection between two requests; then get sends the request once more on a new connection.
func (l *machineLoad) get(address string, conn net.Conn) (net.Conn, error) {
	if conn != nil {
		err := exchange(conn)
		if err == nil {
			l.answered.Add(1)
			return conn, nil
		}
		_ = conn.Close()
		if errors.Is(err, errRejected) {
			return nil, err
		}
		l.resent.Add(1)
	}
	dialer := net.Dialer{Timeout: harness.Timeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	if err := exchange(conn); err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("on a new connection: %w", err)
	}
	l.answered.Add(1)
	return conn, nil
}

// lastRequest is the number of the last request of all loads. Request ids contain these numbers, as they must be unique.
var lastRequest atomic.Int64

// exchange sends a request and reads its answer, which has to be a value.
func exchange(conn net.Conn) error {
	if err := conn.SetDeadline(time.Now().Add(harness.Timeout)); err != nil {
		return err
	}
	if _, err := conn.Write(harness.GetCommand("k", fmt.Sprint("load-", lastRequest.Add(1)))); err != nil {
		return err
	}
	answer, err := harness.ReadAnswer(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if !strings.HasPrefix(answer, "value-") {
		return fmt.Errorf("%w: %s", errRejected, answer)
	}
	return nil
}

// get sends one request to an address on a new connection.
func get(address string) error {
	conn, err := new(machineLoad).get(address, nil)
	if err != nil {
		return err
	}
	return conn.Close()
}

// Guards against a gap in service while nodes are replaced under load. First every node is replaced in turn; no node may refuse a
// connection or leave a request without an answer. Then the installed program does not start: the replacement halts, and the
// present nodes keep serving. Last, with a working program, the replacement is resumed and completed.
func TestNodesAreReplacedWithoutAGap(t *testing.T) {
	const instances = 3
	machine := harness.NewMachine(t, instances)
	load := startLoad(t, machine, instances)
	before := machine.WaitServing("under load").PIDs()
	began := uint64(time.Now().UnixMilli())
	machine.Ctl("replace")
	machine.WaitForLog(`"instance_rolled"`, 1)
	after := machine.WaitServing("after all are replaced").PIDs()
	for i := range before {
		if before[i] == after[i] || after[i] == 0 {
			t.Errorf("instance %d: process %d, %d before", i, after[i], before[i])
		}
	}
	waitForIncarnations(machine, instances, began)
	machine.Install(falseProgram)
	machine.Ctl("replace")
	machine.WaitFor("a successor that does not start halts the replacement", func() bool { return machine.Ctl("instances").IsHalted })
	if pids := machine.WaitServing("while it is halted").PIDs(); !slices.Equal(pids, after) {
		t.Errorf("processes %v, want the same as before, %v", pids, after)
	}
	machine.Install(harness.NodeProgram)
	machine.Ctl("resume")
	machine.Ctl("replace")
	machine.WaitForLog(`"instance_rolled"`, 2)
	answered := load.answered.Load()
	machine.WaitFor("100 more requests are answered", func() bool { return load.answered.Load() > answered+100 })
	load.stop()
	t.Logf("%d requests were answered, %d of them on a new connection after the node had closed the old one", load.answered.Load(), load.resent.Load())
}

// waitForIncarnations waits until every instance reports every instance as alive, with an incarnation that began at since, in
// milliseconds of Unix time, or later. This shows that gossip works on the sockets that were handed over to the new processes.
func waitForIncarnations(machine *harness.Machine, instances int, since uint64) {
	machine.WaitFor("all instances know each other's new processes", func() bool {
		for instance := range instances {
			var members []memberView
			if !machine.InstanceCtl(instance, &members, "members") || len(members) != instances {
				return false
			}
			for _, member := range members {
				if member.State != alive || member.Incarnation < since {
					return false
				}
			}
		}
		return true
	})
}

// The supervisor starts a killed node again, and a request that a client sent meanwhile is answered. It kills a node that hangs
// and starts a successor. A node that does not start is retried with a growing backoff.
func TestKilledAndHungNodesAreReplaced(t *testing.T) {
	machine := harness.NewMachine(t, 2)
	first := machine.WaitServing("at first").PIDs()
	machine.Install(falseProgram) // so that the killed node cannot be started again yet
	kill(t, first[0], syscall.SIGKILL)
	machine.WaitFor("starts fail", func() bool {
		status := machine.Ctl("instances")
		return len(status.Instances) > 0 && status.Instances[0].FailedStarts >= 3
	})
	answered := make(chan error, 1)
	go func() { answered <- get(machine.Address(0)) }()
	machine.Install(harness.NodeProgram)
	if err := <-answered; err != nil {
		t.Errorf("a request while the node was down: %v", err)
	}
	now := machine.WaitServing("after one was killed").PIDs()
	if now[0] == first[0] || now[1] != first[1] {
		t.Errorf("processes %v, %v before; want another for the first instance only", now, first)
	}
	hung := now[1]
	kill(t, hung, syscall.SIGSTOP) // the test requests no replacement: the supervisor has to notice by itself
	machine.WaitForLog(`"instance_overdue"`, 1)
	if now = machine.WaitServing("after one hung").PIDs(); now[1] == hung {
		t.Error("the hung process was not replaced")
	}
	if err := get(machine.Address(1)); err != nil {
		t.Errorf("a request after the hung node was replaced: %v", err)
	}
}

func kill(t *testing.T, pid int, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(pid, signal); err != nil {
		t.Fatalf("send %s to process %d: %v", signal, pid, err)
	}
}

// When a supervisor is killed, its nodes shut down in order, so that a new supervisor finds their addresses free.
func TestNodesEndInOrderWithTheirSupervisor(t *testing.T) {
	const instances = 2
	machine := harness.NewMachine(t, instances)
	pids := machine.WaitServing("at first").PIDs()
	machine.Supervisor.Kill()
	machine.WaitFor("the nodes end", func() bool {
		return !slices.ContainsFunc(pids, func(pid int) bool { return syscall.Kill(pid, 0) == nil })
	})
	if count := machine.Log.Count(`"supervisor_gone"`); count != instances {
		t.Errorf("%d nodes logged that their supervisor had gone, want %d", count, instances)
	}
}

func TestInvalidFleetFileNamesTheField(t *testing.T) {
	for text, want := range map[string]string{
		"[fleet]\ninstances = 0\n[instance]\nlisten=\"127.0.0.1:1\"": "fleet: instances: must be from 1 to 1000",
		"[fleet]\ninstances = 2\n[instance]\nlisten=\"127.0.0.1:1\"": "instance.listen: 127.0.0.1:1 is that of two instances",
		"[fleet]\nat_once = 3\n[instance]\nlisten=\"127.0.0.1:1\"":   "fleet: at_once",
		"[instance]\nlisten=\"nowhere\"":                             "instance.listen: \"nowhere\" is no host and port",
		"[fleet]\nfast = true":                                       "fleet.fast: there is no such field",
		"[instance]\nlisten=\"127.0.0.1:1\"\nenv = [\"=x\"]":         "instance.env: \"=x\" is no NAME=VALUE",
		"[fleet]\nwatch = \"soon\"":                                  "fleet.watch",
	} {
		path := filepath.Join(t.TempDir(), "fleet.toml")
		harness.WriteFile(t, path, text)
		cmd := exec.CommandContext(t.Context(), harness.NodeProgram, "fleet", path)
		wantOneLineError(t, cmd, want)
		if code := cmd.ProcessState.ExitCode(); code != 2 {
			t.Errorf("%q: exit code %d, want 2", text, code)
		}
	}
}

// Guards against a hang that the supervisor misses: a node that hangs right after its start, within the first quarter of a
// second, is replaced too.
func TestNodeThatHangsAtItsStartIsReplaced(t *testing.T) {
	t.Parallel()
	machine := harness.NewMachine(t, 1)
	hung := machine.WaitServing("at first").PIDs()[0]
	kill(t, hung, syscall.SIGSTOP)
	machine.WaitForLog(`"instance_hangs"`, 1)
	if now := machine.WaitServing("after it hung").PIDs()[0]; now == hung {
		t.Error("the hung process was not replaced")
	}
}
