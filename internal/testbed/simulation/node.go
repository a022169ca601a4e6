package simulation

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/listener"
	nodecore "shelfproxy/internal/node"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/testbed/wireformat"
	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
	"shelfproxy/internal/upstream/resp"
)

// node is one simulated node: the program's own cores, for the process that the node currently simulates, and code that replaces
// the shells of these cores. Where a goroutine of the shell could cause a delay, the node waits for a random time.
type node struct {
	world       *world
	index       int
	incarnation int // number of process starts and ends so far; work that an earlier process scheduled is dropped
	isUp        bool
	isAccepting bool          // the node accepts new connections
	clockOffset time.Duration // offset of the process's clock from the run's clock

	core              *nodecore.Core
	listener          *listener.Core
	pools             []*pool
	conns             []*listenerConn // open connections of clients, in the order in which they were accepted
	requestMemory     *admission.MemoryBudget
	responseMemory    *admission.MemoryBudget
	timerAt           Time // when the next call of HandleTimers is scheduled; 0 if none is
	listUpdateAt      Time // time at which the latest list update will be handled, or was handled
	lastDiscoveryData Time // when the node last received a byte from discovery
	counters          *counters.Counters
	agreements        *agreements // nil if Plan.Agreements is not set
}

func newNode(w *world, index int) *node { return &node{world: w, index: index} }

// now returns the time on the node's clock.
func (n *node) now() time.Time { return epoch.Add(n.clockOffset + n.world.now) }

// simTime converts a time of the node's clock to a time of the run.
func (n *node) simTime(t time.Time) Time { return t.Sub(epoch) - n.clockOffset }

// lag returns a random delay, up to MaxLag. It stands for the time that a goroutine that is ready to run waits until it runs.
func (n *node) lag() time.Duration { return n.world.drawBetween(0, n.world.plan.Network.MaxLag) }

// schedule runs work of the node's current simulated process after a delay. The work is dropped if the process has ended by then.
func (n *node) schedule(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.world.after(delay, func() {
		if n.incarnation == incarnation {
			run()
		}
	})
}

// start starts the node's next process.
func (n *node) start() {
	w, plan := n.world, n.world.plan
	n.incarnation++
	n.isUp, n.isAccepting = true, true
	n.timerAt, n.listUpdateAt, n.lastDiscoveryData = 0, 0, w.now
	n.clockOffset = w.drawBetween(-plan.Network.MaxClockOffset, plan.Network.MaxClockOffset)
	n.pools, n.conns = nil, nil
	w.logEvent("start", strconv.Itoa(n.index))
	w.checker.NodeRestarted(n.index)
	for _, entry := range w.system.List().Entries { // the configuration of the new process contains this list
		w.checker.NodeKnowsStart(n.index, entry.ID, entry.Started)
	}
	n.requestMemory = admission.NewMemoryBudget(plan.Nodes.MemoryMB << 20 / requestMemoryPart)
	n.responseMemory = admission.NewMemoryBudget(plan.Nodes.MemoryMB << 20 / responseMemoryPart)
	n.startCore()
	n.startListener()
	n.core.Start()
	n.armTimer()
	n.expireIdle()
	n.agreements = nil
	if plan.Agreements {
		n.agreements = newAgreements(n)
	}
}

// Divisors of a node's memory. For example, all responses together may use 1/4 of the memory.
const (
	responseMemoryPart  = 4
	longestResponsePart = 32
	requestMemoryPart   = 4
	unsentMemoryPart    = 8
)

