package simulation

import (
	"slices"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
)

// The invariants of the fleet's agreements, by the names that reports use.
const (
	// InvariantOneHolder: at most one node would act under a lease.
	InvariantOneHolder = "two-holders"
	// InvariantTokenOrder: whoever acts under a lease has a greater fencing token than whoever acted before.
	InvariantTokenOrder = "old-token"
	// InvariantDrainBudget: no more nodes are out of service by agreement than the budget allows.
	InvariantDrainBudget = "over-budget"
	// InvariantHolderExists: after the faults each lease has a holder again.
	InvariantHolderExists = "no-holder"
	// InvariantAllBack: after the faults all nodes are in service, and those that wanted to drain have done so.
	InvariantAllBack = "not-back"
	// InvariantMembership: after the faults all nodes agree on who is a member.
	InvariantMembership = "wrong-view"
	// InvariantDatagramSize: a datagram has at most maxDatagram bytes.
	InvariantDatagramSize = "datagram-256"
)

// checkAlways checks what has to hold after every step.
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

// checkHolder checks that one node at most holds a lease, under a token that is greater than those before.
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

// checkSettled checks what has to hold some time after the last fault.
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

// checkMembers checks that a node takes those for members that are there.
func (f *fleet) checkMembers(node *fleetNode) {
	for i, member := range node.membership.Members(node.clock()) {
		isMember := member.State == membership.Alive.String() || member.State == membership.Suspect.String()
		if isMember == f.nodes[i].isRemoved {
			f.violation(InvariantMembership, "node %d takes node %d for %s", node.index, i, member.State)
		}
	}
}

// checkRollout checks that a node is in service and, unless the rollout had a reason to stop, has had its turn.
func (f *fleet) checkRollout(node *fleetNode, anyRemoved bool) {
	status := node.rollout.Status(node.clock())
	if status.State != rollout.Ready.String() {
		f.violation(InvariantAllBack, "node %d is %s", node.index, status.State)
	}
	if anyRemoved || f.haltedForHealth || status.Halted != "" {
		return // no other node has to drain
	}
	if len(status.Out) > 0 {
		f.violation(InvariantAllBack, "node %d counts out whom it should not: %+v", node.index, status)
	}
	if node.wantsDrain || node.runningRelease != node.installedRelease && status.WantsDrain {
		f.violation(InvariantAllBack, "node %d wanted out and never went: %+v", node.index, status)
	}
}
