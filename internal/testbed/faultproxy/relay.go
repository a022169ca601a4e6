// Package relay stands between the nodes of a fleet and does to their datagrams what networks do: it loses, delays,
// doubles, garbles and reorders them, and cuts pairs of nodes off from each other. Each node sees every other one under
// an address of that pair alone, as the platform has it, so nothing gets past the relay.
package faultproxy

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Faults are what happens to a datagram; the zero value is a good network. Shares are from 0 to 1.
type Faults struct {
	Dropped, Duplicated, Corrupted float64
	Delay                          time.Duration // each is late by up to so much, so that they overtake each other
}

// Proxy carries datagrams until it is closed.
type Proxy struct {
	mu      sync.Mutex
	rng     *rand.Rand
	faults  Faults
	cut     map[[2]int]bool
	socks   [][]*net.UDPConn // by the node that sees the address, and the node that it stands for; its own is for all
	to      []*net.UDPAddr
	carried int
	bytes   int
}

const port = 7946

// attempts at a part of loopback that nobody else uses.
const attempts = 20

// New opens the addresses between so many nodes, 250 at most, in a part of 127.0.0.0/8 of its own.
func New(nodes int, f Faults, seed uint64) (*Proxy, error) {
	if nodes < 1 || nodes > 250 {
		return nil, fmt.Errorf("relay: %d nodes, 1 to 250 can be", nodes)
	}
	var err error
	for range attempts {
		r := &Proxy{rng: rand.New(rand.NewPCG(seed, 1)), faults: f, cut: map[[2]int]bool{}}
		if err = r.open(nodes, byte(64+rand.IntN(150))); err == nil {
			for i := range nodes {
				for j := range nodes {
					go r.carry(i, j)
				}
			}
			return r, nil
		}
		r.Close()
	}
	return nil, fmt.Errorf("relay: %w", err)
}

func (r *Proxy) open(nodes int, net8 byte) error {
	addr := func(a, b int) *net.UDPAddr {
		return &net.UDPAddr{IP: net.IPv4(127, net8, byte(a+1), byte(b+1)), Port: port}
	}
	for i := range nodes {
		r.to = append(r.to, addr(i, i))
		r.socks = append(r.socks, make([]*net.UDPConn, nodes))
		for j := range nodes {
			at := addr(i, j)
			if i == j {
				at = addr(i, 254) // the one that stands for all others; the node listens at its own
			}
			c, err := net.ListenUDP("udp4", at)
			if err != nil {
				return err
			}
			r.socks[i][j] = c
		}
	}
	return nil
}

// Addresses are what a node is told: where it listens, where the others are, its own place included, and the address
// that reaches all.
func (r *Proxy) Addresses(node int) (listen string, peers []string, all string) {
	for j, c := range r.socks[node] {
		if j == node {
			peers = append(peers, r.to[node].String())
		} else {
			peers = append(peers, c.LocalAddr().String())
		}
	}
	return r.to[node].String(), peers, r.socks[node][node].LocalAddr().String()
}

// carry takes what node i sends to node j, or to all where they are the same.
func (r *Proxy) carry(i, j int) {
	buf := make([]byte, 2048)
	for {
		n, _, err := r.socks[i][j].ReadFromUDP(buf)
		if err != nil {
			return
		}
		if i != j {
			r.pass(i, j, buf[:n])
			continue
		}
		for k := range r.to {
			if k != i {
				r.pass(i, k, buf[:n])
			}
		}
	}
}

func (r *Proxy) pass(i, j int, data []byte) {
	data = append([]byte(nil), data...)
	r.mu.Lock()
	f := r.faults
	r.carried++
	r.bytes += len(data)
	times, delay := 1, time.Duration(0)
	if f.Delay > 0 {
		delay = time.Duration(r.rng.Int64N(int64(f.Delay)))
	}
	if r.rng.Float64() < f.Dropped || r.cut[[2]int{i, j}] {
		times = 0
	} else if r.rng.Float64() < f.Duplicated {
		times = 2
	}
	if r.rng.Float64() < f.Corrupted && len(data) > 0 {
		data[r.rng.IntN(len(data))] ^= 1 << r.rng.IntN(8)
	}
	r.mu.Unlock()
	for range times {
		time.AfterFunc(delay, func() { r.socks[j][i].WriteToUDP(data, r.to[j]) })
	}
}

// SetFaults changes what happens from now on.
func (r *Proxy) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Partition cuts what node i sends to node j, or lets it through again.
func (r *Proxy) Partition(i, j int, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut[[2]int{i, j}] = cut
}

// Split cuts the first n nodes off from the others, both ways; 0 heals every cut.
func (r *Proxy) Split(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.to {
		for j := range r.to {
			r.cut[[2]int{i, j}] = n > 0 && (i < n) != (j < n)
		}
	}
}

// Isolate cuts a node off from all others, both ways, or lets it back.
func (r *Proxy) Isolate(node int, cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for j := range r.to {
		r.cut[[2]int{node, j}], r.cut[[2]int{j, node}] = cut, cut
	}
}

// Carried is how many datagrams came in so far, and their bytes. One to all counts once for each that it is for.
func (r *Proxy) Carried() (datagrams, bytes int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.carried, r.bytes
}

// Close ends it.
func (r *Proxy) Close() {
	for _, row := range r.socks {
		for _, c := range row {
			if c != nil {
				c.Close()
			}
		}
	}
}
