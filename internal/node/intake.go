package node

import (
	"sync"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/request"
)

// How requests wait for the loop.
const (
	lineLength = 32      // of one connection; its listener waits past that
	quantum    = 4       // a connection's turn: four small requests, or one of 12 KiB
	costUnit   = 4 << 10 // bytes of a value that cost as much as a request
	atOnce     = 32      // taken before the loop looks at its other queues again
	waitTarget = 5 * time.Millisecond
	waitSpan   = 100 * time.Millisecond
	strainStep = 0.05 // a change of the level that the module is told of
)

// intake is where listeners put requests, and the loop takes them from connection by connection.
type intake struct {
	mu     sync.Mutex
	room   sync.Cond
	queue  admission.FairQueue[arrival]
	closed bool
	ready  chan struct{} // holds one word while something waits

	start  time.Time
	behind admission.QueueDelay // the loop's
	memory float64              // share of what may be refused that should be, for want of memory
}

type arrival struct {
	*request.Request
	at time.Time
}

func newIntake() intake {
	return intake{queue: admission.FairQueue[arrival]{Quantum: quantum, MaxPerConnection: lineLength}, ready: make(chan struct{}, 1), start: time.Now(),
		behind: admission.QueueDelay{Target: waitTarget, Interval: waitSpan}}
}

func (in *intake) close() {
	in.mu.Lock()
	in.closed = true
	in.room.Broadcast()
	in.mu.Unlock()
}

// Handle is called by listeners with a request that was read whole. It waits while the connection has many in line.
func (n *Node) Handle(f *request.Request) {
	in := &n.in
	in.mu.Lock()
	for !in.closed && !in.queue.Add(f.ConnectionID, 1+len(f.Value)/costUnit, arrival{f, time.Now()}) {
		in.room.Wait()
	}
	in.mu.Unlock()
	in.wake()
}

func (in *intake) wake() {
	select {
	case in.ready <- struct{}{}:
	default:
	}
}

// takeSome takes requests from the connections in turn.
func (n *Node) takeSome() {
	in := &n.in
	for i := 0; ; i++ {
		in.mu.Lock()
		a, _, ok := in.queue.Next()
		more := in.queue.Len() > 0
		in.room.Broadcast()
		in.mu.Unlock()
		if !ok {
			return
		}
		n.strain(a.at)
		n.core.HandleRequest(a.Request)
		if i == atOnce && more {
			in.wake()
			return
		}
	}
}

// strain follows how long requests wait for the loop and tells the module when it is behind.
func (n *Node) strain(since time.Time) {
	in := &n.in
	now := time.Now()
	in.behind.Observe(now.Sub(in.start), now.Sub(since))
	n.core.SetLoadLevel(max(in.behind.Level(now.Sub(in.start)), in.memory))
}

// SetMemoryPressure tells the loop how short the node is of memory, from 0 to 1.
func (n *Node) SetMemoryPressure(level float64) {
	n.post(n.queue, func() {
		n.in.memory = level
		n.core.SetLoadLevel(max(n.in.behind.Level(time.Since(n.in.start)), level))
	})
}
