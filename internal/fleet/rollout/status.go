package rollout

import "shelfproxy/internal/fleet/agreement"

// noSlot is the value in place of a slot's number if a node has no slot.
const noSlot = -1

// Status is the state of the rollout agreement as this node sees it. The control socket writes it as JSON.
type Status struct {
	Node       int          `json:"node"`
	State      string       `json:"state"`
	WantsDrain bool         `json:"wants_out"`
	Halted     string       `json:"halted,omitempty"` // reason of the halt; empty while the release is not halted
	HaltedBy   int          `json:"halted_by"`        // node that failed, or at which an operator halted the release; -1 while not halted
	Out        []NodeStatus `json:"out"`              // nodes that are out of service or have a slot, in the order of their indices
	Ready      int          `json:"fit"`              // number of nodes that are ready and have no slot
	Budget     int          `json:"budget"`
}

// NodeStatus is the status of one node that is out of service, or that has a slot to go out of service.
type NodeStatus struct {
	Node  int    `json:"node"`
	State string `json:"state"` // text of a State; "silent": sends no heartbeats; "unknown": none has arrived yet
	Slot  int    `json:"slot"`  // number of the slot; -1 if the node has none
}

// Status returns which nodes are out of service or have a slot, and why the release is halted, if it is.
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

// slotOf returns the slot that a node has, as far as this node knows, or noSlot.
func (c *Core) slotOf(node int) int {
	slot := noSlot
	for _, record := range c.grants {
		if int(record.Holder) == node {
			slot = int(record.Slot)
		}
	}
	return slot
}
