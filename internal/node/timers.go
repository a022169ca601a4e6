package node

import (
	"container/heap"
	"time"
)

// timer is a function that is to be called at a time.
type timer struct {
	at     time.Time
	number uint64 // of two timers for the same time, the one with the lower number runs first
	run    func()
	index  int // index of the timer in the heap; -1 once the timer was removed from it
}

// timerQueue orders timers by their times, and by their creation where the times are equal.
type timerQueue struct {
	pending timerHeap
	created uint64
}

func (q *timerQueue) add(at time.Time, run func()) *timer {
	q.created++
	added := &timer{at: at, number: q.created, run: run}
	heap.Push(&q.pending, added)
	return added
}

// cancel removes a timer, so that what the timer refers to does not stay in memory until its time. It ignores nil and a timer
// that has run.
func (q *timerQueue) cancel(cancelled *timer) {
	if cancelled != nil && cancelled.index >= 0 {
		heap.Remove(&q.pending, cancelled.index)
	}
}

// next returns the time of the next timer. ok is false if there is no timer.
func (q *timerQueue) next() (at time.Time, ok bool) {
	if len(q.pending) == 0 {
		return time.Time{}, false
	}
	return q.pending[0].at, true
}

// popExpired removes and returns the next timer whose time has come; nil if there is none.
func (q *timerQueue) popExpired(now time.Time) *timer {
	if len(q.pending) == 0 || q.pending[0].at.After(now) {
		return nil
	}
	return heap.Pop(&q.pending).(*timer)
}

func (q *timerQueue) len() int { return len(q.pending) }

// timerHeap implements heap.Interface.
type timerHeap []*timer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool {
	if order := h[i].at.Compare(h[j].at); order != 0 {
		return order < 0
	}
	return h[i].number < h[j].number
}

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *timerHeap) Push(item any) {
	pushed := item.(*timer)
	pushed.index = len(*h)
	*h = append(*h, pushed)
}

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	popped := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	popped.index = -1
	return popped
}
