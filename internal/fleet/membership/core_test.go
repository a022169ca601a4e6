package membership

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestFleetConverges: after nodes were killed, restarted, paused, shut down or partitioned, every running node learns which nodes
// are running.
func TestFleetConverges(t *testing.T) {
	for name, test := range map[string]struct {
		nodes  int
		inject func(f *simulatedFleet)
	}{
		"a node is killed":           {5, func(f *simulatedFleet) { f.kill(1) }},
		"half are killed":            {10, func(f *simulatedFleet) { f.kill(0, 2, 4, 6, 8) }},
		"all but one are killed":     {3, func(f *simulatedFleet) { f.kill(1, 2) }},
		"a fleet of two":             {2, func(f *simulatedFleet) { f.kill(1) }},
		"restarted at once":          {5, func(f *simulatedFleet) { f.kill(1); f.advance(100 * time.Millisecond); f.start(1) }},
		"restarted after it is dead": {5, func(f *simulatedFleet) { f.kill(1); f.advance(20 * time.Second); f.start(1) }},
		"paused for ten seconds":     {5, func(f *simulatedFleet) { f.isPaused[1] = true; f.advance(10 * time.Second); f.isPaused[1] = false }},
		"all restarted at once": {8, func(f *simulatedFleet) {
			for node := range f.nodes {
				f.kill(node)
				f.start(node)
			}
		}},
		"graceful shutdown": {5, func(f *simulatedFleet) { f.step(1, ShutdownStarted{}); f.kill(1) }},
		"partitioned and healed": {6, func(f *simulatedFleet) {
			f.isCut = func(a, b int) bool { return (a < 3) != (b < 3) }
			f.advance(30 * time.Second)
			f.isCut = func(int, int) bool { return false }
		}},
		"two nodes cut off from each other": {4, func(f *simulatedFleet) { f.isCut = func(a, b int) bool { return a+b == 1 } }},
	} {
		for seed := range uint64(5) {
			f := newSimulatedFleet(t, seed, test.nodes, 0.1)
			f.converge(name + ", at the start")
			test.inject(f)
			f.converge(fmt.Sprintf("%s, seed %d", name, seed))
		}
	}
}

// TestFailureDetection measures, for several fleet sizes and loss rates, how long it takes until all nodes know that a node died,
// how often a running node is declared dead, and how many bytes a node sends per second.
func TestFailureDetection(t *testing.T) {
	const observationTime = time.Minute
	for _, nodes := range []int{4, 40, 100} {
		for _, lossRate := range []float64{0, 0.05, 0.2} {
			f := newSimulatedFleet(t, 1, nodes, lossRate)
			start := f.converge("the start")
			f.bytesSent, f.falselyDead, f.changes = 0, 0, map[State]int{}
			f.advance(observationTime)
			bytesPerNode := float64(f.bytesSent) / observationTime.Seconds() / float64(nodes)
			suspected, falselyDead := f.changes[Suspect], f.falselyDead
			f.kill(nodes / 2)
			detection := f.converge("the death")
			t.Logf("| %d | %.0f%% | %.1f s | %.1f s | %d | %d | %.0f |", nodes, lossRate*100, start.Seconds(), detection.Seconds(), suspected,
				falselyDead, bytesPerNode)
			maxDetection := f.nodes[0].SuspicionTimeout() + time.Duration(nodes/4+14)*testInterval
			if falselyDead > 0 && lossRate < 0.1 {
				t.Errorf("%d nodes, %.0f%% lost: %d running nodes were declared dead, want none", nodes, lossRate*100, falselyDead)
			}
			if detection > maxDetection {
				t.Errorf("%d nodes, %.0f%% lost: a death was known after %v, want %v at most", nodes, lossRate*100, detection, maxDetection)
			}
		}
	}
}

// TestPausedNodeDeclaresNoneDead: a node that resumes after a pause must not declare the others dead because the acks to its
// earlier pings were lost.
func TestPausedNodeDeclaresNoneDead(t *testing.T) {
	f := newSimulatedFleet(t, 3, 6, 0)
	f.converge("the start")
	f.isPaused[2] = true
	f.advance(20 * time.Second)
	f.inFlight, f.changes = nil, map[State]int{}
	f.isPaused[2] = false
	before := f.falselyDead
	f.advance(5 * time.Second)
	if f.falselyDead > before {
		t.Errorf("got %d running nodes declared dead, want none", f.falselyDead-before)
	}
	f.converge("after the pause")
}

