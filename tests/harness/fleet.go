package harness

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"shelfproxy/internal/testbed/faultproxy"
)

const (
	datagramDelay   = 20 * time.Millisecond // of the datagrams between the nodes of a fleet
	superviseEvery  = 3 * time.Millisecond  // between two looks at the nodes of a fleet
	controlTimeout  = time.Second           // of a query to a node's control socket
	loggedInFailure = 4000                  // bytes of each node's log that the message of a failure has
)

// FleetOptions describe a fleet.
type FleetOptions struct {
	Nodes  int
	Budget int // nodes that may be out of service at once; 0 is no rollout
	// FaultyPart is the part of the datagrams between nodes that is dropped, the part that is duplicated, and the part that
	// is corrupted.
	FaultyPart   float64
	OperatorFile string // what the operators' file has beside the times of the rollout
}

// Fleet is nodes that talk to each other through a proxy, and a simple supervisor that starts those again that ended. All
// know the same cache server, origin and discovery. Its methods are safe for concurrent use.
type Fleet struct {
	Proxy *faultproxy.Proxy

	t        testing.TB
	template *Node // whose configuration the nodes have, but for their addresses
	options  FleetOptions

	mu      sync.Mutex
	members []*member
	release string // that nodes are started with
	peakOut int    // highest number of nodes out of service by agreement at once
	stopped chan struct{}
	ended   sync.WaitGroup // the supervisor
}

// member is a node of a fleet.
type member struct {
	dir, listen string
	process     *Process
	log         *Log
	budget      int
	release     string // that its process was started with
	isDown      bool   // it is not started again
	isOut       bool   // an earlier process went out by agreement, and the one now is not ready yet
}

// NewFleet starts a fleet.
func NewFleet(t testing.TB, options FleetOptions) *Fleet {
	t.Helper()
	f := &Fleet{t: t, template: NewNode(t, NewCacheServer(t, Hit)), options: options, release: "v1", stopped: make(chan struct{})}
	f.Proxy = newFaultProxy(t, options.Nodes, faultproxy.Faults{Dropped: options.FaultyPart, Duplicated: options.FaultyPart,
		Corrupted: options.FaultyPart, Delay: datagramDelay})
	t.Cleanup(f.stop)
	for i := range options.Nodes {
		f.template.ChooseAddress()
		f.members = append(f.members, &member{dir: t.TempDir(), listen: f.template.Config.Listen})
		f.SetPeers(i, options.Nodes)
		f.SetBudget(i, options.Budget)
		f.start(i)
	}
	f.ended.Go(f.supervise)
	return f
}

func newFaultProxy(t testing.TB, nodes int, faults faultproxy.Faults) *faultproxy.Proxy {
	t.Helper()
	proxy, err := faultproxy.New(nodes, faults, 1)
	if err != nil {
		t.Fatalf("start the proxy between the nodes: %v", err)
	}
	t.Cleanup(proxy.Close)
	return proxy
}

// writeFleetConfig writes the configuration of a node of a fleet, of which the first peers nodes are its peers.
func writeFleetConfig(template *Node, path, listen string, proxy *faultproxy.Proxy, node, nodes, peers int) {
	config := template.Config
	settings := *config.Settings
	settings.Replicas, settings.Limits.MayGossip = nodes, true
	config.Settings, config.Listen = &settings, listen
	config.PeerListen, config.Peers, config.PeersAll = proxy.Addresses(node)
	config.Peers = config.Peers[:peers]
	WriteFile(template.t, path, config.encode(template.t))
}

func (m *member) configPath() string    { return filepath.Join(m.dir, "config.json") }
func (m *member) operatorPath() string  { return filepath.Join(m.dir, "op.toml") }
func (m *member) controlSocket() string { return filepath.Join(m.dir, "ctl") }

// SetPeers writes to a node's configuration that the first peers nodes are its peers.
func (f *Fleet) SetPeers(node, peers int) {
	f.t.Helper()
	m := f.member(node)
	writeFleetConfig(f.template, m.configPath(), m.listen, f.Proxy, node, f.options.Nodes, peers)
}

// SetBudget writes a budget of nodes out of service to a node's operators' file.
func (f *Fleet) SetBudget(node, budget int) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[node].budget = budget
	f.writeOperatorFile(node)
}

const fleetOperatorFile = `[shutdown]
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
`

func (f *Fleet) writeOperatorFile(node int) {
	m := f.members[node]
	WriteFile(f.t, m.operatorPath(), fmt.Sprintf(fleetOperatorFile, m.budget, f.release, m.controlSocket(), f.options.OperatorFile))
}

// start starts a node's process. The caller holds the lock, or is alone.
func (f *Fleet) start(node int) {
	m := f.members[node]
	m.release, m.log = f.release, &Log{}
	cmd := programWithConfig(m.configPath(), "--file", m.operatorPath())
	cmd.Stderr = m.log
	m.process = StartProcess(f.t, cmd)
}

// supervise starts nodes that ended and counts how many are out of service at once, until the fleet is stopped.
func (f *Fleet) supervise() {
	ticker := time.NewTicker(superviseEvery)
	defer ticker.Stop()
	for {
		select {
		case <-f.stopped:
			return
		case <-ticker.C:
			f.look()
		}
	}
}

