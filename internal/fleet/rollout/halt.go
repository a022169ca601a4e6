package rollout

import "slices"

// raiseHalt halts the release because of one node, unless it is halted already.
func (c *Core) raiseHalt(reason Reason, node int) {
	if c.halt.IsHalted {
		return
	}
	c.halt = haltState{Epoch: c.halt.Epoch + 1, IsHalted: true, Reason: reason, Node: uint16(node)}
	c.hurryHeartbeat()
	c.log(LogHalted, node, 0, reason)
}

// setHalt halts or resumes the release on behalf of this node.
func (c *Core) setHalt(isHalted bool, reason Reason) {
	if c.halt.IsHalted == isHalted {
		return
	}
	c.halt = haltState{Epoch: c.halt.Epoch + 1, IsHalted: isHalted, Reason: reason, Node: uint16(c.cfg.Self)}
	c.hurryHeartbeat()
	c.logHalt()
}

// mergeHalt adopts another node's view if it is newer. Of two nodes that changed it at the same time, a halt wins.
func (c *Core) mergeHalt(other haltState) {
	isNewer := other.Epoch > c.halt.Epoch || other.Epoch == c.halt.Epoch && other.IsHalted && !c.halt.IsHalted
	if !isNewer {
		return
	}
	c.halt = other
	c.hurryHeartbeat()
	c.logHalt()
}

func (c *Core) logHalt() {
	kind := LogResumed
	if c.halt.IsHalted {
		kind = LogHalted
	}
	c.log(kind, int(c.halt.Node), 0, c.halt.Reason)
}

// orderRelease gives the whole fleet an operator's order.
func (c *Core) orderRelease(release string) {
	c.setHalt(false, ReasonOperator)
	c.mergeOrder(releaseOrder{Epoch: c.order.Epoch + 1, Release: HashName(release)})
	c.hurryHeartbeat()
}

// mergeOrder adopts an order that is newer than the last one.
func (c *Core) mergeOrder(order releaseOrder) {
	if order.Epoch <= c.order.Epoch {
		return
	}
	c.order = order
	c.log(LogReleaseOrdered, c.cfg.Self, 0, ReasonGranted)
}

// checkInstalledRelease halts the release if a node that drained for the current order came back with another release: the
// ordered one is not installed there, and the node would drain again and again.
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

// wantsDrain reports whether this node is to go out of service: an operator asked it to, or the last order names another
// release than it runs. An order for the release that it runs does not take back an operator's request for this node
// alone. A node that has just come back first lets the others see what it runs.
func (c *Core) wantsDrain(now Time) bool {
	hasReported := c.state == Unhealthy || c.state == Ready && now-c.readySince >= c.cfg.UnresponsiveAfter
	return c.isDrainRequested || hasReported && c.order.Release != 0 && c.order.Release != c.release
}
