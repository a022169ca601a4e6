// Package faultproxy stands between the nodes of a fleet and does to their datagrams what networks do: it drops, delays,
// duplicates, corrupts and reorders them, and partitions nodes from each other. Each node sees every other one under an
// address of that pair alone, as on the platform, so no datagram gets past the proxy.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Faults are the faults of the network; the zero value is a network without any. Each of the first three is the
// probability, from 0 to 1, that it happens to a datagram.
type Faults struct {
	Dropped, Duplicated, Corrupted float64
	Delay                          time.Duration // upper bound of a random delay, by which datagrams overtake each other
}

// Proxy forwards datagrams until it is closed. It is safe for concurrent use.
type Proxy struct {
	faults  Faults
	sockets [][]*net.UDPConn // by the node that sends to the address, and the node that it stands for; see open
	nodes   []*net.UDPAddr   // where the nodes listen

	mu            sync.Mutex
	random        *rand.Rand
	isPartitioned map[direction]bool
	datagrams     int
	bytes         int
}

// direction is what one node sends to another.
type direction struct{ from, to int }

const (
	// nodePort is the port at which nodes listen. Each has an IP address of its own.
	nodePort = 7946
	// maxNodes is the number of nodes that a part 127.x.0.0/16 of the loopback network has room for.
	maxNodes = 250
	// broadcastHost is the last byte of the address from which a node reaches all others.
	broadcastHost = 254
	// maxDatagram is the size of the largest datagram that is forwarded whole, in bytes.
	maxDatagram = 2048
	// bindAttempts is how many parts of the loopback network are tried before New fails.
	bindAttempts = 20
	// firstNetwork and numNetworks are the second bytes of the parts from which one is drawn.
	firstNetwork, numNetworks = 64, 150
)

// New opens the addresses between nodes, 250 at most, in a part of 127.0.0.0/8 that nobody else uses. The seed decides
// which datagrams the faults hit, as far as the order in which they arrive allows. Close ends it.
func New(nodes int, faults Faults, seed uint64) (*Proxy, error) {
	if nodes < 1 || nodes > maxNodes {
		return nil, fmt.Errorf("fault proxy: %d nodes, must be from 1 to %d", nodes, maxNodes)
	}
	var err error
	for range bindAttempts {
		proxy := &Proxy{random: rand.New(rand.NewPCG(seed, 1)), faults: faults, isPartitioned: map[direction]bool{}}
		if err = proxy.open(nodes, byte(firstNetwork+rand.IntN(numNetworks))); err == nil {
			proxy.start()
			return proxy, nil
		}
		proxy.Close()
	}
	return nil, fmt.Errorf("fault proxy: open the addresses of %d nodes: %w", nodes, err)
}

// open binds the addresses of all pairs of nodes in 127.network.0.0/16. Node i listens at 127.network.i+1.i+1 and sends
// to node j at 127.network.i+1.j+1. The socket of a node with itself is the one by which it reaches all others.
func (p *Proxy) open(nodes int, network byte) error {
	address := func(node, host int) *net.UDPAddr {
		return &net.UDPAddr{IP: net.IPv4(127, network, byte(node+1), byte(host)), Port: nodePort}
	}
	for i := range nodes {
		p.nodes = append(p.nodes, address(i, i+1))
		p.sockets = append(p.sockets, make([]*net.UDPConn, nodes))
		for j := range nodes {
			host := j + 1
			if i == j {
				host = broadcastHost
			}
			socket, err := net.ListenUDP("udp4", address(i, host))
			if err != nil {
				return err
			}
			p.sockets[i][j] = socket
		}
	}
	return nil
}

// start begins to forward, with one goroutine for each socket. A goroutine ends when Close closes its socket.
func (p *Proxy) start() {
	for i := range p.nodes {
		for j := range p.nodes {
			go p.forwardFrom(i, j)
		}
	}
}

// Addresses returns what a node is configured with: where it listens, the addresses of all nodes in their order, its own
// among them, and the address by which it reaches all others.
func (p *Proxy) Addresses(node int) (listen string, peers []string, all string) {
	for peer, socket := range p.sockets[node] {
		if peer == node {
			peers = append(peers, p.nodes[node].String())
		} else {
			peers = append(peers, socket.LocalAddr().String())
		}
	}
	return p.nodes[node].String(), peers, p.sockets[node][node].LocalAddr().String()
}

// forwardFrom forwards what a node sends to another one, or to all others if they are the same.
func (p *Proxy) forwardFrom(from, to int) {
	buffer := make([]byte, maxDatagram)
	for {
		size, _, err := p.sockets[from][to].ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if from != to {
			p.forward(direction{from, to}, buffer[:size])
			continue
		}
		for other := range p.nodes {
			if other != from {
				p.forward(direction{from, other}, buffer[:size])
			}
		}
	}
}

// forward delivers a datagram as the faults have it.
func (p *Proxy) forward(path direction, datagram []byte) {
	data := slices.Clone(datagram) // the caller reuses its buffer before the delay has passed
	copies, delay := p.drawFaults(path, data)
	for range copies {
		time.AfterFunc(delay, func() {
			// The node sees the address that stands for the sender. A node that is not running can't be reached, and
			// datagrams may be lost.
			_, _ = p.sockets[path.to][path.from].WriteToUDP(data, p.nodes[path.to])
		})
	}
}

// drawFaults counts a datagram and draws the faults that hit it. It may corrupt the data.
func (p *Proxy) drawFaults(path direction, data []byte) (copies int, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.datagrams++
	p.bytes += len(data)
	if p.faults.Delay > 0 {
		delay = time.Duration(p.random.Int64N(int64(p.faults.Delay)))
	}
	copies = 1
	if p.random.Float64() < p.faults.Dropped || p.isPartitioned[path] {
		copies = 0
	} else if p.random.Float64() < p.faults.Duplicated {
		copies = 2
	}
	if p.random.Float64() < p.faults.Corrupted && len(data) > 0 {
		data[p.random.IntN(len(data))] ^= 1 << p.random.IntN(8)
	}
	return copies, delay
}

// Split partitions the first nodes from the others, in both directions; 0 ends all partitions.
func (p *Proxy) Split(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for from := range p.nodes {
		for to := range p.nodes {
			p.isPartitioned[direction{from, to}] = nodes > 0 && (from < nodes) != (to < nodes)
		}
	}
}

// Isolate partitions a node from all others, in both directions, or ends its partitions.
func (p *Proxy) Isolate(node int, isIsolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other := range p.nodes {
		p.isPartitioned[direction{node, other}] = isIsolated
		p.isPartitioned[direction{other, node}] = isIsolated
	}
}

// Carried returns how many datagrams arrived so far, and their bytes. One to all nodes counts once for each receiver.
func (p *Proxy) Carried() (datagrams, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.datagrams, p.bytes
}

// Close closes all addresses. Datagrams that are still delayed are lost.
func (p *Proxy) Close() {
	for _, row := range p.sockets {
		for _, socket := range row {
			if socket != nil {
				_ = socket.Close() // a second call finds it closed
			}
		}
	}
}
