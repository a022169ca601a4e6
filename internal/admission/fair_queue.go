package admission

// FairQueue holds the items of many connections and returns them so that the connections take turns: deficit round robin
// (Shreedhar and Varghese, 1995). Hundreds of commands of one connection then delay each other, but not the commands of
// other connections. Each connection has a queue of its own, of bounded length.
type FairQueue[T any] struct {
	Quantum          int // a connection's deficit, the cost that it may still take in its turn, grows by this much at each of its turns
	MaxPerConnection int // items of one connection that may wait; further items are not accepted; 0 means no bound

	queues map[uint64]*connectionQueue[T]
	active []*connectionQueue[T] // active[first:] are the queues that hold items, in the order of their turns
	first  int
	total  int
	spare  []*connectionQueue[T] // empty queues to be reused
}

// maxSpareQueues bounds the number of empty queues that are kept for reuse.
const maxSpareQueues = 64

// connectionQueue holds the items of one connection, in the order in which they were added.
type connectionQueue[T any] struct {
	id      uint64
	items   []queuedItem[T]
	next    int // index of the first item that still waits
	deficit int // cost of the items that may still be taken from the queue in this turn
	hasTurn bool
}

type queuedItem[T any] struct {
	value T
	cost  int
}

// Len returns the number of items that wait.
func (q *FairQueue[T]) Len() int { return q.total }

// Add appends an item to the queue of the connection id and reports whether there was space for it. A cost below 1
// counts as 1.
func (q *FairQueue[T]) Add(id uint64, cost int, value T) bool {
	queue := q.queues[id]
	if queue == nil {
		queue = q.addConnection(id)
	}
	if q.MaxPerConnection > 0 && len(queue.items)-queue.next >= q.MaxPerConnection {
		return false
	}
	queue.items = append(queue.items, queuedItem[T]{value, max(1, cost)})
	q.total++
	return true
}

func (q *FairQueue[T]) addConnection(id uint64) *connectionQueue[T] {
	if q.queues == nil {
		q.queues = map[uint64]*connectionQueue[T]{}
	}
	var queue *connectionQueue[T]
	if count := len(q.spare); count > 0 {
		queue, q.spare = q.spare[count-1], q.spare[:count-1]
		queue.id = id
	} else {
		queue = &connectionQueue[T]{id: id}
	}
	q.queues[id] = queue
	q.active = append(q.active, queue)
	return queue
}

// Next removes the next item and returns it with the id of its connection; ok is false if no item waits.
func (q *FairQueue[T]) Next() (value T, id uint64, ok bool) {
	for q.first < len(q.active) {
		queue := q.active[q.first]
		if !queue.hasTurn {
			queue.hasTurn = true
			queue.deficit += max(1, q.Quantum)
		}
		if queue.items[queue.next].cost <= queue.deficit {
			id = queue.id
			return q.takeFrom(queue), id, true
		}
		queue.hasTurn = false
		q.removeFirst()
		q.active = append(q.active, queue)
	}
	return value, 0, false
}

// takeFrom removes and returns the next item of queue, which must be the first active queue.
func (q *FairQueue[T]) takeFrom(queue *connectionQueue[T]) T {
	item := queue.items[queue.next]
	queue.deficit -= item.cost
	queue.items[queue.next] = queuedItem[T]{}
	queue.next++
	q.total--
	if queue.next == len(queue.items) {
		q.removeFirst()
		q.discard(queue)
	}
	return item.value
}

// discard removes an empty queue. Its connection loses the unused deficit, the cost that it might still have taken.
func (q *FairQueue[T]) discard(queue *connectionQueue[T]) {
	delete(q.queues, queue.id)
	*queue = connectionQueue[T]{items: queue.items[:0]}
	if len(q.spare) < maxSpareQueues {
		q.spare = append(q.spare, queue)
	}
}

// removeFirst removes the first queue from the active ones. The unused space at the beginning of the slice is reclaimed
// once it is half of the slice.
func (q *FairQueue[T]) removeFirst() {
	q.active[q.first] = nil
	if q.first++; q.first*2 >= len(q.active) {
		count := copy(q.active, q.active[q.first:])
		clear(q.active[count:])
		q.active, q.first = q.active[:count], 0
	}
}
