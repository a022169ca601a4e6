// Package eventqueue holds work that is scheduled for times of a virtual clock. Events of the same time run in the
// order in which they were scheduled, so that a run with the same input does the same work in the same order.
package eventqueue

import (
	"container/heap"
	"time"
)

// Event is work that is scheduled for a time.
type Event struct {
	At  time.Duration // time at which the event is due, since the start of the run
	Run func()

	sequence uint64 // number of the event in the order in which events were scheduled
}

// Queue is a priority queue of events by time. The zero value is empty and ready for use. A Queue is not safe for
// concurrent use.
type Queue struct {
	events    eventHeap
	scheduled uint64
}

// Schedule adds work that is due at the time at. The queue has no clock, so it also accepts a time in the past: a caller
// that does not want this must not pass one.
func (q *Queue) Schedule(at time.Duration, run func()) {
	q.scheduled++
	heap.Push(&q.events, Event{At: at, Run: run, sequence: q.scheduled})
}

// Len returns the number of events in the queue.
func (q *Queue) Len() int { return len(q.events) }

// Next returns the time of the earliest event; ok is false if the queue is empty.
func (q *Queue) Next() (at time.Duration, ok bool) {
	if len(q.events) == 0 {
		return 0, false
	}
	return q.events[0].At, true
}

// PopUntil removes and returns the earliest event if it is due at or before now. Otherwise ok is false.
func (q *Queue) PopUntil(now time.Duration) (event Event, ok bool) {
	if at, pending := q.Next(); !pending || at > now {
		return Event{}, false
	}
	return heap.Pop(&q.events).(Event), true
}

// eventHeap is a heap of events, ordered by time. Events of the same time are in the order in which they were scheduled.
type eventHeap []Event

// Len implements sort.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].At < h[j].At || h[i].At == h[j].At && h[i].sequence < h[j].sequence
}

// Swap implements sort.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(Event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	last := len(*h) - 1
	event := (*h)[last]
	(*h)[last] = Event{} // lets the garbage collector free the event's closure
	*h = (*h)[:last]
	return event
}
