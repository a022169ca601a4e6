package harness

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Node is a node with its own discovery service and origin. Its fields may be changed until the node is started.
type Node struct {
	Config    Config
	Edits     []ConfigEdit // applied to the configuration when it is written
	Operator  string       // text of the operator file; empty for no file
	Program   string       // path of the node's program
	Discovery *Discovery
	Origin    *Origin
	Log       *Log
	Process   *Process // nil before Launch

	t          testing.TB
	configPath string
}

// NewNode prepares a node whose list has an origin and the given cache servers, with the ids s0, s1 and so on. It does not start
// it.
func NewNode(t testing.TB, servers ...*CacheServer) *Node {
	t.Helper()
	n := &Node{Config: defaultConfig(), Program: NodeProgram, Discovery: NewDiscovery(t), Origin: NewOrigin(t), Log: &Log{}, t: t,
		configPath: filepath.Join(t.TempDir(), "config.json")}
	instances := []Instance{NewInstance("o", n.Origin.Address, KindOrigin, Up)}
	for i, server := range servers {
		instances = append(instances, NewInstance(fmt.Sprint("s", i), server.Address, KindCacheServer, Up))
	}
	known := NewList(InitialVersion, true, instances...)
	n.Config.Known = &known
	n.Config.Discovery = n.Discovery.Address
	return n
}

// SetDeadlines sets the longest time that clients of any class may wait.
func (n *Node) SetDeadlines(deadline time.Duration) {
	for i := range n.Config.Settings.Classes {
		n.Config.Settings.Classes[i].Deadline = int(deadline.Microseconds())
	}
}

// ConfigText returns the text of the node's configuration file.
func (n *Node) ConfigText() string {
	n.t.Helper()
	return ReadFile(n.t, n.configPath)
}

// ConfigPath returns the path of the node's configuration file.
func (n *Node) ConfigPath() string { return n.configPath }

// WriteConfig writes the configuration, after the edits, to the node's configuration file.
func (n *Node) WriteConfig() {
	n.t.Helper()
	n.WriteConfigText(n.Config.encode(n.t, n.Edits...))
}

// WriteConfigText replaces the text of the node's configuration file.
func (n *Node) WriteConfigText(text string) {
	n.t.Helper()
	WriteFile(n.t, n.configPath, text)
}

// Command writes the configuration and returns a command that runs the node's program with it.
func (n *Node) Command(args ...string) *exec.Cmd {
	n.t.Helper()
	n.WriteConfig()
	return programWithConfig(n.Program, n.configPath, args...)
}

// programWithConfig returns a command that runs a node's program. No context ends the program; the caller has to.
func programWithConfig(program, configPath string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(context.Background(), program, args...)
	cmd.Env = append(os.Environ(), "LB_CONFIG="+configPath)
	return cmd
}

// Start starts the node and waits until it watches discovery and listens.
func (n *Node) Start() *Node {
	n.t.Helper()
	n.ChooseAddress()
	n.Launch()
	n.WaitFor("the node watches discovery", func() bool { return n.Discovery.UnseenWatches() > 0 })
	n.WaitListening()
	return n
}

// ChooseAddress chooses a free address for the node to listen at.
func (n *Node) ChooseAddress() {
	n.t.Helper()
	if err := n.OccupyAddress().Close(); err != nil {
		n.t.Fatalf("release the node's address: %v", err)
	}
}

// OccupyAddress chooses an address for the node to listen at, and occupies it until the listener is closed.
func (n *Node) OccupyAddress() net.Listener {
	n.t.Helper()
	listener := Listen(n.t, LoopbackAddress())
	n.Config.Listen = listener.Addr().String()
	return listener
}

// Launch starts the node's program without waiting until it serves. The cleanup of the test sends SIGTERM, and the test fails if
// the node then exits with an error.
func (n *Node) Launch() {
	n.t.Helper()
	cmd := n.Command()
	cmd.Stderr = n.Log
	if n.Operator != "" {
		path := filepath.Join(n.t.TempDir(), "operator.toml")
		WriteFile(n.t, path, n.Operator)
		cmd.Args = append(cmd.Args, "--file", path)
	}
	n.Process = StartProcess(n.t, cmd)
	n.t.Cleanup(func() {
		if err := n.Process.Terminate(); err != nil {
			n.t.Errorf("the node ended with %v: %s", err, n.Log)
		}
	})
}

// Reload writes the configuration and sends SIGHUP, so that the node reads it.
func (n *Node) Reload() {
	n.t.Helper()
	n.WriteConfig()
	n.Process.Signal(syscall.SIGHUP)
}

