package tests

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

// Tests on real sockets of the races that docs/crossings.md describes. Each test waits for a condition to bring two events into
// the order that it needs; none relies on timing.

// longDeadline is how long clients wait in tests whose result must not depend on how busy the machine is.
const longDeadline = time.Minute

// longRead holds the extra parameters of a read whose client waits for longDeadline.
const longRead = "c=read,d=60000"

// Names of the counters of reads that a node has received, and of attempts that it has started for them.
const (
	readsReceived = `flows_in{class="read"}`
	readAttempts  = `forwards_sent{class="read"}`
)

// startWithUnacceptingServer starts a node whose only cache server accepts no connection yet. The node waits for a connection to
// it for as long as clients wait for an answer.
func startWithUnacceptingServer(t *testing.T) (*harness.Node, *harness.UnacceptingServer) {
	t.Helper()
	server := harness.NewUnacceptingServer(t, harness.Hit)
	node := harness.NewNode(t, &server.CacheServer)
	node.Config.Settings.Limits.ConnectTimeout = int(longDeadline.Microseconds())
	node.SetDeadlines(longDeadline)
	return node.Start(), server
}

// checkNotSent fails the test if a request whose id starts with idPrefix was sent to the cache server.
func checkNotSent(t *testing.T, server *harness.CacheServer, idPrefix, why string) {
	t.Helper()
	for _, command := range server.Commands() {
		if strings.HasPrefix(command[2], idPrefix) {
			t.Errorf("%v was sent to a cache server %s", command, why)
		}
	}
}

// Guards against a request that is sent although its client is gone. The client disconnects while its request waits for a
// connection to the cache server. Once that connection is established, only the next client's request is sent on it.
func TestClientLeavesBeforeTheConnectionIsEstablished(t *testing.T) {
	t.Parallel()
	node, server := startWithUnacceptingServer(t)
	disconnecting := node.Dial().Send("CACHE.GET", "k", "left", longRead)
	node.WaitForCounter(readAttempts, 1)
	disconnecting.Disconnect()
	node.WaitForCounter("flows_client_left", 1)
	server.Accept(t)
	node.Dial().Send("CACHE.GET", "k", "next", longRead).Want("value-next")
	for _, command := range server.Commands() {
		if command[2] != "next" {
			t.Errorf("%v was sent to the cache server after its client had left", command)
		}
	}
}

// Guards against a disconnect that goes unnoticed because it lies behind unread bytes. A client sends more commands than may wait
// for answers, so the node stops reading, and then the client disconnects. The node has to notice, and must not forward the
// commands that it has not read.
func TestDisconnectIsSeenBehindUnreadCommands(t *testing.T) {
	t.Parallel()
	server, release := harness.NewStuckCacheServer(t)
	node := harness.NewNode(t, server)
	node.Config.Limits = harness.Limits{Cores: 1, MemoryMB: 32, Sockets: 256}
	node.SetDeadlines(longDeadline)
	node.Start()
	const maxOpen = 16 // requests that one connection may have open at this limit of memory
	disconnecting := node.Dial()
	for i := range 2 * maxOpen {
		disconnecting.Send("CACHE.GET", harness.StuckKey, fmt.Sprint(i), longRead)
	}
	other := node.Dial()
	node.WaitFor("the node has read as many commands as it may", func() bool { return other.Counter(readsReceived) == maxOpen })
	disconnecting.Disconnect()
	node.WaitForCounter("flows_client_left", maxOpen)
	release()
	other.Send("CACHE.GET", "other", "last", longRead).Want("value-last")
	if received := other.Counter(readsReceived); received != maxOpen+1 {
		t.Errorf("%d requests were received, want %d and the last", received, maxOpen)
	}
}

// Guards against requests that are forwarded although their client has disconnected. Clients send many requests and disconnect
// while the node is paused. When the node runs again it finds the requests and, behind them, the end of the connection. It must
// forward none of them, not even the first ones, which it reads before the end.
func TestRequestsOfClientsThatLeftDuringAPauseAreNotForwarded(t *testing.T) {
	t.Parallel()
	server := harness.NewCacheServer(t, harness.Hit)
	node := harness.NewNode(t, server)
	node.Config.Limits = harness.Limits{Cores: 4, MemoryMB: 192, Sockets: 1024} // 4 cores: the node's goroutines run in parallel
	node.Start()
	accepted := node.Dial()
	accepted.Get("k", "before").Want("value-before")
	disconnecting := []*harness.Client{accepted, node.Dial()} // one that the node has accepted, and one that it possibly has not
	node.Process.Pause()
	for _, client := range disconnecting {
		for i := range 80 {
			client.Get("k", fmt.Sprint("left", i, client.LocalAddr()))
		}
		client.Disconnect()
	}
	node.Process.Resume()
	node.Dial().Get("k", "next").Want("value-next")
	checkNotSent(t, server, "left", "after its client had left")
}

