package simulation

import (
	"container/heap"
	"fmt"
	"slices"
	"strconv"
	"time"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/testbed/model"
)

// The invariants of fleets: what nodes agree on among themselves.
const (
	TwoHolders = "two-holders"  // a duty has one node that would act
	OldToken   = "old-token"    // who acts does so under a greater token than whoever acted before
	OverBudget = "over-budget"  // no more are out by agreement than the budget says
	NoHolder   = "no-holder"    // after the faults each duty has a node again
	NotBack    = "not-back"     // after the faults all are in service, and whoever wanted out had its turn
	WrongView  = "wrong-view"   // after the faults all know who is there
	TooLong    = "datagram-256" // a datagram is of 256 bytes at most
)

// Times of a fleet's run: faults come between these, and at its end all has to be settled.
const (
	fleetFaultsFrom = 4 * time.Second
	fleetFaultsTo   = 20 * time.Second
	fleetFaultsOver = 24 * time.Second // of the network
	fleetCalm       = 70 * time.Second // from then on no datagram is lost: what is looked at in the end is no moment's bad luck
	fleetEnd        = 75 * time.Second

	fleetLease  = time.Second
	fleetDrift  = 0.05
	fleetPeriod = 200 * time.Millisecond
)

var fleetDuties = []string{"prober", "caller"}

// FleetFaultKind is what can happen to a fleet.
type FleetFaultKind int

// The kinds.
const (
	FleetKill   FleetFaultKind = iota // a process ends at once; another starts some time later
	FleetTerm                         // a process is told to end; another starts some time later
	FleetStop                         // a process is stopped for a while (SIGSTOP)
	FleetDeaf                         // one node does not reach another for a while
	FleetAlone                        // a node is cut off from all
	FleetHalves                       // the fleet falls apart
	FleetAll                          // all processes end, and start again at about the same time
	FleetBack                         // a node's date is set back; its next process starts with it
	FleetLeave                        // an operator wants a node out
	FleetRoll                         // an operator orders a release
	FleetHalt                         // an operator halts it, and resumes some time later
	FleetBudget                       // the budget changes at all nodes, one after another
	FleetReplay                       // old datagrams come again
	FleetGone                         // a process ends for good, one of three or more
	FleetForget                       // one node does not hear who has a duty, and those who granted it are killed and back within its lease
	fleetFaultKinds
)

var fleetFaultNames = [fleetFaultKinds]string{"kill", "term", "stop", "deaf", "alone", "halves", "all", "date", "leave", "roll", "halt", "budget", "replay", "gone", "forget"}

func (k FleetFaultKind) String() string { return fleetFaultNames[k] }

// FleetFault is one of them.
type FleetFault struct {
	Kind     FleetFaultKind
	At, For  Time
	Node, To int
}

// FleetPlan is one run of a fleet: what a seed has drawn.
type FleetPlan struct {
	Seed                 uint64
	Nodes, Budget        int
	Lost, Twice, Garbled float64 // of the datagrams, until the faults are over; a part of it stays
	Late                 time.Duration
	Lag                  time.Duration // that a process may take to run
	StopAtGo             float64       // chance that a process is stopped in the moment in which it is told that it may go
	Faults               []FleetFault
	on                   []int // of those drawn, which are in
}

