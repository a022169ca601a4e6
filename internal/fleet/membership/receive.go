package membership

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// maxClockAhead is how far past this node's clock an incarnation may be. Incarnations are dates by the clocks of the nodes'
// machines, and one that is far off must not bar a node's later processes from its name.
const maxClockAhead = 24 * time.Hour

// receive takes a datagram of another node.
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

// applyUpdates takes the updates of a datagram about nodes of the list and of plausible incarnations.
func (c *Core) applyUpdates(now Time, updates []update) {
	maxIncarnation := c.cfg.Incarnation + uint64((now+maxClockAhead)/time.Millisecond)
	for _, u := range updates {
		if int(u.node) < c.cfg.Nodes && u.incarnation <= maxIncarnation {
			c.apply(now, u)
		}
	}
}

// answer does what a message asks for.
func (c *Core) answer(now Time, from int, m message) {
	switch m.kind {
	case kindPing:
		c.send(from, message{kind: kindAck, sequence: m.sequence})
	case kindPingRequest:
		if target := int(m.target); agreement.IsPeer(target, c.cfg.Self, c.cfg.Nodes) {
			c.relayPing(now, from, m.sequence, target)
		}
	case kindAck:
		c.acknowledged(from, m.sequence)
	}
}