// Guards against a protocol error that the client never gets. A client with broken framing keeps sending, and closing a socket
// with unread bytes resets the connection. The node's error and then an orderly end of the connection have to reach the client.
func TestProtocolErrorIsDeliveredOverUnreadBytes(t *testing.T) {
	t.Parallel()
	client := harness.NewNode(t).Start().Dial()
	go func() { // returns when the connection ends
		_, _ = client.Write(append([]byte("nonsense\r\n"), make([]byte, 64<<10)...)) // fails if the node closes the connection first
	}()
	client.Want("-ERR")
	if _, err := client.Reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the error: %v, want %v", err, io.EOF)
	}
}

// Guards against requests that a shutdown loses. A partial command that its client completes after SIGTERM is answered. So are a
// request in flight and the request behind it. On a connection that the node has closed, no further request is read and
// forwarded.
func TestShutdownAnswersCommandsThatWereBegun(t *testing.T) {
	t.Parallel()
	server, release := harness.NewStuckCacheServer(t)
	node := harness.NewNode(t, server).Start()
	command := harness.GetCommand("k", "partial")
	partial, busy, idle := node.Dial(), node.Dial(), node.Dial()
	idle.Get("k", "first").Want("value-first")
	partial.Send("PING").Want("+PONG") // the answer shows that the node has accepted the connection
	busy.Get(harness.StuckKey, "in-flight").Get("k", "behind")
	node.WaitFor("the requests are in flight", func() bool { return len(server.Commands()) >= 2 })
	const begun = 30 // bytes of the command that are sent before SIGTERM
	write(t, partial, command[:begun])
	node.WaitFor("the partial command is read", partial.IsRead)
	node.Process.Signal(syscall.SIGTERM)
	node.WaitForLog("stopping")
	write(t, partial, command[begun:])
	partial.Want("value-partial")
	if answer := idle.Answer(); answer != harness.Closed { // waits until the node closes the idle connection
		t.Fatalf("answer %q on an idle connection, want it closed", answer)
	}
	idle.Get("k", "late")
	release()
	busy.Want("value-in-flight")
	busy.Want("value-behind")
	for _, client := range []*harness.Client{partial, busy, idle} {
		if answer := client.Answer(); answer != harness.Closed {
			t.Errorf("answer %q after the last one, want the connection closed", answer)
		}
	}
	node.WaitExit()
	checkNotSent(t, server, "late", "though it came after the shutdown")
}

func write(t *testing.T, client *harness.Client, bytes []byte) {
	t.Helper()
	if _, err := client.Write(bytes); err != nil {
		t.Fatalf("write to the node: %v", err)
	}
}

// A node that gets SIGTERM while its address is still taken ends at once and without an error.
func TestShutdownWhileTheAddressIsTaken(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t)
	node.OccupyAddress()
	node.Launch()
	node.WaitForLog("address_taken")
	node.Process.Signal(syscall.SIGTERM)
	node.WaitExit()
	if node.Log.Contains("in use") {
		t.Errorf("the node ended with the error that its address is in use: %s", node.Log)
	}
}

// resettingListener accepts connections on behalf of a cache server and can reset all of them.
type resettingListener struct {
	mu          sync.Mutex
	connections []net.Conn
}

// listen accepts connections for the server at a new address, which it sets as the server's address.
func (l *resettingListener) listen(t *testing.T, server *harness.CacheServer) {
	t.Helper()
	listener := harness.Listen(t, harness.LoopbackAddress())
	server.Address = listener.Addr().String()
	harness.ServeConnections(listener, func(conn net.Conn) {
		l.mu.Lock()
		l.connections = append(l.connections, conn)
		l.mu.Unlock()
		server.Serve(conn)
	})
}

func (l *resettingListener) reset(t *testing.T) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range l.connections {
		err := conn.(*net.TCPConn).SetLinger(0)
		if err == nil {
			err = conn.Close()
		}
		if err != nil && !errors.Is(err, net.ErrClosed) { // ErrClosed: the server has closed the connection already
			t.Fatalf("reset a connection: %v", err)
		}
	}
}

// Guards against a request that is lost because the node writes it to a connection that the server has closed. While the node is
// paused, the server closes an idle connection and a request arrives. When the node runs again it finds both, and has to send the
// request on another connection.
func TestRequestIsNotWrittenToAConnectionThatTheServerClosed(t *testing.T) {
	t.Parallel()
	server := harness.NewCacheServer(t, harness.Hit)
	var between resettingListener
	between.listen(t, server)
	node := harness.NewNode(t, server).Start()
	client := node.Dial()
	client.Get("k", "first").Want("value-first")
	node.Process.Pause()
	between.reset(t)
	client.Get("k", "second")
	node.Process.Resume()
	client.Want("value-second")
	if broken := client.Counter(`forwards_ended{class="read",end="broken"}`); broken > 0 {
		t.Errorf("%d attempts were written to a closed connection, want none", broken)
	}
}

