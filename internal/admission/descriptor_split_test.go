package admission

import (
	"fmt"
	"testing"
	"time"
)

// splitRun passes demands for descriptors to a split, and records how the limits change.
type splitRun struct {
	*testing.T
	policy     DescriptorSplitPolicy
	split      *DescriptorSplit
	exhausted  [NumSides]int64
	lastChange [NumSides]int // the last nonzero change of each limit
	reversals  int           // how often a limit rose after a fall, or fell after a rise
}

// step rebalances the split for a demand, and checks that the sum of the limits is unchanged and that no limit is below
// its floor.
func (r *splitRun) step(now Time, demand [NumSides]int) {
	var usage [NumSides]SideUsage
	before := r.split.Limits()
	for side := range NumSides {
		usage[side].InUse = min(demand[side], before[side])
		r.exhausted[side] += int64(demand[side] - usage[side].InUse)
		usage[side].Exhausted = r.exhausted[side]
	}
	changed := r.split.Rebalance(now, usage)
	limits := r.split.Limits()
	if changed {
		r.recordChanges(now, before, limits, usage)
	}
	if got, want := sum(limits), sum(r.policy.Start); got != want {
		r.Fatalf("at %s: got a sum of %d, want %d", now, got, want)
	}
	for side := range NumSides {
		if limits[side] < r.policy.Floor[side] {
			r.Fatalf("at %s: got the limit %d of side %d, want %d at least", now, limits[side], side, r.policy.Floor[side])
		}
	}
}

func (r *splitRun) recordChanges(now Time, before, after [NumSides]int, usage [NumSides]SideUsage) {
	for side := range NumSides {
		change := after[side] - before[side]
		if change*r.lastChange[side] < 0 {
			r.reversals++
		}
		if change != 0 {
			r.lastChange[side] = change
		}
		if after[side] < usage[side].InUse {
			r.Fatalf("at %s: got the limit %d of a side with %d in use", now, after[side], usage[side].InUse)
		}
	}
}

func sum(limits [NumSides]int) int { return limits[Clients] + limits[CacheServers] + limits[Origin] }

// TestDescriptorsAreGivenToTheSideInNeed checks that descriptors move from a side that does not use them to the side in
// need. It guards against two sides in need that pass descriptors back and forth: the limits have to settle. The limits
// over time are in the test's log.
func TestDescriptorsAreGivenToTheSideInNeed(t *testing.T) {
	policy := DescriptorSplitPolicy{Start: [NumSides]int{176, 105, 35}, Floor: [NumSides]int{64, 24, 8}, Step: 8, Hold: 2 * time.Second, Fade: 5 * time.Second}
	run := &splitRun{T: t, policy: policy, split: NewDescriptorSplit(policy)}
	var series []string
	for i := range 240 { // one minute in steps of 250 ms
		demand := [NumSides]int{40, 30, 10}
		switch {
		case i >= 40 && i < 120:
			demand[Clients] = 400 // more descriptors than there are
		case i >= 120:
			demand[CacheServers], demand[Origin] = 300, 200
		}
		run.step(time.Duration(i)*250*ms, demand)
		if i%20 == 0 {
			series = append(series, fmt.Sprint(run.split.Limits()))
		}
	}
	t.Logf("clients, cache servers, origin every 5 s: %v", series)
	limits := run.split.Limits()
	if run.reversals > 6 {
		t.Errorf("got %d reversals of a limit, want 6 at most", run.reversals)
	}
	if limits[CacheServers] < 120 || limits[Clients] > 120 {
		t.Errorf("got the limits %v at the end, want cache servers at 120 or more and clients at 120 or less", limits)
	}
}
