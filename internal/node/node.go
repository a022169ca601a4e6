// Package node owns the decision module and all that it decides on. Core does, without a clock, goroutines or sockets of its
// own; Node is the loop round it. Listeners, pools and discovery reach the loop through its queues only, and it never waits on
// any of them.
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

// Upstream carries forwards to one server; forward.Pool is one.
type Upstream interface {
	Send(*upstream.Attempt) (upstream.Outcome, bool)
	Abandon(*upstream.Attempt) (written bool)
	Withdraw(*upstream.Attempt) bool
	CloseIdle()
	Update(addr string, left bool) (drained []*upstream.Attempt)
}

// Options are what a node is made of.
type Options struct {
	Policy           policy.Settings
	Seed             uint64
	MaxOpenRequests  int
	MaxRequestBytes  int           // bytes of requests that were taken and not yet answered; 0 is no bound
	MaxClientTimeout time.Duration // no class waits for longer; a client that says so is not believed
	InitialList      discovery.List
	Source           discovery.Source
	NewUpstream      func(s discovery.Server, origin bool, report func(*upstream.Attempt, upstream.Response)) Upstream
	Gossip           func([]byte) error // sends a datagram to all other nodes; nil where they may not be told
	Announce         func(policy.Role)  // tells all other nodes what the holder of a duty has to say; nil without duties
	Counters         *counters.Counters
	Log              *slog.Logger
}

const queueLength = 4096

// Node is the loop that owns a core.
type Node struct {
	core    *Core
	count   *counters.Counters
	in      intake
	queue   chan func()
	lists   chan func() // served before the queue: a send decided on after a change must know of it
	stopped chan struct{}
}

// New makes a node. It serves once Run is called.
func New(opt Options) (*Node, error) {
	n := &Node{count: opt.Counters, in: newIntake(), queue: make(chan func(), queueLength), lists: make(chan func(), 16), stopped: make(chan struct{})}
	n.in.room.L = &n.in.mu
	var err error
	n.core, err = NewCore(opt, Environment{Now: time.Now,
		ReportOutcome:  func(f *upstream.Attempt, a upstream.Response) { n.post(n.queue, func() { n.core.AttemptEnded(f, a) }) },
		PostListUpdate: func(f func()) { n.post(n.lists, f) }})
	return n, err
}

// post hands work to the loop and waits while the queue is full.
func (n *Node) post(queue chan func(), f func()) {
	select {
	case queue <- f:
	case <-n.stopped:
	}
}

// ClientDisconnected is called by listeners when the client of a flow that is owed an answer has left.
func (n *Node) ClientDisconnected(f *request.Request) {
	n.post(n.queue, func() { n.core.ClientDisconnected(f) })
}

// offer hands work to the loop, or counts it as lost while the loop is behind: requests go first.
func (n *Node) offer(f func()) {
	select {
	case n.queue <- f:
	default:
		n.count.GossipDropped.Add(1)
	}
}

// ReceiveGossip hands over a datagram of another node.
func (n *Node) ReceiveGossip(from int, data []byte) {
	n.count.GossipReceived.Add(1)
	n.offer(func() { n.core.NotifyPolicy(policy.GossipReceived{From: from, Data: data}) })
}

// SetFleetSize tells the module how many nodes share the traffic from now on, this one among them; 0: as many as are configured.
func (n *Node) SetFleetSize(nodes int) {
	n.offer(func() { n.core.NotifyPolicy(policy.FleetSize{Nodes: nodes}) })
}

// Explain tells what the module makes of a key; false while the loop is behind or has ended.
func (n *Node) Explain(key string) (why policy.Explanation, ok bool) {
	got := make(chan policy.Explanation, 1)
	select {
	case n.queue <- func() { got <- n.core.Explain(key) }:
	default:
		return why, false
	}
	select {
	case why = <-got:
		return why, true
	case <-n.stopped:
		return why, false
	}
}

// NotifyRole tells the module of a duty: who has it, or what its holder told all. What is lost comes again with the next news.
func (n *Node) NotifyRole(ev policy.Event) { n.offer(func() { n.core.NotifyPolicy(ev) }) }

// FollowDiscovery moves the watch to another source; see Core.Follow.
func (n *Node) FollowDiscovery(source discovery.Source) {
	n.post(n.lists, func() { n.core.FollowDiscovery(source) })
}

// Drain makes the node answer everything it has taken by a time. The channel is closed when that is done.
func (n *Node) Drain(by time.Time) <-chan struct{} {
	n.post(n.queue, func() { n.core.Drain(by) })
	return n.core.Drained()
}

// Run is the loop. It returns when stop is closed.
func (n *Node) Run(stop <-chan struct{}) {
	defer n.in.close()
	defer close(n.stopped)
	n.core.Start()
	timer := time.NewTimer(0)
	for {
		select { // lists first
		case f := <-n.lists:
			f()
		default:
			select {
			case f := <-n.lists:
				f()
			case f := <-n.queue:
				f()
			case <-n.in.ready:
				n.takeSome()
			case <-timer.C:
			case <-stop:
				n.core.Stop()
				return
			}
		}
		n.core.HandleTimers()
		if at, ok := n.core.NextTimer(); ok {
			timer.Reset(time.Until(at))
		}
	}
}
