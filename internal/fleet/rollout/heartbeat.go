package rollout

import "slices"

// peer is what this node knows of another node from its heartbeats.
type peer struct {
	lastSeen    Time // when the last heartbeat of the node arrived; the start of this node if there was none
	hasReported bool // a heartbeat of the node has arrived since this node started
	knowsGrants bool // the node once sent a heartbeat with IsAbstaining false: it had run long enough to know all granted slots

	// Values from the last heartbeat.
	incarnation uint64
	sequence    uint32
	state       State
	health      health

	lastDone uint32 // all requests of the node in this incarnation up to this number are finished
}

// isOutOfService reports whether the last heartbeat of the node says that the node is out of service.
func (p *peer) isOutOfService() bool { return p.hasReported && p.state != Ready }

// isRequestDone reports whether a request of the node is finished, according to the heartbeats of the node.
func (p *peer) isRequestDone(incarnation uint64, number uint32) bool {
	return isRequestUpTo(incarnation, number, p.incarnation, p.lastDone)
}

// isRequestUpTo reports whether a request was made in an incarnation of the node before lastIncarnation, or in lastIncarnation
// with a number up to lastNumber.
func isRequestUpTo(incarnation uint64, number uint32, lastIncarnation uint64, lastNumber uint32) bool {
	return incarnation < lastIncarnation || incarnation == lastIncarnation && number <= lastNumber
}

// triggerHeartbeat makes the core send its next heartbeat at the end of the current step.
func (c *Core) triggerHeartbeat() { c.nextHeartbeat = 0 }

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
		c.releaseSlots(from, beat.Incarnation, beat.LastDone) // the sender is in service: frees the slots of its finished requests
	}
	c.mergeHalt(beat.Halt)
	c.mergeOrder(beat.Order)
	if wasAbstaining {
		c.learnGrants(now, beat.Grants)
	}
}

// isStale reports whether a heartbeat was delayed or duplicated: this heartbeat or a later one of the node has arrived already.
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

// learnGrants adds the grants in another node's heartbeat to the grants that this node knows of. It is called while this node
// does not know what it granted before its start. Slots that their holders have released already are left out.
func (c *Core) learnGrants(now Time, grants []grant) {
	for _, learned := range grants {
		if int(learned.Holder) >= c.cfg.Nodes || c.hasSlot(int(learned.Holder)) || c.isReleased(learned) {
			continue
		}
		c.grants = append(c.grants, grantRecord{grant: learned, grantedAt: now})
	}
}

// isReleased reports whether the holder of a slot, which may be this node, has released the slot.
func (c *Core) isReleased(slot grant) bool {
	holder := int(slot.Holder)
	if holder == c.cfg.Self {
		return c.state == Ready && slot.Incarnation < c.cfg.Incarnation ||
			slot.Incarnation == c.cfg.Incarnation && slot.Request <= c.request.lastDone
	}
	peer := &c.peers[holder]
	return peer.hasReported && peer.state == Ready && peer.isRequestDone(slot.Incarnation, slot.Request)
}

// isUnresponsive reports whether another node has sent no heartbeat for UnresponsiveAfter.
func (c *Core) isUnresponsive(now Time, node int) bool {
	return node != c.cfg.Self && now-c.peers[node].lastSeen >= c.cfg.UnresponsiveAfter
}

// hasSlot reports whether a node has a slot, as far as this node knows.
func (c *Core) hasSlot(node int) bool {
	return slices.ContainsFunc(c.grants, func(record grantRecord) bool { return int(record.Holder) == node })
}
