package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

// maxPause is how many probe intervals may pass without an event. After a longer pause this process was stopped, and the pings
// it sent before tell nothing.
const maxPause = 3

// Core is one node's part. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	members []member // by index; this node's own included
	effects []Effect // of the step in hand

	isStarted   bool // the first event came
	hasLeft     bool // this node has shut down
	lastStep    Time
	peersSince  Time // when the present list of nodes came into use
	nextPeriod  Time // when the next period begins
	periodCount int
	sequence    uint32 // of the last ping
	fleetSize   int    // that was last reported

	probeOrder    []int // the other nodes, in the order in which they are pinged
	orderPosition int   // index into probeOrder
	probe         probe
	relays        []relay
}

// New makes a core. It takes part from its first event on.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation))}
	c.reset(cfg.Incarnation)
	return c, nil
}

// reset forgets all nodes but this one, whose incarnation is given.
func (c *Core) reset(incarnation uint64) {
	c.members = make([]member, c.cfg.Nodes)
	c.members[c.cfg.Self] = member{state: Alive, incarnation: incarnation}
	c.probe, c.relays = probe{}, nil
	c.probeOrder, c.orderPosition = nil, 0
	for node := range c.cfg.Nodes {
		if node != c.cfg.Self {
			c.probeOrder = append(c.probeOrder, node)
		}
	}
	c.shuffleProbeOrder()
}

// fleetLogarithm is the factor by which dissemination and suspicion take longer in a greater fleet.
func (c *Core) fleetLogarithm() float64 { return math.Log2(float64(c.cfg.Nodes) + 1) }

// Step takes one event and returns its effects in the order in which they have to be carried out. They belong to the caller.
// After ShutdownStarted it ignores all events.
func (c *Core) Step(now Time, event Event) []Effect {
	c.effects = nil
	if c.hasLeft {
		return nil
	}
	c.advance(now)
	switch event := event.(type) {
	case MessageReceived:
		c.receive(now, event)
	case ShutdownStarted:
		c.shutDown()
		return c.effects
	case PeersChanged:
		c.changePeers(now, event)
	}
	c.runTimers(now)
	c.reportFleetSize(now)
	return c.effects
}

func (c *Core) emit(effect Effect) { c.effects = append(c.effects, effect) }

// advance notes the time of a step. The first one starts the core, and one after a long pause forgets what it waited for.
func (c *Core) advance(now Time) {
	if !c.isStarted {
		c.isStarted, c.peersSince, c.lastStep = true, now, now
		c.nextPeriod = now + time.Duration(c.random.Int64N(int64(c.cfg.ProbeInterval)))
	}
	if now-c.lastStep > maxPause*c.cfg.ProbeInterval {
		c.resumeAfterPause(now)
	}
	c.lastStep = now
}

// resumeAfterPause drops the pings in flight, whose acks may have been lost, and gives all suspects their full time again, since
// their refutations may have been lost too.
func (c *Core) resumeAfterPause(now Time) {
	c.probe.isPending, c.relays = false, nil
	for node := range c.members {
		if m := &c.members[node]; m.state == Suspect {
			m.since = now
		}
	}
}

// runTimers does what is due by now.
func (c *Core) runTimers(now Time) {
	c.sendPingRequests(now)
	c.expireRelays(now)
	c.expireSuspects(now)
	if now < c.nextPeriod {
		return
	}
	c.nextPeriod = max(c.nextPeriod+c.cfg.ProbeInterval, now+c.cfg.ProbeInterval/2)
	c.suspectUnresponsive(now)
	c.startPeriod(now)
}

// changePeers replaces the list of nodes, unless the new one is invalid.
func (c *Core) changePeers(now Time, event PeersChanged) {
	previous := c.cfg
	c.cfg.Self, c.cfg.Nodes, c.cfg.PeerListID = event.Self, event.Nodes, event.PeerListID
	if c.cfg.Validate() != nil {
		c.cfg = previous
		return
	}
	c.peersSince = now
	c.reset(c.members[previous.Self].incarnation)
}

// shutDown tells some other nodes that this one has left; they tell the rest.
func (c *Core) shutDown() {
	c.members[c.cfg.Self].state = Left
	for _, node := range c.randomAlive(c.cfg.IndirectProbes+2, c.cfg.Self) {
		c.sendPing(node)
	}
	c.hasLeft = true
}
