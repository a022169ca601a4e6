package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// MaxDatagram is the size in bytes of the longest datagram that the platform carries.
const MaxDatagram = 256

// openInterval is the time between two attempts of OpenLater's goroutine to open the socket at its address.
const openInterval = 20 * time.Millisecond

// Errors of Broadcast and SendTo. The datagram was not sent and is lost.
var (
	// ErrNotOpen says that the socket is not open yet because another process still uses the node's address.
	ErrNotOpen = errors.New("peers: the node's address is still in use")
	// ErrTooLong says that the datagram has more than MaxDatagram bytes.
	ErrTooLong = errors.New("peers: datagram too long")
	// ErrUnknownNode says that no node has the given index.
	ErrUnknownNode = errors.New("peers: unknown node")
)

// errListenChanged is the cause of the AddressError that UpdatePeers returns if this node's own address would change.
var errListenChanged = errors.New("cannot be changed while the node runs")

// Socket sends datagrams to the other nodes and receives datagrams from them. Its methods are safe for concurrent use, but
// Receive must have only one caller.
type Socket struct {
	listen    netip.AddrPort
	routes    atomic.Pointer[routes]
	conn      atomic.Pointer[net.UDPConn] // nil until the socket is open
	opened    chan struct{}               // closed by open when conn is set
	closed    chan struct{}               // closed by Close
	closeOnce sync.Once
}

// Open opens a node's UDP socket at the node's address and returns it.
func Open(a Addresses) (*Socket, error) {
	s, err := newSocket(a)
	if err != nil {
		return nil, err
	}
	if err := s.open(); err != nil {
		return nil, err
	}
	return s, nil
}

// OpenLater returns a node's socket whose address another process may still use. A goroutine opens the socket once that process
// releases the address. Until then sending fails with ErrNotOpen and Receive waits.
//
// The goroutine ends when it has opened the socket or Close is called.
func OpenLater(a Addresses) (*Socket, error) {
	s, err := newSocket(a)
	if err != nil {
		return nil, err
	}
	go s.openUntilClosed()
	return s, nil
}

func newSocket(a Addresses) (*Socket, error) {
	listen, r, err := a.parse()
	if err != nil {
		return nil, err
	}
	s := &Socket{listen: listen, opened: make(chan struct{}), closed: make(chan struct{})}
	s.routes.Store(r)
	return s, nil
}

func (s *Socket) open() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.listen))
	if err != nil {
		return &AddressError{Field: fieldListen, Err: err}
	}
	s.conn.Store(conn)
	close(s.opened)
	return nil
}

func (s *Socket) openUntilClosed() {
	for s.open() != nil {
		select {
		case <-s.closed:
			return
		case <-time.After(openInterval):
		}
	}
}

// UpdatePeers replaces the addresses of the other nodes. This node's own address must stay the same.
func (s *Socket) UpdatePeers(a Addresses) error {
	listen, r, err := a.parse()
	if err != nil {
		return err
	}
	if listen != s.listen {
		return &AddressError{Field: fieldListen, Err: fmt.Errorf("%w: %s to %s", errListenChanged, s.listen, listen)}
	}
	s.routes.Store(r)
	return nil
}

// Broadcast sends a datagram to all nodes. The datagram may be lost even if Broadcast returns no error.
func (s *Socket) Broadcast(data []byte) error {
	return s.write(data, s.routes.Load().broadcast)
}

// SendTo sends a datagram to the node with an index. The datagram may be lost even if SendTo returns no error.
func (s *Socket) SendTo(node int, data []byte) error {
	nodes := s.routes.Load().nodes
	if node < 0 || node >= len(nodes) {
		return fmt.Errorf("%w: index %d of %d", ErrUnknownNode, node, len(nodes))
	}
	return s.write(data, nodes[node])
}

func (s *Socket) write(data []byte, to netip.AddrPort) error {
	if len(data) > MaxDatagram {
		return fmt.Errorf("%w: %d bytes, %d are allowed", ErrTooLong, len(data), MaxDatagram)
	}
	conn := s.conn.Load()
	if conn == nil {
		return ErrNotOpen
	}
	_, err := conn.WriteToUDPAddrPort(data, to)
	return err
}

// Receive calls received for each datagram from another node, with that node's index. It calls foreign for each datagram that is
// too long or whose sender is not a peer, with the sender's address. Receive returns net.ErrClosed once the socket is closed. The
// function received may keep its argument data.
func (s *Socket) Receive(received func(from int, data []byte), foreign func(netip.AddrPort)) error {
	select {
	case <-s.opened:
	case <-s.closed:
		return net.ErrClosed
	}
	conn := s.conn.Load()
	buffer := make([]byte, MaxDatagram+1)
	for {
		n, sender, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return err
		}
		address := sender.Addr().Unmap()
		from, isPeer := s.routes.Load().indices[address]
		switch {
		case address == s.listen.Addr(): // this node's own broadcast, which it receives too, is ignored
		case !isPeer || n > MaxDatagram:
			foreign(sender)
		default:
			received(from, append([]byte(nil), buffer[:n]...))
		}
	}
}

// Close ends Receive and releases the address.
func (s *Socket) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	if conn := s.conn.Load(); conn != nil {
		return conn.Close()
	}
	return nil
}