// Guards against a request that is sent to a draining server. The server begins to drain while the request waits for a connection
// to it. The request goes to the origin instead, and the server gets nothing even after the connection is established.
func TestServerThatDrainsBeforeItsConnectionIsEstablishedGetsNothing(t *testing.T) {
	t.Parallel()
	node, server := startWithUnacceptingServer(t)
	client := node.Dial().Send("CACHE.GET", "k", "id", longRead)
	node.WaitForCounter(readAttempts, 1)
	drain(node, 43, server.Address)
	client.Want("from-origin-id")
	server.Accept(t)
	client.Send("CACHE.GET", "k", "next", longRead).Want("from-origin-next")
	if commands := server.Commands(); len(commands) > 0 {
		t.Errorf("%v were sent to a draining server, want none", commands)
	}
}

// drain publishes a version of the list in which the server s0 drains.
func drain(node *harness.Node, version int, address string) {
	node.Discovery.Publish(harness.NewList(version, false, drainingServer(address)))
}

func drainingServer(address string) harness.Instance {
	return harness.NewInstance("s0", address, harness.KindCacheServer, harness.Draining)
}

// SIGTERM arrives several times, right after a SIGHUP that reloads the configuration. The request in flight is answered, and the
// node exits without an error.
func TestRepeatedShutdownDuringAReloadAnswersWhatIsInFlight(t *testing.T) {
	t.Parallel()
	server, release := harness.NewStuckCacheServer(t)
	node := harness.NewNode(t, server).Start()
	client := node.Dial().Get(harness.StuckKey, "in-flight")
	node.WaitFor("the request is in flight", func() bool { return len(server.Commands()) == 1 })
	node.WriteConfigText(strings.Replace(node.ConfigText(), `"discovery":"`, `"discovery":"127.0.0.1:1","was":"`, 1))
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGTERM} {
		node.Process.Signal(signal)
	}
	if answer := node.Dial().Send("PING").Answer(); answer != "+PONG" { // the node accepts connections during the grace period
		t.Errorf("answer %q to PING after SIGTERM, want +PONG", answer)
	}
	node.Process.Signal(syscall.SIGTERM)
	release()
	client.Want("value-in-flight")
	node.WaitExit()
}

// Ten nodes start at once while discovery is down and their predecessors still hold their addresses for a moment. All of them
// answer PING within 10 s.
func TestTenNodesStartWithoutDiscovery(t *testing.T) {
	t.Parallel()
	const nodes, startTimeout = 10, 10 * time.Second
	var started []*harness.Node
	var occupied []net.Listener
	for range nodes {
		node := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit))
		node.Config.Discovery = "127.0.0.1:1"
		occupied = append(occupied, node.OccupyAddress())
		started = append(started, node)
	}
	began := time.Now()
	for _, node := range started {
		node.Launch()
	}
	for i, node := range started {
		node.WaitForLog("address_taken")
		if err := occupied[i].Close(); err != nil {
			t.Fatalf("release the address of node %d: %v", i, err)
		}
	}
	for _, node := range started {
		node.WaitListening()
		node.Dial().Send("PING").Want("+PONG")
	}
	if took := time.Since(began); took > startTimeout {
		t.Errorf("ready after %v, want at most %v", took, startTimeout)
	}
	started[0].Dial().Get("k", "id").Want("value-id") // served with the list in the node's configuration
}

// A server begins to drain while it works on two requests. The node waits for both and sends the server nothing else. The server
// answers the first request late, and the client gets that answer. The server stops in the middle of the second answer: no client
// gets the partial answer, and the client of the second request gets an error by its deadline.
func TestDrainingServerFinishesItsWork(t *testing.T) {
	t.Parallel()
	released := make(chan struct{})
	server := harness.NewCacheServer(t, func(command []string) string {
		switch command[1] {
		case "slow":
			<-released
		case "partial":
			return "*3\r\n$10\r\nhal"
		}
		return harness.Hit(command)
	})
	node := harness.NewNode(t, server).Start()
	slow := node.Dial().Get("slow", "slow")
	node.WaitFor("the slow request is in flight", func() bool { return len(server.Commands()) == 1 })
	partial := node.Dial().Send("CACHE.GET", "partial", "partial", "c=read,d=900")
	node.WaitFor("the other request is in flight", func() bool { return len(server.Commands()) == 2 })
	drain(node, 43, server.Address)
	node.WaitForCounter("discovery_lists", 2) // the first list of the watch, and the change with the drain
	next := node.Dial()
	next.Get("k", "next").Want("from-origin-next")
	partial.Want("-")
	close(released)
	slow.Want("value-slow")
	next.Get("partial", "retried").Want("from-origin-retried")
	if commands := server.Commands(); len(commands) != 2 {
		t.Errorf("%d requests were sent to a draining server, want the first two only", len(commands))
	}
}
