package simulation

import (
	"slices"
	"strconv"
	"time"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/policy"
)

// agreements are what a node takes part in beside its requests: duties that one node holds for all, and who is there. The decision
// module hears of both.
type agreements struct {
	n       *node
	life    int
	born    Time
	lease   *lease.Core
	members *membership.Core
}

// How long a duty is held, and how often a node asks another whether it is there.
const (
	dutyLease    = 600 * time.Millisecond
	memberPeriod = 100 * time.Millisecond
)

func newAgreements(n *node) *agreements {
	w := n.w
	a := &agreements{n: n, life: n.life, born: w.now}
	seed, date := w.plan.Seed*1000+uint64(n.index*100+n.life), uint64(epoch.UnixMilli()+(w.now+n.skew).Milliseconds())
	var err error
	if a.lease, err = lease.New(lease.Config{Self: n.index, Nodes: len(w.nodes), PeerListID: 1, Resources: policy.RoleNames[:], LeaseDuration: dutyLease, MaxClockDrift: 0.01,
		Epoch: date, Seed: seed}); err != nil {
		panic(err)
	}
	if a.members, err = membership.New(membership.Config{Self: n.index, Nodes: len(w.nodes), PeerListID: 1, Incarnation: date, ProbeInterval: memberPeriod,
		ProbeTimeout: memberPeriod / 2, IndirectProbes: 1, SuspicionFactor: 3, Seed: seed}); err != nil {
		panic(err)
	}
	a.tick(dutyLease/16, func() { a.duty(lease.Tick{}) })
	a.tick(memberPeriod/4, func() { a.member(membership.Tick{}) })
	return a
}

func (a *agreements) tick(every time.Duration, run func()) {
	a.n.later(every+a.n.lag(), func() {
		run()
		a.tick(every, run)
	})
}

func (a *agreements) clock() time.Duration { return a.n.w.now - a.born }

// tell hands the module what the agreements came to, in the loop's turn.
func (a *agreements) tell(ev policy.Event) {
	a.n.later(a.n.lag(), func() {
		a.n.core.NotifyPolicy(ev)
		a.n.arm()
	})
}

func (a *agreements) duty(ev lease.Event) {
	number := func(name string) policy.Role { return policy.Role(slices.Index(policy.RoleNames[:], name)) }
	for _, e := range a.lease.Step(a.clock(), ev) {
		switch e := e.(type) {
		case lease.Send:
			a.send(e.To, e.Data)
		case lease.Acquired:
			a.n.w.note("held", strconv.Itoa(a.n.index), e.Resource, strconv.FormatUint(e.Token, 10))
		case lease.HolderChanged:
			who := policy.AssignedElsewhere
			switch e.Node {
			case lease.NoNode:
				who = policy.Unassigned
			case a.n.index:
				who = policy.AssignedHere
			}
			a.tell(policy.RoleAssigned{Role: number(e.Resource), Responsibility: who})
		case lease.Announced:
			a.tell(policy.RoleAnnouncement{Role: number(e.Resource)})
		}
	}
}

func (a *agreements) member(ev membership.Event) {
	for _, e := range a.members.Step(a.clock(), ev) {
		switch e := e.(type) {
		case membership.Send:
			a.send(e.To, e.Data)
		case membership.FleetSizeChanged:
			a.tell(policy.FleetSize{Nodes: e.Nodes})
		}
	}
}

func (a *agreements) send(to int, data []byte) {
	for i := range a.n.w.nodes {
		if i != a.n.index && (to < 0 || to == i) {
			a.n.datagram(i, data)
		}
	}
}

// leave tells the others that the process ends.
func (a *agreements) leave() {
	a.duty(lease.Resign{})
	a.member(membership.ShutdownStarted{})
}

// checkDuties looks whether two nodes would act under one duty.
func (w *world) checkDuties() {
	for _, duty := range policy.RoleNames {
		holder := lease.NoNode
		for i, n := range w.nodes {
			if !n.up || n.agree == nil {
				continue
			}
			if _, ok := n.agree.lease.Holds(n.agree.clock(), duty); ok && holder != lease.NoNode {
				w.broken(TwoHolders, "nodes %d and %d both have %s", holder, i, duty)
			} else if ok {
				holder = i
			}
		}
	}
}
