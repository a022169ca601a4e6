package membership

import (
	"cmp"
	"math"
	"slices"
)

// transmissionFactor, times the logarithm of the fleet's size, is how often a node passes on one update.
const transmissionFactor = 3.0

func (c *Core) maxTransmissions() int { return int(math.Ceil(transmissionFactor * c.fleetLogarithm())) }

// send sends a message with as many updates as fit.
func (c *Core) send(to int, m message) {
	m.peerListID = c.cfg.PeerListID
	for _, node := range c.nodesToAnnounce(to) {
		m.updates = append(m.updates, c.members[node].update(node))
		c.countTransmission(node)
	}
	c.emit(Send{To: to, Data: m.encode()})
}

// nodesToAnnounce returns the nodes about which a datagram holds updates: this node first, then the receiver if it is suspect or
// dead, so that it can refute it, and then those whose updates were sent least often so far.
func (c *Core) nodesToAnnounce(receiver int) []int {
	nodes := []int{c.cfg.Self}
	if state := c.members[receiver].state; state == Suspect || state == Dead {
		nodes = append(nodes, receiver)
	}
	var pending []int
	for node, m := range c.members {
		if m.transmissions > 0 && !slices.Contains(nodes, node) {
			pending = append(pending, node)
		}
	}
	slices.SortStableFunc(pending, func(a, b int) int { return cmp.Compare(c.members[b].transmissions, c.members[a].transmissions) })
	capacity := maxUpdates - len(nodes)
	return append(nodes, pending[:min(len(pending), capacity)]...)
}

// countTransmission notes that an update about a node was sent once more.
func (c *Core) countTransmission(node int) {
	if m := &c.members[node]; node != c.cfg.Self && m.transmissions > 0 {
		m.transmissions--
	}
}
