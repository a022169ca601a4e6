package tests

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

// Hosts of the nodes in these tests. The one under test is at ownHost; all its gossip goes to broadcastHost.
const (
	ownHost       = "127.0.0.1"
	firstPeer     = "127.0.0.2"
	secondPeer    = "127.0.0.3"
	broadcastHost = "127.0.0.4"
	strangerHost  = "127.0.0.9"
)

const (
	maxDatagram      = 256 // bytes
	unresponsiveFlag = 2   // in the last byte of a datagram whose last observation is of an unresponsive server
	// recentlyAlive is longer than the time for which a server that answered is not believed to be unresponsive.
	recentlyAlive = 600 * time.Millisecond
)

// enableGossip gives a node's configuration two other nodes. What it sends to all of them arrives at the socket that is returned.
func enableGossip(t *testing.T, node *harness.Node) (broadcast *net.UDPConn) {
	t.Helper()
	broadcast = listenUDP(t, broadcastHost)
	free := listenUDP(t, ownHost)
	listen := free.LocalAddr().String()
	if err := free.Close(); err != nil {
		t.Fatalf("give up the node's socket: %v", err)
	}
	node.Config.PeerListen, node.Config.PeersAll = listen, broadcast.LocalAddr().String()
	node.Config.Peers = []string{listen, firstPeer + ":1", secondPeer + ":1"}
	node.Config.Settings.Replicas = 3
	node.Config.Settings.Limits.MayGossip = true
	return broadcast
}

func listenUDP(t *testing.T, host string) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
	if err != nil {
		t.Skipf("no socket at %s: %v", host, err) // loopback is a /8 on Linux only
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may have closed it
	return conn
}

// receiveUnresponsive waits for a datagram that says that a server is unresponsive.
func receiveUnresponsive(t *testing.T, broadcast *net.UDPConn, log *harness.Log) []byte {
	t.Helper()
	if err := broadcast.SetReadDeadline(time.Now().Add(harness.Timeout)); err != nil {
		t.Fatalf("set the read deadline of a socket: %v", err)
	}
	for buffer := make([]byte, 2*maxDatagram); ; {
		size, err := broadcast.Read(buffer)
		if err != nil {
			t.Fatalf("no gossip of an unresponsive server: %v; log: %s", err, log)
		}
		if size > maxDatagram {
			t.Fatalf("a datagram of %d bytes, want %d at most", size, maxDatagram)
		}
		if buffer[size-1]&unresponsiveFlag != 0 {
			return buffer[:size]
		}
	}
}

// sendDatagram sends a datagram from a host to the node.
func sendDatagram(t *testing.T, node *harness.Node, host string, datagram []byte) {
	t.Helper()
	to, err := net.ResolveUDPAddr("udp4", node.Config.PeerListen)
	if err != nil {
		t.Fatalf("the address of the node's socket: %v", err)
	}
	conn, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)}, to)
	if err != nil {
		t.Fatalf("open a socket at %s: %v", host, err)
	}
	defer func() { _ = conn.Close() }() // the datagram is sent
	if _, err := conn.Write(datagram); err != nil {
		t.Fatalf("send a datagram from %s: %v", host, err)
	}
}

// readKeys reads twenty keys, each of which has to be served.
func readKeys(client *harness.Client, first int) {
	for i := first; i < first+20; i++ {
		client.Get(fmt.Sprint("key", i), fmt.Sprint("id", i)).Want("value-")
	}
}

// A node that finds a server down tells the others, and two that say so are believed. Datagrams of unknown senders and corrupt
// ones change nothing, and are counted.
func TestServerThatTwoNodesReportIsTakenOut(t *testing.T) {
	t.Parallel()
	down := harness.NewCacheServer(t, harness.Hit)
	down.StopAccepting(t)
	finder := harness.NewNode(t, down, harness.NewCacheServer(t, harness.Hit))
	broadcast := enableGossip(t, finder)
	readKeys(finder.Start().Dial(), 0) // some of them belong to the server that is down
	report := receiveUnresponsive(t, broadcast, finder.Log)

	up := harness.NewCacheServer(t, harness.Hit)
	other := harness.NewNode(t, up, harness.NewCacheServer(t, harness.Hit))
	enableGossip(t, other)
	client := other.Start().Dial()
	for range 3 {
		sendDatagram(t, other, strangerHost, report)
	}
	sendDatagram(t, other, firstPeer, make([]byte, maxDatagram+1))
	other.WaitForCounter("peers_foreign", 4)
	sendDatagram(t, other, firstPeer, []byte("what is this"))
	other.WaitForCounter("peers_heard", 1)
	if entries := other.Log.Count("peer_foreign"); entries != 1 {
		t.Errorf("%d log entries on datagrams of unknown senders, want one: %s", entries, other.Log)
	}
	readKeys(client, 0)
	if len(up.Commands()) == 0 {
		t.Fatal("gossip of an unknown sender took a server out")
	}
	time.Sleep(recentlyAlive) // the age that is believed is what is tested
	up.IgnoreHealthChecks()   // one that is answered would take the server back in
	sendDatagram(t, other, firstPeer, report)
	sendDatagram(t, other, secondPeer, report)
	other.WaitForLog("is unresponsive: removed from routing")
	before := len(up.Commands())
	readKeys(client, 100)
	if got := len(up.Commands()) - before; got != 0 {
		t.Errorf("a server that two nodes report as unresponsive got %d reads, want none", got)
	}
}

func TestInvalidPeersEndTheStart(t *testing.T) {
	t.Parallel()
	for field, change := range map[string]func(*harness.Config){
		"peers_all":   func(config *harness.Config) { config.PeersAll = "nowhere" },
		"peer_listen": func(config *harness.Config) { config.PeerListen = "127.0.0.1:x" },
		"peers[1]":    func(config *harness.Config) { config.Peers = []string{"127.0.0.1:1", "x"} },
	} {
		node := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit))
		enableGossip(t, node)
		change(&node.Config)
		output, err := node.Command().CombinedOutput()
		if err == nil || !strings.Contains(string(output), field) || strings.Count(string(output), "\n") != 1 {
			t.Errorf("%s: %v, %s; want one line that names the field", field, err, output)
		}
	}
}
