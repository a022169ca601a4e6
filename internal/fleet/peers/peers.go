// Package peers moves datagrams between the nodes of a tier. It decides nothing: what is sent is the module's, and
// what comes in goes to it.
package peers

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// MaxDatagram is the longest datagram that the platform takes.
const MaxDatagram = 256

// Addresses are where the nodes of a tier reach each other.
type Addresses struct {
	Listen    string
	Peers     []string // by the nodes' numbers, this node's own included
	Broadcast string   // reaches every node
}

// Socket sends to all nodes and receives from them.
type Socket struct {
	conn   atomic.Pointer[net.UDPConn] // nil until the address is free
	opened chan struct{}               // closed once it is
	closed chan struct{}
	once   sync.Once
	self   netip.AddrPort
	far    atomic.Pointer[far]
}

// far is where the other nodes are.
type far struct {
	all  netip.AddrPort
	to   []netip.AddrPort // by the nodes' numbers
	from map[netip.Addr]int
}

// Validate tells which field is no address.
func (a Addresses) Validate() error {
	_, _, _, err := a.parse()
	return err
}

func (a Addresses) parse() (listen, all netip.AddrPort, from map[netip.Addr]int, err error) {
	if listen, err = netip.ParseAddrPort(a.Listen); err != nil {
		return listen, all, nil, fmt.Errorf("peer_listen: %w", err)
	}
	if all, err = netip.ParseAddrPort(a.Broadcast); err != nil {
		return listen, all, nil, fmt.Errorf("peers_all: %w", err)
	}
	from = map[netip.Addr]int{}
	for i, p := range a.Peers {
		addr, err := netip.ParseAddrPort(p)
		if err != nil {
			return listen, all, nil, fmt.Errorf("peers[%d]: %w", i, err)
		}
		from[addr.Addr()] = i
	}
	return listen, all, from, nil
}

// Open opens a node's socket.
func Open(a Addresses) (*Socket, error) {
	s, err := newSocket(a)
	if err == nil {
		err = s.open()
	}
	if err != nil {
		return nil, err
	}
	return s, nil
}

// openEvery is how often Later looks whether the address is free.
const openEvery = 20 * time.Millisecond

// OpenLater makes a node's socket at an address that the process before may still hold: it is opened once that one lets go of it. Until
// then nothing is sent, as if it were lost.
func OpenLater(a Addresses) (*Socket, error) {
	s, err := newSocket(a)
	if err != nil {
		return nil, err
	}
	go func() {
		for s.open() != nil {
			select {
			case <-s.closed:
				return
			case <-time.After(openEvery):
			}
		}
	}()
	return s, nil
}

func newSocket(a Addresses) (*Socket, error) {
	listen, all, from, err := a.parse()
	if err != nil {
		return nil, err
	}
	s := &Socket{self: listen, opened: make(chan struct{}), closed: make(chan struct{})}
	s.set(a, all, from)
	return s, nil
}

func (s *Socket) open() error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.self))
	if err != nil {
		return fmt.Errorf("peer_listen: %w", err)
	}
	s.conn.Store(conn)
	close(s.opened)
	return nil
}

var errNotOpen = errors.New("peers: the address is not free yet")

func (s *Socket) write(data []byte, to netip.AddrPort) error {
	conn := s.conn.Load()
	if conn == nil {
		return errNotOpen
	}
	_, err := conn.WriteToUDPAddrPort(data, to)
	return err
}

func (s *Socket) set(a Addresses, all netip.AddrPort, from map[netip.Addr]int) {
	f := &far{all: all, from: from}
	for _, p := range a.Peers {
		f.to = append(f.to, netip.MustParseAddrPort(p)) // parse took it
	}
	s.far.Store(f)
}

// UpdatePeers takes other addresses of the other nodes. This node stays where it listens.
func (s *Socket) UpdatePeers(a Addresses) error {
	listen, all, from, err := a.parse()
	if err != nil {
		return err
	}
	if listen != s.self {
		return fmt.Errorf("peer_listen: %s can't become %s while the node runs", s.self, listen)
	}
	s.set(a, all, from)
	return nil
}

// CountChanges is how many nodes two lists differ by, of those added and of those taken away.
func (a Addresses) CountChanges(b Addresses) (n int) {
	for _, p := range a.Peers {
		if !slices.Contains(b.Peers, p) {
			n++
		}
	}
	for _, p := range b.Peers {
		if !slices.Contains(a.Peers, p) {
			n++
		}
	}
	return n
}

// Broadcast sends a datagram to all nodes. One that cannot be sent is lost, as any may be.
func (s *Socket) Broadcast(data []byte) error {
	if len(data) > MaxDatagram {
		return fmt.Errorf("peers: a datagram of %d bytes, %d are allowed", len(data), MaxDatagram)
	}
	return s.write(data, s.far.Load().all)
}

// SendTo sends a datagram to one node, by its number.
func (s *Socket) SendTo(node int, data []byte) error {
	to := s.far.Load().to
	if len(data) > MaxDatagram || node < 0 || node >= len(to) {
		return fmt.Errorf("peers: no datagram of %d bytes goes to node %d", len(data), node)
	}
	return s.write(data, to[node])
}

// Self is this node's number among the peers, -1 if it is not among them.
func (a Addresses) Self() int { return slices.Index(a.Peers, a.Listen) }

// Receive hands over every datagram of another node, with that node's number, and counts the others as foreign, until
// the socket is closed. The bytes belong to the receiver.
func (s *Socket) Receive(heard func(from int, data []byte), foreign func(netip.AddrPort)) error {
	select {
	case <-s.opened:
	case <-s.closed:
		return net.ErrClosed
	}
	conn := s.conn.Load()
	buf := make([]byte, MaxDatagram+1)
	for {
		n, addr, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return err
		}
		from, known := s.far.Load().from[addr.Addr().Unmap()]
		switch {
		case addr.Addr().Unmap() == s.self.Addr():
		case !known || n > MaxDatagram:
			foreign(addr)
		default:
			heard(from, append([]byte(nil), buf[:n]...))
		}
	}
}

// Close ends Receive, and frees the address.
func (s *Socket) Close() error {
	s.once.Do(func() { close(s.closed) })
	if conn := s.conn.Load(); conn != nil {
		return conn.Close()
	}
	return nil
}
