package node

import (
	"sync"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/request"
)

const (
	maxQueuedPerConnection = 32      // requests of one connection that may be queued; beyond that, its listener waits
	fairQueueQuantum       = 4       // cost that a connection may use in its turn: four small requests, or one of 12 KiB
	bytesPerCost           = 4 << 10 // number of value bytes that cost as much as a request
	maxTakenAtOnce         = 32      // requests that are taken before the event loop looks at its other queues
	queueDelayTarget       = 5 * time.Millisecond
	queueDelayInterval     = 100 * time.Millisecond // in each interval, the delay has to fall below the target once
)

// intake is the queue from the listeners to the event loop. It is fair between connections.
type intake struct {
	mu       sync.Mutex // guards queue and isClosed
	queue    admission.FairQueue[queuedRequest]
	isClosed bool
	capacity sync.Cond // uses mu; signals that a connection may queue another request, or that the intake is closed

	// ready wakes the event loop: it holds an element while requests may be queued. It is never closed.
	ready chan struct{}

	start time.Time // time 0 of the clock that queueDelay uses

	// The fields below are used by the event loop only.

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

// close ends the waits of add, as the event loop takes no more requests.
func (in *intake) close() {
	in.mu.Lock()
	in.isClosed = true
	in.capacity.Broadcast()
	in.mu.Unlock()
}

// add queues a request. It waits while too many requests of the same connection are queued, or until the intake is closed.
func (in *intake) add(r *request.Request) {
	cost := 1 + len(r.Value)/bytesPerCost
	in.mu.Lock()
	for !in.isClosed && !in.queue.Add(r.ConnectionID, cost, queuedRequest{r, time.Now()}) {
		in.capacity.Wait()
	}
	in.mu.Unlock()
	in.notifyLoop()
}

// next takes a request from the queue, and reports whether more are queued. ok is false if there was none.
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

// observeDelay records how long a request was queued.
func (in *intake) observeDelay(now, queuedAt time.Time) {
	in.queueDelay.Observe(now.Sub(in.start), now.Sub(queuedAt))
}

// loadLevel returns the fraction of the sheddable load to shed: because of the queue's delay, or for lack of memory if that is
// more.
func (in *intake) loadLevel(now time.Time) float64 {
	return max(in.queueDelay.Level(now.Sub(in.start)), in.memoryPressure)
}

// Handle implements request.Handler. It waits while the request's connection has too many requests queued.
func (n *Node) Handle(r *request.Request) { n.intake.add(r) }

// takeQueued handles queued requests, up to a limit. If more are queued, it makes the event loop call it again.
func (n *Node) takeQueued() {
	for taken := 0; ; taken++ {
		next, hasMore, ok := n.intake.next()
		if !ok {
			return
		}
		now := time.Now()
		n.intake.observeDelay(now, next.queuedAt)
		n.monitor.recordQueueWait(now.Sub(next.queuedAt))
		n.core.SetLoadLevel(n.intake.loadLevel(now))
		n.monitor.measure(requestStep, n.core, func() { n.core.HandleRequest(next.Request) })
		if taken == maxTakenAtOnce && hasMore {
			n.intake.notifyLoop()
			return
		}
	}
}

// SetMemoryPressure sets the fraction of the sheddable load to shed for lack of memory, from 0 to 1.
func (n *Node) SetMemoryPressure(level float64) {
	n.post(n.queue, func() {
		n.intake.memoryPressure = level
		n.core.SetLoadLevel(n.intake.loadLevel(time.Now()))
	})
}
