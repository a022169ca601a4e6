package rollout

import (
	"slices"

	"shelfproxy/internal/fleet/agreement"
)

// grantRecord is a slot that this node granted, or of which it learned that other nodes granted it.
type grantRecord struct {
	grant
	grantedAt  Time   // when this node last granted the slot, or learned that it was granted
	isOverdue  bool   // the release was halted because the holder of the slot did not return
	orderEpoch uint16 // Epoch of the releaseOrder that was valid when the slot was granted
}

// isAbstaining reports whether this node may not grant slots yet, because it does not know what it granted before it started.
// It waits for two things. Requests from before its start have timed out after a RequestTimeout. And enough other nodes must
// have sent it the grants that they know: then each slot that a majority granted is known to at least one of them. An operator's
// resume replaces the second condition.
func (c *Core) isAbstaining(now Time) bool {
	if c.cfg.Nodes == 1 {
		return false
	}
	hasStartedLately := !agreement.HasExpired(now-c.startedAt, c.cfg.RequestTimeout, c.cfg.MaxClockDrift)
	return hasStartedLately || !c.knowsGrants && !c.hasLearnedGrants()
}

// hasLearnedGrants reports whether enough other nodes have sent the grants that they know of.
func (c *Core) hasLearnedGrants() bool {
	reported, knowing := 0, 0
	for i := range c.peers {
		if c.peers[i].hasReported {
			reported++
		}
		if c.peers[i].knowsGrants {
			knowing++
		}
	}
	others := c.cfg.Nodes - 1
	// If the whole fleet starts at once, no single node knows all grants, but heartbeats from all nodes contain all of them.
	return knowing >= min(c.majority(), others) || reported == others
}

// decide decides on a slot request of a node, which may be this one. It returns ReasonGranted after it recorded the grant, or
// else the reason for the denial.
func (c *Core) decide(now Time, from int, request slotRequest) Reason {
	reason := c.evaluateRequest(now, from, request)
	switch reason {
	case ReasonGranted:
		c.recordGrant(now, from, request)
	case ReasonRequestExpired: // not logged: a late datagram of a finished request is normal
	default:
		c.log(LogSlotDenied, from, int(request.Slot), reason)
	}
	return reason
}

// evaluateRequest returns ReasonGranted, or the reason why this node denies a slot request.
func (c *Core) evaluateRequest(now Time, from int, request slotRequest) Reason {
	switch {
	case from != c.cfg.Self && c.peers[from].isRequestDone(request.Incarnation, request.Number):
		return ReasonRequestExpired
	case c.halt.IsHalted:
		return ReasonHalted
	case c.isAbstaining(now):
		return ReasonAbstaining
	case !c.isWithinBudget(request):
		return ReasonOverBudget
	case c.hasNewerGrant(from, request):
		return ReasonRequestExpired // a late request must not replace the grant of a newer request
	case c.isSlotTaken(from, request):
		return ReasonSlotTaken
	case c.isBudgetUsedUp(now, from, request):
		return ReasonOverBudget
	}
	return ReasonGranted
}

// isWithinBudget reports whether the requested slots exist. Slots are numbered from 0, and there are as many as the budget allows.
func (c *Core) isWithinBudget(request slotRequest) bool {
	return int(request.Slot) < c.cfg.Budget && (c.cfg.ZoneBudget == 0 || int(request.ZoneSlot) < c.cfg.ZoneBudget)
}

// hasNewerGrant reports whether this node has granted a later request of the same node.
func (c *Core) hasNewerGrant(from int, request slotRequest) bool {
	return slices.ContainsFunc(c.grants, func(record grantRecord) bool {
		return int(record.Holder) == from && !isRequestUpTo(record.Incarnation, record.Request, request.Incarnation, request.Number)
	})
}

// isSlotTaken reports whether another node has the requested slot of the fleet or the requested slot of the zone.
func (c *Core) isSlotTaken(from int, request slotRequest) bool {
	return slices.ContainsFunc(c.grants, func(record grantRecord) bool {
		if int(record.Holder) == from {
			return false
		}
		return record.Slot == request.Slot || c.isInZone(record, request) && record.ZoneSlot == request.ZoneSlot
	})
}

