package rollout

import "slices"

// peer is what is known of another node by its heartbeats.
type peer struct {
	lastSeen    Time // when its last heartbeat arrived, or this node started
	hasReported bool // a heartbeat arrived since this node started
	knowsGrants bool // one that arrived was from a node that granted slots itself, so that its table was complete

	// Of the last heartbeat.
	incarnation uint64
	sequence    uint32
	state       State
	health      health

	lastDone uint32 // its requests of this incarnation up to this number are over
}

// isOutOfService reports whether the node says of itself that it is out of service.
func (p *peer) isOutOfService() bool { return p.hasReported && p.state != Ready }

// isRequestDone reports whether the node said that a request of it is over.
func (p *peer) isRequestDone(incarnation uint64, number uint32) bool {
	return isRequestUpTo(incarnation, number, p.incarnation, p.lastDone)
}

// isRequestUpTo reports whether a request was made by an earlier incarnation, or by the given one up to its request last.
func isRequestUpTo(incarnation uint64, number uint32, of uint64, last uint32) bool {
	return incarnation < of || incarnation == of && number <= last
}

// hurryHeartbeat has the next heartbeat sent at the end of the current step.
func (c *Core) hurryHeartbeat() { c.nextHeartbeat = 0 }

func (c *Core) sendHeartbeat(now Time) {
	c.nextHeartbeat = now + c.cfg.HeartbeatInterval
	c.heartbeatsSent++
	beat := heartbeat{
		Incarnation:  c.cfg.Incarnation,
		Sequence:     c.heartbeatsSent,
		State:        c.state,
		IsAbstaining: c.isAbstaining(now),
		LastDone:     c.request.lastDone,
		Release:      c.release,
		Halt:         c.halt,
		Order:        c.order,
		Health:       c.ownHealth(),
	}
	for _, record := range c.grants {
		beat.Grants = append(beat.Grants, record.grant)
	}
	c.emit(Send{AllNodes, beat.encode()})
}

func (c *Core) handleHeartbeat(now Time, from int, beat heartbeat) {
	sender := &c.peers[from]
	if sender.isStale(beat) {
		return
	}
	wasAbstaining := c.isAbstaining(now)
	sender.update(now, beat)
	if beat.State == Ready {
		c.checkInstalledRelease(from, beat)
		c.releaseSlots(from, beat.Incarnation, beat.LastDone) // all of its earlier processes, and what is over of this one
	}
	c.mergeHalt(beat.Halt)
	c.mergeOrder(beat.Order)
	if wasAbstaining {
		c.learnGrants(now, beat.Grants)
	}
}

// isStale reports whether a heartbeat was delayed or duplicated.
func (p *peer) isStale(beat heartbeat) bool {
	return beat.Incarnation < p.incarnation ||
		beat.Incarnation == p.incarnation && beat.Sequence <= p.sequence && p.hasReported
}

func (p *peer) update(now Time, beat heartbeat) {
	if beat.Incarnation > p.incarnation {
		p.lastDone = 0
	}
	p.lastSeen, p.hasReported = now, true
	p.incarnation, p.sequence = beat.Incarnation, beat.Sequence
	p.state, p.health = beat.State, beat.Health
	p.lastDone = max(p.lastDone, beat.LastDone)
	p.knowsGrants = p.knowsGrants || !beat.IsAbstaining
}

// learnGrants takes over what another node granted, while this node does not know what it granted itself before it
// started. What its holder has since released is left out.
func (c *Core) learnGrants(now Time, grants []grant) {
	for _, learned := range grants {
		if int(learned.Holder) >= c.cfg.Nodes || c.hasSlot(int(learned.Holder)) || c.isReleased(learned) {
			continue
		}
		c.grants = append(c.grants, grantRecord{grant: learned, grantedAt: now})
	}
}

// isReleased reports whether the holder of a slot, another node or this one, has released it.
func (c *Core) isReleased(slot grant) bool {
	holder := int(slot.Holder)
	if holder == c.cfg.Self {
		return c.state == Ready && slot.Incarnation < c.cfg.Incarnation ||
			slot.Incarnation == c.cfg.Incarnation && slot.Request <= c.request.lastDone
	}
	peer := &c.peers[holder]
	return peer.hasReported && peer.state == Ready && peer.isRequestDone(slot.Incarnation, slot.Request)
}

// isUnresponsive reports whether another node has sent no heartbeat for too long.
func (c *Core) isUnresponsive(now Time, node int) bool {
	return node != c.cfg.Self && now-c.peers[node].lastSeen >= c.cfg.UnresponsiveAfter
}

// hasSlot reports whether a node has a slot as far as this node knows.
func (c *Core) hasSlot(node int) bool {
	return slices.ContainsFunc(c.grants, func(record grantRecord) bool { return int(record.Holder) == node })
}
