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
	if a.lease, err = lease.New(lease.Config{Self: n.index, Nodes: len(w.nodes), Fleet: 1, Duties: policy.DutyNames[:], Lease: dutyLease, Drift: 0.01,
		Epoch: date, Seed: seed}); err != nil {
		panic(err)
	}
	if a.members, err = membership.New(membership.Config{Self: n.index, Nodes: len(w.nodes), Fleet: 1, Life: date, Period: memberPeriod,
		Wait: memberPeriod / 2, Ask: 1, Suspicion: 3, Seed: seed}); err != nil {
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
		a.n.core.Tell(ev)
		a.n.arm()
	})
}

func (a *agreements) duty(ev lease.Event) {
	number := func(name string) policy.Duty { return policy.Duty(slices.Index(policy.DutyNames[:], name)) }
	for _, e := range a.lease.Step(a.clock(), ev) {
		switch e := e.(type) {
		case lease.Send:
			a.send(e.To, e.Data)
		case lease.Held:
			a.n.w.note("held", strconv.Itoa(a.n.index), e.Duty, strconv.FormatUint(e.Token, 10))
		case lease.Holder:
			who := policy.Another
			switch e.Node {
			case lease.None:
				who = policy.Nobody
			case a.n.index:
				who = policy.Self
			}
			a.tell(policy.Holder{Duty: number(e.Duty), Who: who})
		case lease.Said:
			a.tell(policy.Word{Duty: number(e.Duty)})
		}
	}
}

func (a *agreements) member(ev membership.Event) {
	for _, e := range a.members.Step(a.clock(), ev) {
		switch e := e.(type) {
		case membership.Send:
			a.send(e.To, e.Data)
		case membership.Count:
			a.tell(policy.Fleet{Routers: e.Nodes})
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
	a.member(membership.Leave{})
}

// checkDuties looks whether two nodes would act under one duty.
func (w *world) checkDuties() {
	for _, duty := range policy.DutyNames {
		holder := lease.None
		for i, n := range w.nodes {
			if !n.up || n.agree == nil {
				continue
			}
			if _, ok := n.agree.lease.Holds(n.agree.clock(), duty); ok && holder != lease.None {
				w.broken(TwoHolders, "nodes %d and %d both have %s", holder, i, duty)
			} else if ok {
				holder = i
			}
		}
	}
}
