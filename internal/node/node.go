// Package node runs the policy and carries out its decisions. Core holds the policy and the state that it decides on, without a
// clock, goroutines or sockets; Node is the event loop around a Core. Listeners, pools and discovery reach the loop through its
// queues only, and the loop never waits for any of them.
package node

import (
	"log/slog"
	"sync/atomic"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// Upstream carries attempts to one endpoint; upstream.Pool implements it. Its methods must not block.
type Upstream interface {
	// Send starts an attempt. If it returns false, the attempt has already ended with the returned outcome.
	Send(*upstream.Attempt) (upstream.Outcome, bool)
	// Abandon gives an attempt up and reports whether the attempt may have been executed.
	Abandon(*upstream.Attempt) (possiblyExecuted bool)
	// Withdraw abandons an attempt if nothing of it was written, and reports whether it did so.
	Withdraw(*upstream.Attempt) bool
	// CloseIdle closes the connections without attempts.
	CloseIdle()
	// Update sets the endpoint's address and whether the endpoint drains. It returns the attempts that end unwritten because of
	// that.
	Update(addr string, isDraining bool) (unwritten []*upstream.Attempt)
}

// Options configure a node.
type Options struct {
	Policy           policy.Settings
	Seed             uint64 // seed of the policy's random numbers
	MaxOpenRequests  int
	RequestMemory    *admission.MemoryBudget // memory of the requests that are owed a response or have attempts in flight; nil is no bound
	ResponseMemory   *admission.MemoryBudget // memory that the pools reserve for responses; nil is no bound
	MaxClientTimeout time.Duration           // longest timeout of any class, to which the timeouts of clients are cut; 0 is no bound
	InitialList      discovery.List
	Source           discovery.Source
	// NewUpstream returns the Upstream that carries attempts to a server. The Upstream calls report with the outcome of each
	// attempt.
	NewUpstream func(server discovery.Server, isOrigin bool, report func(*upstream.Attempt, upstream.Response)) Upstream
	Gossip      func([]byte) error // sends a datagram to all other nodes; nil if the policy must not gossip
	Announce    func(policy.Role)  // sends all other nodes what the holder of a role's lease announces; nil without leases
	Counters    *counters.Counters
	Log         *slog.Logger
}

const (
	queueLength      = 4096
	listsQueueLength = 16
)

// Node is the event loop that owns a core. Its methods are safe for concurrent use, but must not be called from the loop itself.
type Node struct {
	core    *Core       // used by the event loop only
	monitor loopMonitor // used by the event loop only
	count   *counters.Counters
	queued  *atomic.Int64 // bytes of the responses that the pools have reported and the event loop has not handled yet
	intake  *intake
	// The queues are never closed: work that is sent after the loop's end is dropped.
	queue   chan func()
	lists   chan func()   // updates of the endpoint list, served before queue: later decisions on attempts must take them into account
	stopped chan struct{} // closed by Run as it returns
}

// New returns a node, which serves requests once Run is called. It returns an error if the policy rejects its settings.
func New(options Options) (*Node, error) {
	n := &Node{monitor: newLoopMonitor(options.Log, options.Counters), count: options.Counters, intake: newIntake(), queue: make(chan func(), queueLength),
		queued: options.Counters.Register("memory_responses_queued_bytes"),
		lists:  make(chan func(), listsQueueLength), stopped: make(chan struct{})}
	var err error
	n.core, err = NewCore(options, Environment{
		Now:            time.Now,
		ReportOutcome:  n.reportOutcome,
		PostListUpdate: func(update func()) { n.post(n.lists, update) },
	})
	return n, err
}

// reportOutcome hands the outcome of an attempt to the event loop.
func (n *Node) reportOutcome(attempt *upstream.Attempt, response upstream.Response) {
	size := int64(len(response.Value))
	n.queued.Add(size)
	n.post(n.queue, func() {
		n.queued.Add(-size)
		n.core.AttemptEnded(attempt, response)
	})
}

// QueuedResponseBytes returns the bytes of the responses that the pools have reported and the event loop has not handled yet.
func (n *Node) QueuedResponseBytes() int64 { return n.queued.Load() }

// post hands work to the event loop, and waits while the queue is full. The work is dropped if the loop has ended.
func (n *Node) post(queue chan func(), work func()) {
	select {
	case queue <- work:
	case <-n.stopped:
	}
}

// offer hands work to the event loop. If the queue is full, the work is dropped and counted as dropped gossip, as requests have
// priority.
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

// ReceiveGossip hands a datagram of another node to the policy. The datagram is dropped if the queue is full.
func (n *Node) ReceiveGossip(from int, data []byte) {
	n.count.GossipReceived.Add(1)
	n.offer(func() { n.core.NotifyPolicy(policy.GossipReceived{From: from, Data: data}) })
}

// SetFleetSize notifies the policy of the number of nodes that share the traffic from now on, this node included. The number 0
// stands for the configured number.
func (n *Node) SetFleetSize(nodes int) {
	n.offer(func() { n.core.NotifyPolicy(policy.FleetSize{Nodes: nodes}) })
}

// Explain returns what the policy would decide for a key. ok is false if the event loop is behind or has ended.
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

// NotifyRole notifies the policy of an event of a role: which node holds the role's lease, or what the holder announced. The
// event is dropped if the queue is full; the next event makes up for it.
func (n *Node) NotifyRole(event policy.Event) { n.offer(func() { n.core.NotifyPolicy(event) }) }

// FollowDiscovery moves the watch on the endpoint list to another source; see Core.FollowDiscovery.
func (n *Node) FollowDiscovery(source discovery.Source) {
	n.post(n.lists, func() { n.core.FollowDiscovery(source) })
}

// Drain makes the node answer every request that it has taken, by the deadline. The channel is closed when all are answered.
func (n *Node) Drain(deadline time.Time) <-chan struct{} {
	n.post(n.queue, func() { n.core.Drain(deadline) })
	return n.core.Drained()
}

// Run runs the event loop. It returns when stop is closed.
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

// runNext waits for the next piece of work and does it. Updates of the endpoint list come before all other work. It returns false
// when stop is closed.
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
