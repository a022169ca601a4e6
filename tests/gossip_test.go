package tests

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"shelfproxy/tests/harness"
)

// Hosts of the nodes in these tests. The node under test is at ownHost; all its gossip goes to broadcastHost.
const (
	ownHost       = "127.0.0.1"
	firstPeer     = "127.0.0.2"
	secondPeer    = "127.0.0.3"
	broadcastHost = "127.0.0.4"
	unknownHost   = "127.0.0.9"
)

const (
	maxDatagram      = 256 // bytes that a datagram may have at most
	unresponsiveFlag = 2   // bit in the last byte of a datagram, set if its last observation says that a server is unresponsive
	// recentlyAlive is longer than the time after a server's answer in which a node ignores reports that the server is
	// unresponsive.
	recentlyAlive = 600 * time.Millisecond
)

// enableGossip configures a node with two peers. It returns a socket that receives the datagrams that the node sends to its
// peers.
func enableGossip(t *testing.T, node *harness.Node) (broadcast *net.UDPConn) {
	t.Helper()
	broadcast = listenUDP(t, broadcastHost)
	free := listenUDP(t, ownHost)
	listen := free.LocalAddr().String()
	if err := free.Close(); err != nil {
		t.Fatalf("close the socket at the node's address: %v", err)
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
		t.Skipf("no socket at %s: %v", host, err) // only Linux has all of 127.0.0.0/8 on its loopback interface
	}
	t.Cleanup(func() { _ = conn.Close() }) // the test may already have closed the socket
	return conn
}

// receiveUnresponsive waits for a datagram that reports an unresponsive server, and returns it.
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
			t.Fatalf("a datagram of %d bytes, want at most %d", size, maxDatagram)
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
		t.Fatalf("resolve the address of the node's socket: %v", err)
	}
	conn, err := net.DialUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)}, to)
	if err != nil {
		t.Fatalf("open a socket at %s: %v", host, err)
	}
	defer func() { _ = conn.Close() }() // nothing more is sent, so an error of Close doesn't matter
	if _, err := conn.Write(datagram); err != nil {
		t.Fatalf("send a datagram from %s: %v", host, err)
	}
}

// readKeys reads twenty keys, numbered from first; each read has to be served.
func readKeys(client *harness.Client, first int) {
	for i := first; i < first+20; i++ {
		client.Get(fmt.Sprint("key", i), fmt.Sprint("id", i)).Want("value-")
	}
}

// A node that finds a server down reports this to its peers. A peer that gets such reports from two nodes sends the server no
// more reads. Datagrams that are corrupt or come from unknown senders are counted and change nothing.
func TestServerThatTwoNodesReportIsTakenOut(t *testing.T) {
	t.Parallel()
	down := harness.NewCacheServer(t, harness.Hit)
	down.StopAccepting(t)
	finder := harness.NewNode(t, down, harness.NewCacheServer(t, harness.Hit))
	broadcast := enableGossip(t, finder)
	readKeys(finder.Start().Dial(), 0) // the server that is down owns some of these keys
	report := receiveUnresponsive(t, broadcast, finder.Log)

	up := harness.NewCacheServer(t, harness.Hit)
	other := harness.NewNode(t, up, harness.NewCacheServer(t, harness.Hit))
	enableGossip(t, other)
	client := other.Start().Dial()
	for range 3 {
		sendDatagram(t, other, unknownHost, report)
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
	time.Sleep(recentlyAlive) // until then the server's last answer outweighs the reports
	up.IgnoreHealthChecks()   // an answered health check would bring the server back
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
