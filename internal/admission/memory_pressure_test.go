package admission

import (
	"testing"
	"time"
)

func TestMemoryPressureFollowsTheUse(t *testing.T) {
	const mb = 1 << 20
	const step = 250 * time.Millisecond
	for name, test := range map[string]struct {
		used       []int64 // MB in use, of a limit of 100 MB, every 250 ms
		least, top float64 // bounds of the fraction to shed, at the end
	}{
		"little":          {[]int64{20, 20, 20}, 0, 0},
		"level, not much": {[]int64{70, 70, 70}, 0, 0},
		"much":            {[]int64{81, 81, 81}, 0.45, 0.55},
		"nearly all":      {[]int64{92, 92}, 1, 1},
		"rising fast":     {[]int64{40, 60, 80}, 1, 1},
		"rising slowly":   {[]int64{60, 61, 62}, 0, 0},
		"falls slowly":    {[]int64{92, 92, 60, 60}, 0.7, 0.8},
		"falls to zero":   {[]int64{92, 60, 60, 60, 60, 60, 60, 60, 60, 60}, 0, 0},
		// Up to the collector's limit the rise may be garbage: it says nothing of what is needed.
		"rising fast up to the collector's limit":    {[]int64{10, 35, 60}, 0, 0},
		"rising fast across the collector's limit":   {[]int64{10, 50, 75}, 0.99, 1},
		"rising slowly across the collector's limit": {[]int64{30, 59, 61}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			pressure := MemoryPressure{Limit: 100 * mb, CollectorLimit: 60 * mb}
			got := 0.0
			for i, used := range test.used {
				got = pressure.Observe(time.Duration(i)*step, used*mb)
			}
			if got < test.least || got > test.top {
				t.Errorf("got the level %.2f, want %.2f to %.2f", got, test.least, test.top)
			}
		})
	}
	if got := (&MemoryPressure{}).Observe(0, 1<<40); got != 0 {
		t.Errorf("got the level %.2f without a limit, want 0", got)
	}
}
