package membership

import "time"

// SuspicionTimeout is how long a node is suspected before it is dead.
func (c *Core) SuspicionTimeout() time.Duration {
	return time.Duration(c.cfg.SuspicionFactor * c.fleetLogarithm() * float64(c.cfg.ProbeInterval))
}

// suspectUnresponsive suspects the node that was probed in the period that ends now, unless it acknowledged the ping or sent
// anything else since.
func (c *Core) suspectUnresponsive(now Time) {
	if !c.probe.isPending {
		return
	}
	node := c.probe.node
	if m := c.members[node]; m.state == Alive && m.lastSeen < c.probe.sentAt {
		c.changeState(now, node, Suspect)
	}
}

// expireSuspects declares the nodes dead that have been suspected for too long.
func (c *Core) expireSuspects(now Time) {
	for node, m := range c.members {
		if m.state == Suspect && now-m.since >= c.SuspicionTimeout() {
			c.changeState(now, node, Dead)
		}
	}
}

// changeState puts a node into another state by this node's own observation.
func (c *Core) changeState(now Time, node int, state State) {
	u := c.members[node].update(node)
	u.state = state
	c.apply(now, u)
}

// apply takes an update about a node if it is newer than what is known.
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
		state:         u.state,
		incarnation:   u.incarnation,
		refutations:   u.refutations,
		since:         since,
		transmissions: c.maxTransmissions(),
		lastSeen:      previous.lastSeen,
	}
	if previous.state != u.state || previous.incarnation != u.incarnation {
		c.emit(StateChanged{Node: node, From: previous.state, To: u.state, Incarnation: u.incarnation})
	}
}

// refute takes an update about this node. If it says that the node is not alive or that it is another process, this node's next
// datagrams override it.
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
