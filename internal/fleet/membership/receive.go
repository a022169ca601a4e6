package membership

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// maxClockAhead is how far ahead of this node's clock an incarnation may be. Incarnations are start times by the clocks of the
// nodes' machines. If an incarnation of the far future were accepted, updates about the node's later processes would be ignored
// as older.
const maxClockAhead = 24 * time.Hour

// receive handles a datagram from another node.
func (c *Core) receive(now Time, event MessageReceived) {
	if !agreement.IsPeer(event.From, c.cfg.Self, c.cfg.Nodes) {
		return
	}
	m, err := decode(event.Data)
	if err != nil || m.peerListID != c.cfg.PeerListID {
		c.emit(MessageRejected{From: event.From, OtherPeerList: err == nil})
		return
	}
	c.members[event.From].lastSeen = now
	c.applyUpdates(now, m.updates)
	c.answer(now, event.From, m)
}

// applyUpdates applies the updates of a datagram. It ignores updates about nodes that are not on the list, and updates whose
// incarnation is more than maxClockAhead in the future.
func (c *Core) applyUpdates(now Time, updates []update) {
	maxIncarnation := c.cfg.Incarnation + uint64((now+maxClockAhead)/time.Millisecond)
	for _, u := range updates {
		if int(u.node) < c.cfg.Nodes && u.incarnation <= maxIncarnation {
			c.apply(now, u)
		}
	}
}

// answer acknowledges a ping, sends the ping that a ping-req asks for, or handles an ack.
func (c *Core) answer(now Time, from int, m message) {
	switch m.kind {
	case kindPing:
		c.send(from, message{kind: kindAck, sequence: m.sequence})
	case kindPingRequest:
		if target := int(m.target); agreement.IsPeer(target, c.cfg.Self, c.cfg.Nodes) {
			c.relayPing(now, from, m.sequence, target)
		}
	case kindAck:
		c.receiveAck(from, m.sequence)
	}
}
