package admission

import "slices"

// Line holds what waits for room, and gives out what is worth most first. Of equals it is the one that came last: in a crowd the
// others are too late anyway, and to serve in order would make all of them so.
type Line[T comparable] struct {
	items []T
	worth []float64
}

// Len is how many wait.
func (l *Line[T]) Len() int { return len(l.items) }

// Add adds worth to one that waits, or lets it wait.
func (l *Line[T]) Add(item T, worth float64) {
	if i := slices.Index(l.items, item); i >= 0 {
		l.worth[i] += worth
		return
	}
	l.items, l.worth = append(l.items, item), append(l.worth, worth)
}

// Has tells whether one waits.
func (l *Line[T]) Has(item T) bool { return slices.Contains(l.items, item) }

// Drop takes one out and tells whether it waited.
func (l *Line[T]) Drop(item T) bool {
	i := slices.Index(l.items, item)
	if i >= 0 {
		l.items, l.worth = slices.Delete(l.items, i, i+1), slices.Delete(l.worth, i, i+1)
	}
	return i >= 0
}

// Next takes out the one that is worth most.
func (l *Line[T]) Next() (item T, ok bool) {
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
	l.Drop(item)
	return item, true
}