// DrawFleet makes the plan of a seed. Faults whose number is in skip are left out: what the others draw does not change.
func DrawFleet(seed uint64, skip map[int]bool) *FleetPlan {
	r := model.RandomStream(seed, "fleet/plan")
	p := &FleetPlan{Seed: seed, Nodes: 2 + r.IntN(6), Late: time.Duration(5+r.IntN(100)) * time.Millisecond, Lag: time.Duration(r.IntN(20)) * time.Millisecond}
	p.Budget = 1 + r.IntN(max(1, p.Nodes/2))
	level := []float64{0, 0.1, 0.4}[r.IntN(3)]
	p.Lost, p.Twice, p.Garbled = level*r.Float64(), 0.2*r.Float64(), level*r.Float64()/2
	p.StopAtGo = []float64{0, 0, 0.5}[r.IntN(3)]
	var kinds []FleetFaultKind // swarm testing: a seed knows a subset of the faults
	for k := range fleetFaultKinds {
		if r.IntN(2) == 0 {
			kinds = append(kinds, k)
		}
	}
	centre := fleetFaultsFrom + time.Duration(r.Int64N(int64(fleetFaultsTo-fleetFaultsFrom)))
	together := r.Float64()
	for i := range 2 + r.IntN(14) {
		own := model.RandomStream(seed, "fleet/fault/"+strconv.Itoa(i))
		f := FleetFault{At: fleetFaultsFrom + time.Duration(own.Int64N(int64(fleetFaultsTo-fleetFaultsFrom))), Node: own.IntN(p.Nodes), To: own.IntN(p.Nodes),
			For: time.Duration(50+own.IntN(4000)) * time.Millisecond}
		if own.Float64() < together {
			f.At = min(fleetFaultsTo, max(fleetFaultsFrom, centre+time.Duration(own.Int64N(int64(time.Second)))-500*time.Millisecond))
		}
		if len(kinds) > 0 && !skip[i] {
			f.Kind = kinds[own.IntN(len(kinds))]
			p.Faults, p.on = append(p.Faults, f), append(p.on, i)
		}
	}
	return p
}

// Words name what the seed has drawn.
func (p *FleetPlan) words() []string {
	out := []string{fmt.Sprintf("nodes=%d budget=%d lost=%.2f", p.Nodes, p.Budget, p.Lost)}
	for _, f := range p.Faults {
		out = append(out, f.Kind.String())
	}
	return out
}

// fleet is one run of what nodes agree on.
type fleet struct {
	timeline
	plan   *FleetPlan
	nodes  []*member
	cuts   [][]int // how many faults keep what one node sends from another
	kept   []datagram
	budget int // the greatest that any node was told so far

	acted   map[string]int // who acted last under a duty
	tokens  map[string]uint64
	halting int // operators' halts that are not over
	halted  bool
}

type datagram struct {
	from, to int
	data     []byte
}

// member is one node of a fleet: the cores of its process of the moment.
type member struct {
	f       *fleet
	index   int
	life    int
	up      bool
	gone    bool // for good
	stopped bool
	backlog []func() // of a stopped process, in their order
	born    Time
	rate    float64
	date    time.Duration // by which its machine's date is off
	starts  uint64

	lease   *lease.Core
	rollout *rollout.Core
	members *membership.Core
	release string // installed here: what the next process runs
	runs    string
	budget  int
	out     bool // by agreement, until its next process is fit
	wants   bool // an operator wanted it out and it has not gone since
	leaving bool
}

// RunFleet plays a fleet to its end.
func RunFleet(plan *FleetPlan, opt Options) (report *Report) {
	began := time.Now()
	report = &Report{Seed: plan.Seed, Faults: plan.words()}
	f := &fleet{timeline: newTimeline(model.RandomStream(plan.Seed, "fleet/net"), opt, report), plan: plan, budget: plan.Budget, acted: map[string]int{}, tokens: map[string]uint64{}}
	defer func() {
		if p := recover(); p != nil {
			f.broken(Crash, "%v", p)
			if opt.Trace != nil {
				panic(p)
			}
		}
		report.Hash = f.hash.Sum64()
		report.Took = time.Since(began)
	}()
	for i := range plan.Nodes {
		f.cuts = append(f.cuts, make([]int, plan.Nodes))
		f.nodes = append(f.nodes, &member{f: f, index: i, rate: 1 + (f.rng.Float64()-0.5)*fleetDrift, date: f.between(0, fleetLease/2), release: "r1", budget: plan.Budget})
	}
	for _, n := range f.nodes {
		f.at(f.between(0, 200*time.Millisecond), n.start)
	}
	for _, fault := range plan.Faults {
		f.at(fault.At, func() { f.suffer(fault) })
	}
	for steps := 0; len(f.due) > 0 && f.due[0].at <= fleetEnd; steps++ {
		e := heap.Pop(&f.due).(event)
		f.now = max(f.now, e.at)
		e.run()
		f.check()
		if len(report.Broken) > 20 || steps > most {
			f.broken(Crash, "too much is broken, or too much happens: %d steps", steps)
			break
		}
	}
	f.settled()
	return report
}

