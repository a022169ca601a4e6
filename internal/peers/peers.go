// Package peers moves datagrams between the nodes of a tier. It decides nothing: what is sent is the module's, and
// what comes in goes to it.
package peers

import (
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync/atomic"
)

// MaxBytes is the longest datagram that the platform takes.
const MaxBytes = 256

// Addresses are where the nodes of a tier reach each other.
type Addresses struct {
	Listen string
	Peers  []string // by the nodes' numbers, this node's own included
	All    string   // reaches every node
}

// Socket sends to all nodes and receives from them.
type Socket struct {
	conn *net.UDPConn
	self netip.AddrPort
	far  atomic.Pointer[far]
}

// far is where the other nodes are.
type far struct {
	all  netip.AddrPort
	to   []netip.AddrPort // by the nodes' numbers
	from map[netip.Addr]int
}

// Check tells which field is no address.
func (a Addresses) Check() error {
	_, _, _, err := a.parse()
	return err
}

func (a Addresses) parse() (listen, all netip.AddrPort, from map[netip.Addr]int, err error) {
	if listen, err = netip.ParseAddrPort(a.Listen); err != nil {
		return listen, all, nil, fmt.Errorf("peer_listen: %w", err)
	}
	if all, err = netip.ParseAddrPort(a.All); err != nil {
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
	listen, all, from, err := a.parse()
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return nil, fmt.Errorf("peer_listen: %w", err)
	}
	s := &Socket{conn: conn, self: listen}
	s.set(a, all, from)
	return s, nil
}

func (s *Socket) set(a Addresses, all netip.AddrPort, from map[netip.Addr]int) {
	f := &far{all: all, from: from}
	for _, p := range a.Peers {
		f.to = append(f.to, netip.MustParseAddrPort(p)) // parse took it
	}
	s.far.Store(f)
}

// Move takes other addresses of the other nodes. This node stays where it listens.
func (s *Socket) Move(a Addresses) error {
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

// Changed is how many nodes two lists differ by, of those added and of those taken away.
func (a Addresses) Changed(b Addresses) (n int) {
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

// Tell sends a datagram to all nodes. One that cannot be sent is lost, as any may be.
func (s *Socket) Tell(data []byte) error {
	if len(data) > MaxBytes {
		return fmt.Errorf("peers: a datagram of %d bytes, %d are allowed", len(data), MaxBytes)
	}
	_, err := s.conn.WriteToUDPAddrPort(data, s.far.Load().all)
	return err
}

// TellTo sends a datagram to one node, by its number.
func (s *Socket) TellTo(node int, data []byte) error {
	to := s.far.Load().to
	if len(data) > MaxBytes || node < 0 || node >= len(to) {
		return fmt.Errorf("peers: no datagram of %d bytes goes to node %d", len(data), node)
	}
	_, err := s.conn.WriteToUDPAddrPort(data, to[node])
	return err
}

// Self is this node's number among the peers, -1 if it is not among them.
func (a Addresses) Self() int { return slices.Index(a.Peers, a.Listen) }

// Receive hands over every datagram of another node, with that node's number, and counts the others as foreign, until
// the socket is closed. The bytes belong to the receiver.
func (s *Socket) Receive(heard func(from int, data []byte), foreign func(netip.AddrPort)) error {
	buf := make([]byte, MaxBytes+1)
	for {
		n, addr, err := s.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return err
		}
		from, known := s.far.Load().from[addr.Addr().Unmap()]
		switch {
		case addr.Addr().Unmap() == s.self.Addr():
		case !known || n > MaxBytes:
			foreign(addr)
		default:
			heard(from, append([]byte(nil), buf[:n]...))
		}
	}
}

// Close ends Receive.
func (s *Socket) Close() error { return s.conn.Close() }
