package membership

import "time"

// SuspicionTimeout returns how long a node is suspected before it is declared dead.
func (c *Core) SuspicionTimeout() time.Duration {
	return time.Duration(c.cfg.SuspicionFactor * c.fleetLogarithm() * float64(c.cfg.ProbeInterval))
}

// suspectUnresponsive is called at the end of a period. It marks the node that was pinged in this period as suspect, unless an
// ack or any other datagram from that node has arrived since the ping.
func (c *Core) suspectUnresponsive(now Time) {
	if !c.probe.isPending {
		return
	}
	node := c.probe.node
	if m := c.members[node]; m.state == Alive && m.lastSeen < c.probe.sentAt {
		c.changeState(now, node, Suspect)
	}
}

// expireSuspects declares dead the nodes that have been suspected for SuspicionTimeout.
func (c *Core) expireSuspects(now Time) {
	for node, m := range c.members {
		if m.state == Suspect && now-m.since >= c.SuspicionTimeout() {
			c.changeState(now, node, Dead)
		}
	}
}

// changeState sets the state of another node because of what this node itself observed, not because of a received update.
func (c *Core) changeState(now Time, node int, state State) {
	u := c.members[node].update(node)
	u.state = state
	c.apply(now, u)
}

// apply takes over the state in an update about another node if the update is newer than what is known. An update about this node
// itself is refuted if it is wrong.
func (c *Core) apply(now Time, u update) {
	if u.state == Unknown || u.state >= numStates {
		return
	}
	node := int(u.node)
	if node == c.cfg.Self {
		c.refute(u)
		return
	}
	previous := c.members[node]
	if !previous.isOverriddenBy(u) {
		return
	}
	since := now
	if previous.state == u.state {
		since = previous.since
	}
	c.members[node] = member{
		state:       u.state,
		incarnation: u.incarnation,
		refutations: u.refutations,
		since:       since,
		sendsLeft:   c.maxTransmissions(),
		lastSeen:    previous.lastSeen,
	}
	if previous.state != u.state || previous.incarnation != u.incarnation {
		c.emit(StateChanged{Node: node, From: previous.state, To: u.state, Incarnation: u.incarnation})
	}
}

// refute handles an update about this node. If the update says that this node is not alive, or has a later incarnation, this node
// raises its number of refutations or its incarnation, so that its next datagrams override the update.
func (c *Core) refute(u update) {
	self := &c.members[c.cfg.Self]
	switch {
	case u.incarnation > self.incarnation:
		c.emit(IncarnationConflict{Incarnation: u.incarnation})
		self.incarnation, self.refutations = u.incarnation+1, 0
	case u.incarnation == self.incarnation && u.state != Alive && refutationsAhead(u.refutations, self.refutations) >= 0:
		self.refutations = u.refutations + 1
	}
}
