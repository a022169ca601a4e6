package admission

// FairQueue takes work from many connections and gives it out in turn, so that hundreds of commands on one connection
// wait behind each other and not before everybody else's (deficit round robin; Shreedhar and Varghese, 1995). Each
// connection has a line of its own, of bounded length.
type FairQueue[T any] struct {
	Quantum          int // cost that a line may bring to the front in its turn
	MaxPerConnection int // items of a line; one more is not taken

	lines  map[uint64]*line[T]
	active []*line[T] // those with items, in turn, from first on
	first  int
	total  int
	spare  []*line[T] // empty ones, to be used again
}

// spares bounds the lines that are kept for use.
const spares = 64

type line[T any] struct {
	id      uint64
	items   []item[T]
	next    int // of the items
	deficit int
	fresh   bool // its turn has begun
}

type item[T any] struct {
	v    T
	cost int
}

// Len is how many items wait.
func (q *FairQueue[T]) Len() int { return q.total }

// Add puts an item of a cost of 1 or more into a connection's line; false where that is full.
func (q *FairQueue[T]) Add(id uint64, cost int, v T) bool {
	l := q.lines[id]
	if l == nil {
		if q.lines == nil {
			q.lines = map[uint64]*line[T]{}
		}
		if n := len(q.spare); n > 0 {
			l, q.spare = q.spare[n-1], q.spare[:n-1]
			l.id = id
		} else {
			l = &line[T]{id: id}
		}
		q.lines[id] = l
		q.active = append(q.active, l)
	}
	if q.MaxPerConnection > 0 && len(l.items)-l.next >= q.MaxPerConnection {
		return false
	}
	l.items = append(l.items, item[T]{v, max(1, cost)})
	q.total++
	return true
}

// Next takes the next item; false where none waits. id is the connection's.
func (q *FairQueue[T]) Next() (v T, id uint64, ok bool) {
	for q.first < len(q.active) {
		l := q.active[q.first]
		if !l.fresh {
			l.fresh = true
			l.deficit += max(1, q.Quantum)
		}
		if head := l.items[l.next]; head.cost <= l.deficit {
			id = l.id
			l.deficit -= head.cost
			l.items[l.next] = item[T]{}
			l.next++
			q.total--
			if l.next == len(l.items) { // a line that is empty saves nothing up
				q.pass()
				delete(q.lines, id)
				*l = line[T]{items: l.items[:0]}
				if len(q.spare) < spares {
					q.spare = append(q.spare, l)
				}
			}
			return head.v, id, true
		}
		l.fresh = false
		q.pass()
		q.active = append(q.active, l)
	}
	return v, 0, false
}

// pass ends the turn of the first line. The room that passed lines leave is used again once it is half of the list.
func (q *FairQueue[T]) pass() {
	q.active[q.first] = nil
	if q.first++; q.first*2 >= len(q.active) {
		n := copy(q.active, q.active[q.first:])
		clear(q.active[n:])
		q.active, q.first = q.active[:n], 0
	}
}
