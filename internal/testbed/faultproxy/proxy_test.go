package faultproxy

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"
)

const (
	// receiveTimeout bounds the wait for a datagram, and so the duration of a test that fails.
	receiveTimeout = 10 * time.Second
	// noDatagramWait is the time in which no datagram may arrive if a test expects none.
	noDatagramWait = 100 * time.Millisecond
)

// testNode is the socket of a node behind a proxy, with the addresses that it sends to.
type testNode struct {
	*net.UDPConn
	peers []string
	all   string
}

func newNetwork(t *testing.T, nodes int, faults Faults) (*Proxy, []testNode) {
	t.Helper()
	proxy, err := New(nodes, faults, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	var out []testNode
	for i := range nodes {
		listen, peers, all := proxy.Addresses(i)
		addr, err := net.ResolveUDPAddr("udp4", listen)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.ListenUDP("udp4", addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := conn.Close(); err != nil {
				t.Error(err)
			}
		})
		out = append(out, testNode{conn, peers, all})
	}
	return proxy, out
}

func (n testNode) send(t *testing.T, to, text string) {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := n.WriteToUDP([]byte(text), addr); err != nil {
		t.Fatal(err)
	}
}

// receive returns the next datagram and the address of its sender. It returns "" if none arrives within the timeout.
func (n testNode) receive(t *testing.T, timeout time.Duration) (text, from string) {
	t.Helper()
	if err := n.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, maxDatagram)
	size, addr, err := n.ReadFromUDP(buffer)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return "", ""
	}
	if err != nil {
		t.Fatal(err)
	}
	return string(buffer[:size]), addr.String()
}

func (n testNode) wantDatagram(t *testing.T, text, from string) {
	t.Helper()
	if gotText, gotFrom := n.receive(t, receiveTimeout); gotText != text || gotFrom != from {
		t.Errorf("received %q from %s, want %q from %s", gotText, gotFrom, text, from)
	}
}

func (n testNode) wantNothing(t *testing.T) {
	t.Helper()
	if text, from := n.receive(t, noDatagramWait); text != "" {
		t.Errorf("received %q from %s, want nothing", text, from)
	}
}

func TestDatagramComesFromTheAddressThatStandsForItsSender(t *testing.T) {
	proxy, nodes := newNetwork(t, 3, Faults{})
	nodes[0].send(t, nodes[0].peers[1], "to one")
	nodes[1].wantDatagram(t, "to one", nodes[1].peers[0])
	nodes[0].send(t, nodes[0].all, "to all")
	nodes[1].wantDatagram(t, "to all", nodes[1].peers[0])
	nodes[2].wantDatagram(t, "to all", nodes[2].peers[0])
	if datagrams, bytes := proxy.Carried(); datagrams != 3 || bytes != 18 {
		t.Errorf("carried %d datagrams of %d bytes, want 3 of 18", datagrams, bytes)
	}
}

func TestPartitionsDropDatagramsUntilTheyEnd(t *testing.T) {
	proxy, nodes := newNetwork(t, 3, Faults{})
	proxy.Split(1)
	nodes[0].send(t, nodes[0].peers[1], "across the split")
	nodes[1].wantNothing(t)
	nodes[1].send(t, nodes[1].peers[2], "beside the split")
	nodes[2].wantDatagram(t, "beside the split", nodes[2].peers[1])
	proxy.Split(0)
	proxy.Isolate(2, true)
	nodes[2].send(t, nodes[2].all, "from the isolated node")
	nodes[0].wantNothing(t)
	nodes[0].send(t, nodes[0].all, "to all but the isolated node")
	nodes[1].wantDatagram(t, "to all but the isolated node", nodes[1].peers[0])
	proxy.Isolate(2, false)
	nodes[2].send(t, nodes[2].peers[0], "no longer isolated")
	nodes[0].wantDatagram(t, "no longer isolated", nodes[0].peers[2])
}

func TestFaultsHitDatagrams(t *testing.T) {
	const text = "datagram"
	t.Run("dropped", func(t *testing.T) {
		_, nodes := newNetwork(t, 2, Faults{Dropped: 1})
		nodes[0].send(t, nodes[0].peers[1], text)
		nodes[1].wantNothing(t)
	})
	t.Run("duplicated", func(t *testing.T) {
		_, nodes := newNetwork(t, 2, Faults{Duplicated: 1})
		nodes[0].send(t, nodes[0].peers[1], text)
		nodes[1].wantDatagram(t, text, nodes[1].peers[0])
		nodes[1].wantDatagram(t, text, nodes[1].peers[0])
	})
	t.Run("corrupted", func(t *testing.T) {
		_, nodes := newNetwork(t, 2, Faults{Corrupted: 1})
		nodes[0].send(t, nodes[0].peers[1], text)
		if got, _ := nodes[1].receive(t, receiveTimeout); got == text || len(got) != len(text) {
			t.Errorf("received %q, want %q with a changed bit", got, text)
		}
	})
}

func TestNumberOfNodesIsBounded(t *testing.T) {
	for _, nodes := range []int{0, maxNodes + 1} {
		if _, err := New(nodes, Faults{}, 1); err == nil {
			t.Errorf("New(%d) gave no error", nodes)
		}
	}
}