// later books work of the process that runs now. A stopped process does nothing before it goes on.
func (n *member) later(d time.Duration, run func()) {
	life := n.life
	n.f.after(d, func() {
		switch {
		case n.life != life:
		case n.stopped:
			n.backlog = append(n.backlog, run)
		default:
			run()
		}
	})
}

// clock is the process's own, which may run fast or slow.
func (n *member) clock() time.Duration { return time.Duration(float64(n.f.now-n.born) * n.rate) }

func (n *member) must(err error) {
	if err != nil {
		panic(err)
	}
}

// start starts a process.
func (n *member) start() {
	if n.up || n.gone {
		return
	}
	f, p := n.f, n.f.plan
	n.life++
	n.starts++
	n.up, n.stopped, n.leaving, n.backlog, n.born, n.runs = true, false, false, nil, f.now, n.release
	f.note("start", strconv.Itoa(n.index), n.runs)
	seed := p.Seed*1000 + uint64(n.index)*100 + n.starts
	date := uint64((epoch.UnixMilli()) + (f.now + n.date).Milliseconds())
	var err error
	n.lease, err = lease.New(lease.Config{Self: n.index, Nodes: p.Nodes, PeerListID: 1, Resources: fleetDuties, LeaseDuration: fleetLease, MaxClockDrift: fleetDrift, Epoch: date, Seed: seed})
	n.must(err)
	n.rollout, err = rollout.New(rollout.Config{Self: n.index, Nodes: p.Nodes, Budget: n.budget, HeartbeatInterval: 200 * time.Millisecond, UnresponsiveAfter: time.Second, RequestTimeout: 2 * time.Second,
		ReturnTimeout: 12 * time.Second, WriteOffAfter: 10 * time.Minute, ObservationPeriod: 500 * time.Millisecond, MaxClockDrift: fleetDrift, Release: n.runs, MaxFailureRate: 0.2, MaxSlowRate: 0.5,
		MinSamples: 10, Incarnation: date, Seed: seed})
	n.must(err)
	n.members, err = membership.New(membership.Config{Self: n.index, Nodes: p.Nodes, PeerListID: 1, Incarnation: date, ProbeInterval: fleetPeriod, ProbeTimeout: 50 * time.Millisecond, IndirectProbes: 3, SuspicionFactor: 2, Seed: seed})
	n.must(err)
	n.doRollout(rollout.ServingStarted{})
	n.tick(fleetLease/16, func() { n.doLease(lease.Tick{}) })
	n.tick(50*time.Millisecond, func() { n.doRollout(rollout.Tick{}) })
	n.tick(25*time.Millisecond, func() { n.doMembers(membership.Tick{}) })
}

func (n *member) tick(every time.Duration, run func()) {
	n.later(every+n.f.between(0, n.f.plan.Lag), func() {
		run()
		n.tick(every, run)
	})
}

func (n *member) doLease(ev lease.Event) {
	for _, e := range n.lease.Step(n.clock(), ev) {
		switch e := e.(type) {
		case lease.Send:
			n.send(e.To, e.Data)
		case lease.Acquired:
			n.f.note("held", strconv.Itoa(n.index), e.Resource, strconv.FormatUint(e.Token, 10))
			n.later(n.f.between(0, 200*time.Millisecond), func() { n.doLease(lease.Announce{Resource: e.Resource}) })
		case lease.Lost:
			n.f.note("lost", strconv.Itoa(n.index), e.Resource)
		case lease.LogEvent:
			n.f.note("duty-"+e.Kind.String(), strconv.Itoa(n.index), e.Resource, strconv.Itoa(e.Node), strconv.FormatUint(e.Token, 10), e.Reason.String())
		}
	}
}

