package admission

import "testing"

func TestItemOfGreatestWeightComesOutFirst(t *testing.T) {
	var queue PriorityQueue[string]
	queue.Add("a", 1)
	queue.Add("b", 2)
	queue.Add("c", 1)
	queue.Add("d", 1)
	queue.Add("a", 1.5) // adds to the weight of the item that waits
	if !queue.Remove("d") || queue.Remove("d") {
		t.Error("got that d does not wait, or waits still after it was removed")
	}
	if queue.Contains("d") || !queue.Contains("c") {
		t.Error("got that d waits after it was removed, or that c does not")
	}
	for _, want := range []string{"a", "b", "c"} {
		if got, ok := queue.Next(); !ok || got != want {
			t.Errorf("got %q, %v, want %q", got, ok, want)
		}
	}
	if got, ok := queue.Next(); ok || queue.Len() != 0 {
		t.Errorf("got %q, %v of an empty queue of length %d", got, ok, queue.Len())
	}
}

// TestNewestOfEqualsComesOutFirst checks the order of equal weights: the item that waits for longest is the first to be
// too late.
func TestNewestOfEqualsComesOutFirst(t *testing.T) {
	var queue PriorityQueue[string]
	queue.Add("old", 1)
	queue.Add("new", 1)
	if got, _ := queue.Next(); got != "new" {
		t.Errorf("got %q, want new", got)
	}
}
