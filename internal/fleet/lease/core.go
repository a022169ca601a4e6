// Package lease grants leases on the resources of a fleet, each to one node at a time. The core is a state machine without
// clock or I/O: its inputs are events with the time, its outputs are effects, such as datagrams to send.
//
// A node requests a lease from all nodes under a fencing token that is greater than any token it knows of. Each node grants a
// resource to one node and token at a time, for a LeaseDuration by its own clock. A node becomes the holder when a majority of
// the configured nodes has granted it the lease. The holder counts the lease from its request, and shortens it by the drift
// that two clocks may have. So no other node can acquire a lease before its holder has stopped relying on it, even if the
// holder was killed, stalled or cut off. Messages that are sent under a lease carry its token. A node that knows of a greater
// token ignores them. See docs/duties.md.
package lease

import (
	"math/rand/v2"
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Time is a point in time on this node's clock, counted from the start of the node. The clocks of two nodes need not agree, and
// their rates may differ by Config.MaxClockDrift.
type Time = time.Duration

// maxClockSkew is how far the dates of two nodes may be apart. A new token is usually the date in milliseconds. So a message
// whose token is further ahead of this node's date is treated as corrupt.
const maxClockSkew = time.Hour

// Core decides for one node which leases it grants, requests and holds. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	rng         *rand.Rand
	resources   []*resource
	isStarted   bool
	peersSince  Time // when this process got its current list of the fleet's nodes
	hasResigned bool
	effects     []Effect // effects of the event that is being handled
}

// New returns a core that takes part in the agreement from its first event on. The error is that of Config.Validate.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch))}
	for _, name := range cfg.Resources {
		c.resources = append(c.resources, newResource(name))
	}
	return c, nil
}

// Step handles one event and returns its effects in a slice that the caller may keep. The time now must not decrease between
// calls.
func (c *Core) Step(now Time, event Event) []Effect {
	c.effects = nil
	if !c.isStarted {
		c.isStarted, c.peersSince = true, now
	}
	// Leases expire before the event is handled: an answer that arrives after a lease ended must not prolong the lease.
	for _, r := range c.resources {
		c.expire(now, r)
	}
	c.handle(now, event)
	for _, r := range c.resources {
		c.advance(now, r)
	}
	return c.effects
}

func (c *Core) handle(now Time, event Event) {
	switch event := event.(type) {
	case MessageReceived:
		c.handleMessage(now, event)
	case Announce:
		c.announce(event.Resource)
	case Resign:
		c.hasResigned = true
		for _, r := range c.resources {
			c.giveBack(now, r, ReasonResigned)
		}
	case PeersChanged:
		c.changePeers(now, event)
	}
}

func (c *Core) announce(name string) {
	if r := c.find(name); r != nil && r.own.isAcquired {
		c.emit(Send{AllNodes, announcement{c.header(r, r.own.token)}.encode()})
	}
}

// Holds reports whether this node holds a lease at this moment, and under which fencing token. A node has to check Holds
// whenever it acts on the lease, as it may have stalled since the last check.
func (c *Core) Holds(now Time, name string) (token uint64, ok bool) {
	if r := c.find(name); r != nil && r.own.isAcquired && now < r.own.expiresAt {
		return r.own.token, true
	}
	return 0, false
}

// find returns the resource with the given name, or nil.
func (c *Core) find(name string) *resource {
	for _, r := range c.resources {
		if r.name == name {
			return r
		}
	}
	return nil
}

// majority returns how many nodes have to grant a lease to a node.
func (c *Core) majority() int { return agreement.Majority(c.cfg.Nodes) }

// holderTimeout returns how long the holder of a lease relies on the other nodes' grants, by its own clock. This is shorter than
// a LeaseDuration, as the holder's clock may be slow.
func (c *Core) holderTimeout() time.Duration {
	return agreement.HolderTimeout(c.cfg.LeaseDuration, c.cfg.MaxClockDrift)
}

// isAbstaining reports whether this node may not grant leases yet, because it has just started or has just got a new list of
// peers. A node does not know what it granted before it started, and a grant under the old list counted towards a majority of
// the old list. After a LeaseDuration, all such grants have expired.
func (c *Core) isAbstaining(now Time) bool {
	return c.cfg.Nodes > 1 && !agreement.HasExpired(now-c.peersSince, c.cfg.LeaseDuration, c.cfg.MaxClockDrift)
}

// date returns the Unix time in milliseconds, by this node's clock, at the point in time now.
func (c *Core) date(now Time) uint64 { return c.cfg.Epoch + uint64(now/time.Millisecond) }

// maxToken returns the greatest token that this node accepts from another node, whose date may be ahead by maxClockSkew.
func (c *Core) maxToken(now Time) uint64 { return c.date(now) + uint64(maxClockSkew/time.Millisecond) }

// changePeers replaces the list of peers. Leases that are held under the old list are given back. This node grants nothing
// until all grants under the old list have expired.
func (c *Core) changePeers(now Time, event PeersChanged) {
	changed := c.cfg
	changed.Self, changed.Nodes, changed.PeerListID = event.Self, event.Nodes, event.PeerListID
	if changed.Validate() != nil || event.PeerListID == c.cfg.PeerListID {
		return
	}
	for _, r := range c.resources {
		c.giveBack(now, r, ReasonPeersChanged)
		if r.holder.node != NoNode {
			c.setHolder(now, r, NoNode, r.holder.token)
		}
		r.grant.node, r.own.nextRequest = NoNode, 0
		clear(r.released) // its keys are indices of nodes, which differ in the new list of peers
	}
	c.cfg, c.peersSince = changed, now
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(kind LogEventKind, r *resource, node int, token uint64, reason Reason) {
	c.emit(LogEvent{Kind: kind, Resource: r.name, Node: node, Token: token, Reason: reason})
}
