package model

import (
	"container/heap"
	"time"
)

// Request is one attempt as a server receives it.
type Request struct {
	Conn           ConnID
	Seq            uint64 // of the attempt; chosen by the driver, unique in a run
	ID             string // of the client's request
	Key            string
	Class          string
	Write          bool
	Size           int           // bytes of the value of a write
	IdempotencyKey string        // empty if there is none
	Work           time.Duration // on a standard core
	Deadline       Time          // when the sender stops waiting
}

// Outcome is how a server answered a request or a health check.
type Outcome int

// The outcomes.
const (
	Hit            Outcome = iota // a value made for this request
	Miss                          // the cache server has no copy
	Failed                        // an error; the request may have been executed
	RejectedUnseen                // rejected before it had any effect
	Written                       // the origin's receipt for a write
	Pong                          // to a health check
)

var outcomeNames = [...]string{"hit", "miss", "failed", "turned_away", "written", "pong"}

// String returns the outcome as the event log has it.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is a load report.
type Load struct {
	Inflight int           // requests in execution and in the queue
	Latency  time.Duration // moving mean of the time in execution, without the wait in the queue
}

// execution is a request in the queue of a cache server or in execution there.
type execution struct {
	*Request
	isHealthCheck bool
	wantsLoad     bool    // a health check that asks for the load report
	isBackground  bool    // nobody expects a response
	work          float64 // seconds on a standard core
	startedAt     Time
	finishAt      float64 // served work of the server at which it is finished
	outcome       Outcome
	copy          Copy // of a Hit
}

// executionHeap implements heap.Interface, ordered by the work at which a request is finished and then by Seq.
type executionHeap []*execution

// Len implements sort.Interface.
func (h executionHeap) Len() int { return len(h) }

// Less implements sort.Interface.
func (h executionHeap) Less(i, j int) bool {
	return h[i].finishAt < h[j].finishAt || h[i].finishAt == h[j].finishAt && h[i].Seq < h[j].Seq
}

// Swap implements sort.Interface.
func (h executionHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *executionHeap) Push(x any) { *h = append(*h, x.(*execution)) }

// Pop implements heap.Interface.
func (h *executionHeap) Pop() any {
	last := len(*h) - 1
	exec := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return exec
}

// removeConnection removes the requests of a connection. A removal reorders the heap, so the search begins anew
// after it.
func (h *executionHeap) removeConnection(id ConnID) {
	for i := 0; i < len(*h); {
		if (*h)[i].Conn == id {
			heap.Remove(h, i)
			i = 0
		} else {
			i++
		}
	}
}
