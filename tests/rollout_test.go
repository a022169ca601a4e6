package tests

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"shelfproxy/internal/testbed/faultproxy"
)

// fleet is real nodes that agree on who may go out, and the one who starts those again that ended.
type fleet struct {
	*rig
	relay   *faultproxy.Proxy
	mu      sync.Mutex
	nodes   []*member
	release string // that a node is started with
	more    string // of the operator's file
	down    map[int]bool
	most    int
	ended   bool
}

type member struct {
	cmd     *exec.Cmd
	log     *lockedBuffer
	dir     string
	listen  string
	release string
	exited  chan struct{}
	left    bool // an earlier process went out and the one now is not fit yet
}

func newFleet(t *testing.T, nodes, budget int, bad float64, more ...string) *fleet {
	f := &fleet{rig: newRig(t, newTarget(t, hit)), release: "v1", down: map[int]bool{}, more: strings.Join(more, "\n")}
	go func() { // the watches of all of them
		for range f.watches {
		}
	}()
	var err error
	if f.relay, err = faultproxy.New(nodes, faultproxy.Faults{Dropped: bad, Duplicated: bad, Corrupted: bad, Delay: 20 * time.Millisecond}, 1); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.relay.Close)
	f.config["settings"].(map[string]any)["limits"].(map[string]any)["may_tell"] = true
	f.config["settings"].(map[string]any)["replicas_of_me"] = nodes
	for i := range nodes {
		m := &member{dir: t.TempDir(), log: &lockedBuffer{}}
		f.address().Close()
		m.listen = f.addr
		f.nodes = append(f.nodes, m)
		f.peersOf(i, nodes)
		f.budget(i, budget)
		f.run(i)
	}
	t.Cleanup(f.end)
	go f.supervise()
	return f
}

// peersOf tells a node that the first n are its peers.
func (f *fleet) peersOf(i, n int) {
	listen, peers, all := f.relay.Addresses(i)
	f.config["peer_listen"], f.config["peers"], f.config["peers_all"] = listen, peers[:n], all
	f.config["listen"] = f.nodes[i].listen
	text, _ := json.Marshal(f.config)
	os.WriteFile(filepath.Join(f.nodes[i].dir, "config.json"), text, 0o600)
}

func (f *fleet) budget(i, budget int) {
	m := f.nodes[i]
	os.WriteFile(filepath.Join(m.dir, "op.toml"), fmt.Appendf(nil, `[shutdown]
grace = "50ms"
last = "500ms"
[log]
level = "debug"
[rollout]
nodes_out = %d
release = %q
control = %q
beacon = "50ms"
silent = "600ms"
lease = "800ms"
return = "4s"
lost = "5m"
watch = "100ms"
drift = 0.05
%s
`, budget, f.release, f.control(i), f.more), 0o600)
}

func (f *fleet) control(i int) string { return filepath.Join(f.nodes[i].dir, "ctl") }

// run starts a node's process.
func (f *fleet) run(i int) {
	m := f.nodes[i]
	m.release, m.exited = f.release, make(chan struct{})
	m.cmd = exec.Command(program, "--file", filepath.Join(m.dir, "op.toml"))
	m.cmd.Env = append(os.Environ(), "LB_CONFIG="+filepath.Join(m.dir, "config.json"))
	m.log = &lockedBuffer{}
	m.cmd.Stderr = m.log
	if err := m.cmd.Start(); err != nil {
		f.t.Error(err)
	}
	cmd, exited := m.cmd, m.exited
	go func() { cmd.Wait(); close(exited) }()
}

// out tells whether a node is out by agreement: from when it went until its next process is fit.
func (m *member) out(i int) bool {
	text := m.log.String()
	if strings.Contains(text, `"rollout_leaves"`) {
		m.left = true
	} else if strings.Contains(text, fmt.Sprintf(`"rollout_fit","node":%d,`, i)) {
		m.left = false
	}
	return m.left
}

// supervise starts nodes that ended, and counts how many are out at once.
func (f *fleet) supervise() {
	for {
		f.mu.Lock()
		if f.ended {
			f.mu.Unlock()
			return
		}
		n := 0
		for i, m := range f.nodes {
			if m.out(i) {
				n++
			}
			select {
			case <-m.exited:
				if !f.down[i] {
					f.budget(i, f.budgetOf(i))
					f.run(i)
				}
			default:
			}
		}
		f.most = max(f.most, n)
		f.mu.Unlock()
		time.Sleep(3 * time.Millisecond)
	}
}

func (f *fleet) budgetOf(i int) (n int) {
	text, _ := os.ReadFile(filepath.Join(f.nodes[i].dir, "op.toml"))
	_, rest, _ := strings.Cut(string(text), "nodes_out = ")
	fmt.Sscan(rest, &n)
	return n
}

// end stops what this fleet started.
func (f *fleet) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ended = true
	for _, m := range f.nodes {
		m.cmd.Process.Signal(syscall.SIGCONT)
		m.cmd.Process.Kill()
		<-m.exited
	}
}

func (f *fleet) signal(i int, s syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.nodes[i].cmd.Process.Signal(s)
}

