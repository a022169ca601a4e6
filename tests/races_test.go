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

// Tests of docs/crossings.md on real sockets. Each forces two events to race by a condition that it waits for, never by time.

// longDeadline is the longest wait of clients where a busy machine must not change the result.
const longDeadline = time.Minute

// longRead are the extras of a read whose client waits for longDeadline.
const longRead = "c=read,d=60000"

// Counters of reads.
const (
	readsReceived = `flows_in{class="read"}`
	readAttempts  = `forwards_sent{class="read"}`
)

// startWithUnacceptingServer starts a node whose one cache server accepts no connection yet; the node waits for it as long as
// its clients do.
func startWithUnacceptingServer(t *testing.T) (*harness.Node, *harness.UnacceptingServer) {
	t.Helper()
	server := harness.NewUnacceptingServer(t, harness.Hit)
	node := harness.NewNode(t, &server.CacheServer)
	node.Config.Settings.Limits.ConnectTimeout = int(longDeadline.Microseconds())
	node.SetDeadlines(longDeadline)
	return node.Start(), server
}

// checkNotSent fails the test if a request whose id starts so was sent to a cache server.
func checkNotSent(t *testing.T, server *harness.CacheServer, idPrefix, why string) {
	t.Helper()
	for _, command := range server.Commands() {
		if strings.HasPrefix(command[2], idPrefix) {
			t.Errorf("%v was sent to a cache server %s", command, why)
		}
	}
}

// A client leaves while the connection that its request waits for is not established. Once it is, it carries the next request
// only.
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

// A client sends more commands than may wait for answers, so that the node does not read them all, and leaves. That is seen over
// the unread bytes, and none of these commands is forwarded.
func TestDisconnectIsSeenBehindUnreadCommands(t *testing.T) {
	t.Parallel()
	server, release := harness.NewStuckCacheServer(t)
	node := harness.NewNode(t, server)
	node.Config.Limits = harness.Limits{Cores: 1, MemoryMB: 32, Sockets: 256}
	node.SetDeadlines(longDeadline)
	node.Start()
	const maxOpen = 16 // requests that one connection may have open at this memory
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

// Clients send many requests and leave while the node does not run. As it runs again it finds both, and forwards nothing: not
// even the first ones, while the end still lies behind the others.
func TestRequestsOfClientsThatLeftDuringAPauseAreNotForwarded(t *testing.T) {
	t.Parallel()
	server := harness.NewCacheServer(t, harness.Hit)
	node := harness.NewNode(t, server)
	node.Config.Limits = harness.Limits{Cores: 4, MemoryMB: 192, Sockets: 1024} // its parts run in parallel
	node.Start()
	accepted := node.Dial()
	accepted.Get("k", "before").Want("value-before")
	disconnecting := []*harness.Client{accepted, node.Dial()} // on an accepted connection, and on one that is not accepted yet
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

// A client whose framing is broken sends on and on. The node's error reaches it, and then an orderly end: no reset over the bytes
// that noNode read.
func TestProtocolErrorIsDeliveredOverUnreadBytes(t *testing.T) {
	t.Parallel()
	client := harness.NewNode(t).Start().Dial()
	go func() { // ends with the connection
		_, _ = client.Write(append([]byte("nonsense\r\n"), make([]byte, 64<<10)...)) // the node ends the connection meanwhile
	}()
	client.Want("-ERR")
	if _, err := client.Reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("after the error: %v, want %v", err, io.EOF)
	}
}

// SIGTERM, and what each client has just then: a partial command that is completed is answered; so are a request in flight and
// those behind it; on a connection that the node has closed nothing more is read and forwarded, however it ends.
func TestShutdownAnswersCommandsThatWereBegun(t *testing.T) {
	t.Parallel()
	server, release := harness.NewStuckCacheServer(t)
	node := harness.NewNode(t, server).Start()
	command := harness.GetCommand("k", "partial")
	partial, busy, idle := node.Dial(), node.Dial(), node.Dial()
	idle.Get("k", "first").Want("value-first")
	partial.Send("PING").Want("+PONG") // the node has accepted it
	busy.Get(harness.StuckKey, "in-flight").Get("k", "behind")
	node.WaitFor("the requests are in flight", func() bool { return len(server.Commands()) >= 2 })
	const begun = 30 // bytes of the command
	write(t, partial, command[:begun])
	node.WaitFor("the partial command is read", partial.IsRead)
	node.Process.Signal(syscall.SIGTERM)
	node.WaitForLog("stopping")
	write(t, partial, command[begun:])
	partial.Want("value-partial")
	if answer := idle.Answer(); answer != harness.Closed { // it is idle until the node ends it
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

// SIGTERM while the address is still taken: the node ends at once and in order.
func TestShutdownWhileTheAddressIsTaken(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t)
	node.OccupyAddress()
	node.Launch()
	node.WaitForLog("address_taken")
	node.Process.Signal(syscall.SIGTERM)
	node.WaitExit()
	if node.Log.Contains("in use") {
		t.Errorf("it ended with an error: %s", node.Log)
	}
}

// resettingListener accepts connections for a cache server and can reset all of them.
type resettingListener struct {
	mu          sync.Mutex
	connections []net.Conn
}

// listen accepts connections for the server, whose address becomes that of the listener.
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
		if err != nil && !errors.Is(err, net.ErrClosed) { // the node may have closed one
			t.Fatalf("reset a connection: %v", err)
		}
	}
}

