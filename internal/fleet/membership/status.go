package membership

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// lastSeenRounds is for how many rounds FleetSize still counts a node after the last datagram from it. In one round a node pings
// the whole list. Within lastSeenRounds rounds every node receives a datagram from every other running node.
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

// FleetSize returns how many nodes share the work, this one included. It returns 0 if no majority of the list is present: in a
// partitioned fleet each part takes all nodes of the other parts for dead, while clients still reach them all.
//
// It counts the nodes that are alive or suspect. It also counts the nodes from which this node received a datagram recently,
// whatever others say about them, so that no other node can make the number smaller. Soon after the list of nodes came into use it
// also counts the unknown nodes, because this node has not had the time to learn of them.
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

// reportFleetSize emits FleetSizeChanged if the fleet's size has changed.
func (c *Core) reportFleetSize(now Time) {
	if nodes := c.FleetSize(now); nodes != c.fleetSize {
		c.fleetSize = nodes
		c.emit(FleetSizeChanged{Nodes: nodes})
	}
}
