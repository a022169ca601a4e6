package admission

import "slices"

// PriorityQueue holds what waits for capacity and gives out the item of the greatest weight first, and of equals the one
// that came last: in an overload the others are too late anyway, and to serve in order would make all of them so. The
// weight of an item grows with each that waits for it. Its operations take time linear in its length.
type PriorityQueue[T comparable] struct {
	items   []T
	weights []float64 // by the index of the item
}

// Len returns how many items wait.
func (q *PriorityQueue[T]) Len() int { return len(q.items) }

// Add appends an item or, where it waits already, adds to its weight.
func (q *PriorityQueue[T]) Add(item T, weight float64) {
	if i := slices.Index(q.items, item); i >= 0 {
		q.weights[i] += weight
		return
	}
	q.items, q.weights = append(q.items, item), append(q.weights, weight)
}

// Contains reports whether an item waits.
func (q *PriorityQueue[T]) Contains(item T) bool { return slices.Contains(q.items, item) }

// Remove takes out an item and reports whether it waited.
func (q *PriorityQueue[T]) Remove(item T) bool {
	i := slices.Index(q.items, item)
	if i < 0 {
		return false
	}
	q.items, q.weights = slices.Delete(q.items, i, i+1), slices.Delete(q.weights, i, i+1)
	return true
}

// Next takes out the item of the greatest weight; ok is false where none waits.
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