func (n *member) doRollout(ev rollout.Event) {
	for _, e := range n.rollout.Step(n.clock(), ev) {
		switch e := e.(type) {
		case rollout.Send:
			n.send(e.To, e.Data)
		case rollout.DrainGranted:
			n.f.note("may-go", strconv.Itoa(n.index))
			if n.f.now < fleetFaultsOver && n.f.chance(n.f.plan.StopAtGo) {
				n.stop(n.f.between(0, 6*time.Second))
			}
			n.later(n.f.between(0, n.f.plan.Lag), n.goOut)
		case rollout.LogEvent:
			n.f.note(e.Kind.String(), strconv.Itoa(n.index), strconv.Itoa(e.Node), e.Reason.String())
			switch {
			case e.Kind == rollout.LogNodeReady && e.Node == n.index:
				n.out = false
			case e.Kind == rollout.LogHalted && e.Reason != rollout.ReasonOperator:
				n.f.halted = true // what is out stays out for longer than the settings allow: operators are wanted
			}
		}
	}
}

func (n *member) doMembers(ev membership.Event) {
	for _, e := range n.members.Step(n.clock(), ev) {
		switch e := e.(type) {
		case membership.Send:
			n.send(e.To, e.Data)
		case membership.StateChanged:
			n.f.note("member", strconv.Itoa(n.index), strconv.Itoa(e.Node), e.To.String())
		}
	}
}

// goOut is the deed after the word that the node may go: it asks again, drains, ends, and comes back on what is installed.
func (n *member) goOut() {
	if n.leaving || !n.rollout.MayDrain(n.clock()) {
		return
	}
	n.f.note("goes", strconv.Itoa(n.index))
	n.out, n.wants = true, false
	n.end()
}

// end ends the process in order.
func (n *member) end() {
	if n.leaving {
		return
	}
	n.leaving = true
	n.doRollout(rollout.ShutdownStarted{})
	n.doLease(lease.Resign{})
	n.doMembers(membership.ShutdownStarted{})
	n.later(n.f.between(100*time.Millisecond, time.Second), func() {
		n.die()
		n.f.after(n.f.between(50*time.Millisecond, 3*time.Second), n.start)
	})
}

func (n *member) die() {
	if !n.up {
		return
	}
	n.f.note("end", strconv.Itoa(n.index))
	n.up, n.stopped, n.backlog, n.wants = false, false, nil, false // what was asked of the process ends with it
	n.life++
}

func (n *member) stop(span time.Duration) {
	if !n.up || n.stopped {
		return
	}
	n.f.note("stopped", strconv.Itoa(n.index))
	n.stopped = true
	life := n.life
	n.f.after(span, func() {
		if n.life != life || !n.stopped {
			return
		}
		n.f.note("goes-on", strconv.Itoa(n.index))
		n.stopped = false
		backlog := n.backlog
		n.backlog = nil
		for _, run := range backlog {
			n.later(n.f.between(0, time.Millisecond), run) // timers and what came meanwhile, in any order
		}
	})
}

// send sends a datagram to a node, or to all others.
func (n *member) send(to int, data []byte) {
	f := n.f
	if len(data) > 256 {
		f.broken(TooLong, "node %d sends %d bytes", n.index, len(data))
	}
	for other := range f.nodes {
		if other == n.index || to >= 0 && other != to {
			continue
		}
		f.wire(n.index, other, data)
		if len(f.kept) < 200 {
			f.kept = append(f.kept, datagram{n.index, other, data})
		} else if f.chance(0.01) {
			f.kept[f.rng.IntN(len(f.kept))] = datagram{n.index, other, data}
		}
	}
}

