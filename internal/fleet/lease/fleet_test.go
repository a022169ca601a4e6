package lease

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testLease      = time.Second
	testClockDrift = 0.05
	testTick       = 10 * time.Millisecond
	testResource   = "a" // first resource of every test fleet
)

func newTestCore(t *testing.T, cfg Config) *Core {
	t.Helper()
	core, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return core
}

// testNode is one node of a testFleet.
type testNode struct {
	core      *Core // nil while the node has no running process
	cfg       Config
	startedAt time.Duration
	clockRate float64
	dateSkew  time.Duration
	isStalled bool
	isCutFrom []bool // whether messages from this node to another are dropped, by the index of the other
}

// testFleet simulates a fleet. Its clocks differ, drift and have different dates. Its messages are lost, delayed, duplicated
// and reordered. Its nodes are killed, stalled, restarted and cut off from each other.
type testFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	nodes    []testNode
	inFlight []packet
	lossRate float64
	maxDelay time.Duration

	highestToken  map[string]uint64 // greatest token under which a node held the lease, by resource
	lastHolder    map[string]int    // last node that held the lease, by resource
	holderChanges int
	announcements map[int]int   // number of announcements received, by node
	staleTokens   int           // number of announcements that were ignored because of an outdated token
	unheldFor     time.Duration // how long no node has held the lease on the first resource
}

type packet struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newTestFleet(t *testing.T, seed uint64, nodes int, resources ...string) *testFleet {
	t.Helper()
	fleet := &testFleet{
		t:             t,
		rng:           rand.New(rand.NewPCG(seed, 3)),
		nodes:         make([]testNode, nodes),
		lossRate:      0.1,
		maxDelay:      60 * time.Millisecond,
		highestToken:  map[string]uint64{},
		lastHolder:    map[string]int{},
		announcements: map[int]int{},
	}
	for i := range fleet.nodes {
		fleet.nodes[i] = testNode{
			cfg: Config{Self: i, Nodes: nodes, PeerListID: 1, Resources: resources, LeaseDuration: testLease,
				MaxClockDrift: testClockDrift, Seed: seed*100 + uint64(i)},
			clockRate: 1 + (fleet.rng.Float64()-0.5)*testClockDrift, // the rates of two clocks differ by at most testClockDrift
			dateSkew:  time.Duration(fleet.rng.Int64N(int64(testLease / 2))),
			isCutFrom: make([]bool, nodes),
		}
		fleet.start(i)
	}
	return fleet
}

func (f *testFleet) clock(i int) time.Duration {
	node := &f.nodes[i]
	return time.Duration(float64(f.now-node.startedAt) * node.clockRate)
}

func (f *testFleet) start(i int) {
	node := &f.nodes[i]
	node.startedAt, node.isStalled = f.now, false
	node.cfg.Epoch = 1_000_000 + uint64((f.now+node.dateSkew)/time.Millisecond)
	node.core = newTestCore(f.t, node.cfg)
	f.step(i, Tick{})
}

func (f *testFleet) kill(i int) { f.nodes[i].core, f.nodes[i].isStalled = nil, false }

func (f *testFleet) step(i int, event Event) {
	if f.nodes[i].core == nil {
		return
	}
	for _, effect := range f.nodes[i].core.Step(f.clock(i), event) {
		switch effect := effect.(type) {
		case Send:
			for to := range f.nodes {
				if to != i && (effect.To == AllNodes || effect.To == to) {
					f.send(i, to, effect.Data)
				}
			}
		case Announced:
			f.announcements[i]++
		case LogEvent:
			if effect.Kind == LogTokenStale {
				f.staleTokens++
			}
		}
	}
}

func (f *testFleet) send(from, to int, data []byte) {
	for range 1 + f.rng.IntN(10)/9 { // one message in ten is sent twice
		if f.rng.Float64() >= f.lossRate && !f.nodes[from].isCutFrom[to] {
			f.inFlight = append(f.inFlight, packet{f.now + time.Duration(f.rng.Int64N(int64(f.maxDelay))), from, to, data})
		}
	}
}

