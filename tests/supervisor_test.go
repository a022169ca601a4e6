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

// falseProgram is a program that ends at once, in place of a node that does not start.
const falseProgram = "/bin/false"

const clientInterval = time.Millisecond // between two requests of a client

// machineLoad is clients of the instances of a machine. Each sends one request after another: one on a new connection for each,
// one on a new connection now and then, and one that keeps its connection.
type machineLoad struct {
	answered atomic.Int64
	resent   atomic.Int64 // on a new connection, after the node had closed the old one

	stopOnce sync.Once
	stopped  chan struct{}
	running  sync.WaitGroup
}

// errRejected is the error of a request that was answered otherwise than with a value.
var errRejected = errors.New("no value")

// startLoad starts clients of every instance; an error of any fails the test.
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

// run sends requests until the load is stopped; reuse says whether the next request is sent on the same connection.
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
			_ = conn.Close() // it has had its answer
			conn = nil
		}
	}
}

// get sends a request, on a connection or, where it is nil, on a new one, and returns the connection. A node may close a
// connection between two requests: then the request is sent once more, on a new one.
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

// lastRequest numbers the requests of all loads, whose ids must differ.
var lastRequest atomic.Int64

// exchange sends a request and reads its answer.
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

// Under load every node is replaced in its turn, none refuses a connection or leaves a request without its answer; then with a
// program that does not start, which halts the replacement with all still serving; then on.
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
		t.Errorf("processes %v, want those of before, %v", pids, after)
	}
	machine.Install(harness.NodeProgram)
	machine.Ctl("resume")
	machine.Ctl("replace")
	machine.WaitForLog(`"instance_rolled"`, 2)
	answered := load.answered.Load()
	machine.WaitFor("all serve on", func() bool { return load.answered.Load() > answered+100 })
	load.stop()
	t.Logf("%d answered, %d of them on another connection after a close", load.answered.Load(), load.resent.Load())
}

// waitForIncarnations waits until every instance knows that all are alive with an incarnation that began since a time, in
// milliseconds. It knows this over sockets that were handed over, too.
func waitForIncarnations(machine *harness.Machine, instances int, since uint64) {
	machine.WaitFor("all know each other's present processes", func() bool {
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

// A node that is killed is started again, and who came meanwhile is answered; one that hangs is killed, with its successor
// serving; one that does not start is retried later and later.
func TestKilledAndHungNodesAreReplaced(t *testing.T) {
	machine := harness.NewMachine(t, 2)
	first := machine.WaitServing("at first").PIDs()
	machine.Install(falseProgram) // it does not come back by itself
	kill(t, first[0], syscall.SIGKILL)
	machine.WaitFor("starts fail", func() bool {
		status := machine.Ctl("instances")
		return len(status.Instances) > 0 && status.Instances[0].FailedStarts >= 3
	})
	answered := make(chan error, 1)
	go func() { answered <- get(machine.Address(0)) }()
	machine.Install(harness.NodeProgram)
	if err := <-answered; err != nil {
		t.Errorf("a request while the node was away: %v", err)
	}
	now := machine.WaitServing("after one was killed").PIDs()
	if now[0] == first[0] || now[1] != first[1] {
		t.Errorf("processes %v, %v before; want another for the first instance only", now, first)
	}
	hung := now[1]
	kill(t, hung, syscall.SIGSTOP) // noNode asks for it to be replaced
	machine.WaitForLog(`"instance_overdue"`, 1)
	if now = machine.WaitServing("after one hung").PIDs(); now[1] == hung {
		t.Error("the process that hangs is still that of its instance")
	}
	if err := get(machine.Address(1)); err != nil {
		t.Errorf("a request after the node had hung: %v", err)
	}
}

func kill(t *testing.T, pid int, signal syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(pid, signal); err != nil {
		t.Fatalf("send %s to process %d: %v", signal, pid, err)
	}
}

// The nodes of a supervisor that is killed end in order, so that another one finds their addresses free.
func TestNodesEndInOrderWithTheirSupervisor(t *testing.T) {
	const instances = 2
	machine := harness.NewMachine(t, instances)
	pids := machine.WaitServing("at first").PIDs()
	machine.Supervisor.Kill()
	machine.WaitFor("the nodes end", func() bool {
		return !slices.ContainsFunc(pids, func(pid int) bool { return syscall.Kill(pid, 0) == nil })
	})
	if count := machine.Log.Count(`"supervisor_gone"`); count != instances {
		t.Errorf("%d nodes log that their supervisor is gone, want %d", count, instances)
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

// A node that hangs right after its start, before a quarter of a second has passed, is replaced, too.
func TestNodeThatHangsAtItsStartIsReplaced(t *testing.T) {
	t.Parallel()
	machine := harness.NewMachine(t, 1)
	hung := machine.WaitServing("at first").PIDs()[0]
	kill(t, hung, syscall.SIGSTOP)
	machine.WaitForLog(`"instance_hangs"`, 1)
	if now := machine.WaitServing("after it hung").PIDs()[0]; now == hung {
		t.Error("the process that hangs is still that of its instance")
	}
}
