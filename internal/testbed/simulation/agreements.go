package simulation

import (
	"slices"
	"strconv"
	"time"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/policy"
)

// agreements holds the lease core and the membership core of a node, which run while the node handles requests. The lease core
// assigns roles to nodes, and the membership core counts the nodes of the fleet. The node's policy is notified of both.
type agreements struct {
	node        *node
	incarnation int
	startedAt   Time
	lease       *lease.Core
	members     *membership.Core
}

// Settings of the lease and membership cores in runs with requests.
const (
	leaseDuration       = 600 * time.Millisecond
	leaseTicks          = 16 // ticks of the lease core within one lease duration
	memberProbeInterval = 100 * time.Millisecond
	memberTicks         = 4 // ticks of the membership core within one probe interval
)

// newAgreements makes the lease and membership cores of a node's current process, and starts their ticks.
func newAgreements(n *node) *agreements {
	w := n.world
	a := &agreements{node: n, incarnation: n.incarnation, startedAt: w.now}
	seed := w.plan.Seed*1000 + uint64(n.index*100+n.incarnation)
	date := uint64(epoch.UnixMilli() + (w.now + n.clockOffset).Milliseconds())
	a.lease = must(lease.New(lease.Config{
		Self: n.index, Nodes: len(w.nodes), PeerListID: 1, Resources: policy.RoleNames[:],
		LeaseDuration: leaseDuration, MaxClockDrift: 0.01, Epoch: date, Seed: seed,
	}))
	a.members = must(membership.New(membership.Config{
		Self: n.index, Nodes: len(w.nodes), PeerListID: 1, Incarnation: date,
		ProbeInterval: memberProbeInterval, ProbeTimeout: memberProbeInterval / 2, IndirectProbes: 1, SuspicionFactor: 3, Seed: seed,
	}))
	a.tick(leaseDuration/leaseTicks, func() { a.stepLease(lease.Tick{}) })
	a.tick(memberProbeInterval/memberTicks, func() { a.stepMembership(membership.Tick{}) })
	return a
}

// tick calls run periodically until the process ends. Each call is late by a random delay of up to MaxLag.
func (a *agreements) tick(every time.Duration, run func()) {
	a.node.schedule(every+a.node.lag(), func() {
		run()
		a.tick(every, run)
	})
}

// clock returns the time since the process started.
func (a *agreements) clock() time.Duration { return a.node.world.now - a.startedAt }

// notifyPolicy passes an event to the node's policy after a random delay, which stands for the delay of the node's event loop.
func (a *agreements) notifyPolicy(ev policy.Event) {
	a.node.schedule(a.node.lag(), func() {
		a.node.core.NotifyPolicy(ev)
		a.node.armTimer()
	})
}

// roleOf returns the role that belongs to the lease of a resource.
func roleOf(resource string) policy.Role {
	return policy.Role(slices.Index(policy.RoleNames[:], resource))
}

// stepLease gives the lease core an event and executes its effects.
func (a *agreements) stepLease(event lease.Event) {
	for _, effect := range a.lease.Step(a.clock(), event) {
		switch e := effect.(type) {
		case lease.Send:
			a.send(e.To, e.Data)
		case lease.Acquired:
			a.node.world.logEvent("held", strconv.Itoa(a.node.index), e.Resource, strconv.FormatUint(e.Token, 10))
		case lease.HolderChanged:
			responsibility := policy.AssignedElsewhere
			switch e.Node {
			case lease.NoNode:
				responsibility = policy.Unassigned
			case a.node.index:
				responsibility = policy.AssignedHere
			}
			a.notifyPolicy(policy.RoleAssigned{Role: roleOf(e.Resource), Responsibility: responsibility})
		case lease.Announced:
			a.notifyPolicy(policy.RoleAnnouncement{Role: roleOf(e.Resource)})
		}
	}
}

// stepMembership gives the membership core an event and executes its effects.
func (a *agreements) stepMembership(event membership.Event) {
	for _, effect := range a.members.Step(a.clock(), event) {
		switch e := effect.(type) {
		case membership.Send:
			a.send(e.To, e.Data)
		case membership.FleetSizeChanged:
			a.notifyPolicy(policy.FleetSize{Nodes: e.Nodes})
		}
	}
}

// send sends a datagram to one node, or to all other nodes if to is negative.
func (a *agreements) send(to int, data []byte) {
	for i := range a.node.world.nodes {
		if i != a.node.index && (to < 0 || to == i) {
			a.node.sendDatagram(i, data)
		}
	}
}

// shutDown releases the node's leases and tells the other members that the process ends.
func (a *agreements) shutDown() {
	a.stepLease(lease.Resign{})
	a.stepMembership(membership.ShutdownStarted{})
}

// checkLeases checks that no two nodes hold the same lease at the same time, as the lease cores of the nodes see it.
func (w *world) checkLeases() {
	for _, resource := range policy.RoleNames {
		holder := lease.NoNode
		for i, n := range w.nodes {
			if !n.isUp || n.agreements == nil {
				continue
			}
			if _, ok := n.agreements.lease.Holds(n.agreements.clock(), resource); ok && holder != lease.NoNode {
				w.violation(InvariantOneHolder, "nodes %d and %d both have %s", holder, i, resource)
			} else if ok {
				holder = i
			}
		}
	}
}
