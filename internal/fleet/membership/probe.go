package membership

import "slices"

// absentProbePeriods says how often absent nodes are pinged: once in this many periods, one node that is dead, has left or is
// unknown is pinged. These pings reunite a fleet after a partition.
const absentProbePeriods = 4

// probe is the ping that this node sent in the current period to the next node in the probe order.
type probe struct {
	node       int
	sequence   uint32
	sentAt     Time
	isPending  bool // no ack was received yet
	isIndirect bool // other nodes were asked to ping the node too
}

// relay is a ping that this node sent on behalf of another node, which had asked for the ping by a ping-req message.
type relay struct {
	requester         int
	requesterSequence uint32 // sequence number of the ping-req; the ack to the requester has to contain the same number
	target            int
	sequence          uint32 // sequence number of this node's ping to the target
	sentAt            Time
}

// startPeriod pings the next node in the probe order that is alive or suspect. Once in absentProbePeriods periods it also pings a
// node that is dead, has left or is unknown.
func (c *Core) startPeriod(now Time) {
	c.probe.isPending = false
	c.periodCount++
	c.probeNext(now)
	c.pingAbsent()
}

// probeNext pings the next node in the probe order that is alive or suspect, if there is one.
func (c *Core) probeNext(now Time) {
	for range c.probeOrder {
		node := c.nextProbeTarget()
		if c.members[node].state.isPresent() {
			c.probe = probe{node: node, sequence: c.sendPing(node), sentAt: now, isPending: true}
			return
		}
	}
}

// nextProbeTarget returns the next node in the probe order. After the last node the order is shuffled again.
func (c *Core) nextProbeTarget() int {
	node := c.probeOrder[c.orderPosition]
	c.orderPosition++
	if c.orderPosition == len(c.probeOrder) {
		c.orderPosition = 0
		c.shuffleProbeOrder()
	}
	return node
}

func (c *Core) shuffleProbeOrder() {
	c.random.Shuffle(len(c.probeOrder), func(i, j int) { c.probeOrder[i], c.probeOrder[j] = c.probeOrder[j], c.probeOrder[i] })
}

// pingAbsent pings a random one of the nodes that are dead, have left or are unknown. It does so once in absentProbePeriods
// periods. If all other nodes are in these states, it does so in every period.
func (c *Core) pingAbsent() {
	var absent []int
	for _, node := range c.probeOrder {
		if !c.members[node].state.isPresent() {
			absent = append(absent, node)
		}
	}
	isAlone := len(absent) == len(c.probeOrder)
	if len(absent) > 0 && (isAlone || c.periodCount%absentProbePeriods == 0) {
		c.sendPing(absent[c.random.IntN(len(absent))])
	}
}

// sendPing pings a node and returns the sequence number of the ping.
func (c *Core) sendPing(to int) uint32 {
	c.sequence++
	c.send(to, message{kind: kindPing, sequence: c.sequence})
	return c.sequence
}

// sendPingRequests asks other nodes to ping the probed node if that node has not acknowledged this node's ping within
// ProbeTimeout.
func (c *Core) sendPingRequests(now Time) {
	p := &c.probe
	if !p.isPending || p.isIndirect || now-p.sentAt < c.cfg.ProbeTimeout {
		return
	}
	p.isIndirect = true
	for _, helper := range c.randomAlive(c.cfg.IndirectProbes, p.node) {
		c.send(helper, message{kind: kindPingRequest, sequence: p.sequence, target: uint16(p.node)})
	}
}

// randomAlive returns up to count random nodes that are alive, other than this node and the excluded one.
func (c *Core) randomAlive(count, excluded int) []int {
	var nodes []int
	for _, node := range c.random.Perm(c.cfg.Nodes) {
		if len(nodes) < count && node != excluded && node != c.cfg.Self && c.members[node].state == Alive {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// relayPing pings a node on behalf of the requester, and records the ping so that its ack can be passed on.
func (c *Core) relayPing(now Time, requester int, requesterSequence uint32, target int) {
	sequence := c.sendPing(target)
	c.relays = append(c.relays, relay{requester: requester, requesterSequence: requesterSequence, target: target, sequence: sequence, sentAt: now})
}

// receiveAck handles an ack. If the ack answers this period's ping, the pinged node is not suspected. If it answers a ping that
// this node sent on behalf of another node, receiveAck sends that other node an ack.
func (c *Core) receiveAck(from int, sequence uint32) {
	if c.probe.isPending && c.probe.sequence == sequence {
		c.probe.isPending = false
		return
	}
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool {
		if r.sequence != sequence || r.target != from {
			return false
		}
		c.send(r.requester, message{kind: kindAck, sequence: r.requesterSequence})
		return true
	})
}

// expireRelays forgets pings that this node sent on behalf of other nodes at least a probe interval ago: those nodes no longer
// wait for an ack.
func (c *Core) expireRelays(now Time) {
	c.relays = slices.DeleteFunc(c.relays, func(r relay) bool { return now-r.sentAt >= c.cfg.ProbeInterval })
}
