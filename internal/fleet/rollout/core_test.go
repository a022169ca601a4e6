package rollout

import (
	"fmt"
	"testing"
	"time"

	"shelfproxy/internal/fleet/datagram"
)

// TestNoMoreNodesDrainThanBudgetAllows simulates thousands of short runs of small fleets in which every node is asked to drain
// and any fault may hit any node. It fails as soon as more nodes than the budget allows are out with a slot.
func TestNoMoreNodesDrainThanBudgetAllows(t *testing.T) {
	seeds := uint64(3000)
	if testing.Short() {
		seeds = 200
	}
	drains, granted := 0, 0
	for seed := range seeds {
		nodes := 2 + int(seed%4)
		fleet := newTestFleet(t, seed, nodes, 1+int(seed/4)%max(1, nodes-1), nil)
		fleet.lossRate = []float64{0, 0.1, 0.4}[seed%3]
		for range 40 {
			fleet.run(time.Duration(fleet.rng.Int64N(int64(900 * time.Millisecond))))
			injectFault(fleet)
		}
		drains += fleet.drains
		granted += fleet.events[LogSlotGranted]
	}
	if drains < int(seeds) {
		t.Errorf("%d drains with %d grants in %d runs, want at least one drain per run, otherwise the test checks too little", drains, granted, seeds)
	}
}

// injectFault asks a random node to drain, or applies a random fault to it.
func injectFault(fleet *testFleet) {
	i, other := fleet.rng.IntN(len(fleet.nodes)), fleet.rng.IntN(len(fleet.nodes))
	node := &fleet.nodes[i]
	switch fleet.rng.IntN(9) {
	case 0, 1, 2, 3:
		fleet.step(i, DrainRequested{})
	case 4:
		node.isStalled = node.core != nil && !node.isStalled
	case 5: // the node is killed, and is restarted within 4 s
		if node.core != nil {
			fleet.kill(i)
			node.restartAt = fleet.now + time.Duration(fleet.rng.Int64N(int64(4*time.Second)))
		}
	case 6:
		node.isCutFrom[other] = !node.isCutFrom[other]
	case 7: // the fleet is partitioned, or a partition ends
		fleet.partition(fleet.rng.IntN(len(fleet.nodes) + 1))
	case 8:
		corrupt := []byte{Magic, version, byte(fleet.rng.IntN(4)), byte(fleet.rng.IntN(256)), 1, 2, 3, 4, 5}
		fleet.step(i, MessageReceived{other, corrupt})
	}
}

// TestReleaseReachesEveryNodeDespiteLoss checks fleets that lose a tenth of their messages. Every node must drain once for an
// ordered release, within the budget and in bounded time, and all nodes must be ready in the end.
func TestReleaseReachesEveryNodeDespiteLoss(t *testing.T) {
	for _, size := range []struct{ nodes, budget int }{{1, 1}, {2, 1}, {3, 1}, {5, 2}, {40, 4}} {
		t.Run(fmt.Sprintf("%d nodes with a budget of %d", size.nodes, size.budget), func(t *testing.T) {
			fleet := newTestFleet(t, 1, size.nodes, size.budget, nil)
			fleet.run(5 * time.Second)
			fleet.each(func(i int) { fleet.nodes[i].cfg.Release = "v2" }) // the release of each node from its next start on
			fleet.step(0, ReleaseOrdered{"v2"})
			for range 200 {
				fleet.run(2 * time.Second)
				if fleet.drains >= size.nodes && fleet.countReady() == size.nodes {
					break
				}
			}
			if fleet.drains != size.nodes || fleet.countReady() != size.nodes {
				t.Errorf("%d nodes drained and %d are ready after %v, want %d of each; halts %d", fleet.drains, fleet.countReady(), fleet.now, size.nodes, fleet.events[LogHalted])
			}
			if fleet.maxOut != size.budget && size.nodes > 5 {
				t.Errorf("%d nodes were out at once, want %d", fleet.maxOut, size.budget)
			}
		})
	}
}

