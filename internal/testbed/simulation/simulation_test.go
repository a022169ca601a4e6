package simulation

import (
	"bytes"
	"runtime"
	"sync"
	"testing"
)

// seedsInCI is how many seeds a run of the tests plays.
var seedsInCI = uint64(300)

// play plays the first seeds on all processors and calls look with each report, one at a time.
func play(seeds uint64, run func(seed uint64) *Report, look func(r *Report)) {
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
				look(r)
				mu.Unlock()
			}
		})
	}
	workers.Wait()
}

// TestInvariantsHoldUnderDrawnFaults plays nodes under load with the faults that each seed draws: every invariant holds in all runs.
func TestInvariantsHoldUnderDrawnFaults(t *testing.T) {
	served, kills := 0, 0
	words := map[string]int{}
	play(seedsInCI, func(seed uint64) *Report { return Run(Draw(seed, nil), Options{}) }, func(r *Report) {
		served, kills = served+r.Served, kills+r.Kills+r.Restarts
		for _, w := range r.Faults {
			words[w]++
		}
		if len(r.Violations) > 0 {
			t.Errorf("%s; testbed simulate --replay %d shows it", r, r.Seed)
		}
	})
	if uint64(served) < 200*seedsInCI || uint64(kills) < seedsInCI/4 {
		t.Errorf("%d served, %d processes ended in %d runs: they show little", served, kills, seedsInCI)
	}
	for _, p := range parts {
		if words[p.name] == 0 {
			t.Errorf("no seed had %s", p.name)
		}
	}
}

// TestAgreementsHoldUnderDrawnFaults plays the agreements of fleets with the faults that each seed draws: every invariant holds in all runs.
func TestAgreementsHoldUnderDrawnFaults(t *testing.T) {
	words := map[string]int{}
	play(seedsInCI/2, func(seed uint64) *Report { return RunFleet(DrawFleet(seed, nil), Options{}) }, func(r *Report) {
		for _, w := range r.Faults {
			words[w]++
		}
		if len(r.Violations) > 0 {
			t.Errorf("%s; testbed simulate --fleet --replay %d shows it", r, r.Seed)
		}
	})
	for k := range fleetFaultKinds {
		if words[k.String()] == 0 {
			t.Errorf("no seed had %s", k)
		}
	}
}

// TestSeedGivesTheSameEventLog: a seed gives the same event log each time, byte for byte, beside others and alone.
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

// TestLeavingOutOnePartChangesNoOther: what one part draws does not depend on the others, so that a plan can be shrunk.
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
