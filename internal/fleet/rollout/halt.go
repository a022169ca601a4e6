package rollout

import "slices"

// raiseHalt halts the release because of a failure of the given node, unless the release is halted already.
func (c *Core) raiseHalt(reason Reason, node int) {
	if c.halt.IsHalted {
		return
	}
	c.halt = haltState{Epoch: c.halt.Epoch + 1, IsHalted: true, Reason: reason, Node: uint16(node)}
	c.triggerHeartbeat()
	c.log(LogHalted, node, 0, reason)
}

// setHalt halts or resumes the release in the whole fleet, on an operator's request to this node.
func (c *Core) setHalt(isHalted bool, reason Reason) {
	if c.halt.IsHalted == isHalted {
		return
	}
	c.halt = haltState{Epoch: c.halt.Epoch + 1, IsHalted: isHalted, Reason: reason, Node: uint16(c.cfg.Self)}
	c.triggerHeartbeat()
	c.logHalt()
}

// mergeHalt adopts the halt state of another node if its epoch is greater. Two nodes that changed the state at the same time
// have the same epoch: then a halt takes precedence over a resume.
func (c *Core) mergeHalt(other haltState) {
	isNewer := other.Epoch > c.halt.Epoch || other.Epoch == c.halt.Epoch && other.IsHalted && !c.halt.IsHalted
	if !isNewer {
		return
	}
	c.halt = other
	c.triggerHeartbeat()
	c.logHalt()
}

func (c *Core) logHalt() {
	kind := LogResumed
	if c.halt.IsHalted {
		kind = LogHalted
	}
	c.log(kind, int(c.halt.Node), 0, c.halt.Reason)
}

// orderRelease orders the whole fleet to run a release, on an operator's request. The order also ends a halt.
func (c *Core) orderRelease(release string) {
	c.setHalt(false, ReasonOperator)
	c.mergeOrder(releaseOrder{Epoch: c.order.Epoch + 1, Release: HashName(release)})
	c.triggerHeartbeat()
}

// mergeOrder adopts a release order whose epoch is greater than that of the current order.
func (c *Core) mergeOrder(order releaseOrder) {
	if order.Epoch <= c.order.Epoch {
		return
	}
	c.order = order
	c.log(LogReleaseOrdered, c.cfg.Self, 0, ReasonGranted)
}

// checkInstalledRelease halts the release if a node that drained for the current order came back with another release. The
// ordered release is not installed on that node: without the halt, the node would drain again and again.
func (c *Core) checkInstalledRelease(from int, beat heartbeat) {
	if c.order.Release == 0 || beat.Release == c.order.Release {
		return
	}
	drainedForOrder := slices.ContainsFunc(c.grants, func(record grantRecord) bool {
		return int(record.Holder) == from && record.Incarnation < beat.Incarnation && record.orderEpoch == c.order.Epoch
	})
	if drainedForOrder {
		c.raiseHalt(ReasonNotInstalled, from)
	}
}

// wantsDrain reports whether this node is to go out of service: an operator requested it, or the last order names another
// release than the one that the node runs. An order for the release that the node runs does not cancel an operator's request to
// this node alone. A node that has just come back waits for UnresponsiveAfter, so that the other nodes learn first which
// release it runs.
func (c *Core) wantsDrain(now Time) bool {
	hasReported := c.state == Unhealthy || c.state == Ready && now-c.readySince >= c.cfg.UnresponsiveAfter
	return c.isDrainRequested || hasReported && c.order.Release != 0 && c.order.Release != c.release
}
