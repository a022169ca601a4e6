package membership

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// lastSeenRounds is how many rounds of pings of the whole list a node may send nothing and still counts for FleetSize. In that
// time every node that is running is seen by each other one.
const lastSeenRounds = 2

// Member is the state of one node as this one knows it, in the form of the control socket.
type Member struct {
	Node        int           `json:"node"`
	State       string        `json:"state"`
	Incarnation uint64        `json:"started_ms"`
	Duration    time.Duration `json:"for_ns"` // since it came into the state
}

// Members returns all nodes of the list by their indices.
func (c *Core) Members(now Time) []Member {
	members := make([]Member, len(c.members))
	for node, m := range c.members {
		members[node] = Member{Node: node, State: m.state.String(), Incarnation: m.incarnation, Duration: now - m.since}
	}
	return members
}

// FleetSize is how many nodes share the work, this one among them, or 0 if no majority of the list is present: of a partitioned
// fleet each part has all the others for dead, while clients reach them all.
//
// It counts the nodes that are alive or suspect, those that this node saw itself of late, whatever others say, so that no other
// node can make it smaller, and those of which this node has not had the time to learn.
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

// reportFleetSize emits the fleet's size if it has changed.
func (c *Core) reportFleetSize(now Time) {
	if nodes := c.FleetSize(now); nodes != c.fleetSize {
		c.fleetSize = nodes
		c.emit(FleetSizeChanged{Nodes: nodes})
	}
}
