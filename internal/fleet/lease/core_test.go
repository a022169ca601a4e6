package lease

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var seeds = flag.Int("lease.seeds", 1500, "runs that TestNoLeaseHasTwoHolders simulates")

// TestNoLeaseHasTwoHolders simulates thousands of short runs of small fleets in which any fault may hit any node. It fails as
// soon as two nodes hold the same lease at once, or a new holder's token is not greater than the previous holder's token.
func TestNoLeaseHasTwoHolders(t *testing.T) {
	changes := 0
	for seed := range uint64(*seeds) {
		nodes := 2 + int(seed%4)
		fleet := newTestFleet(t, seed, nodes, testResource, "b")
		fleet.lossRate = []float64{0, 0.1, 0.3}[seed%3]
		fleet.maxDelay = []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}[seed/3%3]
		for range 25 {
			fleet.run(time.Duration(fleet.rng.Int64N(int64(500 * time.Millisecond))))
			injectFault(fleet)
		}
		changes += fleet.holderChanges
	}
	if changes < *seeds/2 {
		t.Errorf("%d changes of the holder in %d runs, want at least one in two runs, otherwise the test checks too little", changes, *seeds)
	}
}

// injectFault applies one random fault to a random node, or to all nodes.
func injectFault(fleet *testFleet) {
	i, other := fleet.rng.IntN(len(fleet.nodes)), fleet.rng.IntN(len(fleet.nodes))
	node := &fleet.nodes[i]
	switch fleet.rng.IntN(8) {
	case 0, 1:
		node.isStalled = node.core != nil && !node.isStalled
	case 2:
		if node.core != nil {
			fleet.kill(i)
		} else {
			fleet.start(i)
		}
	case 3:
		node.isCutFrom[other] = !node.isCutFrom[other]
	case 4:
		fleet.partition(fleet.rng.IntN(len(fleet.nodes)))
	case 5:
		corrupt := []byte{Magic, version, byte(fleet.rng.IntN(5)), 1, 2, 3, 4, 5, 6, 7, 8, 9, byte(fleet.rng.IntN(256))}
		fleet.step(i, MessageReceived{other, corrupt})
	case 6:
		if holder := fleet.holder(testResource); holder != NoNode && fleet.rng.IntN(2) == 0 {
			fleet.step(holder, Resign{})
			fleet.kill(holder)
		}
	case 7: // all processes end at once and are restarted
		if fleet.rng.IntN(4) == 0 {
			fleet.each(func(i int) { fleet.kill(i); fleet.start(i) })
		}
	}
}

// faultScenarios are faults that occur while a node holds the lease, with what is expected of the lease afterwards.
var faultScenarios = []struct {
	name         string
	nodes        int
	play         func(fleet *testFleet, holder int)
	wantHolder   bool // whether any node holds the lease at some time in the second to fourth LeaseDuration after the fault
	wantNewToken bool
}{
	{"the holder is killed", 5, func(fleet *testFleet, holder int) { fleet.kill(holder) }, true, true},
	{"the holder stalls", 5, func(fleet *testFleet, holder int) { fleet.nodes[holder].isStalled = true }, true, true},
	{"the holder resigns", 5, func(fleet *testFleet, holder int) { fleet.step(holder, Resign{}); fleet.kill(holder) }, true, true},
	{"the holder is cut off from all", 5, func(fleet *testFleet, holder int) { fleet.isolate(holder, 5) }, true, true},
	{"the holder is cut off from a few", 5, func(fleet *testFleet, holder int) { fleet.isolate(holder, 2) }, true, false},
	{"the holder receives no messages but sends them", 5, func(fleet *testFleet, holder int) { fleet.dropIncoming(holder) }, true, true},
	{"the fleet is partitioned into halves", 4, func(fleet *testFleet, _ int) { fleet.partition(2) }, false, false},
	{"the other of two nodes is killed", 2, func(fleet *testFleet, holder int) { fleet.kill(1 - holder) }, false, false},
	{"the holder of two nodes restarts", 2, func(fleet *testFleet, holder int) { fleet.kill(holder); fleet.start(holder) }, true, true},
	{"a majority is killed", 5, func(fleet *testFleet, holder int) {
		for distance := 1; distance <= 3; distance++ {
			fleet.kill((holder + distance) % 5)
		}
	}, false, false},
	{"all restart at once", 3, func(fleet *testFleet, _ int) {
		fleet.each(func(i int) { fleet.kill(i); fleet.start(i) })
	}, true, true},
	{"all stall for a while", 3, func(fleet *testFleet, _ int) {
		fleet.each(func(i int) { fleet.nodes[i].isStalled = true })
		fleet.run(3 * testLease)
		fleet.each(func(i int) { fleet.nodes[i].isStalled = false })
	}, true, true},
	{"a clock runs as fast as it may", 3, func(fleet *testFleet, holder int) {
		fleet.nodes[(holder+1)%3].clockRate *= 1 + testClockDrift
		fleet.kill(holder)
	}, true, true},
	{"another process takes the holder's place", 3, func(fleet *testFleet, holder int) { fleet.start(holder) }, true, true},
}

