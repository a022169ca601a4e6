package admission

import (
	"testing"
	"time"
)

// TestLevelRisesWhileTheQueueStaysBehind checks that a burst that is soon served has no effect, that the level rises
// while all items wait too long, and that it falls afterwards.
func TestLevelRisesWhileTheQueueStaysBehind(t *testing.T) {
	delay := &QueueDelay{Target: 5 * ms, Interval: 100 * ms}
	observe := func(from, to Time, wait func(i int) time.Duration) {
		for i := 0; from < to; i++ {
			delay.Observe(from, wait(i))
			from += 2 * ms
		}
	}
	observe(0, time.Second, func(i int) time.Duration { return time.Duration(50-i%50) * ms }) // the wait falls to 1 ms in each burst
	if got := delay.Level(time.Second); got != 0 {
		t.Errorf("bursts that are soon served: got the level %.2f, want 0", got)
	}
	behind := func(int) time.Duration { return 8 * ms }
	observe(time.Second, 1300*ms, behind)
	if got := delay.Level(1300 * ms); got <= 0 || got > 0.6 {
		t.Errorf("behind for 300 ms: got the level %.2f, want above 0 and up to 0.6", got)
	}
	observe(1300*ms, 3*time.Second, behind)
	if got := delay.Level(3 * time.Second); got != 1 {
		t.Errorf("behind for 2 s: got the level %.2f, want 1", got)
	}
	if got := delay.Level(5 * time.Second); got != 0 {
		t.Errorf("after 2 s without items: got the level %.2f, want 0", got)
	}
	delay.Observe(time.Hour, 0) // returns soon: the many intervals of a long pause are not ended one by one
}
