package model

import (
	"container/heap"
	"time"
)

// Request is one attempt of a client's request, as a server receives it.
type Request struct {
	Conn           ConnID
	Seq            uint64 // number of the attempt; chosen by the driver, unique in a run
	ID             string // id of the client's request
	Key            string
	Class          string
	Write          bool
	Size           int           // size in bytes of the value of a write
	IdempotencyKey string        // empty if the request has no idempotency key
	Work           time.Duration // time that a standard core needs for the request
	Deadline       Time          // time at which the sender stops waiting
}

// Outcome is how a server answered a request or a health check.
type Outcome int

// Outcomes of requests and health checks.
const (
	Hit      Outcome = iota // a value for this request
	Miss                    // the cache server has no copy
	Failed                  // the server answered with an error; the request may have been executed
	Rejected                // the server rejected the request before it had any effect
	Written                 // the origin's receipt for a write
	Pong                    // the answer to a health check
)

var outcomeNames = [...]string{"hit", "miss", "failed", "turned_away", "written", "pong"}

// String returns the outcome as it appears in the event log.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is the load report of a server.
type Load struct {
	Inflight int           // requests in execution and in the queue
	Latency  time.Duration // moving average of the execution time, without the wait in the queue
}

// execution is a request that is queued or running at a cache server.
type execution struct {
	*Request
	isHealthCheck bool
	wantsLoad     bool    // the health check asks for the load report
	isBackground  bool    // the work gets no response
	work          float64 // in seconds of a standard core
	startedAt     Time
	finishAt      float64 // servedWork of the cache server at which the request is finished
	outcome       Outcome
	copy          Copy // the value that a Hit returns
}

// executionHeap implements heap.Interface. Its order is by finishAt and then by Seq.
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

// removeConnection removes the requests of a connection. Each removal reorders the heap, so the search then starts again
// from the beginning.
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