func TestFaultScenarios(t *testing.T) {
	for _, test := range faultScenarios {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(20) {
				fleet := newTestFleet(t, seed, test.nodes, testResource)
				holder, _ := fleet.runUntilAcquired(NoNode)
				token := fleet.highestToken[testResource]
				test.play(fleet, holder)
				fleet.run(testLease) // after this, a lease that was not renewed since the fault has expired
				fleet.unheldFor = 0
				fleet.run(3 * testLease)
				if got := fleet.unheldFor < 3*testLease; got != test.wantHolder {
					t.Fatalf("seed %d: held %v within three lease durations, want %v; no node held it for %v", seed, got, test.wantHolder, fleet.unheldFor)
				}
				if got := fleet.highestToken[testResource]; test.wantNewToken && got <= token {
					t.Fatalf("seed %d: token %d after the fault, want one above %d", seed, got, token)
				}
			}
		})
	}
}

// TestStalledHolderIsReplaced checks that a stalled holder has a successor within a few lease durations, in fleets of up to 80
// nodes that lose a tenth of their messages. Most nodes must ignore an announcement that the stalled holder sent while it
// held the lease, and that arrives after the successor acquired the lease.
func TestStalledHolderIsReplaced(t *testing.T) {
	for _, test := range []struct {
		nodes      int
		wantWithin time.Duration
	}{{3, 2 * testLease}, {5, 2 * testLease}, {20, 2 * testLease}, {80, 3 * testLease}} {
		t.Run(fmt.Sprintf("%d nodes", test.nodes), func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(12) {
				longest = max(longest, replaceStalledHolder(t, seed, test.nodes))
			}
			t.Logf("at most %v", longest)
			if longest > test.wantWithin {
				t.Errorf("a successor took %v, want at most %v", longest, test.wantWithin)
			}
		})
	}
}

// replaceStalledHolder stalls the holder and returns how long it took until another node held the lease.
func replaceStalledHolder(t *testing.T, seed uint64, nodes int) time.Duration {
	t.Helper()
	fleet := newTestFleet(t, seed, nodes, testResource)
	fleet.maxDelay = 27 * time.Millisecond // greatest message delay on the target platform
	fleet.runUntilAcquired(NoNode)
	fleet.run(testLease)
	stalled, _ := fleet.runUntilAcquired(NoNode)
	core := fleet.nodes[stalled].core
	late := announcement{core.header(core.find(testResource), fleet.highestToken[testResource])}.encode()
	fleet.nodes[stalled].isStalled = true
	successor, took := fleet.runUntilAcquired(stalled)
	fleet.run(testLease / 2)
	fleet.each(func(i int) {
		if i != stalled {
			fleet.step(i, MessageReceived{stalled, late})
		}
	})
	if fleet.staleTokens < nodes*2/3 || len(fleet.announcements) > nodes/3 {
		t.Errorf("of %d nodes that received a late announcement %d ignored it, want at least %d, and %d accepted it, want at most %d",
			nodes-1, fleet.staleTokens, nodes*2/3, len(fleet.announcements), nodes/3)
	}
	fleet.nodes[stalled].isStalled = false
	fleet.run(testLease / 2)
	if got := fleet.holder(testResource); got != successor {
		t.Errorf("node %d holds the lease after the stalled one woke, want %d as before", got, successor)
	}
	return took
}

// TestOnlyHolderCanAnnounce checks that an announcement from the holder reaches all other nodes, and that no other node can
// send one.
func TestOnlyHolderCanAnnounce(t *testing.T) {
	fleet := newTestFleet(t, 1, 5, testResource)
	fleet.lossRate = 0
	holder, _ := fleet.runUntilAcquired(NoNode)
	fleet.run(testLease)
	fleet.step((holder+1)%5, Announce{testResource})
	fleet.run(testLease / 4)
	if len(fleet.announcements) != 0 {
		t.Fatalf("an announcement from a node that is not the holder reached %v, want no node", fleet.announcements)
	}
	fleet.step(holder, Announce{testResource})
	fleet.run(testLease / 4)
	if len(fleet.announcements) != 4 || fleet.announcements[holder] != 0 {
		t.Fatalf("the announcement from node %d reached %v, want all other nodes", holder, fleet.announcements)
	}
}

// TestFleetGrowsByOneNode gives the nodes, one after another, a list of peers that has one node more. At no moment may two
// nodes hold the lease.
func TestFleetGrowsByOneNode(t *testing.T) {
	for seed := range uint64(200) {
		fleet := newTestFleet(t, seed, 4, testResource)
		for i := range 3 { // node 3 is not on the first list of peers
			fleet.nodes[i].core.Step(fleet.clock(i), PeersChanged{Self: i, Nodes: 3, PeerListID: 9})
		}
		fleet.kill(3)
		fleet.runUntilAcquired(NoNode)
		for i := range 3 {
			fleet.run(time.Duration(fleet.rng.Int64N(int64(testLease))))
			fleet.step(i, PeersChanged{Self: i, Nodes: 4, PeerListID: 1})
			if i == 1 {
				fleet.start(3)
			}
		}
		if holder, took := fleet.runUntilAcquired(NoNode); took > 4*testLease {
			t.Fatalf("seed %d: node %d acquired the lease after %v, want at most %v", seed, holder, took, 4*testLease)
		}
	}
}