// drainScenarios are faults and operators' requests, with their effect on the drains of the fleet.
var drainScenarios = []struct {
	name          string
	nodes, budget int
	play          func(fleet *testFleet)
	wantDrains    int
	wantHalted    bool
}{
	{"two nodes request the last slot at once", 3, 1, func(fleet *testFleet) {
		fleet.step(0, DrainRequested{})
		fleet.step(1, DrainRequested{})
		fleet.run(40 * time.Second)
	}, 2, false},
	{"a holder that is killed and stays away keeps its slot", 5, 1, func(fleet *testFleet) {
		fleet.step(0, DrainRequested{})
		fleet.runUntilNode0StaysAway()
		fleet.step(1, DrainRequested{})
		fleet.run(15 * time.Second)
	}, 1, false},
	{"the release halts if a holder does not return", 5, 2, func(fleet *testFleet) {
		fleet.step(0, DrainRequested{})
		fleet.runUntilNode0StaysAway()
		fleet.run(25 * time.Second)
		fleet.step(1, DrainRequested{})
		fleet.run(10 * time.Second)
	}, 1, true},
	{"a holder that stalled before it drained does not drain", 3, 1, func(fleet *testFleet) {
		fleet.step(0, DrainRequested{})
		fleet.stallOnGrant = true
		fleet.run(20 * time.Second)
		if !fleet.nodes[0].mayDrain || !fleet.nodes[0].isStalled {
			fleet.t.Fatal("the node was never granted a slot")
		}
		fleet.nodes[0].isStalled = false
		fleet.drain(0) // node 0 must not drain: the time to use the slot that it was granted is over
	}, 0, false},
	{"one half of a partitioned fleet lets no node drain", 4, 2, func(fleet *testFleet) {
		fleet.run(5 * time.Second)
		fleet.partition(2)
		fleet.each(func(i int) { fleet.step(i, DrainRequested{}) })
		fleet.run(20 * time.Second)
	}, 0, false},
	{"nodes that crashed count as out of service", 5, 2, func(fleet *testFleet) {
		fleet.run(5 * time.Second)
		fleet.kill(3)
		fleet.kill(4)
		fleet.run(2 * time.Second)
		fleet.step(0, DrainRequested{})
		fleet.run(10 * time.Second)
	}, 0, false},
	{"a node that is unhealthy as it starts halts the release", 5, 2, func(fleet *testFleet) {
		fleet.nodes[0].cfg.ObservationPeriod = 10 * time.Second
		fleet.step(0, DrainRequested{})
		fleet.runUntil(func() bool { return fleet.drains > 0 && fleet.nodes[0].core != nil })
		fleet.step(0, ResponseCounts{Responses: 20, Failed: 15})
		fleet.run(2 * time.Second)
		fleet.step(1, DrainRequested{})
		fleet.run(10 * time.Second)
	}, 1, true},
	{"drains go on after a resume", 5, 2, func(fleet *testFleet) {
		fleet.run(5 * time.Second)
		fleet.step(2, HaltRequested{})
		fleet.step(0, DrainRequested{})
		fleet.run(10 * time.Second)
		if fleet.drains != 0 {
			fleet.t.Fatal("a node drained though the release was halted")
		}
		fleet.step(4, ResumeRequested{})
		fleet.run(20 * time.Second)
	}, 1, false},
	{"a smaller budget applies at once", 5, 2, func(fleet *testFleet) {
		fleet.run(5 * time.Second)
		fleet.step(0, DrainRequested{})
		fleet.runUntilNode0StaysAway()
		fleet.each(func(i int) { fleet.step(i, BudgetChanged{Budget: 1}) })
		fleet.step(1, DrainRequested{})
		fleet.run(15 * time.Second)
	}, 1, false},
	{"an order for the release that a node runs does not cancel its drain request", 3, 1, func(fleet *testFleet) {
		fleet.run(5 * time.Second)
		fleet.step(0, HaltRequested{})
		fleet.step(0, DrainRequested{})
		fleet.step(0, ReleaseOrdered{"v1"}) // all nodes run v1 already; the order also ends the halt
		fleet.run(10 * time.Second)
	}, 1, false},
	{"an order back to the previous release frees the requested slot", 3, 1, func(fleet *testFleet) {
		fleet.run(5 * time.Second)
		fleet.each(func(i int) { // what node 0 sends is lost, so node 0 gets no answer to its request
			fleet.nodes[i].isCutFrom[1], fleet.nodes[i].isCutFrom[2] = i == 0, i == 0
		})
		fleet.step(0, ReleaseOrdered{"v2"})
		request := fleet.nodes[0].core.request.slotRequest
		fleet.nodes[1].core.decide(fleet.clock(1), 0, request)
		fleet.nodes[2].core.decide(fleet.clock(2), 0, request)
		fleet.step(0, ReleaseOrdered{"v1"})
		fleet.partition(0)
		fleet.step(1, DrainRequested{})
		fleet.run(10 * time.Second)
	}, 1, false},
	{"a release that is not installed halts", 5, 1, func(fleet *testFleet) {
		fleet.run(5 * time.Second)
		fleet.step(2, ReleaseOrdered{"v2"})
		fleet.run(30 * time.Second)
	}, 1, true},
	{"a fleet whose nodes all restart at once goes on", 5, 2, func(fleet *testFleet) {
		fleet.run(5 * time.Second)
		fleet.each(func(i int) {
			fleet.kill(i)
			fleet.nodes[i].restartAt = fleet.now + time.Second
		})
		fleet.run(8 * time.Second)
		fleet.step(0, DrainRequested{})
		fleet.run(20 * time.Second)
	}, 1, false},
}

