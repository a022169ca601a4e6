package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestHeldKeepsRoomForWrites(t *testing.T) {
	h := RequestMemory{Limit: 100 * perRequest}
	reads, writes := 0, 0
	for h.Reserve(0, false) {
		reads++
	}
	for h.Reserve(0, true) {
		writes++
	}
	if reads != 75 || writes != 25 {
		t.Errorf("%d reads and %d writes, want 75 and 25", reads, writes)
	}
	if h.Reserve(64<<10, true) {
		t.Error("a large value past the bound")
	}
	h.Release(0)
	if h.Reserve(0, false) || !h.Reserve(0, true) {
		t.Error("one that went makes room for a write, and not for a read")
	}
	if free := (RequestMemory{}); !free.Reserve(1<<30, false) {
		t.Error("no bound, and yet one was kept")
	}
}

// TestHeldNeverDrifts: whatever is taken and given back, nothing is left in the end and the bound holds all the time.
func TestHeldNeverDrifts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := RequestMemory{Limit: rapid.IntRange(1, 1<<20).Draw(t, "limit")}
		var taken []int
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			if len(taken) > 0 && rapid.Bool().Draw(t, "give") {
				h.Release(taken[0])
				taken = taken[1:]
			} else if n := rapid.IntRange(0, 64<<10).Draw(t, "value"); h.Reserve(n, rapid.Bool().Draw(t, "write")) {
				taken = append(taken, n)
			}
			if h.used > h.Limit || h.used < 0 {
				t.Fatalf("%d bytes of %d", h.used, h.Limit)
			}
		}
		for _, n := range taken {
			h.Release(n)
		}
		if h.used != 0 {
			t.Fatalf("%d bytes are left of nothing", h.used)
		}
	})
}

func TestMemoryLevel(t *testing.T) {
	const mb = 1 << 20
	step := 250 * time.Millisecond
	for name, test := range map[string]struct {
		used     []int64 // MB of 100, a quarter of a second apart
		low, top float64 // bounds of the level at the end
	}{
		"little":             {[]int64{20, 20, 20}, 0, 0},
		"level, not much":    {[]int64{70, 70, 70}, 0, 0},
		"much":               {[]int64{81, 81, 81}, 0.45, 0.55},
		"nearly all":         {[]int64{92, 92}, 1, 1},
		"rising fast":        {[]int64{40, 60, 80}, 1, 1},
		"rising slowly":      {[]int64{60, 61, 62}, 0, 0},
		"lets go slowly":     {[]int64{92, 92, 60, 60}, 0.7, 0.8},
		"lets go in the end": {[]int64{92, 60, 60, 60, 60, 60, 60, 60, 60, 60}, 0, 0},
	} {
		m := MemoryPressure{Limit: 100 * mb}
		got := 0.0
		for i, used := range test.used {
			got = m.Observe(time.Duration(i)*step, used*mb)
		}
		if got < test.low || got > test.top {
			t.Errorf("%s: level %.2f, want %.2f to %.2f", name, got, test.low, test.top)
		}
	}
	if (&MemoryPressure{}).Observe(0, 1<<40) != 0 {
		t.Error("a level without a limit")
	}
}