// look is one look of the supervisor at all nodes.
func (f *Fleet) look() {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := 0
	for i, m := range f.members {
		m.updateOut(i)
		if m.isOut {
			out++
		}
		select {
		case <-m.process.Exited():
			if !m.isDown {
				f.writeOperatorFile(i)
				f.start(i)
			}
		default:
		}
	}
	f.peakOut = max(f.peakOut, out)
}

// updateOut finds in the log whether the node is out of service by agreement: from when it drains until its next process is
// ready.
func (m *member) updateOut(node int) {
	switch {
	case m.log.Contains(`"rollout_leaves"`):
		m.isOut = true
	case m.log.Contains(fmt.Sprintf(`"rollout_fit","node":%d,`, node)):
		m.isOut = false
	}
}

// stop ends the supervisor and kills all nodes.
func (f *Fleet) stop() {
	close(f.stopped)
	f.ended.Wait()
	for _, m := range f.members {
		if m.process != nil {
			m.process.Kill()
		}
	}
}

func (f *Fleet) member(node int) *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[node]
}

// Len returns the number of nodes.
func (f *Fleet) Len() int { return f.options.Nodes }

// Log returns what the present process of a node has logged.
func (f *Fleet) Log(node int) *Log {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.members[node].log
}

// String returns the end of every node's log.
func (f *Fleet) String() string {
	var text strings.Builder
	for i := range f.Len() {
		log := f.Log(i).String()
		fmt.Fprintf(&text, "\nnode %d: %s", i, log[max(0, len(log)-loggedInFailure):])
	}
	return text.String()
}

// WaitFor waits for a condition; the logs of the nodes go into the message of a failure.
func (f *Fleet) WaitFor(what string, condition func() bool) {
	f.t.Helper()
	WaitFor(f.t, what, condition, f)
}

// WaitForLog waits until the present process of a node has logged a text.
func (f *Fleet) WaitForLog(node int, text string) {
	f.t.Helper()
	f.WaitFor(fmt.Sprintf("node %d logs %s", node, text), func() bool { return f.Log(node).Contains(text) })
}

// Signal sends a signal to a node.
func (f *Fleet) Signal(node int, signal syscall.Signal) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[node].process.Signal(signal)
}

// SetDown says whether a node that ends stays down, or is started again.
func (f *Fleet) SetDown(node int, isDown bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members[node].isDown = isDown
}

// SetRelease sets the release that nodes are started with from now on.
func (f *Fleet) SetRelease(release string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.release = release
}

// Query returns the answer of a node's control socket, with its header; empty if the node does not answer.
func (f *Fleet) Query(node int, path string) string {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "unix", f.member(node).controlSocket())
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }() // it was only read
	if err := conn.SetDeadline(time.Now().Add(controlTimeout)); err != nil {
		return ""
	}
	if _, err := fmt.Fprintf(conn, "GET /%s HTTP/1.0\r\n\r\n", path); err != nil {
		return ""
	}
	answer, _ := io.ReadAll(conn) // a node that ends answers in part
	return string(answer)
}

// QueryJSON decodes the answer of a node's control socket. It is false if the node does not answer.
func (f *Fleet) QueryJSON(node int, path string, value any) bool {
	_, body, _ := strings.Cut(f.Query(node, path), "\r\n\r\n")
	return json.Unmarshal([]byte(body), value) == nil
}

// Status returns what a node says of the rollout.
func (f *Fleet) Status(node int) string { return f.Query(node, "status") }

// Ctl runs the verb ctl at a node and returns what it prints, behind "error: " if it fails.
func (f *Fleet) Ctl(node int, words ...string) string {
	output, err := ctl(f.t, f.member(node).controlSocket(), words...).CombinedOutput()
	if err != nil {
		return "error: " + string(output)
	}
	return string(output)
}

func ctl(t testing.TB, controlSocket string, words ...string) *exec.Cmd {
	return exec.CommandContext(t.Context(), NodeProgram, append([]string{"ctl", "--control", controlSocket}, words...)...)
}

// ReadyNodes returns how many nodes run a release, are in service and see all nodes ready.
func (f *Fleet) ReadyNodes(release string) (ready int) {
	for i := range f.Len() {
		if f.runs(i, release) && strings.Contains(f.Status(i), fmt.Sprintf(`"fit":%d,`, f.Len())) {
			ready++
		}
	}
	return ready
}

// runs reports whether a node runs a release and is in service.
func (f *Fleet) runs(node int, release string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[node]
	return m.release == release && !m.isOut
}

// WaitReady waits until all nodes run a release and are ready.
func (f *Fleet) WaitReady(release string) {
	f.t.Helper()
	f.WaitFor("all nodes are ready on "+release, func() bool { return f.ReadyNodes(release) == f.Len() })
}

// PeakOut returns the highest number of nodes that were out of service by agreement at once.
func (f *Fleet) PeakOut() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.peakOut
}

// NodeOut returns a node that is out of service by agreement; -1 if none is.
func (f *Fleet) NodeOut() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.members {
		if m.isOut {
			return i
		}
	}
	return -1
}

// WaitNodeOut waits until a node is out of service by agreement, and returns it.
func (f *Fleet) WaitNodeOut() int {
	f.t.Helper()
	f.WaitFor("a node is out of service", func() bool { return f.NodeOut() >= 0 })
	return f.NodeOut()
}