func TestDrainScenarios(t *testing.T) {
	for _, test := range drainScenarios {
		t.Run(test.name, func(t *testing.T) {
			fleet := newTestFleet(t, 3, test.nodes, test.budget, nil)
			test.play(fleet)
			if got := fleet.isHalted(); fleet.drains != test.wantDrains || got != test.wantHalted {
				t.Errorf("%d nodes drained, want %d; halted %v, want %v", fleet.drains, test.wantDrains, got, test.wantHalted)
			}
		})
	}
}

func TestSlotOfHolderThatNeverReturnsIsWrittenOff(t *testing.T) {
	fleet := newTestFleet(t, 5, 5, 1, func(cfg *Config) { cfg.ReturnTimeout, cfg.WriteOffAfter = 5*time.Second, 10*time.Second })
	fleet.step(0, DrainRequested{})
	fleet.runUntilNode0StaysAway()
	fleet.run(15 * time.Second)
	if got, want := fleet.events[LogSlotExpired], 3; got < want {
		t.Errorf("the slot expired at %d nodes, want at least %d", got, want)
	}
}

// TestZoneBudgetBoundsDrainsOfOneZone checks that at most one node of each zone is out at once, although the budget of the fleet
// would allow three nodes of the same zone.
func TestZoneBudgetBoundsDrainsOfOneZone(t *testing.T) {
	const zones, zoneBudget = 2, 1
	fleet := newTestFleet(t, 9, 6, 3, func(cfg *Config) { cfg.ZoneBudget, cfg.Zone = zoneBudget, fmt.Sprint("z", cfg.Self%zones) })
	fleet.each(func(i int) { fleet.step(i, DrainRequested{}) })
	for range 300 {
		fleet.run(100 * time.Millisecond)
		var out [zones]int
		fleet.each(func(i int) {
			if fleet.nodes[i].isOut {
				out[i%zones]++
			}
		})
		for zone, count := range out {
			if count > zoneBudget {
				t.Fatalf("%d nodes of zone %d are out, want at most %d", count, zone, zoneBudget)
			}
		}
	}
	if fleet.drains < 3 {
		t.Errorf("%d nodes drained in 30 s, want at least 3", fleet.drains)
	}
}