// startCore creates the node core of a process that starts now.
func (n *node) startCore() {
	plan := n.world.plan
	n.counters = counters.New(n.classNames(), request.ResponseKinds(), outcomeNames())
	core, err := nodecore.NewCore(nodecore.Options{
		Policy:           plan.PolicySettings(n.index),
		Seed:             plan.Seed*1000 + uint64(n.index*100+n.incarnation),
		MaxOpenRequests:  plan.Nodes.MaxOpen,
		RequestMemory:    n.requestMemory,
		ResponseMemory:   n.responseMemory,
		MaxClientTimeout: plan.maxDeadline(),
		InitialList:      n.configuredList(),
		Source:           discoverySource{n, n.incarnation},
		Counters:         n.counters,
		Log:              slog.New(slog.DiscardHandler),
		Gossip:           n.broadcast,
		Announce:         n.announce,
		NewUpstream:      n.upstreamFactory(),
	}, nodecore.Environment{Now: n.now, ReportOutcome: n.attemptEnded, PostListUpdate: n.postListUpdate})
	n.core = must(core, err)
}

// startListener creates the listener core of a process that starts now.
func (n *node) startListener() {
	nodes := n.world.plan.Nodes
	limits := listener.Limits{
		MaxConnections:      nodes.Sockets / 2,
		MaxPipelined:        8,
		MaxValue:            64 << 10,
		WriteTimeout:        10 * time.Second,
		FirstCommandTimeout: 2500 * time.Millisecond,
		IdleTimeout:         time.Minute,
		CrowdedIdleTimeout:  50 * time.Millisecond,
		MaxUnsentBytes:      nodes.MemoryMB << 20 / unsentMemoryPart,
		RequestMemory:       n.requestMemory,
		ResponseMemory:      n.responseMemory,
	}
	n.listener = listener.NewCore(n.now(), n.classNames(), nil, limits, n.counters)
	n.listener.Reply = func(conn *listener.Conn, slot *listener.ResponseSlot, response request.Response) {
		var effects listener.Effects
		n.listener.Respond(conn, slot, response, &effects)
		n.execute(effects)
	}
}

// upstreamFactory returns the function with which the node core makes its connection pools. The pools belong to the process that
// the node currently simulates. They share two descriptor budgets: one for cache servers and one for origins.
func (n *node) upstreamFactory() func(discovery.Server, bool, func(*upstream.Attempt, upstream.Response)) nodecore.Upstream {
	plan, incarnation := n.world.plan, n.incarnation
	cacheServers := upstream.Budgets{Descriptors: upstream.NewDescriptorBudget(plan.Nodes.Sockets / 3), Responses: n.responseMemory}
	origins := upstream.Budgets{Descriptors: upstream.NewDescriptorBudget(max(1, plan.Nodes.Sockets/10)), Responses: n.responseMemory}
	maxValue := plan.Nodes.MemoryMB << 20 / longestResponsePart
	limits := upstream.Limits{
		ConnectTimeout: plan.Nodes.ConnectTimeout.D(),
		IdleTimeout:    plan.Nodes.ConnectionIdle.D() * 8 / 10,
		MaxStreams:     plan.Nodes.MaxStreams,
		MaxConnections: 16,
		MaxQueued:      64,
		PipelineWithin: plan.Network.PipelineWithin,
		DroppedWithin:  plan.Nodes.ConnectTimeout.D(),
		SecondCopies:   plan.Network.SecondCopies,
	}
	originLimits := limits
	originLimits.MaxStreams, originLimits.MaxConnections = 1, plan.Nodes.Sockets
	return func(server discovery.Server, isOrigin bool, report func(*upstream.Attempt, upstream.Response)) nodecore.Upstream {
		p := &pool{node: n, incarnation: incarnation, id: server.ID, report: report, written: map[*upstream.Attempt]*serverConn{}}
		if isOrigin {
			p.codec = origin.Codec{Host: server.Addr, MaxValue: maxValue}
			p.core = upstream.NewCore(server.Addr, p.codec, originLimits, origins)
		} else {
			p.codec = resp.Codec{MaxValue: maxValue}
			p.core = upstream.NewCore(server.Addr, p.codec, limits, cacheServers)
		}
		p.core.Owner = p
		n.pools = append(n.pools, p)
		return p
	}
}

