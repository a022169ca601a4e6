package tests

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"shelfproxy/internal/testbed/faultproxy"
)

// machine is a supervisor with its nodes.
type machine struct {
	*rig
	relay   *faultproxy.Proxy // between the nodes
	dir, ip string
	nodes   int
	cmd     *exec.Cmd
	ended   chan error
}

const firstPort = 20000

func newMachine(t *testing.T, nodes int, more string) *machine {
	m := &machine{rig: newRig(t, newTarget(t, hit)), dir: t.TempDir(), nodes: nodes, ended: make(chan error, 1)}
	go func() {
		for range m.watches {
		}
	}()
	m.address().Close()
	m.ip, _, _ = net.SplitHostPort(m.addr)
	var err error
	if m.relay, err = faultproxy.New(nodes, faultproxy.Faults{}, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(m.relay.Close)
	m.config["settings"].(map[string]any)["limits"].(map[string]any)["may_tell"] = true
	m.config["settings"].(map[string]any)["replicas_of_me"] = nodes
	for i := range nodes {
		m.config["listen"] = m.listen(i)
		m.config["peer_listen"], m.config["peers"], m.config["peers_all"] = m.relay.Addresses(i)
		text, _ := json.Marshal(m.config)
		os.WriteFile(filepath.Join(m.dir, fmt.Sprintf("n%d.json", i)), text, 0o600)
		os.WriteFile(filepath.Join(m.dir, fmt.Sprintf("n%d.toml", i)), fmt.Appendf(nil, `[shutdown]
grace = "200ms"
last = "1s"
[rollout]
control = %q
[members]
on = true
period = "100ms"
wait = "50ms"
`, m.nodeControl(i)), 0o600)
	}
	m.install(program)
	os.WriteFile(filepath.Join(m.dir, "fleet.toml"), fmt.Appendf(nil, `[fleet]
instances = %d
watch = "200ms"
end_within = "3s"
backoff_least = "50ms"
backoff_most = "1s"
silent = "1s"
control = %q
%s
[instance]
program = %q
args = ["--file", %q]
env = [%q]
listen = "%s:{port}"
first_port = %d
`, nodes, m.control(), more, filepath.Join(m.dir, "node"), filepath.Join(m.dir, "n{i}.toml"), "LB_CONFIG="+filepath.Join(m.dir, "n{i}.json"), m.ip, firstPort), 0o600)
	m.cmd = exec.Command(program, "fleet", filepath.Join(m.dir, "fleet.toml"))
	m.cmd.Stdout, m.cmd.Stderr = &m.log, &m.log
	if err := m.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { m.ended <- m.cmd.Wait() }()
	t.Cleanup(func() {
		m.cmd.Process.Signal(syscall.SIGTERM)
		select {
		case <-m.ended:
		case <-time.After(patience):
			m.cmd.Process.Kill()
			t.Errorf("the supervisor did not end: %s", &m.log)
		}
	})
	m.serving("at the start")
	return m
}

// install puts another program in the place of the one that is started.
func (m *machine) install(path string) {
	os.Symlink(path, filepath.Join(m.dir, "new"))
	os.Rename(filepath.Join(m.dir, "new"), filepath.Join(m.dir, "node"))
}

func (m *machine) nodeControl(i int) string { return filepath.Join(m.dir, fmt.Sprintf("n%d.ctl", i)) }
func (m *machine) control() string          { return filepath.Join(m.dir, "ctl") }
func (m *machine) listen(i int) string      { return fmt.Sprintf("%s:%d", m.ip, firstPort+i) }

type overview struct {
	Halted    bool
	Instances []struct {
		State   string
		Process int
		PID     int
		Wanted  bool `json:"to_be_replaced"`
		Failed  int  `json:"failed_starts"`
		Ending  int
	}
}

func (m *machine) ctl(words ...string) (o overview) {
	out, _ := exec.Command(program, append([]string{"ctl", "--control", m.control()}, words...)...).Output()
	json.Unmarshal(out, &o)
	return o
}

// serving waits until every instance serves and nothing is under way.
func (m *machine) serving(what string) (o overview) {
	m.t.Helper()
	m.until("all serve "+what, func() bool {
		if o = m.ctl("instances"); len(o.Instances) != m.nodes {
			return false
		}
		for _, in := range o.Instances {
			if in.State != "serves" || in.Ending > 0 || in.Wanted && !o.Halted {
				return false
			}
		}
		return true
	})
	return o
}

// load is clients of one instance: one comes anew for each request, one now and then, one keeps its connection.
type load struct {
	answered, again atomic.Int64
	stop            chan struct{}
	over            sync.WaitGroup
}

// get asks once over a connection that may be kept. A node may close a connection between two requests: then the request goes
// out once more, on a new one.
func (l *load) get(addr string, kept net.Conn, id string) (net.Conn, error) {
	for try := 0; ; try++ {
		c, fresh := kept, false
		if c == nil {
			var err error
			if c, err = net.DialTimeout("tcp", addr, patience); err != nil {
				return nil, err
			}
			fresh = true
		}
		c.SetDeadline(time.Now().Add(patience))
		fmt.Fprintf(c, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$13\r\nc=read,d=3000\r\n", len(id), id)
		in := bufio.NewReader(c)
		line, err := in.ReadString('\n')
		if err == nil && line[0] == '$' {
			if _, err = in.ReadString('\n'); err == nil {
				l.answered.Add(1)
				return c, nil
			}
		}
		c.Close()
		if err == nil {
			return nil, errors.New(strings.TrimSpace(line))
		}
		if fresh || try > 0 {
			return nil, fmt.Errorf("on a new connection: %w", err)
		}
		kept = nil
		l.again.Add(1)
	}
}

func (m *machine) load(instances ...int) *load {
	l := &load{stop: make(chan struct{})}
	for _, i := range instances {
		for worker := range 3 {
			l.over.Go(func() {
				var kept net.Conn
				for n := 0; ; n++ {
					select {
					case <-l.stop:
						return
					default:
					}
					c, err := l.get(m.listen(i), kept, fmt.Sprintf("%d-%d-%d", i, worker, n))
					if err != nil {
						m.t.Errorf("instance %d: %v", i, err)
						return
					}
					if kept = nil; worker == 2 || worker == 1 && n%20 > 0 {
						kept = c
					} else {
						c.Close()
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
	}
	m.t.Cleanup(l.end)
	return l
}

func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.over.Wait()
}

func pids(o overview) (out []int) {
	for _, in := range o.Instances {
		out = append(out, in.PID)
	}
	return out
}

// TestNodesAreReplacedWithoutAGap: under load every node is replaced in its turn, none refuses a connection or leaves a request
// without its answer; then with a program that does not start, which halts it with all still serving; then on.
func TestNodesAreReplacedWithoutAGap(t *testing.T) {
	m := newMachine(t, 3, "")
	l := m.load(0, 1, 2)
	before := pids(m.serving("under load"))
	began := uint64(time.Now().UnixMilli())
	m.ctl("replace")
	m.until("all are replaced", func() bool { return strings.Contains(m.log.String(), `"instance_rolled"`) })
	after := pids(m.serving("after all are replaced"))
	for i := range before {
		if before[i] == after[i] || after[i] == 0 {
			t.Errorf("instance %d: process %d, %d before", i, after[i], before[i])
		}
	}
	m.until("all know each other's processes of now", func() bool { // over sockets that were handed on, too
		for i := range m.nodes {
			var all []memberView
			out, _ := exec.Command(program, "ctl", "--control", m.nodeControl(i), "members").Output()
			json.Unmarshal(out, &all)
			for _, v := range all {
				if v.State != "alive" || v.Life < began {
					return false
				}
			}
			if len(all) != m.nodes {
				return false
			}
		}
		return true
	})
	m.install("/bin/false")
	m.ctl("replace")
	m.until("a successor that does not start halts it", func() bool { return m.ctl("instances").Halted })
	if got := pids(m.serving("while it is halted")); fmt.Sprint(got) != fmt.Sprint(after) {
		t.Errorf("processes %v, want those of before, %v", got, after)
	}
	m.install(program)
	m.ctl("resume")
	m.ctl("replace")
	m.until("all are replaced again", func() bool { return strings.Count(m.log.String(), `"instance_rolled"`) >= 2 })
	served := l.answered.Load()
	m.until("they serve on", func() bool { return l.answered.Load() > served+100 })
	l.end()
	t.Logf("%d answered, %d of them on another connection after a close", l.answered.Load(), l.again.Load())
}

// TestNodeThatIsKilled: it is started again, and who came meanwhile is answered; one that hangs when it is told to end is killed, with
// its successor serving; one that cannot start is tried later and later.
func TestNodeThatIsKilled(t *testing.T) {
	m := newMachine(t, 2, "")
	first := m.serving("at first")
	m.install("/bin/false") // it does not come back by itself
	syscall.Kill(first.Instances[0].PID, syscall.SIGKILL)
	m.until("starts fail", func() bool { return m.ctl("instances").Instances[0].Failed >= 3 })
	got := make(chan error, 1)
	go func() {
		_, err := (&load{}).get(m.listen(0), nil, "while-away")
		got <- err
	}()
	m.install(program)
	if err := <-got; err != nil {
		t.Errorf("who came while the node was away: %v", err)
	}
	now := m.serving("after one was killed")
	if now.Instances[0].PID == first.Instances[0].PID || now.Instances[1].PID != first.Instances[1].PID {
		t.Errorf("processes %v, %v before", pids(now), pids(first))
	}
	hung := now.Instances[1].PID
	syscall.Kill(hung, syscall.SIGSTOP) // nobody asks for it to be replaced
	m.until("one that hangs is killed", func() bool { return strings.Contains(m.log.String(), `"instance_overdue"`) })
	if now = m.serving("after one hung"); now.Instances[1].PID == hung {
		t.Error("the process that hangs serves on")
	}
	if _, err := (&load{}).get(m.listen(1), nil, "after-it-hung"); err != nil {
		t.Error(err)
	}
}

// TestSupervisorIsKilled: its nodes end in order, so that another one finds their addresses free.
func TestSupervisorIsKilled(t *testing.T) {
	m := newMachine(t, 2, "")
	all := pids(m.serving("at first"))
	m.cmd.Process.Kill()
	m.until("the nodes end", func() bool {
		for _, pid := range all {
			if syscall.Kill(pid, 0) == nil {
				return false
			}
		}
		return true
	})
	if n := strings.Count(m.log.String(), `"supervisor_gone"`); n != 2 {
		t.Errorf("%d nodes say that their supervisor is gone", n)
	}
}

// TestBadFleetFile: one line that names the field.
func TestBadFleetFile(t *testing.T) {
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
		os.WriteFile(path, []byte(text), 0o600)
		out, err := exec.Command(program, "fleet", path).CombinedOutput()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 2 || !strings.Contains(string(out), want) || strings.Count(string(out), "\n") != 1 {
			t.Errorf("%q: %v %s, want %s", text, err, out, want)
		}
	}
}
