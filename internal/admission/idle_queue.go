package admission

// idleQueue is a doubly linked list of idle connections. The connection that has been idle longest comes first.
type idleQueue struct{ head, tail *connection }

// push inserts a connection in the order of idleSince. That is at the tail, unless the queue already holds connections
// that became idle later, as may happen after Retain.
func (q *idleQueue) push(c *connection) {
	before := q.tail
	for before != nil && before.idleSince > c.idleSince {
		before = before.previous
	}
	c.queue, c.previous = q, before
	if before == nil {
		c.next, q.head = q.head, c
	} else {
		c.next, before.next = before.next, c
	}
	if c.next == nil {
		q.tail = c
	} else {
		c.next.previous = c
	}
}

// unlink removes a connection from its queue, if it is in one.
func (c *connection) unlink() {
	queue := c.queue
	if queue == nil {
		return
	}
	if c.previous == nil {
		queue.head = c.next
	} else {
		c.previous.next = c.next
	}
	if c.next == nil {
		queue.tail = c.previous
	} else {
		c.next.previous = c.previous
	}
	c.queue, c.previous, c.next = nil, nil, nil
}
