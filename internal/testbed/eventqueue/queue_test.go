package eventqueue

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestEventsRunByTimeAndThenInTheOrderOfScheduling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOfN(rapid.IntRange(0, 5), 0, 50).Draw(t, "times")
		var queue Queue
		var got []int
		for i, at := range times {
			queue.Schedule(time.Duration(at), func() { got = append(got, i) })
		}
		if queue.Len() != len(times) {
			t.Fatalf("length %d, want %d", queue.Len(), len(times))
		}
		for event, ok := queue.PopUntil(5); ok; event, ok = queue.PopUntil(5) {
			event.Run()
		}
		want := make([]int, len(times))
		for i := range want {
			want[i] = i
		}
		slices.SortStableFunc(want, func(a, b int) int { return times[a] - times[b] })
		if !slices.Equal(got, want) {
			t.Fatalf("order %v of the times %v, want %v", got, times, want)
		}
	})
}

func TestPopUntilLeavesLaterEvents(t *testing.T) {
	var queue Queue
	if _, ok := queue.Next(); ok {
		t.Error("an empty queue has a next event")
	}
	if _, ok := queue.PopUntil(time.Hour); ok {
		t.Error("an empty queue has a due event")
	}
	queue.Schedule(2*time.Second, func() {})
	queue.Schedule(time.Second, func() {})
	if at, ok := queue.Next(); !ok || at != time.Second {
		t.Errorf("next event at %s, %v; want 1s, true", at, ok)
	}
	if _, ok := queue.PopUntil(time.Second - 1); ok {
		t.Error("an event was popped before its time")
	}
	if event, ok := queue.PopUntil(time.Second); !ok || event.At != time.Second {
		t.Errorf("popped an event at %s, %v; want 1s, true", event.At, ok)
	}
	if queue.Len() != 1 {
		t.Errorf("%d events remain, want 1", queue.Len())
	}
}
