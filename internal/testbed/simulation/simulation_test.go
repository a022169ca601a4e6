package simulation

import (
	"bytes"
	"runtime"
	"sync"
	"testing"
)

// seedsInCI is the number of seeds that a test of the simulation runs. The race detector's build uses fewer seeds.
var seedsInCI = uint64(300)

// runSeeds calls run with the seeds from 0 to seeds-1, in parallel on all processors. It calls inspect with each report; the calls
// of inspect do not overlap.
func runSeeds(seeds uint64, run func(seed uint64) *Report, inspect func(r *Report)) {
	var mu sync.Mutex
	next := uint64(0)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				mu.Unlock()
				if seed >= seeds {
					return
				}
				r := run(seed)
				mu.Lock()
				inspect(r)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
}

// TestInvariantsHoldUnderDrawnFaults guards against errors that show only in rare orders of events. It runs nodes under load, with
// random faults for each seed. Every invariant has to hold in all runs.
func TestInvariantsHoldUnderDrawnFaults(t *testing.T) {
	served, kills := 0, 0
	faultCounts := map[string]int{}
	runSeeds(seedsInCI, func(seed uint64) *Report { return Run(Draw(seed, nil), Options{}) }, func(r *Report) {
		served, kills = served+r.Served, kills+r.Kills+r.Restarts
		for _, w := range r.Faults {
			faultCounts[w]++
		}
		if len(r.Violations) > 0 {
			t.Errorf("%s; to reproduce it: testbed simulate --replay %d", r, r.Seed)
		}
	})
	if uint64(served) < 200*seedsInCI || uint64(kills) < seedsInCI/4 {
		t.Errorf("%d requests were served and %d processes ended in %d runs: too few for a meaningful test", served, kills, seedsInCI)
	}
	for _, p := range parts {
		if faultCounts[p.name] == 0 {
			t.Errorf("no seed switched on %s", p.name)
		}
	}
}

// TestAgreementsHoldUnderDrawnFaults guards against errors in leases, rollouts and membership that show only in rare orders of
// events. It runs fleets without requests, with random faults for each seed. Every invariant has to hold in all runs.
func TestAgreementsHoldUnderDrawnFaults(t *testing.T) {
	faultCounts := map[string]int{}
	runSeeds(seedsInCI/2, func(seed uint64) *Report { return RunFleet(DrawFleet(seed, nil), Options{}) }, func(r *Report) {
		for _, w := range r.Faults {
			faultCounts[w]++
		}
		if len(r.Violations) > 0 {
			t.Errorf("%s; to reproduce it: testbed simulate --fleet --replay %d", r, r.Seed)
		}
	})
	for k := range fleetFaultKinds {
		if faultCounts[k.String()] == 0 {
			t.Errorf("no seed had %s", k)
		}
	}
}

// TestSeedGivesTheSameEventLog guards against runs that depend on anything but their seed, such as other runs at the same time. A
// seed has to give the same event log each time, byte for byte.
func TestSeedGivesTheSameEventLog(t *testing.T) {
	logs := make([]bytes.Buffer, 6)
	var workers sync.WaitGroup
	for i := range logs {
		workers.Go(func() {
			trace := Options{Trace: func(line []byte) { logs[i].Write(line) }}
			Run(Draw(uint64(40+i%2), nil), trace)
			RunFleet(DrawFleet(uint64(40+i%2), nil), trace)
		})
	}
	workers.Wait()
	for i := 2; i < len(logs); i++ {
		if logs[i].Len() == 0 || !bytes.Equal(logs[i].Bytes(), logs[i-2].Bytes()) {
			t.Errorf("run %d of a seed differs from the one before", i)
		}
	}
	if bytes.Equal(logs[0].Bytes(), logs[1].Bytes()) {
		t.Error("two seeds gave the same run")
	}
}

// TestLeavingOutOnePartChangesNoOther guards against plans that cannot be shrunk, because leaving out one part changes another. The
// random numbers of a part must not depend on which other parts are switched on.
func TestLeavingOutOnePartChangesNoOther(t *testing.T) {
	for seed := range uint64(40) {
		on := Parts(seed)
		all := Draw(seed, nil)
		for _, i := range on {
			less := Draw(seed, map[int]bool{i: true})
			if len(less.drawnNames) != len(all.drawnNames)-1 || len(less.Spec.Faults) < len(all.Spec.Faults)-1 || len(less.NodeFaults) < len(all.NodeFaults)-1 {
				t.Fatalf("seed %d without part %d: %v of %v", seed, i, less.drawnNames, all.drawnNames)
			}
		}
	}
}