// configuredList returns the endpoint list in a process's configuration: the list that discovery has when the process starts.
func (n *node) configuredList() discovery.List {
	text := wireformat.EncodeList(n.world.system.List(), n.addressOf, unixMs)
	return must(new(discovery.Parser).Parse(text))
}

func (n *node) classNames() (names []string) {
	for _, class := range n.world.plan.Classes {
		names = append(names, class.Name)
	}
	return names
}

func outcomeNames() []string {
	names := make([]string, upstream.NumOutcomes())
	for i := range names {
		names[i] = upstream.Outcome(i).String()
	}
	return names
}

// announce sends the other nodes an announcement, which this node makes as the holder of a role's lease.
func (n *node) announce(role policy.Role) {
	if n.agreements != nil {
		n.agreements.stepLease(lease.Announce{Resource: policy.RoleNames[role]})
	}
}

// armTimer schedules the core's next timer, unless a call at that time or earlier is already scheduled.
func (n *node) armTimer() {
	nodeTime, ok := n.core.NextTimer()
	if !ok {
		return
	}
	at := max(n.simTime(nodeTime), n.world.now)
	if n.timerAt > 0 && n.timerAt <= at {
		return
	}
	n.timerAt = at
	n.schedule(at-n.world.now, func() {
		if n.timerAt == at {
			n.timerAt = 0
		}
		n.core.HandleTimers()
		n.armTimer()
	})
}

// expireIdle makes the listener core close the connections whose timeout has passed. It then schedules its next call after the
// delay that the listener core returns.
func (n *node) expireIdle() {
	var effects listener.Effects
	next := n.listener.ExpireIdle(n.now(), &effects)
	n.execute(effects)
	n.schedule(next, n.expireIdle)
}

// attemptEnded passes the outcome of an attempt from a pool to the node core. It does so after a random delay, which stands for the
// delay of the node's event loop.
func (n *node) attemptEnded(attempt *upstream.Attempt, response upstream.Response) {
	n.schedule(n.lag(), func() {
		n.core.AttemptEnded(attempt, response)
		n.armTimer()
	})
}

// postListUpdate runs an update of the endpoint list after a random delay. Updates run in the order in which they were posted.
func (n *node) postListUpdate(update func()) {
	n.listUpdateAt = max(n.listUpdateAt, n.world.now+n.lag())
	n.schedule(n.listUpdateAt-n.world.now, func() {
		update()
		n.armTimer()
	})
}

// broadcast sends a datagram to all other nodes.
func (n *node) broadcast(data []byte) error {
	for i := range n.world.nodes {
		if i != n.index {
			n.sendDatagram(i, data)
		}
	}
	return nil
}

// sendDatagram sends a datagram to a node. The datagram may be lost, duplicated or corrupted.
func (n *node) sendDatagram(to int, data []byte) {
	w, receiver := n.world, n.world.nodes[to]
	if w.chance(w.plan.Network.Dropped) {
		return
	}
	data = slices.Clone(data)
	if w.chance(w.plan.Network.Corrupted) {
		data[w.rng.IntN(len(data))] ^= 1 << w.rng.IntN(8)
	}
	copies := 1
	if w.chance(w.plan.Network.Duplicated) {
		copies = 2
	}
	for range copies {
		w.after(w.drawBetween(time.Millisecond, 30*time.Millisecond), func() { receiver.receiveDatagram(n.index, data) })
	}
}

// receiveDatagram handles a datagram that arrived at the node's socket. The first byte tells whether the datagram is for the
// lease core or the membership core. All other datagrams are gossip.
func (n *node) receiveDatagram(from int, data []byte) {
	switch {
	case !n.isUp:
	case n.agreements != nil && data[0] == lease.Magic:
		n.agreements.stepLease(lease.MessageReceived{From: from, Data: data})
	case n.agreements != nil && data[0] == membership.Magic:
		n.agreements.stepMembership(membership.MessageReceived{From: from, Data: data})
	default:
		n.core.NotifyPolicy(policy.GossipReceived{From: from, Data: data})
		n.armTimer()
	}
}