// wire carries a datagram, or not.
func (f *fleet) wire(from, to int, data []byte) {
	p, fault := f.plan, f.now < fleetFaultsOver
	lost := p.Lost
	switch {
	case f.now >= fleetCalm:
		lost = 0
	case !fault:
		lost = min(lost, 0.1)
	}
	if f.cuts[from][to] > 0 || f.chance(lost) {
		return
	}
	times := 1
	if f.chance(p.Twice) {
		times = 2
	}
	if fault && f.chance(p.Garbled) {
		data = slices.Clone(data)
		data[f.rng.IntN(len(data))] ^= 1 << f.rng.IntN(8)
	}
	for range times {
		f.after(f.between(200*time.Microsecond, p.Late), func() { f.nodes[to].receive(from, data) })
	}
}

// receive takes a datagram as the node's socket does: who reads it goes by its first byte.
func (n *member) receive(from int, data []byte) {
	if !n.up || n.leaving {
		return
	}
	n.later(n.f.between(0, n.f.plan.Lag), func() {
		switch {
		case n.leaving || len(data) == 0:
		case data[0] == rollout.Magic:
			n.doRollout(rollout.MessageReceived{From: from, Data: data})
		case data[0] == lease.Magic:
			n.doLease(lease.MessageReceived{From: from, Data: data})
		case data[0] == membership.Magic:
			n.doMembers(membership.MessageReceived{From: from, Data: data})
		}
	})
}

// cut keeps what some nodes send from others for a while.
func (f *fleet) cut(span time.Duration, pairs func(from, to int) bool) {
	change := func(by int) {
		for a := range f.nodes {
			for b := range f.nodes {
				if a != b && pairs(a, b) {
					f.cuts[a][b] += by
				}
			}
		}
	}
	change(1)
	f.after(span, func() { change(-1) })
}

func (f *fleet) suffer(e FleetFault) {
	n := f.nodes[e.Node]
	f.note("fault", e.Kind.String(), strconv.Itoa(e.Node), strconv.Itoa(e.To), e.For.String())
	kill := func(n *member, away time.Duration) {
		if n.up && !n.leaving {
			f.report.Kills++
			n.die()
			f.after(away, n.start)
		}
	}
	// tell has an operator's word come to a node; one that is not there does not hear it.
	tell := func(n *member, ev rollout.Event) {
		if n.up && !n.leaving {
			n.later(0, func() {
				if !n.leaving {
					n.doRollout(ev)
				}
			})
		}
	}
	switch e.Kind {
	case FleetKill:
		kill(n, e.For)
	case FleetTerm:
		if n.up && !n.leaving {
			f.report.Restarts++
			n.later(0, n.end)
		}
	case FleetStop:
		n.stop(2 * e.For)
	case FleetDeaf:
		f.cut(2*e.For, func(a, b int) bool { return a == e.Node && b == e.To })
	case FleetAlone:
		f.cut(2*e.For, func(a, b int) bool { return a == e.Node || b == e.Node })
	case FleetHalves:
		f.cut(2*e.For, func(a, b int) bool { return (a <= e.To) != (b <= e.To) })
	case FleetAll:
		for _, n := range f.nodes {
			kill(n, f.between(0, e.For))
		}
	case FleetBack: // by less than a lease of another's: that is what tokens allow
		n.date = f.between(0, fleetLease/2)
		kill(n, e.For)
	case FleetLeave:
		if n.up && !n.leaving && !n.stopped {
			n.wants = true
		}
		tell(n, rollout.DrainRequested{})
	case FleetRoll:
		if !n.up || n.leaving || n.stopped {
			return // the operator would see that the order did not come through, and give it elsewhere
		}
		release := []string{"r2", "r1"}[e.To%2] // on, or the way back
		for _, o := range f.nodes {
			o.release = release
		}
		tell(n, rollout.ReleaseOrdered{Release: release})
	case FleetHalt:
		tell(n, rollout.HaltRequested{})
		f.halting++
		f.after(e.For, func() {
			if f.halting--; f.halting == 0 { // the operator sees to it that it is over, at every node
				for _, o := range f.nodes {
					tell(o, rollout.ResumeRequested{})
				}
			}
		})
	case FleetBudget:
		budget := 1 + e.To%max(1, f.plan.Nodes/2)
		f.budget = max(f.budget, budget)
		for _, o := range f.nodes {
			o.budget = budget
			f.after(f.between(0, e.For), func() { tell(o, rollout.BudgetChanged{Nodes: budget}) })
		}
	case FleetGone:
		if f.plan.Nodes > 2 && !slices.ContainsFunc(f.nodes, func(n *member) bool { return n.gone }) {
			n.gone = true
			kill(n, 0)
		}
	case FleetForget:
		holder, other := f.acted[fleetDuties[0]], e.To
		if holder == other {
			return
		}
		f.cut(4*time.Second, func(a, b int) bool { return a == holder && b == other })
		f.after(f.between(fleetLease, 2*fleetLease), func() {
			for _, o := range f.nodes {
				if o.index != holder && o.index != other {
					kill(o, f.between(10*time.Millisecond, 100*time.Millisecond))
				}
			}
		})
	case FleetReplay:
		for range min(len(f.kept), 40) {
			d := f.kept[f.rng.IntN(len(f.kept))]
			f.after(f.between(0, e.For), func() { f.nodes[d.to].receive(d.from, d.data) })
		}
	}
}

