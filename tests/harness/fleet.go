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
	datagramDelay     = 20 * time.Millisecond // upper bound of the random delay of datagrams between the nodes of a fleet
	superviseInterval = 3 * time.Millisecond  // interval between two checks of all nodes by the supervisor of a fleet
	controlTimeout    = time.Second           // timeout of a query to a node's control socket
	failureLogBytes   = 4000                  // bytes of each node's log that a failure message includes
)

// FleetOptions are the options of NewFleet.
type FleetOptions struct {
	Nodes  int
	Budget int // nodes that may be out of service at once; 0 means no rollout
	// FaultyFraction is the fraction of the datagrams between nodes that is dropped. The same fraction is duplicated, and the same
	// fraction corrupted.
	FaultyFraction float64
	OperatorFile   string // text that is appended to the operator file of every node
}

// Fleet is a set of nodes that exchange datagrams through a proxy, with a simple supervisor that restarts nodes that have ended.
// All nodes use the same cache server, origin and discovery service. Its methods are safe for concurrent use.
type Fleet struct {
	Proxy *faultproxy.Proxy

	t        testing.TB
	template *Node // the nodes have its configuration, except for addresses and peers
	options  FleetOptions

	mu      sync.Mutex
	members []*member
	release string // release that nodes are started with
	peakOut int    // highest number of nodes out of service by agreement at once
	stopped chan struct{}
	ended   sync.WaitGroup // waits for the goroutine of the supervisor
}

// member is a node of a fleet.
type member struct {
	dir, listen string
	process     *Process
	log         *Log
	budget      int
	release     string // release that its process was started with
	isDown      bool   // the supervisor does not restart the node when it ends
	isOut       bool   // the node left service by agreement, and no process of it has been ready since
}

// NewFleet starts a fleet, which the cleanup of the test stops.
func NewFleet(t testing.TB, options FleetOptions) *Fleet {
	t.Helper()
	f := &Fleet{t: t, template: NewNode(t, NewCacheServer(t, Hit)), options: options, release: "v1", stopped: make(chan struct{})}
	f.Proxy = newFaultProxy(t, options.Nodes, faultproxy.Faults{Dropped: options.FaultyFraction, Duplicated: options.FaultyFraction,
		Corrupted: options.FaultyFraction, Delay: datagramDelay})
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

// writeFleetConfig writes the configuration of a node of a fleet. Its list of peers has the first peers nodes of the fleet.
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

// SetPeers rewrites a node's configuration so that its list of peers has the first peers nodes of the fleet.
func (f *Fleet) SetPeers(node, peers int) {
	f.t.Helper()
	m := f.member(node)
	writeFleetConfig(f.template, m.configPath(), m.listen, f.Proxy, node, f.options.Nodes, peers)
}

// SetBudget writes to a node's operator file how many nodes may be out of service at once.
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

// start starts a node's process. The caller holds the lock, unless the supervisor does not run yet.
func (f *Fleet) start(node int) {
	m := f.members[node]
	m.release, m.log = f.release, &Log{}
	cmd := programWithConfig(NodeProgram, m.configPath(), "--file", m.operatorPath())
	cmd.Stderr = m.log
	m.process = StartProcess(f.t, cmd)
}

// supervise restarts nodes that have ended and counts how many are out of service at once, until the fleet is stopped.
func (f *Fleet) supervise() {
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-f.stopped:
			return
		case <-ticker.C:
			f.checkNodes()
		}
	}
}

// checkNodes checks all nodes once: it updates which are out of service and restarts those that have ended.
func (f *Fleet) checkNodes() {
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

// updateOut finds out from the log whether the node is out of service by agreement. The node is out of service from the start of
// its drain until its next process is ready.
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

// Log returns the log of a node's current process.
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
		fmt.Fprintf(&text, "\nnode %d: %s", i, log[max(0, len(log)-failureLogBytes):])
	}
	return text.String()
}

// WaitFor waits for a condition. A failure message includes the end of every node's log.
func (f *Fleet) WaitFor(what string, condition func() bool) {
	f.t.Helper()
	WaitFor(f.t, what, condition, f)
}

// WaitForLog waits until the current process of a node has logged a text.
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

// SetDown sets whether a node that ends stays down or is restarted.
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

// Query returns the answer of a node's control socket, including the HTTP header. It is empty if the node does not answer.
func (f *Fleet) Query(node int, path string) string {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "unix", f.member(node).controlSocket())
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }() // the answer has been read, so an error of Close doesn't matter
	if err := conn.SetDeadline(time.Now().Add(controlTimeout)); err != nil {
		return ""
	}
	if _, err := fmt.Fprintf(conn, "GET /%s HTTP/1.0\r\n\r\n", path); err != nil {
		return ""
	}
	answer, _ := io.ReadAll(conn) // a node that exits meanwhile gives only part of an answer
	return string(answer)
}

// QueryJSON decodes the answer of a node's control socket into value. It returns false if the node gives no valid answer.
func (f *Fleet) QueryJSON(node int, path string, value any) bool {
	_, body, _ := strings.Cut(f.Query(node, path), "\r\n\r\n")
	return json.Unmarshal([]byte(body), value) == nil
}

// Status returns the status of the rollout as a node reports it.
func (f *Fleet) Status(node int) string { return f.Query(node, "status") }

// Ctl runs the subcommand ctl against a node and returns its output. If it fails, the output is prefixed with "error: ".
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

// ReadyNodes returns how many nodes run a release, are in service and report that all nodes are ready.
func (f *Fleet) ReadyNodes(release string) (ready int) {
	for i := range f.Len() {
		if f.runs(i, release) && strings.Contains(f.Status(i), fmt.Sprintf(`"fit":%d,`, f.Len())) {
			ready++
		}
	}
	return ready
}

// runs reports whether a node runs the given release and is in service.
func (f *Fleet) runs(node int, release string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[node]
	return m.release == release && !m.isOut
}

// WaitReady waits until all nodes run the given release and are ready.
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

// NodeOut returns the number of a node that is out of service by agreement; -1 if there is none.
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

// WaitNodeOut waits until a node is out of service by agreement, and returns its number.
func (f *Fleet) WaitNodeOut() int {
	f.t.Helper()
	f.WaitFor("a node is out of service", func() bool { return f.NodeOut() >= 0 })
	return f.NodeOut()
}