// WaitExit waits until the node has ended, and fails the test if the node exited with an error.
func (n *Node) WaitExit() {
	n.t.Helper()
	if err := n.Process.Wait(); err != nil {
		n.t.Errorf("the node ended with %v: %s", err, n.Log)
	}
}

// WaitFor waits for a condition. A failure message includes the node's log.
func (n *Node) WaitFor(what string, condition func() bool) {
	n.t.Helper()
	WaitFor(n.t, what, condition, n.Log)
}

// WaitForLog waits until the node has logged a text.
func (n *Node) WaitForLog(text string) {
	n.t.Helper()
	n.WaitFor("the log has "+text, func() bool { return n.Log.Contains(text) })
}

// WaitForCounter waits until a counter has exactly the given value.
func (n *Node) WaitForCounter(name string, value int) {
	n.t.Helper()
	observer := n.NewObserver()
	defer observer.Close()
	n.WaitFor(fmt.Sprintf("%s is %d", name, value), func() bool { return observer.Counter(name) == value })
}

// Observer reads counters of a node that may close the Observer's connection between two reads. A node with few descriptors
// closes idle connections.
type Observer struct {
	node   *Node
	client *Client
}

// NewObserver opens a connection for reading counters.
func (n *Node) NewObserver() *Observer {
	n.t.Helper()
	return &Observer{node: n, client: n.Dial()}
}

// Counter returns the value of a counter; 0 if the node has no such counter yet. It opens a new connection if the node has closed
// the last one.
func (o *Observer) Counter(name string) int {
	o.node.t.Helper()
	info := o.client.Info()
	if info == Closed {
		o.Close()
		o.client = o.node.Dial()
		info = o.client.Info()
	}
	return counterIn(o.node.t, info, name)
}

// Close closes the connection.
func (o *Observer) Close() { _ = o.client.Close() } // the node may already have closed the connection

// WaitListening waits until the node accepts connections.
func (n *Node) WaitListening() {
	n.t.Helper()
	n.WaitFor("the node listens", func() bool {
		conn, err := (&net.Dialer{}).DialContext(n.t.Context(), "tcp", n.Config.Listen)
		if err == nil {
			_ = conn.Close() // nothing was sent on this connection
		}
		return err == nil
	})
}

// Dial opens a client's connection, which the cleanup of the test closes. Reads fail once Timeout has passed since Dial.
func (n *Node) Dial() *Client {
	n.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(n.t.Context(), "tcp", n.Config.Listen)
	if err != nil {
		n.t.Fatalf("dial the node: %v", err)
	}
	n.t.Cleanup(func() { _ = conn.Close() }) // the test may already have closed the connection
	if err := conn.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		n.t.Fatalf("set the read deadline of a client: %v", err)
	}
	return &Client{Conn: conn, Reader: bufio.NewReader(conn), t: n.t}
}

// TryDial opens a connection without read or write deadlines. It returns nil if no connection is established within a second. The
// cleanup of the test closes the connection.
func (n *Node) TryDial() net.Conn {
	conn := n.TryDialWithin(time.Second)
	if conn != nil {
		n.t.Cleanup(func() { _ = conn.Close() }) // the test may already have closed the connection
	}
	return conn
}

// TryDialWithin opens a connection, which the caller closes. It returns nil if no connection is established within the timeout.
func (n *Node) TryDialWithin(timeout time.Duration) net.Conn {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", n.Config.Listen)
	if err != nil {
		return nil
	}
	return conn
}

// raceMemoryFactor is how many times as much memory a build with the race detector may use.
const raceMemoryFactor = 4

// MemoryLimit returns the memory limit, in MB, to configure for a node: the given one, or raceMemoryFactor times as much if the
// build has the race detector.
func MemoryLimit(megabytes int) int {
	if RaceEnabled {
		return raceMemoryFactor * megabytes
	}
	return megabytes
}

// CheckPeakMemory fails the test if the node's peak resident memory was above the given number of MB. It checks nothing if the
// node's program has the race detector, or if /proc does not have the figure.
func (n *Node) CheckPeakMemory(megabytes int) {
	n.t.Helper()
	kilobytes := n.PeakMemory()
	if RaceEnabled && n.Program == NodeProgram {
		return
	}
	if kilobytes > megabytes<<10 {
		n.t.Errorf("the node's peak memory was %d MB, want at most %d MB", kilobytes>>10, megabytes)
	}
}

// PeakMemory returns the node's peak resident memory in kB; 0 if /proc does not have the figure.
func (n *Node) PeakMemory() (kilobytes int) {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Process.PID()))
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if err != nil || !found || len(fields) == 0 {
		return 0
	}
	kilobytes, err = strconv.Atoi(fields[0])
	if err != nil {
		n.t.Fatalf("parse the node's peak memory: %v", err)
	}
	return kilobytes
}
