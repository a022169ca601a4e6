package rollout

import "shelfproxy/internal/fleet/agreement"

// noSlot in place of a slot's number says that a node has none.
const noSlot = -1

// Status is the agreement as this node sees it. The control socket writes it as JSON.
type Status struct {
	Node       int          `json:"node"`
	State      string       `json:"state"`
	WantsDrain bool         `json:"wants_out"`
	Halted     string       `json:"halted,omitempty"` // the reason
	HaltedBy   int          `json:"halted_by"`        // the node that it is about; -1 while nothing is halted
	Out        []NodeStatus `json:"out"`              // by their numbers
	Ready      int          `json:"fit"`              // nodes that are ready and have no slot
	Budget     int          `json:"budget"`
}

// NodeStatus is one node that is out of service, or has a slot to go out.
type NodeStatus struct {
	Node  int    `json:"node"`
	State string `json:"state"` // of State, "silent" or "unknown"
	Slot  int    `json:"slot"`  // -1 without one
}

// Status returns which nodes are out of service, and why no further one may go.
func (c *Core) Status(now Time) Status {
	status := Status{
		Node:       c.cfg.Self,
		State:      c.state.String(),
		WantsDrain: c.wantsDrain(now),
		HaltedBy:   agreement.NoNode,
		Out:        []NodeStatus{},
		Budget:     c.cfg.Budget,
	}
	if c.halt.IsHalted {
		status.Halted, status.HaltedBy = c.halt.Reason.String(), int(c.halt.Node)
	}
	for i := range c.peers {
		node := NodeStatus{Node: i, State: c.stateName(now, i), Slot: c.slotOf(i)}
		if node.State == Ready.String() && node.Slot == noSlot {
			status.Ready++
		} else {
			status.Out = append(status.Out, node)
		}
	}
	return status
}

// stateName returns the state of a node, which may be this one, as far as it is known.
func (c *Core) stateName(now Time, node int) string {
	switch {
	case node == c.cfg.Self:
		return c.state.String()
	case c.isUnresponsive(now, node):
		return "silent"
	case !c.peers[node].hasReported:
		return "unknown"
	}
	return c.peers[node].state.String()
}

// slotOf returns the slot that a node has as far as this node knows, or noSlot.
func (c *Core) slotOf(node int) int {
	slot := noSlot
	for _, record := range c.grants {
		if int(record.Holder) == node {
			slot = int(record.Slot)
		}
	}
	return slot
}
