// Package node owns the policy and everything that it decides on. Core does so without a clock, goroutines or sockets; Node is the event
// loop around it. Listeners, pools and discovery reach the loop through its queues only, and the loop never waits for any of them.
package node

import (
	"log/slog"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// Upstream carries attempts to one endpoint; upstream.Pool implements it. Its methods must not wait.
type Upstream interface {
	// Send starts an attempt. If it returns false the attempt has already ended with the returned outcome.
	Send(*upstream.Attempt) (upstream.Outcome, bool)
	// Abandon gives an attempt up and reports whether it may have been executed.
	Abandon(*upstream.Attempt) (possiblyExecuted bool)
	// Withdraw abandons an attempt if nothing of it was written, and reports whether it did.
	Withdraw(*upstream.Attempt) bool
	// CloseIdle closes the connections without attempts.
	CloseIdle()
	// Update sets the endpoint's address and whether it drains, and returns the attempts that therefore end unwritten.
	Update(addr string, isDraining bool) (unwritten []*upstream.Attempt)
}

// Options are what a node is made of.
type Options struct {
	Policy           policy.Settings
	Seed             uint64 // of the policy's random draws
	MaxOpenRequests  int
	MaxRequestBytes  int           // of requests that are owed a response; 0 is no bound
	MaxClientTimeout time.Duration // longest timeout of any class: a longer one of a client is cut to it; 0 is no bound
	InitialList      discovery.List
	Source           discovery.Source
	// NewUpstream returns what carries attempts to a server; report is called with the outcomes.
	NewUpstream func(server discovery.Server, isOrigin bool, report func(*upstream.Attempt, upstream.Response)) Upstream
	Gossip      func([]byte) error // sends a datagram to all other nodes; nil if the policy must not gossip
	Announce    func(policy.Role)  // tells all other nodes what the holder of a role's lease announces; nil without leases
	Counters    *counters.Counters
	Log         *slog.Logger
}

const (
	queueLength      = 4096
	listsQueueLength = 16
)

// Node is the event loop that owns a core. Its methods are safe for concurrent use, but must not be called from the loop itself.
type Node struct {
	core    *Core       // the event loop's
	monitor loopMonitor // the event loop's
	count   *counters.Counters
	intake  *intake
	// The queues are never closed: what is sent after the loop's end is dropped.
	queue   chan func()
	lists   chan func()   // served before queue: an attempt that is decided on after a change of the list must take it into account
	stopped chan struct{} // closed by Run as it returns
}

// New returns a node, which serves once Run is called. The error is the policy's about its settings.
func New(options Options) (*Node, error) {
	n := &Node{monitor: newLoopMonitor(options.Log, options.Counters), count: options.Counters, intake: newIntake(), queue: make(chan func(), queueLength),
		lists: make(chan func(), listsQueueLength), stopped: make(chan struct{})}
	var err error
	n.core, err = NewCore(options, Environment{
		Now: time.Now,
		ReportOutcome: func(attempt *upstream.Attempt, response upstream.Response) {
			n.post(n.queue, func() { n.core.AttemptEnded(attempt, response) })
		},
		PostListUpdate: func(update func()) { n.post(n.lists, update) },
	})
	return n, err
}

// post hands work to the event loop and waits while the queue is full.
func (n *Node) post(queue chan func(), work func()) {
	select {
	case queue <- work:
	case <-n.stopped:
	}
}

// offer hands work to the event loop, or counts it as dropped if the queue is full: requests have priority.
func (n *Node) offer(work func()) {
	select {
	case n.queue <- work:
	default:
		n.count.GossipDropped.Add(1)
	}
}

// ClientDisconnected implements request.Handler.
func (n *Node) ClientDisconnected(r *request.Request) {
	n.post(n.queue, func() { n.core.ClientDisconnected(r) })
}

// ReceiveGossip hands a datagram of another node to the policy.
func (n *Node) ReceiveGossip(from int, data []byte) {
	n.count.GossipReceived.Add(1)
	n.offer(func() { n.core.NotifyPolicy(policy.GossipReceived{From: from, Data: data}) })
}

// SetFleetSize notifies the policy of how many nodes share the traffic from now on, this one among them; 0 stands for the configured
// number.
func (n *Node) SetFleetSize(nodes int) {
	n.offer(func() { n.core.NotifyPolicy(policy.FleetSize{Nodes: nodes}) })
}

// Explain returns what the policy would decide for a key; false if the event loop is behind or has ended.
func (n *Node) Explain(key string) (explanation policy.Explanation, ok bool) {
	result := make(chan policy.Explanation, 1)
	select {
	case n.queue <- func() { result <- n.core.Explain(key) }:
	default:
		return explanation, false
	}
	select {
	case explanation = <-result:
		return explanation, true
	case <-n.stopped:
		return explanation, false
	}
}

// NotifyRole notifies the policy of a role: which node holds its lease, or what the holder announced. An event that is dropped is
// repaired by the next one.
func (n *Node) NotifyRole(event policy.Event) { n.offer(func() { n.core.NotifyPolicy(event) }) }

// FollowDiscovery moves the watch on the endpoint list to another source; see Core.FollowDiscovery.
func (n *Node) FollowDiscovery(source discovery.Source) {
	n.post(n.lists, func() { n.core.FollowDiscovery(source) })
}

// Drain makes the node answer every request that it has taken by a deadline. The channel is closed when that is done.
func (n *Node) Drain(deadline time.Time) <-chan struct{} {
	n.post(n.queue, func() { n.core.Drain(deadline) })
	return n.core.Drained()
}

// Run is the event loop. It returns when stop is closed.
func (n *Node) Run(stop <-chan struct{}) {
	defer n.intake.close()
	defer close(n.stopped)
	n.core.Start()
	timer := time.NewTimer(0)
	for n.runNext(timer, stop) {
		n.monitor.measure(timerStep, n.core, n.core.HandleTimers)
		if at, ok := n.core.NextTimer(); ok {
			timer.Reset(time.Until(at))
		}
	}
}

// runNext waits for one thing to do and does it: updates of the list before anything else. It returns false when stop is closed.
func (n *Node) runNext(timer *time.Timer, stop <-chan struct{}) bool {
	select {
	case update := <-n.lists:
		n.monitor.measure(listStep, n.core, update)
		return true
	default:
	}
	select {
	case update := <-n.lists:
		n.monitor.measure(listStep, n.core, update)
	case work := <-n.queue:
		n.monitor.measure(queueStep, n.core, work)
	case <-n.intake.ready:
		n.takeQueued()
	case <-timer.C:
	case <-stop:
		n.core.Stop()
		return false
	}
	return true
}
