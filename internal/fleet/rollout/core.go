// Package rollout lets the nodes of a fleet agree on which of them may go out of service, so that no more than a budget of them
// is out at once. It also halts a release if nodes with it have too many failed or slow responses. The core is a state
// machine without clock or I/O: its inputs are events with the time, its outputs are effects, such as datagrams to send.
//
// A node that wants to drain requests one of the budget's slots from all other nodes. Each node grants a slot to one node only,
// and a slot belongs to the node that a majority of the fleet granted it. So two halves of a partitioned fleet cannot both
// grant one. The holder releases its slot when it is back in service and ready. A slot does not expire soon: a holder that was
// killed, stalled or cut off is out of service and counts against the budget. Only when a holder sends no heartbeats and its
// slot is older than WriteOffAfter, the other nodes release the slot. See docs/rollout.md.
package rollout

import (
	"math/rand/v2"
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Time is a point in time on this node's clock. It is not negative. The clocks of two nodes need not agree, and their rates may
// differ by Config.MaxClockDrift.
type Time = time.Duration

// Core decides for one node which slots it grants, and when the node may drain. It is not safe for concurrent use.
type Core struct {
	cfg       Config
	rng       *rand.Rand
	isStarted bool
	startedAt Time
	effects   []Effect // effects of the event that is being handled

	// State of this node.
	state        State
	readySince   Time
	isServing    bool
	servingSince Time
	release      uint32 // hash of the release that this node runs
	responses    responseStats

	// State of the other nodes, and the granted slots that this node knows of.
	peers       []peer
	grants      []grantRecord
	knowsGrants bool // an operator resumed the release here, so this node need not learn the grants from other nodes

	halt  haltState
	order releaseOrder

	heartbeatsSent uint32
	nextHeartbeat  Time

	isDrainRequested bool // an operator requested that this node drain
	request          ownRequest
}

// New returns a core that takes part in the agreement from its first event on. The error is that of Config.Validate.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		peers:   make([]peer, cfg.Nodes),
		release: HashName(cfg.Release),
	}, nil
}

// HashName returns the hash that identifies a release or a zone in messages. It returns 0 only for the empty name.
func HashName(name string) uint32 {
	if name == "" {
		return 0
	}
	return max(1, agreement.HashName(name))
}

// majority returns how many nodes have to grant a slot to a node.
func (c *Core) majority() int { return agreement.Majority(c.cfg.Nodes) }

// Step handles one event and returns its effects in a slice that the caller may keep. The time now must not decrease between
// calls.
func (c *Core) Step(now Time, event Event) []Effect {
	c.effects = nil
	if !c.isStarted {
		c.begin(now)
	}
	c.handle(now, event)
	c.advance(now)
	return c.effects
}

func (c *Core) begin(now Time) {
	c.isStarted, c.startedAt, c.nextHeartbeat = true, now, now
	for i := range c.peers { // so that a peer counts as unresponsive only after it had time to send a heartbeat
		c.peers[i].lastSeen = now
	}
}

func (c *Core) handle(now Time, event Event) {
	switch event := event.(type) {
	case MessageReceived:
		c.handleMessage(now, event)
	case ServingStarted:
		if !c.isServing {
			c.isServing, c.servingSince = true, now
		}
	case ResponseCounts:
		c.checkResponses(now, event)
	case DrainRequested:
		c.isDrainRequested = true
	case ShutdownStarted:
		c.startDraining()
	case ReleaseOrdered:
		c.orderRelease(event.Release)
	case HaltRequested:
		c.setHalt(true, ReasonOperator)
	case ResumeRequested:
		c.setHalt(false, ReasonOperator)
		c.knowsGrants = true
	case BudgetChanged:
		c.changeBudget(event)
	}
}

// handleMessage handles a datagram. It ignores a datagram that is not from another node of the fleet.
func (c *Core) handleMessage(now Time, event MessageReceived) {
	if !agreement.IsPeer(event.From, c.cfg.Self, c.cfg.Nodes) {
		return
	}
	received, err := decode(event.Data)
	if err != nil {
		c.log(LogMessageCorrupt, event.From, 0, ReasonGranted)
		return
	}
	switch received := received.(type) {
	case heartbeat:
		c.handleHeartbeat(now, event.From, received)
	case slotRequest:
		reason := c.decide(now, event.From, received)
		c.emit(Send{event.From, slotAnswer{received.Incarnation, received.Number, reason}.encode()})
	case slotAnswer:
		c.handleAnswer(now, event.From, received)
	}
}

// advance does everything whose time has come: it may make this node ready, halt the release, and send requests and heartbeats.
func (c *Core) advance(now Time) {
	if c.state == Starting && c.isServing && now-c.servingSince >= c.cfg.ObservationPeriod {
		c.becomeReady(now)
	}
	c.checkHolders(now)
	c.advanceRequest(now)
	if now >= c.nextHeartbeat {
		c.sendHeartbeat(now)
	}
}

func (c *Core) becomeReady(now Time) {
	c.state, c.readySince = Ready, now
	c.triggerHeartbeat()
	c.log(LogNodeReady, c.cfg.Self, 0, ReasonGranted)
	c.releaseSlots(c.cfg.Self, c.cfg.Incarnation, c.request.lastDone) // this node is back in service: frees its earlier slots
}

func (c *Core) startDraining() {
	if c.state != Draining {
		c.state = Draining
		c.triggerHeartbeat()
	}
}

func (c *Core) changeBudget(event BudgetChanged) {
	changed := c.cfg
	changed.Budget, changed.ZoneBudget = event.Budget, event.ZoneBudget
	if changed.Validate() == nil {
		c.cfg = changed
	}
}

// MayDrain reports whether this node has a slot, in time to begin to drain, and the release is not halted. A node has to check
// MayDrain when it begins to drain, as it may have stalled since the core returned the effect DrainGranted.
func (c *Core) MayDrain(now Time) bool {
	return c.request.isGranted && now < c.request.expiresAt && !c.halt.IsHalted
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

func (c *Core) log(kind LogEventKind, node, slot int, reason Reason) {
	c.emit(LogEvent{Kind: kind, Node: node, Slot: slot, Reason: reason})
}
