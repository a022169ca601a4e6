package nodes

import (
	"os"
	"testing"
	"time"
)

func TestUsageIsReadFromProcStat(t *testing.T) {
	const stat = "7 (two words) S 1 7 7 0 -1 4194560 1 0 0 0 200 50 0 0 20 0 5 0 100 1000000 300 18446744073709551615"
	for content, want := range map[string]Usage{
		stat:                      {CPU: 2500 * time.Millisecond, Memory: 300 * int64(os.Getpagesize())},
		"7 (shelfproxy) S 1 7 7":  {},
		"no parenthesis anywhere": {},
	} {
		var got Usage
		got.parseStat(content)
		if got != want {
			t.Errorf("%q: %+v, want %+v", content, got, want)
		}
	}
}

// A process may use a burst of processor time and, over time, its share of a processor. Time that it did not use counts
// only up to the burst.
func TestQuotaIsOfProcessorTime(t *testing.T) {
	start := time.Unix(1000, 0)
	quota := cpuQuota{share: 0.25, lastCheck: start}
	for i, step := range []struct {
		after, used time.Duration // time, and processor time used, since the start of the test
		isExceeded  bool
	}{
		{time.Second, 0, false}, // after an idle second, the process may use no more than the burst
		{time.Second, throttleBurst, false},
		{time.Second, throttleBurst + time.Millisecond, true},
		{time.Second + 3*time.Millisecond, throttleBurst + time.Millisecond, true},
		{time.Second + 4*time.Millisecond, throttleBurst + time.Millisecond, false},
		{time.Second + 400*time.Millisecond, throttleBurst + 100*time.Millisecond, false}, // exactly the burst and 25% of 400 ms
	} {
		if got := quota.isExceeded(start.Add(step.after), step.used); got != step.isExceeded {
			t.Errorf("step %d: exceeded %v, want %v", i, got, step.isExceeded)
		}
	}
	before := cpuTime(os.Getpid())
	for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end); {
		continue
	}
	if used := cpuTime(os.Getpid()) - before; used <= 0 {
		t.Errorf("a busy process used %v, want some", used)
	}
}
