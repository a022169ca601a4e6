package admission

import "slices"

// PriorityQueue holds what waits for room, and gives out what is worth most first. Of equals it is the one that came last: in a crowd the
// others are too late anyway, and to serve in order would make all of them so.
type PriorityQueue[T comparable] struct {
	items []T
	worth []float64
}

// Len is how many wait.
func (l *PriorityQueue[T]) Len() int { return len(l.items) }

// Add adds worth to one that waits, or lets it wait.
func (l *PriorityQueue[T]) Add(item T, worth float64) {
	if i := slices.Index(l.items, item); i >= 0 {
		l.worth[i] += worth
		return
	}
	l.items, l.worth = append(l.items, item), append(l.worth, worth)
}

// Contains tells whether one waits.
func (l *PriorityQueue[T]) Contains(item T) bool { return slices.Contains(l.items, item) }

// Remove takes one out and tells whether it waited.
func (l *PriorityQueue[T]) Remove(item T) bool {
	i := slices.Index(l.items, item)
	if i >= 0 {
		l.items, l.worth = slices.Delete(l.items, i, i+1), slices.Delete(l.worth, i, i+1)
	}
	return i >= 0
}

// Next takes out the one that is worth most.
func (l *PriorityQueue[T]) Next() (item T, ok bool) {
	best := -1
	for i, w := range l.worth {
		if best < 0 || w >= l.worth[best] {
			best = i
		}
	}
	if best < 0 {
		return item, false
	}
	item = l.items[best]
	l.Remove(item)
	return item, true
}