// TestDecisionsInFleetsOfAnySize checks the size of the majority, which requests are denied, and that all grants fit into one
// heartbeat.
func TestDecisionsInFleetsOfAnySize(t *testing.T) {
	for _, test := range []struct {
		nodes, budget     int
		out, unresponsive int // nodes that are out with a slot; nodes that are unresponsive without one
		wantMajority      int
		want              Reason
	}{
		{1, 1, 0, 0, 1, ReasonGranted},
		{4, 1, 0, 0, 3, ReasonGranted},
		{4, 1, 1, 0, 3, ReasonOverBudget},
		{4, 2, 1, 0, 3, ReasonGranted},
		{4, 2, 0, 2, 3, ReasonOverBudget},
		{80, 4, 3, 0, 41, ReasonGranted},
		{80, 4, 4, 0, 41, ReasonOverBudget},
		{80, 4, 2, 2, 41, ReasonOverBudget},
		{300, 11, 10, 0, 151, ReasonGranted},
		{300, 11, 5, 6, 151, ReasonOverBudget},
		{1000, 11, 10, 0, 501, ReasonGranted},
		{1000, 11, 11, 0, 501, ReasonOverBudget},
		{1000, 11, 0, 499, 501, ReasonOverBudget},
	} {
		name := fmt.Sprintf("%d nodes, budget %d, %d out, %d unresponsive", test.nodes, test.budget, test.out, test.unresponsive)
		t.Run(name, func(t *testing.T) {
			core, now := newObservedCore(t, test.nodes, test.budget, test.out, test.unresponsive)
			if got := core.majority(); got != test.wantMajority {
				t.Errorf("majority %d, want %d", got, test.wantMajority)
			}
			freeSlot := uint8(min(test.out, test.budget-1))
			got := core.evaluateRequest(now, test.nodes-1-test.unresponsive, slotRequest{Incarnation: 1, Number: 1, Slot: freeSlot})
			isSameDenial := got == ReasonSlotTaken && test.want == ReasonOverBudget
			if test.nodes > 1 && got != test.want && !isSameDenial {
				t.Errorf("the request is answered %v, want %v", got, test.want)
			}
			beat := heartbeat{Incarnation: 1 << 60, Sequence: 1 << 31}
			for _, record := range core.grants {
				beat.Grants = append(beat.Grants, record.grant)
			}
			if size := len(beat.encode()); size > datagram.MaxSize {
				t.Errorf("the heartbeat has %d bytes, want at most %d", size, datagram.MaxSize)
			}
		})
	}
}

// newObservedCore returns the core of node 0 after it received heartbeats from the other nodes. The parameter out is the number
// of nodes that are draining with slots; the other nodes are ready. The parameter unresponsive is the number of nodes that have
// sent no heartbeats for a while; they have the highest indices.
func newObservedCore(t *testing.T, nodes, budget, out, unresponsive int) (*Core, Time) {
	t.Helper()
	core := newTestCore(t, testConfig(0, nodes, budget))
	now := Time(0)
	core.Step(now, ServingStarted{})
	sequence := uint32(0)
	sendHeartbeats := func(responsive int) {
		sequence++
		for i := 1; i < responsive; i++ {
			state := Ready
			if i <= out {
				state = Draining
			}
			core.Step(now, MessageReceived{i, heartbeat{Incarnation: 1, Sequence: sequence, State: state}.encode()})
		}
	}
	for _, responsive := range []int{nodes, nodes - unresponsive} { // first until the core grants slots, then until silent nodes are unresponsive
		for end := now + core.cfg.RequestTimeout + core.cfg.UnresponsiveAfter; now < end; now += core.cfg.HeartbeatInterval {
			sendHeartbeats(responsive)
			core.Step(now, Tick{})
		}
	}
	for i := 1; i <= out; i++ {
		slot := grant{Holder: uint16(i), Incarnation: 1, Request: 1, Slot: uint8(i - 1)}
		core.grants = append(core.grants, grantRecord{grant: slot, grantedAt: now})
	}
	return core, now
}
