package rollout

import (
	"slices"

	"shelfproxy/internal/fleet/agreement"
)

// ownRequest is this node's own request for a slot.
type ownRequest struct {
	slotRequest      // the last request that this node made
	isPending   bool // the request waits for a majority of grants
	startedAt   Time
	sentAt      Time // when the pending request was last sent
	granted     map[int]bool
	denied      map[int]bool
	isGranted   bool
	expiresAt   Time   // if isGranted: until when this node may begin to drain
	lastDone    uint32 // all requests up to this number are finished
	nextAttempt Time   // earliest time for the next request
}

// advanceRequest requests a slot if this node wants to drain, with new requests until one is granted. It abandons a request or
// slot that this node no longer needs, or whose time is over.
func (c *Core) advanceRequest(now Time) {
	request := &c.request
	switch {
	case c.state == Draining:
	case !c.wantsDrain(now):
		if request.isPending || request.isGranted { // the order to run another release was withdrawn: the slot must become free for other nodes
			c.abandonRequest(now, ReasonRequestExpired)
		}
	case request.isGranted:
		if now >= request.expiresAt { // this node did not drain in time: another node may have the slot by now
			c.abandonRequest(now, ReasonRequestExpired)
		}
	case request.isPending:
		c.continueRequest(now)
	case now >= request.nextAttempt && !c.halt.IsHalted:
		c.startRequest(now)
	}
}

// continueRequest abandons a pending request that timed out or that too many nodes denied. It sends any other pending request
// again every half HeartbeatInterval, as datagrams may be lost.
func (c *Core) continueRequest(now Time) {
	request := &c.request
	hasTimedOut := now-request.startedAt >= c.holderTimeout()/2
	isDeniedByTooMany := len(request.denied) > c.cfg.Nodes-c.majority()
	switch {
	case hasTimedOut || isDeniedByTooMany:
		c.abandonRequest(now, ReasonSlotTaken)
	case now-request.sentAt >= c.cfg.HeartbeatInterval/2:
		request.sentAt = now
		c.emit(Send{AllNodes, request.encode()})
	}
}

// holderTimeout returns how long after its request this node may begin to drain, by its own clock. This is shorter than a
// RequestTimeout, as this node's clock may be slow.
func (c *Core) holderTimeout() Time {
	return agreement.HolderTimeout(c.cfg.RequestTimeout, c.cfg.MaxClockDrift)
}

// startRequest requests a slot of the fleet, and a slot of the zone if there is a budget per zone. Both are chosen from the
// slots that are free as far as this node knows. If there is none, this node tries again after a HeartbeatInterval.
func (c *Core) startRequest(now Time) {
	request := &c.request
	zone := uint16(HashName(c.cfg.Zone))
	slot, hasSlot := c.drawFreeSlot(c.cfg.Budget, func(record grantRecord) int { return int(record.Slot) })
	zoneSlot, hasZoneSlot := 0, true
	if c.cfg.ZoneBudget > 0 {
		zoneSlot, hasZoneSlot = c.drawFreeSlot(c.cfg.ZoneBudget, func(record grantRecord) int {
			if record.Zone != zone {
				return noSlot
			}
			return int(record.ZoneSlot)
		})
	}
	if !hasSlot || !hasZoneSlot {
		request.nextAttempt = now + c.cfg.HeartbeatInterval
		return
	}
	request.slotRequest = slotRequest{Incarnation: c.cfg.Incarnation, Number: request.Number + 1,
		Slot: uint8(slot), ZoneSlot: uint8(zoneSlot), Zone: zone}
	request.isPending, request.startedAt, request.sentAt = true, now, now
	request.granted, request.denied = map[int]bool{}, map[int]bool{}
	c.log(LogSlotRequested, c.cfg.Self, slot, ReasonGranted)
	c.emit(Send{AllNodes, request.encode()})
	c.countVote(now, c.cfg.Self, c.decide(now, c.cfg.Self, request.slotRequest))
}

// drawFreeSlot returns a random one of the slots from 0 to count-1 that no other node has; ok is false if there is none. The
// function slotOf returns the slot in a record, or noSlot if the record does not count.
func (c *Core) drawFreeSlot(count int, slotOf func(grantRecord) int) (slot int, ok bool) {
	free := make([]int, 0, count)
	for candidate := range count {
		isTaken := slices.ContainsFunc(c.grants, func(record grantRecord) bool {
			return int(record.Holder) != c.cfg.Self && slotOf(record) == candidate
		})
		if !isTaken {
			free = append(free, candidate)
		}
	}
	if len(free) == 0 {
		return 0, false
	}
	return free[c.rng.IntN(len(free))], true
}

func (c *Core) handleAnswer(now Time, from int, answer slotAnswer) {
	request := &c.request
	if request.isPending && answer.Incarnation == c.cfg.Incarnation && answer.Number == request.Number {
		c.countVote(now, from, answer.Reason)
	}
}

// countVote counts one node's answer to the pending request. This node relies on the grants for a RequestTimeout from when it
// first sent the request. This time is shortened by MaxClockDrift, as this node's clock may be slower than the others.
func (c *Core) countVote(now Time, from int, reason Reason) {
	request := &c.request
	if reason != ReasonGranted {
		request.denied[from] = true
		return
	}
	request.granted[from] = true
	delete(request.denied, from)
	expiresAt := request.startedAt + c.holderTimeout()
	if len(request.granted) >= c.majority() && now < expiresAt {
		request.isPending, request.isGranted, request.expiresAt = false, true, expiresAt
		c.log(LogSlotAcquired, c.cfg.Self, int(request.Slot), ReasonGranted)
		c.emit(DrainGranted{expiresAt})
	}
}

// abandonRequest ends the pending or granted request and frees its slot. The next request follows after a random wait of up to
// a RequestTimeout. So two nodes whose requests each got a part of the votes rarely request at the same time again.
func (c *Core) abandonRequest(now Time, reason Reason) {
	request := &c.request
	c.log(LogRequestAbandoned, c.cfg.Self, int(request.Slot), reason)
	request.isPending, request.isGranted, request.lastDone = false, false, request.Number
	c.releaseSlots(c.cfg.Self, c.cfg.Incarnation, request.lastDone)
	request.nextAttempt = now + Time(c.rng.Int64N(int64(c.cfg.RequestTimeout)))
	c.triggerHeartbeat()
}
