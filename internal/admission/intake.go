package admission

// Intake takes work from many connections and gives it out in turn, so that hundreds of commands on one connection
// wait behind each other and not before everybody else's (deficit round robin; Shreedhar and Varghese, 1995). Each
// connection has a line of its own, of bounded length.
type Intake[T any] struct {
	Quantum int // cost that a line may bring to the front in its turn
	Line    int // items of a line; one more is not taken

	lines  map[uint64]*line[T]
	active []*line[T] // those with items, in turn
	total  int
}

type line[T any] struct {
	id      uint64
	items   []item[T]
	deficit int
	fresh   bool // its turn has begun
}

type item[T any] struct {
	v    T
	cost int
}

// Len is how many items wait.
func (q *Intake[T]) Len() int { return q.total }

// Add puts an item of a cost of 1 or more into a connection's line; false where that is full.
func (q *Intake[T]) Add(id uint64, cost int, v T) bool {
	l := q.lines[id]
	if l == nil {
		if q.lines == nil {
			q.lines = map[uint64]*line[T]{}
		}
		l = &line[T]{id: id}
		q.lines[id] = l
		q.active = append(q.active, l)
	}
	if q.Line > 0 && len(l.items) >= q.Line {
		return false
	}
	l.items = append(l.items, item[T]{v, max(1, cost)})
	q.total++
	return true
}

// Next takes the next item; false where none waits. id is the connection's.
func (q *Intake[T]) Next() (v T, id uint64, ok bool) {
	for len(q.active) > 0 {
		l := q.active[0]
		if !l.fresh {
			l.fresh = true
			l.deficit += max(1, q.Quantum)
		}
		if head := l.items[0]; head.cost <= l.deficit {
			l.deficit -= head.cost
			l.items[0] = item[T]{}
			l.items = l.items[1:]
			q.total--
			if len(l.items) == 0 { // a line that is empty saves nothing up
				q.active[0] = nil
				q.active = q.active[1:]
				delete(q.lines, l.id)
			}
			return head.v, l.id, true
		}
		l.fresh = false
		q.active = append(q.active[1:], l)
	}
	return v, 0, false
}
