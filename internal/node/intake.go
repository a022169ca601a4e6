package node

import (
	"sync"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/request"
)

const (
	maxQueuedPerConnection = 32      // requests; the connection's listener waits past that
	fairQueueQuantum       = 4       // cost of a connection's turn: four small requests, or one of 12 KiB
	bytesPerCost           = 4 << 10 // bytes of a value that cost as much as a request
	maxTakenAtOnce         = 32      // requests, before the event loop looks at its other queues
	queueDelayTarget       = 5 * time.Millisecond
	queueDelayInterval     = 100 * time.Millisecond // in which the delay has to fall under the target once
)

// intake is where listeners put requests, and the event loop takes them from, fairly between connections.
type intake struct {
	mu       sync.Mutex // guards queue and isClosed
	queue    admission.FairQueue[queuedRequest]
	isClosed bool
	capacity sync.Cond // of mu: a connection may have capacity for a request, or the intake is closed

	// ready holds an element while requests may be queued. It is never closed.
	ready chan struct{}

	start time.Time // of the queue delay's time

	// The fields below belong to the event loop.

	queueDelay     admission.QueueDelay
	memoryPressure float64 // fraction of the sheddable load to shed for lack of memory
}

type queuedRequest struct {
	*request.Request
	queuedAt time.Time
}

func newIntake() *intake {
	in := &intake{queue: admission.FairQueue[queuedRequest]{Quantum: fairQueueQuantum, MaxPerConnection: maxQueuedPerConnection},
		ready: make(chan struct{}, 1), start: time.Now(),
		queueDelay: admission.QueueDelay{Target: queueDelayTarget, Interval: queueDelayInterval}}
	in.capacity.L = &in.mu
	return in
}

// close ends the waits of add: nobody takes requests any more.
func (in *intake) close() {
	in.mu.Lock()
	in.isClosed = true
	in.capacity.Broadcast()
	in.mu.Unlock()
}

// add queues a request. It waits while its connection has too many requests queued, until the intake is closed.
func (in *intake) add(r *request.Request) {
	cost := 1 + len(r.Value)/bytesPerCost
	in.mu.Lock()
	for !in.isClosed && !in.queue.Add(r.ConnectionID, cost, queuedRequest{r, time.Now()}) {
		in.capacity.Wait()
	}
	in.mu.Unlock()
	in.notifyLoop()
}

// next takes a request, and reports whether more are queued; ok is false if there was none.
func (in *intake) next() (next queuedRequest, hasMore, ok bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	next, _, ok = in.queue.Next()
	hasMore = in.queue.Len() > 0
	in.capacity.Broadcast()
	return next, hasMore, ok
}

func (in *intake) notifyLoop() {
	select {
	case in.ready <- struct{}{}:
	default:
	}
}

// observeDelay notes how long a request was queued.
func (in *intake) observeDelay(now, queuedAt time.Time) {
	in.queueDelay.Observe(now.Sub(in.start), now.Sub(queuedAt))
}

// loadLevel returns the fraction of the sheddable load to shed: for the delay of the queue or for lack of memory.
func (in *intake) loadLevel(now time.Time) float64 {
	return max(in.queueDelay.Level(now.Sub(in.start)), in.memoryPressure)
}

// Handle implements request.Handler. It waits while the request's connection has too many requests queued.
func (n *Node) Handle(r *request.Request) { n.intake.add(r) }

// takeQueued takes a number of queued requests at most, and has the event loop come back for the rest.
func (n *Node) takeQueued() {
	for taken := 0; ; taken++ {
		next, hasMore, ok := n.intake.next()
		if !ok {
			return
		}
		now := time.Now()
		n.intake.observeDelay(now, next.queuedAt)
		n.monitor.queued(now.Sub(next.queuedAt))
		n.core.SetLoadLevel(n.intake.loadLevel(now))
		n.monitor.measure(requestStep, n.core, func() { n.core.HandleRequest(next.Request) })
		if taken == maxTakenAtOnce && hasMore {
			n.intake.notifyLoop()
			return
		}
	}
}

// SetMemoryPressure tells the event loop how short of memory the node is, from 0 to 1.
func (n *Node) SetMemoryPressure(level float64) {
	n.post(n.queue, func() {
		n.intake.memoryPressure = level
		n.core.SetLoadLevel(n.intake.loadLevel(time.Now()))
	})
}