// check looks at what must hold at every moment.
func (f *fleet) check() {
	out := 0
	for _, n := range f.nodes {
		if n.out {
			out++
		}
	}
	if out > f.budget {
		f.broken(OverBudget, "%d nodes are out by agreement, %d may", out, f.budget)
	}
	for _, duty := range fleetDuties {
		holder := lease.NoNode
		for i, n := range f.nodes {
			if !n.up || n.stopped || n.leaving {
				continue
			}
			token, ok := n.lease.Holds(n.clock(), duty)
			if !ok {
				continue
			}
			last, acted := f.acted[duty]
			switch {
			case holder != lease.NoNode:
				f.broken(TwoHolders, "nodes %d and %d both have %s", holder, i, duty)
			case token < f.tokens[duty] || token == f.tokens[duty] && acted && last != i:
				f.broken(OldToken, "node %d has %s under %d, after %d had it under %d", i, duty, token, last, f.tokens[duty])
			}
			holder, f.acted[duty], f.tokens[duty] = i, i, token
		}
	}
}

// settled looks at what must hold when all faults are long over.
func (f *fleet) settled() {
	gone := 0
	for _, n := range f.nodes {
		if n.gone {
			gone++
		} else if !n.up {
			f.broken(NotBack, "node %d is not there", n.index)
			return
		}
	}
	for _, duty := range fleetDuties {
		if !slices.ContainsFunc(f.nodes, func(n *member) bool { _, ok := n.lease.Holds(n.clock(), duty); return n.up && ok }) {
			f.broken(NoHolder, "nobody has %s", duty)
		}
	}
	for _, n := range f.nodes {
		if n.gone {
			continue
		}
		for i, m := range n.members.Members(n.clock()) {
			here := m.State == membership.Alive.String() || m.State == membership.Suspect.String()
			if here == f.nodes[i].gone {
				f.broken(WrongView, "node %d takes node %d for %s", n.index, i, m.State)
			}
		}
		st := n.rollout.Status(n.clock())
		if st.State != rollout.Ready.String() {
			f.broken(NotBack, "node %d is %s", n.index, st.State)
		}
		if gone > 0 || f.halted || st.Halted != "" {
			continue // nobody else need go
		}
		if len(st.Out) > 0 {
			f.broken(NotBack, "node %d counts out whom it should not: %+v", n.index, st)
		}
		if n.wants || n.runs != n.release && st.WantsDrain {
			f.broken(NotBack, "node %d wanted out and never went: %+v", n.index, st)
		}
	}
}

// ShrinkFleet leaves out one fault after another of a seed's plan for as long as the same rule stays broken.
func ShrinkFleet(seed uint64, rule string) (skip map[int]bool, report *Report) {
	return shrink(DrawFleet(seed, nil).on, rule, func(skip map[int]bool) *Report { return RunFleet(DrawFleet(seed, skip), Options{}) })
}
