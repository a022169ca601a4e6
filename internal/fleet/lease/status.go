package lease

import "time"

// Status is the lease on one resource as this node sees it. The control socket writes it as JSON.
type Status struct {
	Resource   string        `json:"duty"`
	Holder     int           `json:"holder"` // index of the holder; -1 if this node knows of none
	Token      uint64        `json:"token"`
	IsHeldHere bool          `json:"mine"`
	HeldFor    time.Duration `json:"held_for_ns,omitempty"` // how long this node has held the lease; 0 if it does not hold it
	// State is held, asking (this node requests the lease), waiting (this node will request the lease), abstains (this node
	// has just started or got new peers, and may not grant leases yet) or idle.
	State string `json:"state"`
}

// Status returns the status of the leases on all resources, in the order of Config.Resources.
func (c *Core) Status(now Time) []Status {
	var all []Status
	for _, r := range c.resources {
		all = append(all, c.status(now, r))
	}
	return all
}

func (c *Core) status(now Time, r *resource) Status {
	status := Status{Resource: r.name, Holder: r.holder.node, Token: r.holder.token, State: "idle"}
	_, isHolder := c.Holds(now, r.name)
	switch {
	case isHolder:
		status.IsHeldHere, status.HeldFor, status.State = true, now-r.own.acquiredAt, "held"
	case r.own.token != 0:
		status.State = "asking"
	case c.isAbstaining(now):
		status.State = "abstains"
	case r.own.nextRequest > 0:
		status.State = "waiting"
	}
	return status
}
