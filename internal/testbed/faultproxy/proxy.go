// Package faultproxy forwards the datagrams between the nodes of a fleet and emulates network faults: it drops, delays,
// duplicates, corrupts and reorders datagrams, and partitions nodes from each other. As on the platform, each node reaches
// every other node at an address that only this pair of nodes uses, so no datagram bypasses the proxy.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"
)

// Faults describes the faults of the network; the zero value is a network without faults. Dropped, Duplicated and Corrupted are
// the probabilities, from 0 to 1, that a datagram is dropped, duplicated or corrupted.
type Faults struct {
	Dropped, Duplicated, Corrupted float64
	Delay                          time.Duration // upper bound of a random delay of each datagram, which also reorders datagrams
}

// Proxy forwards datagrams until it is closed. It is safe for concurrent use.
type Proxy struct {
	faults  Faults
	sockets [][]*net.UDPConn // sockets[i][j] gets the datagrams of node i to node j, sockets[i][i] those to all nodes; see open
	nodes   []*net.UDPAddr   // addresses at which the nodes listen

	mu            sync.Mutex
	random        *rand.Rand
	isPartitioned map[direction]bool
	datagrams     int
	bytes         int
}

// direction identifies the datagrams that one node sends to another, by the numbers of the nodes.
type direction struct{ from, to int }

const (
	// nodePort is the port at which all nodes listen. Each node has an IP address of its own.
	nodePort = 7946
	// maxNodes is the number of nodes for which a network 127.x.0.0/16 has enough addresses.
	maxNodes = 250
	// broadcastHost is the last byte of the address at which a node reaches all other nodes.
	broadcastHost = 254
	// maxDatagram is the maximum size of a datagram, in bytes. Longer datagrams are truncated.
	maxDatagram = 2048
	// bindAttempts is the number of networks 127.x.0.0/16 that New tries before it fails.
	bindAttempts = 20
	// firstNetwork and numNetworks define the range from which New draws the x of 127.x.0.0/16.
	firstNetwork, numNetworks = 64, 150
)

// New starts a proxy between the given number of nodes, at most 250, in an unused part of 127.0.0.0/8. The seed and the
// order in which datagrams arrive decide which datagrams the faults affect. Close stops the proxy.
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

// open binds the addresses of all pairs of nodes in 127.network.0.0/16. Node i listens at 127.network.i+1.i+1 and sends to node j
// at 127.network.i+1.j+1. It reaches all other nodes at once at 127.network.i+1.254, whose socket is sockets[i][i].
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

// start starts forwarding datagrams, with one goroutine for each socket. A goroutine ends when Close closes its socket.
func (p *Proxy) start() {
	for i := range p.nodes {
		for j := range p.nodes {
			go p.forwardFrom(i, j)
		}
	}
}

// Addresses returns the addresses for the configuration of a node: the address at which it listens, the addresses of all
// nodes by node number, including its own, and the address at which it reaches all other nodes.
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

// forwardFrom forwards the datagrams that a node sends to another node. If from and to are equal, it forwards the datagrams
// to all other nodes.
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

// forward draws which faults affect a datagram. After the drawn delay it delivers no, one or two copies of the datagram.
func (p *Proxy) forward(path direction, datagram []byte) {
	data := slices.Clone(datagram) // a copy, because the caller reuses its buffer before the delay has passed
	copies, delay := p.drawFaults(path, data)
	for range copies {
		time.AfterFunc(delay, func() {
			// This socket has the address at which the receiver reaches the sender, so the receiver sees this address as the
			// source. Errors are ignored: a node that is not running cannot be reached, and datagrams may be lost.
			_, _ = p.sockets[path.to][path.from].WriteToUDP(data, p.nodes[path.to])
		})
	}
}

// drawFaults counts a datagram and draws the faults that affect it: the number of copies to deliver and their delay. To corrupt
// the datagram, it flips a bit of data.
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

// Split separates the nodes with the numbers 0 to nodes-1 from all other nodes: datagrams between the two groups are lost, in both
// directions. If nodes is 0, Split ends all partitions.
func (p *Proxy) Split(nodes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for from := range p.nodes {
		for to := range p.nodes {
			p.isPartitioned[direction{from, to}] = nodes > 0 && (from < nodes) != (to < nodes)
		}
	}
}

// Isolate partitions a node from all other nodes, in both directions. If isIsolated is false, it ends these partitions.
func (p *Proxy) Isolate(node int, isIsolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other := range p.nodes {
		p.isPartitioned[direction{node, other}] = isIsolated
		p.isPartitioned[direction{other, node}] = isIsolated
	}
}

// Carried returns how many datagrams the proxy received so far, and their total size in bytes. A datagram to all nodes counts
// once for each receiver.
func (p *Proxy) Carried() (datagrams, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.datagrams, p.bytes
}

// Close closes all sockets. Datagrams whose delay has not passed are lost.
func (p *Proxy) Close() {
	for _, row := range p.sockets {
		for _, socket := range row {
			if socket != nil {
				_ = socket.Close() // fails only if Close was called before
			}
		}
	}
}
