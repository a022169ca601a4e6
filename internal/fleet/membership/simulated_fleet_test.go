package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"shelfproxy/internal/fleet/datagram"
)

const (
	testInterval    = 500 * time.Millisecond // ProbeInterval of the tests
	testTimeout     = 100 * time.Millisecond // ProbeTimeout of the tests
	testSuspicion   = 2                      // SuspicionFactor of the tests
	simulationTick  = 25 * time.Millisecond
	maxTestLatency  = 27 * time.Millisecond // upper bound of the latency of a datagram
	convergeTimeout = 2 * time.Minute
)

// testConfig returns the configuration of node self in a test fleet.
func testConfig(self, nodes int) Config {
	return Config{Self: self, Nodes: nodes, Incarnation: minIncarnation, ProbeInterval: testInterval, ProbeTimeout: testTimeout, SuspicionFactor: testSuspicion}
}

// newTestCore returns the core of node 0 in a test fleet.
func newTestCore(t interface{ Fatal(args ...any) }, nodes int) *Core {
	core, err := New(testConfig(0, nodes))
	if err != nil {
		t.Fatal(err)
	}
	return core
}

// simulatedFleet simulates a fleet: datagrams that are lost, late, duplicated and out of order; nodes that are killed, paused and
// restarted; and partitions.
type simulatedFleet struct {
	t            *testing.T
	random       *rand.Rand
	now          time.Duration
	nodes        []*Core // cores by the node's index; nil: the node's process does not run
	startedAt    []time.Duration
	incarnations []uint64
	isPaused     []bool
	isCut        func(a, b int) bool
	inFlight     []packet
	lossRate     float64

	changes     map[State]int // number of StateChanged effects by the new state
	falselyDead int           // how often a node was declared dead although it ran and could be reached
	bytesSent   int
	conflicts   []int // number of IncarnationConflict effects by node
}

type packet struct {
	arrivesAt time.Duration
	from, to  int
	data      []byte
}

func newSimulatedFleet(t *testing.T, seed uint64, nodes int, lossRate float64) *simulatedFleet {
	f := &simulatedFleet{
		t:            t,
		random:       rand.New(rand.NewPCG(seed, 1)),
		lossRate:     lossRate,
		nodes:        make([]*Core, nodes),
		startedAt:    make([]time.Duration, nodes),
		incarnations: make([]uint64, nodes),
		isPaused:     make([]bool, nodes),
		conflicts:    make([]int, nodes),
		changes:      map[State]int{},
		isCut:        func(int, int) bool { return false },
	}
	for node := range nodes {
		f.start(node)
	}
	return f
}

// start starts a new process of a node. The process replaces the one that runs, if any.
func (f *simulatedFleet) start(node int) {
	f.incarnations[node] = max(f.incarnations[node]+1, minIncarnation+uint64(f.now/time.Millisecond))
	cfg := testConfig(node, len(f.nodes))
	cfg.Incarnation, cfg.IndirectProbes, cfg.Seed = f.incarnations[node], 3, uint64(node)
	core, err := New(cfg)
	if err != nil {
		f.t.Fatal(err)
	}
	f.nodes[node], f.startedAt[node], f.isPaused[node] = core, f.now, false
}

func (f *simulatedFleet) kill(nodes ...int) {
	for _, node := range nodes {
		f.nodes[node] = nil
	}
}

func (f *simulatedFleet) isRunning(node int) bool { return f.nodes[node] != nil && !f.isPaused[node] }

// step passes an event to a node and carries out the effects.
func (f *simulatedFleet) step(node int, event Event) {
	if f.nodes[node] == nil {
		return
	}
	for _, effect := range f.nodes[node].Step(f.now-f.startedAt[node], event) {
		switch effect := effect.(type) {
		case Send:
			f.send(node, effect)
		case StateChanged:
			f.changes[effect.To]++
			if effect.To == Dead && f.isRunning(effect.Node) && !f.isCut(node, effect.Node) {
				f.falselyDead++
			}
		case IncarnationConflict:
			f.conflicts[node]++
		}
	}
}

// send puts a datagram on the simulated network. One datagram in ten is duplicated.
func (f *simulatedFleet) send(from int, datagramSent Send) {
	f.bytesSent += len(datagramSent.Data)
	if len(datagramSent.Data) > datagram.MaxSize {
		f.t.Fatalf("got a datagram of %d bytes, want %d at most", len(datagramSent.Data), datagram.MaxSize)
	}
	for range 1 + f.random.IntN(10)/9 {
		if f.random.Float64() >= f.lossRate && !f.isCut(from, datagramSent.To) {
			latency := time.Duration(f.random.Int64N(int64(maxTestLatency)))
			f.inFlight = append(f.inFlight, packet{f.now + latency, from, datagramSent.To, datagramSent.Data})
		}
	}
}

// advance runs the simulation for a duration, in steps of simulationTick.
func (f *simulatedFleet) advance(duration time.Duration) {
	for end := f.now + duration; f.now < end; f.now += simulationTick {
		packets := f.inFlight
		f.inFlight = nil
		for _, p := range packets {
			if p.arrivesAt > f.now || f.isPaused[p.to] {
				f.inFlight = append(f.inFlight, p)
			} else {
				f.step(p.to, MessageReceived{p.from, p.data})
			}
		}
		for node := range f.nodes {
			if !f.isPaused[node] {
				f.step(node, Tick{})
			}
		}
	}
}

// hasConverged reports whether each running node believes that exactly the running nodes are alive or suspect.
func (f *simulatedFleet) hasConverged() bool {
	for node, core := range f.nodes {
		if !f.isRunning(node) {
			continue
		}
		for other, m := range core.members {
			if m.state.isPresent() != f.isRunning(other) {
				return false
			}
		}
	}
	return true
}

// converge runs the simulation until each running node knows which nodes run, and returns how long that took.
func (f *simulatedFleet) converge(what string) time.Duration {
	f.t.Helper()
	for began := f.now; ; f.advance(simulationTick) {
		if f.hasConverged() {
			return f.now - began
		}
		if f.now-began > convergeTimeout {
			f.t.Fatalf("%s: not converged after %v", what, convergeTimeout)
		}
	}
}

// knownTo returns a datagram in which one node says what it knows about another.
func (f *simulatedFleet) knownTo(node, about int) []byte {
	core := f.nodes[node]
	return message{kind: kindAck, peerListID: core.cfg.PeerListID, updates: []update{core.members[about].update(about)}}.encode()
}