// status asks a node without a process of its own for each look.
func (f *fleet) status(i int) string { return f.look(i, "status") }

func (f *fleet) look(i int, call string) string {
	c, err := net.Dial("unix", f.control(i))
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(c, "GET /%s HTTP/1.0\r\n\r\n", call)
	text, _ := io.ReadAll(c)
	return string(text)
}

func (f *fleet) ctl(i int, words ...string) string {
	out, err := exec.Command(program, append([]string{"ctl", "--control", f.control(i)}, words...)...).CombinedOutput()
	if err != nil {
		return "error: " + string(out)
	}
	return string(out)
}

// fit is how many nodes of a release see themselves and all others fit.
func (f *fleet) fit(release string) (n int) {
	for i, m := range f.nodes {
		f.mu.Lock()
		same := m.release == release && !m.left
		f.mu.Unlock()
		if same && strings.Contains(f.status(i), fmt.Sprintf(`"fit":%d,`, len(f.nodes))) {
			n++
		}
	}
	return n
}

func (f *fleet) peak() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.most
}

func (f *fleet) setRelease(v string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.release = v
}

func (f *fleet) setDown(i int, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[i] = down
}

// outNow is a node that is out by agreement, or -1.
func (f *fleet) outNow() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.nodes {
		if m.left {
			return i
		}
	}
	return -1
}

// TestFleetRollsWithinItsBudget: real nodes roll to another release while a tenth of their datagrams is lost, twice or
// garbled, one node stalls and goes on, and the fleet falls apart into halves that may both let nobody go.
func TestFleetRollsWithinItsBudget(t *testing.T) {
	const nodes, budget = 6, 2
	f := newFleet(t, nodes, budget, 0.1)
	f.until("all are fit", func() bool { return f.fit("v1") == nodes })
	f.setRelease("v2")
	if got := f.ctl(3, "roll", "v2"); !strings.Contains(got, `"state":"fit"`) {
		t.Fatalf("roll: %s", got)
	}
	f.until("the first is out", func() bool { return f.outNow() >= 0 })
	stalled := (f.outNow() + 1) % nodes
	f.signal(stalled, syscall.SIGSTOP)
	f.relay.Split(nodes / 2)
	f.until("both halves know that they are alone", func() bool {
		n := 0
		for i := range nodes {
			if i != stalled && strings.Count(f.status(i), `"silent"`) >= nodes/2 {
				n++
			}
		}
		return n >= nodes-2
	})
	f.relay.Split(0)
	f.signal(stalled, syscall.SIGCONT)
	for end := time.Now().Add(patience); f.fit("v2") < nodes && time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if strings.Contains(f.status(0), `"halted"`) { // the split may have held a node up for longer than a release allows
			f.ctl(0, "resume")
		}
	}
	if n := f.fit("v2"); n != nodes {
		t.Fatalf("%d of %d nodes are fit with the next release: %s", n, nodes, f.status(0))
	}
	if most := f.peak(); most > budget || most == 0 {
		t.Errorf("%d nodes were out at once, %d may be", most, budget)
	}
}

// TestReleaseHaltsAndGoesBack: a node that went out for the release does not come back. No other goes; the operators see
// why, and roll back.
func TestReleaseHaltsAndGoesBack(t *testing.T) {
	const nodes = 4
	f := newFleet(t, nodes, 1, 0)
	f.until("all are fit", func() bool { return f.fit("v1") == nodes })
	f.setRelease("v2")
	for i := range nodes { // the next release does not start
		f.setDown(i, true)
	}
	f.ctl(0, "roll", "v2")
	f.until("one is out", func() bool { return f.outNow() >= 0 })
	lost := f.outNow()
	seer := (lost + 1) % nodes
	f.until("the release halts", func() bool { return strings.Contains(f.status(seer), `"halted":"not_returned"`) })
	if got := f.ctl(seer, "status"); !strings.Contains(got, fmt.Sprintf(`"halted_by":%d`, lost)) {
		t.Errorf("node %d did not return, status says %s", lost, got)
	}
	f.setRelease("v1")
	for i := range nodes {
		f.setDown(i, false)
	}
	f.ctl(seer, "roll", "v1")
	f.until("all are fit with the release before", func() bool { return f.fit("v1") == nodes })
	if most := f.peak(); most != 1 {
		t.Errorf("%d nodes were out at once, 1 may be", most)
	}
}

// TestBudgetMovesByReload: SIGHUP changes the budget of a running node, and a bad one changes nothing.
func TestBudgetMovesByReload(t *testing.T) {
	f := newFleet(t, 2, 1, 0)
	f.until("all are fit", func() bool { return f.fit("v1") == 2 })
	f.mu.Lock()
	f.budget(0, 99)
	f.mu.Unlock()
	f.signal(0, syscall.SIGHUP)
	f.until("the bad budget is refused", func() bool { return strings.Contains(f.nodes[0].log.String(), `"reload_refused"`) })
	f.mu.Lock()
	f.budget(0, 2)
	f.mu.Unlock()
	f.signal(0, syscall.SIGHUP)
	f.until("the budget moves", func() bool { return strings.Contains(f.status(0), `"budget":2`) })
}