// TestIncarnationConflictRecursWhileTwoRun: while two processes run under one node's name, the incarnation conflict recurs. If
// instead a node restarted after its clock was set back, the conflict is reported but does not recur, and the other nodes know
// that the node is alive.
func TestIncarnationConflictRecursWhileTwoRun(t *testing.T) {
	const hour = uint64(time.Hour / time.Millisecond)
	for name, bothRun := range map[string]bool{"both run": true, "the clock was set back": false} {
		fleet := newSimulatedFleet(t, 4, 4, 0)
		fleet.converge("the start")
		earlier := fleet.nodes[1]
		fleet.incarnations[1] += hour
		fleet.start(1)
		fleet.converge("the later process is known")
		if !bothRun { // the next process starts with its clock an hour behind
			fleet.incarnations[1] = minIncarnation
			fleet.start(1)
		}
		for range 40 {
			fleet.advance(testInterval)
			if bothRun { // the earlier process receives datagrams too, and its answers are delivered
				for _, effect := range earlier.Step(fleet.now, MessageReceived{0, fleet.knownTo(0, 1)}) {
					switch effect := effect.(type) {
					case IncarnationConflict:
						fleet.conflicts[1]++
					case Send:
						fleet.step(effect.To, MessageReceived{1, effect.Data})
					}
				}
			}
		}
		if recurs := fleet.conflicts[1] > 5; recurs != bothRun || fleet.conflicts[1] == 0 {
			t.Errorf("%s: got %d conflicts", name, fleet.conflicts[1])
		}
		if m := fleet.nodes[0].members[1]; !bothRun && (m.state != Alive || m.incarnation != fleet.nodes[1].members[1].incarnation) {
			t.Errorf("%s: got node 1 known as %+v, want alive with its own incarnation", name, m)
		}
	}
}

// fleetSizeObserver feeds one core with datagrams of other nodes and holds the fleet size that the core last reported.
type fleetSizeObserver struct {
	t        *testing.T
	core     *Core
	now      time.Duration
	reported int // last reported fleet size; -1: none yet
}

func (o *fleetSizeObserver) step(event Event) {
	for _, effect := range o.core.Step(o.now, event) {
		if changed, ok := effect.(FleetSizeChanged); ok {
			o.reported = changed.Nodes
		}
	}
}

// receive passes the core a datagram. The datagram holds the given updates and, after them, one that says that its sender, the
// node from, is alive.
func (o *fleetSizeObserver) receive(from int, updates ...update) {
	updates = append(updates, update{uint16(from), minIncarnation, 0, Alive})
	o.step(MessageReceived{from, message{kind: kindAck, updates: updates}.encode()})
}

// receiveFor lets a duration pass. Once in each testInterval it passes the core a datagram from each of the given nodes.
func (o *fleetSizeObserver) receiveFor(duration time.Duration, nodes ...int) {
	for end := o.now + duration; o.now < end; o.now += testInterval {
		for _, node := range nodes {
			o.receive(node)
		}
	}
}

func (o *fleetSizeObserver) expect(what string, want int) {
	o.t.Helper()
	if o.reported != want {
		o.t.Errorf("%s: got a fleet size of %d, want %d", what, o.reported, want)
	}
}

// TestFleetSize: once a majority of the nodes is known to run, nodes of unknown state count as running until there was time to
// learn their state. A false report by another node cannot make the fleet size smaller. The fleet size is 0 if no majority runs.
func TestFleetSize(t *testing.T) {
	const nodes = 5
	o := &fleetSizeObserver{t: t, core: newTestCore(t, nodes), reported: -1}
	o.step(Tick{})
	o.receive(1)
	if o.reported > 0 {
		t.Errorf("two of five are seen: got a fleet size of %d, want none", o.reported)
	}
	o.receive(2)
	o.expect("three are seen, two not yet", nodes)
	o.receiveFor(time.Minute, 1, 2)
	o.expect("two were never seen", 3)
	o.receive(1, update{2, minIncarnation, 0, Dead})
	o.expect("one says that another is dead", 3)
	o.receiveFor(time.Minute, 1)
	o.expect("the other is dead, and two of five are left", 0)
}

// TestUpdatesCommute: an update that is applied a second time changes nothing, and the same updates lead to the same state in any
// order.
func TestUpdatesCommute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		anyUpdate := rapid.Custom(func(t *rapid.T) update {
			return update{
				node:        1,
				incarnation: minIncarnation + rapid.Uint64Range(1, 3).Draw(t, "incarnation"),
				refutations: uint8(rapid.IntRange(0, 3).Draw(t, "refutations")),
				state:       State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")),
			}
		})
		updates := rapid.SliceOfN(anyUpdate, 1, 8).Draw(t, "updates")
		inOrder := make([]int, len(updates))
		for i := range inOrder {
			inOrder[i] = i
		}
		order := rapid.Permutation(inOrder).Draw(t, "order")
		if got, want := applyInOrder(t, updates, order), applyInOrder(t, updates, inOrder); got != want {
			t.Fatalf("%v in order %v: got %+v, want %+v", updates, order, got, want)
		}
	})
}

// applyInOrder returns what node 0 knows about node 1 after the updates in the given order, each of them applied twice.
func applyInOrder(t *rapid.T, updates []update, order []int) update {
	core := newTestCore(t, 3)
	for _, i := range order {
		core.apply(0, updates[i])
		before := core.members[1]
		core.apply(0, updates[i])
		if core.members[1] != before {
			t.Fatalf("%+v a second time: got %+v, want %+v", updates[i], core.members[1], before)
		}
	}
	return core.members[1].update(1)
}

func FuzzMessageReceived(f *testing.F) {
	f.Add(message{kind: kindPing, updates: []update{{1, minIncarnation, 0, Alive}}}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		newTestCore(t, 3).Step(0, MessageReceived{1, data})
	})
}