// isInZone reports whether a granted slot counts against the zone budget of the zone that the request names.
func (c *Core) isInZone(record grantRecord, request slotRequest) bool {
	return c.cfg.ZoneBudget > 0 && record.Zone == request.Zone
}

// isBudgetUsedUp reports whether as many nodes as the budgets allow are out of service, not counting the requesting node.
func (c *Core) isBudgetUsedUp(now Time, from int, request slotRequest) bool {
	out, outInZone := 0, 0
	for _, record := range c.grants {
		if int(record.Holder) == from {
			continue
		}
		out++
		if c.isInZone(record, request) {
			outInZone++
		}
	}
	out += c.countOutWithoutSlot(now, from)
	return out >= c.cfg.Budget || c.cfg.ZoneBudget > 0 && outInZone >= c.cfg.ZoneBudget
}

// countOutWithoutSlot returns how many nodes are out of service without a slot, not counting the node except.
func (c *Core) countOutWithoutSlot(now Time, except int) int {
	hasSlot := make(map[int]bool, len(c.grants))
	for _, record := range c.grants {
		hasSlot[int(record.Holder)] = true
	}
	out := 0
	for node := range c.peers {
		if node != except && !hasSlot[node] && c.isOutOfService(now, node) {
			out++
		}
	}
	return out
}

// isOutOfService reports whether a node, which may be this one, is known to be out of service.
func (c *Core) isOutOfService(now Time, node int) bool {
	if node == c.cfg.Self {
		return c.state != Ready
	}
	return c.isUnresponsive(now, node) || c.peers[node].isOutOfService()
}

// recordGrant records a grant and replaces an earlier grant to the same node.
func (c *Core) recordGrant(now Time, holder int, request slotRequest) {
	record := grantRecord{
		grant: grant{Holder: uint16(holder), Incarnation: request.Incarnation, Request: request.Number,
			Slot: request.Slot, ZoneSlot: request.ZoneSlot, Zone: request.Zone},
		grantedAt:  now,
		orderEpoch: c.order.Epoch,
	}
	index := slices.IndexFunc(c.grants, func(earlier grantRecord) bool { return int(earlier.Holder) == holder })
	if index < 0 || c.grants[index].grant != record.grant {
		c.log(LogSlotGranted, holder, int(request.Slot), ReasonGranted)
	}
	if index < 0 {
		c.grants = append(c.grants, record)
		return
	}
	c.grants[index] = record
}

// releaseSlots releases the slots of a node that were granted to earlier incarnations of the node, and those that were granted
// to the given incarnation by its requests up to number last.
func (c *Core) releaseSlots(node int, incarnation uint64, last uint32) {
	c.grants = slices.DeleteFunc(c.grants, func(record grantRecord) bool {
		isOver := int(record.Holder) == node && isRequestUpTo(record.Incarnation, record.Request, incarnation, last)
		if isOver {
			c.log(LogSlotReleased, node, int(record.Slot), ReasonGranted)
		}
		return isOver
	})
}

// checkHolders halts the release if another node has had its slot for ReturnTimeout, because the node should be back by then. It
// releases a slot that is older than WriteOffAfter if its holder sends no heartbeats.
func (c *Core) checkHolders(now Time) {
	c.grants = slices.DeleteFunc(c.grants, func(record grantRecord) bool {
		holder := int(record.Holder)
		isWrittenOff := now-record.grantedAt >= c.cfg.WriteOffAfter && c.isUnresponsive(now, holder)
		if isWrittenOff {
			c.log(LogSlotExpired, holder, int(record.Slot), ReasonNotReturned)
		}
		return isWrittenOff
	})
	for i := range c.grants {
		record := &c.grants[i]
		if !record.isOverdue && now-record.grantedAt >= c.cfg.ReturnTimeout && int(record.Holder) != c.cfg.Self {
			record.isOverdue = true
			c.raiseHalt(ReasonNotReturned, int(record.Holder))
		}
	}
}
