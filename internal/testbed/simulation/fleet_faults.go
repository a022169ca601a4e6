package simulation

import (
	"slices"
	"strconv"
	"time"

	"shelfproxy/internal/fleet/rollout"
)

// releases are the two releases that operators order. All nodes start with r1, so an order of r1 is a rollback.
var releases = [2]string{"r2", "r1"}

// maxReplayed limits how many recorded datagrams one FleetReplay fault sends again.
const maxReplayed = 40

// inject applies a fault of the plan.
func (f *fleet) inject(fault FleetFault) {
	target := f.nodes[fault.Node]
	f.logEvent("fault", fault.Kind.String(), strconv.Itoa(fault.Node), strconv.Itoa(fault.To), fault.For.String())
	switch fault.Kind {
	case FleetKill, FleetTerm, FleetStop, FleetKillAll, FleetClockBack, FleetRemove:
		f.injectProcessFault(target, fault)
	case FleetOneWayPartition, FleetIsolate, FleetSplit, FleetForgetHolder, FleetReplay:
		f.injectNetworkFault(fault)
	case FleetDrain, FleetRelease, FleetHalt, FleetBudget:
		f.injectOrder(target, fault)
	}
}

// injectProcessFault applies a fault that ends, stops or removes processes of nodes.
func (f *fleet) injectProcessFault(target *fleetNode, fault FleetFault) {
	switch fault.Kind {
	case FleetKill:
		f.crash(target, fault.For)
	case FleetTerm:
		if target.isUp && !target.isEnding {
			f.report.Restarts++
			target.schedule(0, target.shutDown)
		}
	case FleetStop:
		target.suspend(2 * fault.For)
	case FleetKillAll:
		for _, node := range f.nodes {
			f.crash(node, f.drawBetween(0, fault.For))
		}
	case FleetClockBack: // fencing tokens are made from dates: they stay in order only if a clock is set back by less than the time for which another node holds a lease
		target.clockOffset = f.drawBetween(0, fleetLeaseDuration/2)
		f.crash(target, fault.For)
	case FleetRemove:
		anyRemoved := slices.ContainsFunc(f.nodes, func(node *fleetNode) bool { return node.isRemoved })
		if f.plan.Nodes > 2 && !anyRemoved {
			target.isRemoved = true
			f.crash(target, 0)
		}
	}
}

// injectNetworkFault applies a fault that drops datagrams between some nodes, or sends old datagrams again.
func (f *fleet) injectNetworkFault(fault FleetFault) {
	switch fault.Kind {
	case FleetOneWayPartition:
		f.partition(2*fault.For, func(from, to int) bool { return from == fault.Node && to == fault.To })
	case FleetIsolate:
		f.partition(2*fault.For, func(from, to int) bool { return from == fault.Node || to == fault.Node })
	case FleetSplit:
		f.partition(2*fault.For, func(from, to int) bool { return (from <= fault.To) != (to <= fault.To) })
	case FleetForgetHolder:
		f.forgetHolder(fault.To)
	case FleetReplay:
		for range min(len(f.recorded), maxReplayed) {
			old := f.recorded[f.rng.IntN(len(f.recorded))]
			f.after(f.drawBetween(0, fault.For), func() { f.nodes[old.to].receive(old.from, old.data) })
		}
	}
}

// forgetHolder makes the nodes that granted a lease forget its holder. isolated is the index of a node: for 4 s, datagrams from
// the holder to this node are dropped. Meanwhile, all nodes except the holder and the isolated node are restarted. So the
// isolated node hears nothing from the holder, and the restarted nodes no longer know what they granted.
func (f *fleet) forgetHolder(isolated int) {
	holder := f.lastHolder[fleetResources[0]]
	if holder == isolated {
		return
	}
	f.partition(4*time.Second, func(from, to int) bool { return from == holder && to == isolated })
	f.after(f.drawBetween(fleetLeaseDuration, 2*fleetLeaseDuration), func() {
		for _, node := range f.nodes {
			if node.index != holder && node.index != isolated {
				f.crash(node, f.drawBetween(10*time.Millisecond, 100*time.Millisecond))
			}
		}
	})
}

// injectOrder applies a fault that stands for an action of an operator: a drain, a release, a halt or a change of the drain budget.
func (f *fleet) injectOrder(target *fleetNode, fault FleetFault) {
	switch fault.Kind {
	case FleetDrain:
		if target.isUp && !target.isEnding && !target.isStopped {
			target.wantsDrain = true
		}
		target.order(rollout.DrainRequested{})
	case FleetRelease:
		if !target.isUp || target.isEnding || target.isStopped {
			return // this fault does nothing: an operator would see that this node cannot take the order, and would give it to another node
		}
		release := releases[fault.To%len(releases)]
		for _, node := range f.nodes {
			node.installedRelease = release
		}
		target.order(rollout.ReleaseOrdered{Release: release})
	case FleetHalt:
		target.order(rollout.HaltRequested{})
		f.pendingHalts++
		f.after(fault.For, f.endHalt)
	case FleetBudget:
		budget := 1 + fault.To%max(1, f.plan.Nodes/2)
		f.budget = max(f.budget, budget)
		for _, node := range f.nodes {
			node.budget = budget
			f.after(f.drawBetween(0, fault.For), func() { node.order(rollout.BudgetChanged{Budget: budget}) })
		}
	}
}

// endHalt ends one operator's halt. When the last halt has ended, it resumes the rollout at every node.
func (f *fleet) endHalt() {
	f.pendingHalts--
	if f.pendingHalts > 0 {
		return
	}
	for _, node := range f.nodes {
		node.order(rollout.ResumeRequested{})
	}
}

// crash kills a node's process, unless the process is already shutting down. The next process starts after restartAfter.
func (f *fleet) crash(node *fleetNode, restartAfter time.Duration) {
	if !node.isUp || node.isEnding {
		return
	}
	f.report.Kills++
	node.kill()
	f.after(restartAfter, node.start)
}

// order delivers an operator's order to a node. A node that is down or shutting down does not receive the order.
func (n *fleetNode) order(event rollout.Event) {
	if !n.isUp || n.isEnding {
		return
	}
	n.schedule(0, func() {
		if !n.isEnding {
			n.stepRollout(event)
		}
	})
}
