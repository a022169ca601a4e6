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

// Node is a node and all that it talks to. Its fields may be changed until it is started.
type Node struct {
	Config    Config
	Edits     []ConfigEdit // applied to the configuration when it is written
	Operator  string       // text of the operators' file; empty for none
	Discovery *Discovery
	Origin    *Origin
	Log       *Log
	Process   *Process // nil before Launch

	t          testing.TB
	configPath string
}

// NewNode prepares a node that knows an origin and these cache servers, named s0, s1 and so on.
func NewNode(t testing.TB, servers ...*CacheServer) *Node {
	t.Helper()
	n := &Node{Config: defaultConfig(), Discovery: NewDiscovery(t), Origin: NewOrigin(t), Log: &Log{}, t: t,
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

// ConfigText returns the configuration as the file of the node has it.
func (n *Node) ConfigText() string {
	n.t.Helper()
	return ReadFile(n.t, n.configPath)
}

// ConfigPath returns the path of the file of the configuration.
func (n *Node) ConfigPath() string { return n.configPath }

// WriteConfig writes the configuration to its file.
func (n *Node) WriteConfig() {
	n.t.Helper()
	n.WriteConfigText(n.Config.encode(n.t, n.Edits...))
}

// WriteConfigText writes another text to the file of the configuration.
func (n *Node) WriteConfigText(text string) {
	n.t.Helper()
	WriteFile(n.t, n.configPath, text)
}

// Command returns the node's program, ready to run with the present configuration.
func (n *Node) Command(args ...string) *exec.Cmd {
	n.t.Helper()
	n.WriteConfig()
	return programWithConfig(n.configPath, args...)
}

// programWithConfig returns the node's program. No context ends it: its user does, in order.
func programWithConfig(configPath string, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(context.Background(), NodeProgram, args...)
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
		n.t.Fatalf("give up the node's address: %v", err)
	}
}

// OccupyAddress chooses an address for the node to listen at, and occupies it until the listener is closed.
func (n *Node) OccupyAddress() net.Listener {
	n.t.Helper()
	listener := Listen(n.t, LoopbackAddress())
	n.Config.Listen = listener.Addr().String()
	return listener
}

// Launch starts the program and does not wait. At its end the test fails unless the node, told to end, ends as it should.
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

// Reload writes the configuration and tells the node to read it.
func (n *Node) Reload() {
	n.t.Helper()
	n.WriteConfig()
	n.Process.Signal(syscall.SIGHUP)
}

// WaitExit waits until the node has ended, and fails the test unless it ended as it should.
func (n *Node) WaitExit() {
	n.t.Helper()
	if err := n.Process.Wait(); err != nil {
		n.t.Errorf("the node ended with %v: %s", err, n.Log)
	}
}

// WaitFor waits for a condition; the node's log goes into the message of a failure.
func (n *Node) WaitFor(what string, condition func() bool) {
	n.t.Helper()
	WaitFor(n.t, what, condition, n.Log)
}

// WaitForLog waits until the node has logged a text.
func (n *Node) WaitForLog(text string) {
	n.t.Helper()
	n.WaitFor("the log has "+text, func() bool { return n.Log.Contains(text) })
}

// WaitForCounter waits until a counter has a value.
func (n *Node) WaitForCounter(name string, value int) {
	n.t.Helper()
	observer := n.NewObserver()
	defer observer.Close()
	n.WaitFor(fmt.Sprintf("%s is %d", name, value), func() bool { return observer.Counter(name) == value })
}

// Observer reads counters of a node that may close the connection between two reads, as one with few descriptors does with idle
// connections.
type Observer struct {
	node   *Node
	client *Client
}

// NewObserver opens a connection for reading counters.
func (n *Node) NewObserver() *Observer {
	n.t.Helper()
	return &Observer{node: n, client: n.Dial()}
}

// Counter returns a counter; 0 if it is not there. It opens another connection if the node has closed the last one.
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
func (o *Observer) Close() { _ = o.client.Close() } // the node may have closed it

// WaitListening waits until the node takes connections.
func (n *Node) WaitListening() {
	n.t.Helper()
	n.WaitFor("the node listens", func() bool {
		conn, err := (&net.Dialer{}).DialContext(n.t.Context(), "tcp", n.Config.Listen)
		if err == nil {
			_ = conn.Close() // it is only tried
		}
		return err == nil
	})
}

// Dial opens a client's connection, which the end of the test closes.
func (n *Node) Dial() *Client {
	n.t.Helper()
	conn, err := (&net.Dialer{}).DialContext(n.t.Context(), "tcp", n.Config.Listen)
	if err != nil {
		n.t.Fatalf("dial the node: %v", err)
	}
	n.t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	if err := conn.SetReadDeadline(time.Now().Add(Timeout)); err != nil {
		n.t.Fatalf("set the read deadline of a client: %v", err)
	}
	return &Client{Conn: conn, Reader: bufio.NewReader(conn), t: n.t}
}

// TryDial opens a connection without a deadline; nil where the node takes none just now. The end of the test closes it.
func (n *Node) TryDial() net.Conn {
	conn := n.TryDialWithin(time.Second)
	if conn != nil {
		n.t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	}
	return conn
}

// TryDialWithin opens a connection, whose user closes it; nil where the node does not take it within the timeout.
func (n *Node) TryDialWithin(timeout time.Duration) net.Conn {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(context.Background(), "tcp", n.Config.Listen)
	if err != nil {
		return nil
	}
	return conn
}

// raceMemoryFactor is how much more memory a build with the race detector may take.
const raceMemoryFactor = 4

// MemoryLimit returns a memory limit, in MB, for the build that is tested.
func MemoryLimit(megabytes int) int {
	if RaceEnabled {
		return raceMemoryFactor * megabytes
	}
	return megabytes
}

// CheckPeakMemory fails the test if the node ever held more memory, in MB, as far as the system tells. It checks nothing with
// the race detector.
func (n *Node) CheckPeakMemory(megabytes int) {
	n.t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.Process.PID()))
	_, rest, found := strings.Cut(string(status), "VmHWM:")
	fields := strings.Fields(rest)
	if err != nil || !found || len(fields) == 0 || RaceEnabled {
		return
	}
	kilobytes, err := strconv.Atoi(fields[0])
	if err != nil {
		n.t.Fatalf("the node's peak memory: %v", err)
	}
	if kilobytes > megabytes<<10 {
		n.t.Errorf("the node held %d MB, %d are allowed", kilobytes>>10, megabytes)
	}
}
