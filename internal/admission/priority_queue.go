package admission

import "slices"

// PriorityQueue holds items that wait for capacity and returns the item of the greatest weight first. Among items of
// equal weight the newest is first: in an overload the older ones are too late anyway, and serving them in order would
// make all of them too late. Adding an item again adds to its weight. The operations take time linear in the length.
type PriorityQueue[T comparable] struct {
	items   []T
	weights []float64 // weight of the item at the same index
}

// Len returns the number of items that wait.
func (q *PriorityQueue[T]) Len() int { return len(q.items) }

// Add appends an item or, if it already waits, adds to its weight.
func (q *PriorityQueue[T]) Add(item T, weight float64) {
	if i := slices.Index(q.items, item); i >= 0 {
		q.weights[i] += weight
		return
	}
	q.items, q.weights = append(q.items, item), append(q.weights, weight)
}

// Contains reports whether the item is in the queue.
func (q *PriorityQueue[T]) Contains(item T) bool { return slices.Contains(q.items, item) }

// Remove removes an item and reports whether it was in the queue.
func (q *PriorityQueue[T]) Remove(item T) bool {
	i := slices.Index(q.items, item)
	if i < 0 {
		return false
	}
	q.items, q.weights = slices.Delete(q.items, i, i+1), slices.Delete(q.weights, i, i+1)
	return true
}

// Next removes and returns the item of the greatest weight; ok is false if no item waits.
func (q *PriorityQueue[T]) Next() (item T, ok bool) {
	best := -1
	for i, weight := range q.weights {
		if best < 0 || weight >= q.weights[best] {
			best = i
		}
	}
	if best < 0 {
		return item, false
	}
	item = q.items[best]
	q.Remove(item)
	return item, true
}
