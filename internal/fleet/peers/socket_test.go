package peers

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// The IP addresses of the tests: those of this node's peer, of this node, and of a sender that is no node of the fleet.
const (
	peerIP    = "127.0.0.2"
	ownIP     = "127.0.0.3"
	foreignIP = "127.0.0.4"
)

// holdAddress opens a UDP socket at a free port of an IP address.
func holdAddress(t *testing.T, address string) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(address), 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() }) // an error is ignored: the test may have closed conn already
	return conn
}

// release closes conn, so that another socket can use its address.
func release(t *testing.T, conn *net.UDPConn) {
	t.Helper()
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
}

func closeAtEnd(t *testing.T, socket *Socket) {
	t.Cleanup(func() {
		if err := socket.Close(); err != nil {
			t.Error(err)
		}
	})
}

// received is one datagram that Socket.Receive passed to one of its two functions.
type received struct {
	from      int // index of the sender; -1: the sender is no peer, or the datagram is too long
	data      string
	isForeign bool
}

// receiveAll receives the socket's datagrams in a goroutine until the test ends. It returns the channel on which they arrive.
func receiveAll(t *testing.T, socket *Socket) <-chan received {
	t.Helper()
	datagrams, done := make(chan received, 16), make(chan error, 1)
	go func() {
		done <- socket.Receive(
			func(from int, data []byte) { datagrams <- received{from: from, data: string(data)} },
			func(netip.AddrPort) { datagrams <- received{from: -1, isForeign: true} })
	}()
	t.Cleanup(func() {
		if err := socket.Close(); err != nil {
			t.Error(err)
		}
		if err := <-done; !errors.Is(err, net.ErrClosed) {
			t.Errorf("Receive: got %v, want %v", err, net.ErrClosed)
		}
	})
	return datagrams
}

// expectDatagram waits for the next datagram and compares it with the wanted one.
func expectDatagram(t *testing.T, datagrams <-chan received, want received) {
	t.Helper()
	select {
	case got := <-datagrams:
		if got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("got no datagram, want %+v", want)
	}
}

// TestDatagramsCarryTheSendersIndex: a node receives each peer's datagrams with that peer's index. Datagrams that are too long or
// whose sender is not a peer are passed to the function foreign.
func TestDatagramsCarryTheSendersIndex(t *testing.T) {
	peer, own, foreign := holdAddress(t, peerIP), holdAddress(t, ownIP), holdAddress(t, foreignIP)
	addresses := Addresses{
		Listen:    own.LocalAddr().String(),
		Peers:     []string{peer.LocalAddr().String(), own.LocalAddr().String()},
		Broadcast: peer.LocalAddr().String(),
	}
	release(t, own)
	socket, err := Open(addresses)
	if err != nil {
		t.Fatal(err)
	}
	datagrams := receiveAll(t, socket)
	to := net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addresses.Listen))
	for _, test := range []struct {
		from *net.UDPConn
		data []byte
		want received
	}{
		{peer, []byte("hello"), received{from: 0, data: "hello"}},
		{foreign, []byte("hello"), received{from: -1, isForeign: true}},
		{peer, make([]byte, MaxDatagram+1), received{from: -1, isForeign: true}},
	} {
		if _, err := test.from.WriteToUDP(test.data, to); err != nil {
			t.Fatal(err)
		}
		expectDatagram(t, datagrams, test.want)
	}
	sends := map[string]func([]byte) error{
		"Broadcast": socket.Broadcast,
		"SendTo":    func(data []byte) error { return socket.SendTo(0, data) },
	}
	for name, send := range sends {
		if err := send([]byte(name)); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		buffer := make([]byte, MaxDatagram)
		if err := peer.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		n, _, err := peer.ReadFromUDP(buffer)
		if err != nil || string(buffer[:n]) != name {
			t.Errorf("%s: got %q, %v, want %q", name, buffer[:n], err, name)
		}
		if err := send(make([]byte, MaxDatagram+1)); !errors.Is(err, ErrTooLong) {
			t.Errorf("%s of %d bytes: got %v, want %v", name, MaxDatagram+1, err, ErrTooLong)
		}
	}
	for _, node := range []int{-1, 2} {
		if err := socket.SendTo(node, nil); !errors.Is(err, ErrUnknownNode) {
			t.Errorf("to node %d: got %v, want %v", node, err, ErrUnknownNode)
		}
	}
}

// TestOpenLaterWaitsForTheAddress: while another process uses its address a socket sends nothing. Once the address is released,
// the socket receives.
func TestOpenLaterWaitsForTheAddress(t *testing.T) {
	peer, own := holdAddress(t, peerIP), holdAddress(t, ownIP)
	addresses := Addresses{
		Listen:    own.LocalAddr().String(),
		Peers:     []string{peer.LocalAddr().String(), own.LocalAddr().String()},
		Broadcast: peer.LocalAddr().String(),
	}
	if _, err := Open(addresses); !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("Open: got %v, want %v", err, syscall.EADDRINUSE)
	}
	socket, err := OpenLater(addresses)
	if err != nil {
		t.Fatal(err)
	}
	datagrams := receiveAll(t, socket)
	if err := socket.Broadcast(nil); !errors.Is(err, ErrNotOpen) {
		t.Errorf("got %v before the address is free, want %v", err, ErrNotOpen)
	}
	release(t, own)
	<-socket.opened
	if _, err := peer.WriteToUDP([]byte("hello"), net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addresses.Listen))); err != nil {
		t.Fatal(err)
	}
	expectDatagram(t, datagrams, received{from: 0, data: "hello"})
}

// TestPeersAreReplacedButNotTheOwnAddress: UpdatePeers can change the peers of an open socket, but not the socket's own address.
func TestPeersAreReplacedButNotTheOwnAddress(t *testing.T) {
	own := holdAddress(t, ownIP)
	addresses := Addresses{Listen: own.LocalAddr().String(), Broadcast: "127.0.0.9:1"}
	release(t, own)
	socket, err := Open(addresses)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, socket)
	if err := socket.SendTo(0, nil); !errors.Is(err, ErrUnknownNode) {
		t.Errorf("without peers: got %v, want %v", err, ErrUnknownNode)
	}
	addresses.Peers = []string{addresses.Listen}
	if err := socket.UpdatePeers(addresses); err != nil {
		t.Fatal(err)
	}
	if err := socket.SendTo(0, nil); err != nil {
		t.Errorf("with a peer: got %v, want none", err)
	}
	addresses.Listen = "127.0.0.5:1"
	var invalid *AddressError
	if err := socket.UpdatePeers(addresses); !errors.As(err, &invalid) || invalid.Field != fieldListen {
		t.Errorf("another own address: got %v, want an error of the field %s", err, fieldListen)
	}
}
