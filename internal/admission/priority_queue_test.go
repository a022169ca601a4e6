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
		t.Error("got false for the first Remove of d, or true for the second, want true and false")
	}
	if queue.Contains("d") || !queue.Contains("c") {
		t.Error("got d in the queue after it was removed, or c not in the queue")
	}
	for _, want := range []string{"a", "b", "c"} {
		if got, ok := queue.Next(); !ok || got != want {
			t.Errorf("got %q, %v, want %q", got, ok, want)
		}
	}
	if got, ok := queue.Next(); ok || queue.Len() != 0 {
		t.Errorf("got %q, %v and the length %d after all items were taken, want false and 0", got, ok, queue.Len())
	}
}

// TestNewestOfEqualsComesOutFirst checks that of items of equal weight the newest comes out first: the item that has
// waited longest is the most likely to be too late anyway.
func TestNewestOfEqualsComesOutFirst(t *testing.T) {
	var queue PriorityQueue[string]
	queue.Add("old", 1)
	queue.Add("new", 1)
	if got, _ := queue.Next(); got != "new" {
		t.Errorf("got %q, want new", got)
	}
}
