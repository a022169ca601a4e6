package simulation

import (
	"slices"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
)

// Names of the invariants of leases, drains and membership, as reports print them.
const (
	// InvariantOneHolder means that at any time at most one node holds a lease, as the lease cores of the nodes see it.
	InvariantOneHolder = "two-holders"
	// InvariantTokenOrder means that each new holder of a lease has a greater fencing token than the previous holder.
	InvariantTokenOrder = "old-token"
	// InvariantDrainBudget means that the number of nodes that are out of service by a granted drain is never above the
	// drain budget.
	InvariantDrainBudget = "over-budget"
	// InvariantHolderExists means that each lease has a holder again some time after the last fault.
	InvariantHolderExists = "no-holder"
	// InvariantAllBack means that, some time after the last fault, all nodes that were not removed are in service. Nodes
	// that were asked to drain have drained before that.
	InvariantAllBack = "not-back"
	// InvariantMembership means that, some time after the last fault, all nodes agree that exactly the nodes that were not
	// removed are members.
	InvariantMembership = "wrong-view"
	// InvariantDatagramSize means that a datagram has at most maxDatagram bytes.
	InvariantDatagramSize = "datagram-256"
)

// checkAlways checks the invariants that have to hold at any time. It is called after every step of the run.
func (f *fleet) checkAlways() {
	out := 0
	for _, node := range f.nodes {
		if node.isOut {
			out++
		}
	}
	if out > f.budget {
		f.violation(InvariantDrainBudget, "%d nodes are out by agreement, %d may", out, f.budget)
	}
	for _, resource := range fleetResources {
		f.checkHolder(resource)
	}
}

// checkHolder checks that at most one node holds the lease of a resource. A new holder must have a greater fencing token than the
// previous holder.
func (f *fleet) checkHolder(resource string) {
	holder := lease.NoNode
	for i, node := range f.nodes {
		if !node.isUp || node.isStopped || node.isEnding {
			continue
		}
		token, held := node.lease.Holds(node.clock(), resource)
		if !held {
			continue
		}
		last, anyBefore := f.lastHolder[resource]
		switch {
		case holder != lease.NoNode:
			f.violation(InvariantOneHolder, "nodes %d and %d both have %s", holder, i, resource)
		case token < f.lastToken[resource] || token == f.lastToken[resource] && anyBefore && last != i:
			f.violation(InvariantTokenOrder, "node %d has %s under %d, after %d had it under %d", i, resource, token, last, f.lastToken[resource])
		}
		holder, f.lastHolder[resource], f.lastToken[resource] = i, i, token
	}
}

// checkSettled checks the invariants that have to hold some time after the last fault.
func (f *fleet) checkSettled() {
	removed := 0
	for _, node := range f.nodes {
		if node.isRemoved {
			removed++
		} else if !node.isUp {
			f.violation(InvariantAllBack, "node %d is not there", node.index)
			return
		}
	}
	for _, resource := range fleetResources {
		isHeld := slices.ContainsFunc(f.nodes, func(node *fleetNode) bool {
			_, held := node.lease.Holds(node.clock(), resource)
			return node.isUp && held
		})
		if !isHeld {
			f.violation(InvariantHolderExists, "nobody has %s", resource)
		}
	}
	for _, node := range f.nodes {
		if node.isRemoved {
			continue
		}
		f.checkMembers(node)
		f.checkRollout(node, removed > 0)
	}
}

// checkMembers checks the view of one node: exactly the nodes that were not removed have to be members.
func (f *fleet) checkMembers(node *fleetNode) {
	for i, member := range node.membership.Members(node.clock()) {
		isMember := member.State == membership.Alive.String() || member.State == membership.Suspect.String()
		if isMember == f.nodes[i].isRemoved {
			f.violation(InvariantMembership, "node %d takes node %d for %s", node.index, i, member.State)
		}
	}
}

// checkRollout checks that a node is in service. If the rollout had no reason to stop (a removed node or a halt), checkRollout
// also checks that the node no longer waits to drain, and that it counts no node as out of service.
func (f *fleet) checkRollout(node *fleetNode, anyRemoved bool) {
	status := node.rollout.Status(node.clock())
	if status.State != rollout.Ready.String() {
		f.violation(InvariantAllBack, "node %d is %s", node.index, status.State)
	}
	if anyRemoved || f.haltedForHealth || status.Halted != "" {
		return // the rollout had a reason to stop, so nodes may still wait to drain
	}
	if len(status.Out) > 0 {
		f.violation(InvariantAllBack, "node %d counts out whom it should not: %+v", node.index, status)
	}
	if node.wantsDrain || node.runningRelease != node.installedRelease && status.WantsDrain {
		f.violation(InvariantAllBack, "node %d wanted out and never went: %+v", node.index, status)
	}
}