// run advances the time by span, and checks the holders after every tick.
func (f *testFleet) run(span time.Duration) {
	f.t.Helper()
	for end := f.now + span; f.now < end; f.now += testTick {
		f.deliver()
		for i := range f.nodes {
			if !f.nodes[i].isStalled && f.rng.IntN(3) == 0 {
				f.step(i, Tick{})
			}
		}
		f.checkHolders()
	}
}

// deliver passes the messages whose delay is over to their receivers. Messages to stalled nodes wait until the stall ends.
func (f *testFleet) deliver() {
	waiting := f.inFlight[:0]
	var arriving []packet
	for _, p := range f.inFlight {
		if p.at <= f.now && !f.nodes[p.to].isStalled {
			arriving = append(arriving, p)
		} else {
			waiting = append(waiting, p)
		}
	}
	f.inFlight = waiting
	for _, p := range arriving {
		f.step(p.to, MessageReceived{p.from, p.data})
	}
}

// checkHolders checks that no two nodes hold a lease at once, and that the token of a lease never decreases. It also
// updates unheldFor.
func (f *testFleet) checkHolders() {
	f.t.Helper()
	for i, name := range f.nodes[0].cfg.Resources {
		holder := f.checkHolder(name)
		if holder == NoNode && i == 0 {
			f.unheldFor += testTick
		}
	}
}

func (f *testFleet) checkHolder(name string) int {
	f.t.Helper()
	holder := NoNode
	for i := range f.nodes {
		token, isHolder := f.holds(i, name)
		if !isHolder {
			continue
		}
		last, hadHolder := f.lastHolder[name]
		switch highest := f.highestToken[name]; {
		case holder != NoNode:
			f.t.Fatalf("at %v nodes %d and %d both hold %s", f.now, holder, i, name)
		case token < highest || token == highest && hadHolder && last != i:
			f.t.Fatalf("at %v node %d holds %s under token %d, after node %d held it under %d", f.now, i, name, token, last, highest)
		}
		if !hadHolder || last != i {
			f.holderChanges++
		}
		holder, f.highestToken[name], f.lastHolder[name] = i, token, i
	}
	return holder
}

// holds reports whether a node is running, is not stalled and holds a lease by its own clock. It also returns the token.
func (f *testFleet) holds(i int, name string) (token uint64, ok bool) {
	node := &f.nodes[i]
	if node.core == nil || node.isStalled {
		return 0, false
	}
	return node.core.Holds(f.clock(i), name)
}

// holder returns the node that holds a lease, or NoNode.
func (f *testFleet) holder(name string) int {
	for i := range f.nodes {
		if _, ok := f.holds(i, name); ok {
			return i
		}
	}
	return NoNode
}

// runUntilAcquired advances the time until a node other than except holds the lease on testResource. It returns that node and
// how long this took.
func (f *testFleet) runUntilAcquired(except int) (holder int, took time.Duration) {
	f.t.Helper()
	for start := f.now; f.now < start+time.Minute; f.run(testTick) {
		if i := f.holder(testResource); i != NoNode && i != except {
			return i, f.now - start
		}
	}
	f.t.Fatalf("no node but %d acquired the lease within a minute", except)
	return NoNode, 0
}

// partition cuts the nodes with indices below boundary off from the others. A boundary of 0 ends the partition.
func (f *testFleet) partition(boundary int) {
	for from := range f.nodes {
		for to := range f.nodes {
			f.nodes[from].isCutFrom[to] = boundary > 0 && (from < boundary) != (to < boundary)
		}
	}
}

// isolate cuts a node off from count other nodes, in both directions. These are the nodes with the lowest indices.
func (f *testFleet) isolate(node, count int) {
	for i := range f.nodes {
		if i != node && count > 0 {
			count--
			f.nodes[node].isCutFrom[i], f.nodes[i].isCutFrom[node] = true, true
		}
	}
}

// dropIncoming drops all messages that are sent to a node, but not those that the node sends.
func (f *testFleet) dropIncoming(node int) {
	for i := range f.nodes {
		f.nodes[i].isCutFrom[node] = true
	}
}

func (f *testFleet) each(do func(i int)) {
	for i := range f.nodes {
		do(i)
	}
}
