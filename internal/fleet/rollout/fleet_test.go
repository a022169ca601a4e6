package rollout

import (
	"math/rand/v2"
	"testing"
	"time"
)

const (
	testTick       = 20 * time.Millisecond
	testClockDrift = 0.05
)

func testConfig(self, nodes, budget int) Config {
	return Config{
		Self: self, Nodes: nodes, Budget: budget,
		HeartbeatInterval: 200 * time.Millisecond,
		UnresponsiveAfter: time.Second,
		RequestTimeout:    2 * time.Second,
		ReturnTimeout:     20 * time.Second,
		WriteOffAfter:     10 * time.Minute,
		ObservationPeriod: 500 * time.Millisecond,
		MaxClockDrift:     testClockDrift,
		Release:           "v1",
		MaxFailureRate:    0.2,
		MaxSlowRate:       0.5,
		MinSamples:        10,
		Incarnation:       1,
		Seed:              uint64(self) + 1,
	}
}

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
	core        *Core // nil while the node has no running process
	cfg         Config
	clockOffset time.Duration
	clockRate   float64
	isStalled   bool
	isOut       bool          // the node drained with a slot and is not ready again
	restartAt   time.Duration // when the node is restarted; 0 if no restart is planned
	mayDrain    bool          // the node has not acted on a DrainGranted yet
	isCutFrom   []bool        // whether messages from this node to another are dropped, by the index of the other
}

// testFleet simulates a fleet. Its clocks differ and drift. Its messages are lost, delayed, duplicated and reordered. Its nodes
// are killed, stalled, restarted and cut off from each other.
type testFleet struct {
	t        *testing.T
	rng      *rand.Rand
	now      time.Duration
	nodes    []testNode
	inFlight []packet
	lossRate float64
	maxDelay time.Duration
	drains   int // number of drains with a slot
	maxOut   int // greatest number of nodes that were out at once
	events   map[LogEventKind]int

	stallOnGrant bool // every node stalls at the moment at which it is granted a slot
}

type packet struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newTestFleet(t *testing.T, seed uint64, nodes, budget int, configure func(*Config)) *testFleet {
	t.Helper()
	fleet := &testFleet{
		t:        t,
		rng:      rand.New(rand.NewPCG(seed, 7)),
		nodes:    make([]testNode, 0, nodes),
		lossRate: 0.1,
		maxDelay: 300 * time.Millisecond,
		events:   map[LogEventKind]int{},
	}
	for i := range nodes {
		cfg := testConfig(i, nodes, budget)
		cfg.Seed += seed * 1000
		if configure != nil {
			configure(&cfg)
		}
		fleet.nodes = append(fleet.nodes, testNode{
			cfg:         cfg,
			clockOffset: time.Duration(fleet.rng.Int64N(int64(time.Hour))),
			clockRate:   1 + (fleet.rng.Float64()-0.5)*testClockDrift, // the rates of two clocks differ by at most testClockDrift
			isCutFrom:   make([]bool, nodes),
		})
		fleet.start(i)
	}
	return fleet
}

func (f *testFleet) clock(i int) time.Duration {
	return f.nodes[i].clockOffset + time.Duration(float64(f.now)*f.nodes[i].clockRate)
}

func (f *testFleet) start(i int) {
	node := &f.nodes[i]
	node.cfg.Incarnation++
	node.core = newTestCore(f.t, node.cfg)
	node.mayDrain, node.isStalled = false, false
	f.step(i, ServingStarted{})
}

func (f *testFleet) kill(i int) {
	node := &f.nodes[i]
	node.core, node.mayDrain, node.isStalled = nil, false, false
}

func (f *testFleet) step(i int, event Event) {
	node := &f.nodes[i]
	if node.core == nil {
		return
	}
	for _, effect := range node.core.Step(f.clock(i), event) {
		switch effect := effect.(type) {
		case Send:
			for to := range f.nodes {
				if to != i && (effect.To == AllNodes || effect.To == to) {
					f.send(i, to, effect.Data)
				}
			}
		case DrainGranted:
			node.mayDrain = true
			node.isStalled = f.stallOnGrant
		case LogEvent:
			f.events[effect.Kind]++
			if effect.Kind == LogNodeReady && effect.Node == i {
				node.isOut = false
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

// run advances the time by span, and checks the budget after every tick.
func (f *testFleet) run(span time.Duration) {
	f.t.Helper()
	for end := f.now + span; f.now < end; f.now += testTick {
		f.deliver()
		for i := range f.nodes {
			f.tick(i)
		}
		f.checkBudget()
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

func (f *testFleet) tick(i int) {
	node := &f.nodes[i]
	switch {
	case node.core == nil && node.restartAt > 0 && f.now >= node.restartAt:
		node.restartAt = 0
		f.start(i)
	case node.core == nil || node.isStalled:
	case node.mayDrain:
		f.drain(i)
	default:
		f.step(i, Tick{})
	}
}

func (f *testFleet) checkBudget() {
	f.t.Helper()
	out := 0
	for i := range f.nodes {
		if f.nodes[i].isOut {
			out++
		}
	}
	f.maxOut = max(f.maxOut, out)
	if budget := f.nodes[0].cfg.Budget; out > budget {
		f.t.Fatalf("at %v %d nodes are out with a slot, want at most %d", f.now, out, budget)
	}
}

// drain makes a node drain and exit, if MayDrain still allows this. The node is restarted 1 to 4 s later.
func (f *testFleet) drain(i int) {
	node := &f.nodes[i]
	node.mayDrain = false
	if !node.core.MayDrain(f.clock(i)) {
		return
	}
	node.isOut = true
	f.drains++
	f.step(i, ShutdownStarted{})
	f.kill(i)
	node.restartAt = f.now + time.Second + time.Duration(f.rng.Int64N(int64(3*time.Second)))
}

// runUntil advances the time until a condition holds, for a minute at most.
func (f *testFleet) runUntil(condition func() bool) {
	f.t.Helper()
	for deadline := f.now + time.Minute; !condition(); f.run(testTick) {
		if f.now > deadline {
			f.t.Fatal("the condition did not hold within a minute")
		}
	}
}

// runUntilNode0StaysAway advances the time until the first node has drained, which must be node 0, and keeps node 0 from
// restarting.
func (f *testFleet) runUntilNode0StaysAway() {
	f.t.Helper()
	f.runUntil(func() bool { return f.drains > 0 })
	f.nodes[0].restartAt = 0
}

func (f *testFleet) each(do func(i int)) {
	for i := range f.nodes {
		do(i)
	}
}

// partition cuts the nodes with indices below boundary off from the others. A boundary of 0 or
// len(f.nodes) ends the partition.
func (f *testFleet) partition(boundary int) {
	for from := range f.nodes {
		for to := range f.nodes {
			f.nodes[from].isCutFrom[to] = boundary < len(f.nodes) && (from < boundary) != (to < boundary)
		}
	}
}

func (f *testFleet) countReady() int {
	ready := 0
	for i := range f.nodes {
		if core := f.nodes[i].core; core != nil && core.state == Ready {
			ready++
		}
	}
	return ready
}

func (f *testFleet) isHalted() bool {
	for i := range f.nodes {
		if core := f.nodes[i].core; core != nil && core.halt.IsHalted {
			return true
		}
	}
	return false
}
