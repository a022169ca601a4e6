package membership

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// lastSeenRounds is the number of rounds for which FleetSize counts a node after the last datagram from that node. In one round a
// node pings each node of the list once. Within lastSeenRounds rounds every node receives a datagram from every other running
// node.
const lastSeenRounds = 2

// Member is the state of one node as this node knows it. The control socket returns it as JSON.
type Member struct {
	Node        int           `json:"node"`
	State       string        `json:"state"`
	Incarnation uint64        `json:"started_ms"`
	Duration    time.Duration `json:"for_ns"` // time since the node entered the state
}

// Members returns the states of all nodes of the list, by index.
func (c *Core) Members(now Time) []Member {
	members := make([]Member, len(c.members))
	for node, m := range c.members {
		members[node] = Member{Node: node, State: m.state.String(), Incarnation: m.incarnation, Duration: now - m.since}
	}
	return members
}

// FleetSize returns how many nodes share the work, this one included. It returns 0, for unknown, if this node believes that less
// than a majority of the list is running. Otherwise, in a partitioned fleet, each part would take only its own nodes for running,
// while clients still reach the nodes of all parts.
//
// FleetSize counts the nodes that are alive or suspect. It also counts the nodes from which this node received a datagram
// recently, even if other nodes say that they are dead. So a wrong update from another node cannot make the number smaller. Soon
// after the list of nodes came into use, FleetSize also counts the nodes whose state is unknown, because this node has had no
// time to learn their state.
func (c *Core) FleetSize(now Time) int {
	recent := lastSeenRounds * time.Duration(len(c.probeOrder)) * c.cfg.ProbeInterval
	isStarting := now-c.peersSince < recent+c.SuspicionTimeout()
	present, notYetKnown := 0, 0
	for node, m := range c.members {
		wasSeen := m.lastSeen > 0 && now-m.lastSeen < recent
		switch {
		case node == c.cfg.Self || m.state.isPresent() || wasSeen:
			present++
		case m.state == Unknown && isStarting:
			notYetKnown++
		}
	}
	if present < agreement.Majority(c.cfg.Nodes) {
		return 0
	}
	return present + notYetKnown
}

// reportFleetSize emits FleetSizeChanged if FleetSize has changed since the last such effect.
func (c *Core) reportFleetSize(now Time) {
	if nodes := c.FleetSize(now); nodes != c.fleetSize {
		c.fleetSize = nodes
		c.emit(FleetSizeChanged{Nodes: nodes})
	}
}
