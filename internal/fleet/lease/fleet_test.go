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
	testResource   = "a" // the first of a fleet
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
	core      *Core // nil while it has no process
	cfg       Config
	startedAt time.Duration
	clockRate float64
	dateSkew  time.Duration
	isStalled bool
	isCutFrom []bool // by receiver
}

// testFleet simulates a fleet: clocks that differ, drift and have other dates, messages that are lost, delayed, duplicated
// and reordered, nodes that are killed, stalled, restarted and cut off.
type testFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	nodes    []testNode
	inFlight []packet
	lossRate float64
	maxDelay time.Duration

	highestToken  map[string]uint64 // under which a node held the lease, by resource
	lastHolder    map[string]int    // by resource
	holderChanges int
	announcements map[int]int   // received, by node
	staleTokens   int           // announcements that were ignored
	unheldFor     time.Duration // while nobody held the first lease
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
			clockRate: 1 + (fleet.rng.Float64()-0.5)*testClockDrift, // two differ by the drift at most
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
	for range 1 + f.rng.IntN(10)/9 { // one in ten twice
		if f.rng.Float64() >= f.lossRate && !f.nodes[from].isCutFrom[to] {
			f.inFlight = append(f.inFlight, packet{f.now + time.Duration(f.rng.Int64N(int64(f.maxDelay))), from, to, data})
		}
	}
}

// run lets time pass, and checks the holders after every tick.
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

// deliver hands over the messages whose delay is over; those to stalled nodes wait.
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

// checkHolders checks that one node at most would act on each lease, under no lower token than before.
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

// holds reports whether a node runs and would act on a lease, and under which token.
func (f *testFleet) holds(i int, name string) (token uint64, ok bool) {
	node := &f.nodes[i]
	if node.core == nil || node.isStalled {
		return 0, false
	}
	return node.core.Holds(f.clock(i), name)
}

// holder returns which node holds a lease, or NoNode.
func (f *testFleet) holder(name string) int {
	for i := range f.nodes {
		if _, ok := f.holds(i, name); ok {
			return i
		}
	}
	return NoNode
}

// runUntilAcquired lets time pass until a node other than one holds the lease of testResource, and returns it and the time that
// it took.
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

// partition cuts the nodes below boundary off from the others; a boundary of 0 heals the fleet.
func (f *testFleet) partition(boundary int) {
	for from := range f.nodes {
		for to := range f.nodes {
			f.nodes[from].isCutFrom[to] = boundary > 0 && (from < boundary) != (to < boundary)
		}
	}
}

// isolate cuts a node off from the first count of the others.
func (f *testFleet) isolate(node, count int) {
	for i := range f.nodes {
		if i != node && count > 0 {
			count--
			f.nodes[node].isCutFrom[i], f.nodes[i].isCutFrom[node] = true, true
		}
	}
}

// deafen cuts off what is sent to a node, but not what it sends.
func (f *testFleet) deafen(node int) {
	for i := range f.nodes {
		f.nodes[i].isCutFrom[node] = true
	}
}

func (f *testFleet) each(do func(i int)) {
	for i := range f.nodes {
		do(i)
	}
}
