package membership

import (
	"cmp"
	"math"
	"slices"
)

// transmissionFactor, multiplied by log2(Nodes+1), is the number of datagrams in which a node passes on one update.
const transmissionFactor = 3.0

func (c *Core) maxTransmissions() int { return int(math.Ceil(transmissionFactor * c.fleetLogarithm())) }

// send sends a message to a node. It adds as many updates about the states of nodes as fit into the datagram.
func (c *Core) send(to int, m message) {
	m.peerListID = c.cfg.PeerListID
	for _, node := range c.nodesToAnnounce(to) {
		m.updates = append(m.updates, c.members[node].update(node))
		c.countTransmission(node)
	}
	c.emit(Send{To: to, Data: m.encode()})
}

// nodesToAnnounce returns the nodes about which a datagram to the receiver holds updates. This node comes first, then the
// receiver if it is suspect or dead, so that the receiver learns of the suspicion and can refute it. The nodes whose updates were
// sent least often so far fill the rest.
func (c *Core) nodesToAnnounce(receiver int) []int {
	nodes := []int{c.cfg.Self}
	if state := c.members[receiver].state; state == Suspect || state == Dead {
		nodes = append(nodes, receiver)
	}
	var pending []int
	for node, m := range c.members {
		if m.sendsLeft > 0 && !slices.Contains(nodes, node) {
			pending = append(pending, node)
		}
	}
	slices.SortStableFunc(pending, func(a, b int) int { return cmp.Compare(c.members[b].sendsLeft, c.members[a].sendsLeft) })
	capacity := maxUpdates - len(nodes)
	return append(nodes, pending[:min(len(pending), capacity)]...)
}

// countTransmission records that the update about a node was sent once more. Updates about this node itself are not counted,
// because every datagram holds one.
func (c *Core) countTransmission(node int) {
	if m := &c.members[node]; node != c.cfg.Self && m.sendsLeft > 0 {
		m.sendsLeft--
	}
}