// A server closes an idle connection just as a request comes, while the node does not run. As it runs again it finds both: the
// request is not written to the closed connection, where it would be lost.
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
		t.Errorf("%d attempts were written to a connection that had ended, want none", broken)
	}
}

// A server begins to drain while a request waits for the connection to it. The request goes elsewhere, and nothing to the server,
// though the connection is established.
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
		t.Errorf("%v were sent to a server that drains, want none", commands)
	}
}

// drain publishes a version of the list in which the server s0 drains.
func drain(node *harness.Node, version int, address string) {
	node.Discovery.Publish(harness.NewList(version, false, drainingServer(address)))
}

func drainingServer(address string) harness.Instance {
	return harness.NewInstance("s0", address, harness.KindCacheServer, harness.Draining)
}

// SIGTERM comes twice, and a reload just before: what is in flight is answered, and the node ends in order.
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
	if answer := node.Dial().Send("PING").Answer(); answer != "+PONG" { // it goes on accepting for the grace
		t.Errorf("answer %q to PING after SIGTERM, want +PONG", answer)
	}
	node.Process.Signal(syscall.SIGTERM)
	release()
	client.Want("value-in-flight")
	node.WaitExit()
}

// Ten nodes start at once, with discovery down and their addresses taken for a moment by those before: all answer PING within
// 10 s.
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
			t.Fatalf("give up the address of node %d: %v", i, err)
		}
	}
	for _, node := range started {
		node.WaitListening()
		node.Dial().Send("PING").Want("+PONG")
	}
	if took := time.Since(began); took > startTimeout {
		t.Errorf("ready after %v, want %v at most", took, startTimeout)
	}
	started[0].Dial().Get("k", "id").Want("value-id") // by the list that it knows from its start
}

// A server begins to drain while it is at work, and stops in the middle of an answer. What it had begun is waited for, and nothing
// else is sent there; a partial answer that never ends reaches noNode, and its client is answered in its time.
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
	node.WaitForCounter("discovery_lists", 2) // the first one of the watch, and the drain
	next := node.Dial()
	next.Get("k", "next").Want("from-origin-next")
	partial.Want("-")
	close(released)
	slow.Want("value-slow")
	next.Get("partial", "retried").Want("from-origin-retried")
	if commands := server.Commands(); len(commands) != 2 {
		t.Errorf("%d requests were sent to a server that drains, want the first two", len(commands))
	}
}
