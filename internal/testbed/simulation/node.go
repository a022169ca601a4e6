package simulation

import (
	"log/slog"
	"slices"
	"strconv"
	"time"

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

// node is one node: the cores of its current process, and what stands in for their shells. Every delay that a goroutine could cause is
// drawn.
type node struct {
	world       *world
	index       int
	incarnation int // of its process: what an earlier one scheduled does nothing
	isUp        bool
	isAccepting bool          // takes new connections
	clockOffset time.Duration // of its process's clock against the run's

	core              *nodecore.Core
	listener          *listener.Core
	pools             []*pool
	conns             []*listenerConn // open ones, in the order in which they were accepted
	responseMemory    *upstream.ResponseMemory
	timerAt           Time // when the core's timers are handled next; 0 is not scheduled
	listUpdateAt      Time // when the latest list update is handled
	lastDiscoveryData Time // when discovery last sent a byte
	counters          *counters.Counters
	agreements        *agreements // nil without agreements
}

func newNode(w *world, index int) *node { return &node{world: w, index: index} }

// now is the time on the node's clock.
func (n *node) now() time.Time { return epoch.Add(n.clockOffset + n.world.now) }

// simTime converts a time of the node's clock to one of the run.
func (n *node) simTime(t time.Time) Time { return t.Sub(epoch) - n.clockOffset }

// lag draws how long a runnable goroutine of the node waits until it runs.
func (n *node) lag() time.Duration { return n.world.drawBetween(0, n.world.plan.Network.MaxLag) }

// schedule runs work of the current process after a delay, unless the process ends before.
func (n *node) schedule(delay time.Duration, run func()) {
	incarnation := n.incarnation
	n.world.after(delay, func() {
		if n.incarnation == incarnation {
			run()
		}
	})
}

// start starts a process.
func (n *node) start() {
	w, plan := n.world, n.world.plan
	n.incarnation++
	n.isUp, n.isAccepting = true, true
	n.timerAt, n.listUpdateAt, n.lastDiscoveryData = 0, 0, w.now
	n.clockOffset = w.drawBetween(-plan.Network.MaxClockOffset, plan.Network.MaxClockOffset)
	n.pools, n.conns = nil, nil
	w.logEvent("start", strconv.Itoa(n.index))
	w.checker.NodeRestarted(n.index)
	for _, entry := range w.system.List().Entries { // those of the process's configuration
		w.checker.NodeKnowsStart(n.index, entry.ID, entry.Started)
	}
	n.responseMemory = upstream.NewResponseMemory(plan.Nodes.MemoryMB<<20/responseMemoryPart, plan.Nodes.MemoryMB<<20/longestResponsePart)
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

// Parts of a node's memory, as cmd/shelfproxy divides it.
const (
	responseMemoryPart  = 8
	longestResponsePart = 32
	requestMemoryPart   = 4
	unsentMemoryPart    = 6
)

// startCore makes the core of a process that starts now.
func (n *node) startCore() {
	plan := n.world.plan
	n.counters = counters.New(n.classNames(), request.ResponseKinds(), outcomeNames())
	core, err := nodecore.NewCore(nodecore.Options{
		Policy:           plan.Module(n.index),
		Seed:             plan.Seed*1000 + uint64(n.index*100+n.incarnation),
		MaxOpenRequests:  plan.Nodes.MaxOpen,
		MaxRequestBytes:  plan.Nodes.MemoryMB << 20 / requestMemoryPart,
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

// startListener makes the listener's core of a process that starts now.
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
	}
	n.listener = listener.NewCore(n.now(), n.classNames(), nil, limits, n.counters)
	n.listener.Reply = func(conn *listener.Conn, slot *listener.ResponseSlot, response request.Response) {
		var effects listener.Effects
		n.listener.Respond(n.now(), conn, slot, response, &effects)
		n.execute(effects)
	}
}

// upstreamFactory is how the core makes its connection pools. They belong to the current process and share its descriptors.
func (n *node) upstreamFactory() func(discovery.Server, bool, func(*upstream.Attempt, upstream.Response)) nodecore.Upstream {
	plan, incarnation := n.world.plan, n.incarnation
	cacheServers := upstream.NewDescriptorBudget(plan.Nodes.Sockets / 3)
	origins := upstream.NewDescriptorBudget(max(1, plan.Nodes.Sockets/10))
	limits := upstream.Limits{
		ConnectTimeout: plan.Nodes.ConnectTimeout.D(),
		IdleTimeout:    plan.Nodes.ConnectionIdle.D() * 8 / 10,
		MaxStreams:     plan.Nodes.MaxStreams,
		MaxConnections: 16,
		MaxQueued:      64,
		PipelineWithin: plan.Network.PipelineWithin,
	}
	originLimits := limits
	originLimits.MaxStreams, originLimits.MaxConnections = 1, plan.Nodes.Sockets
	return func(server discovery.Server, isOrigin bool, report func(*upstream.Attempt, upstream.Response)) nodecore.Upstream {
		p := &pool{node: n, incarnation: incarnation, id: server.ID, report: report, written: map[*upstream.Attempt]*serverConn{}}
		if isOrigin {
			p.codec = origin.Codec{Host: server.Addr, Memory: n.responseMemory}
			p.core = upstream.NewCore(server.Addr, p.codec, originLimits, origins)
		} else {
			p.codec = resp.Codec{Memory: n.responseMemory}
			p.core = upstream.NewCore(server.Addr, p.codec, limits, cacheServers)
		}
		p.core.Owner = p
		n.pools = append(n.pools, p)
		return p
	}
}

// configuredList is the endpoint list in a process's configuration: what discovery has at its start.
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

// announce sends the other nodes an announcement of this node under a role's lease.
func (n *node) announce(role policy.Role) {
	if n.agreements != nil {
		n.agreements.stepLease(lease.Announce{Resource: policy.RoleNames[role]})
	}
}

// armTimer schedules the core's next timer, if it comes before the one that is scheduled.
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

// expireIdle closes connections whose time is over, now and whenever the listener's core wants it.
func (n *node) expireIdle() {
	var effects listener.Effects
	next := n.listener.ExpireIdle(n.now(), &effects)
	n.execute(effects)
	n.schedule(next, n.expireIdle)
}

// attemptEnded brings the outcome of an attempt from a pool to the core, as the event loop would: a drawn lag later.
func (n *node) attemptEnded(attempt *upstream.Attempt, response upstream.Response) {
	n.schedule(n.lag(), func() {
		n.core.AttemptEnded(attempt, response)
		n.armTimer()
	})
}

// postListUpdate runs list updates in the order in which they came, each a drawn lag late.
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

// sendDatagram sends a datagram to a node, where it arrives once, twice, corrupted or not at all.
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

// receiveDatagram takes a datagram as the node's socket does: its first byte tells which agreement it is for; the rest is gossip.
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
