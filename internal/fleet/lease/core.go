// Package lease grants leases on the resources of a fleet, each to one node at a time. The core is a state machine without
// clock or I/O: it takes events with the time and returns effects.
//
// A node requests a lease from all nodes under a fencing token that is greater than any it knows of. Each node grants a
// resource to one node and token at a time, for a LeaseDuration by its own clock. A majority of the configured nodes makes
// the holder, whose lease ends earlier by the drift that two clocks may have, counted from its request. So no other node
// can acquire a lease before its holder has stopped, whether that was killed, stalled or cut off. What is sent under a
// lease carries its token: whoever knows of a greater one ignores it. See docs/duties.md.
package lease

import (
	"math/rand/v2"
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Time is a point on this node's clock, counted from its start. The clocks of two nodes need not agree, and their rates may
// differ by Config.MaxClockDrift.
type Time = time.Duration

// maxClockSkew is how far a token may be ahead of this node's date: no node's date is further off than that.
const maxClockSkew = time.Hour

// Core is one node's part in the agreement. It is not safe for concurrent use.
type Core struct {
	cfg         Config
	rng         *rand.Rand
	resources   []*resource
	isStarted   bool
	peersSince  Time // since when this process has its list of peers
	hasResigned bool
	effects     []Effect // of the event that is being handled
}

// New returns a core that takes part from its first event on. The error is that of Config.Validate.
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

// Step handles one event and returns its effects, which belong to the caller. Now must not decrease between calls.
func (c *Core) Step(now Time, event Event) []Effect {
	c.effects = nil
	if !c.isStarted {
		c.isStarted, c.peersSince = true, now
	}
	// Leases expire first: an answer that arrives after the end of a lease must not find it still held.
	for _, r := range c.resources {
		c.expire(now, r)
	}
	c.handle(now, event)
	for _, r := range c.resources {
		c.pursue(now, r)
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

// Holds reports whether this node holds a lease at this moment, and under which fencing token. A node that may have stalled
// has to check this whenever it acts on the lease.
func (c *Core) Holds(now Time, name string) (token uint64, ok bool) {
	if r := c.find(name); r != nil && r.own.isAcquired && now < r.own.expiresAt {
		return r.own.token, true
	}
	return 0, false
}

// find returns the resource of a name, or nil.
func (c *Core) find(name string) *resource {
	for _, r := range c.resources {
		if r.name == name {
			return r
		}
	}
	return nil
}

// majority returns how many nodes have to grant a lease.
func (c *Core) majority() int { return agreement.Majority(c.cfg.Nodes) }

// holderTimeout returns for how long a holder relies on grants, by its own clock.
func (c *Core) holderTimeout() time.Duration {
	return agreement.HolderTimeout(c.cfg.LeaseDuration, c.cfg.MaxClockDrift)
}

// isAbstaining reports whether this node may not grant leases yet. What it granted before it started is unknown to it, and
// what it granted under an earlier list of peers was counted otherwise: both are over after a LeaseDuration.
func (c *Core) isAbstaining(now Time) bool {
	return c.cfg.Nodes > 1 && !agreement.HasExpired(now-c.peersSince, c.cfg.LeaseDuration, c.cfg.MaxClockDrift)
}

// date returns the Unix time in milliseconds by this node's clock.
func (c *Core) date(now Time) uint64 { return c.cfg.Epoch + uint64(now/time.Millisecond) }

// maxToken returns the greatest token that another node may have.
func (c *Core) maxToken(now Time) uint64 { return c.date(now) + uint64(maxClockSkew/time.Millisecond) }

// changePeers replaces the list of peers: leases that are held under the old one are given back, and nothing is granted
// before all that was granted under it is over.
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
		clear(r.released) // the nodes have other indices now
	}
	c.cfg, c.peersSince = changed, now
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(kind LogEventKind, r *resource, node int, token uint64, reason Reason) {
	c.emit(LogEvent{Kind: kind, Resource: r.name, Node: node, Token: token, Reason: reason})
}
