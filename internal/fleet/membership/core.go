package membership

import (
	"math"
	"math/rand/v2"
	"time"
)

// maxPause is the greatest number of probe intervals between two events of a running process. If more pass, this process was
// paused, and acks to its earlier pings may have been lost. Then a missing ack does not mean that the pinged node is dead.
const maxPause = 3

// Core is the membership state machine of one node. A Core is not safe for concurrent use.
type Core struct {
	cfg     Config
	random  *rand.Rand
	members []member // all nodes of the list by index, this one included
	effects []Effect // effects of the current call of Step

	isStarted   bool // the first event was received
	hasLeft     bool // this node has told others that it shuts down
	lastStep    Time
	peersSince  Time // when the current list of nodes came into use
	nextPeriod  Time // when the next probe period begins
	periodCount int
	sequence    uint32 // sequence number of the last ping that this node sent
	fleetSize   int    // fleet size in the last FleetSizeChanged effect

	probeOrder    []int // the other nodes, in the order in which they are pinged
	orderPosition int   // index into probeOrder of the next node to ping
	probe         probe
	relays        []relay
}

// New returns a core. The core becomes active at its first event.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation))}
	c.reset(cfg.Incarnation)
	return c, nil
}

// reset forgets everything about the other nodes, including the pings that wait for an ack, and sets the incarnation of this
// node.
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

// fleetLogarithm returns log2(Nodes+1). The number of datagrams that pass on an update, and the time that a suspect has to
// refute, are multiplied by this factor, because an update takes longer to reach all nodes of a larger fleet.
func (c *Core) fleetLogarithm() float64 { return math.Log2(float64(c.cfg.Nodes) + 1) }

// Step handles one event and returns the effects, which the caller has to carry out in the order of the slice. The caller owns
// the returned slice. All events after ShutdownStarted are ignored.
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

// advance records the time of a step. The first step starts the core. The first step after a long pause of the process calls
// resumeAfterPause, because acks and refutations may have been lost.
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

// resumeAfterPause forgets the pings that wait for an ack, because the acks may have been lost during the pause. It also restarts
// the SuspicionTimeout of all suspects, because their refutations may have been lost too.
func (c *Core) resumeAfterPause(now Time) {
	c.probe.isPending, c.relays = false, nil
	for node := range c.members {
		if m := &c.members[node]; m.state == Suspect {
			m.since = now
		}
	}
}

// runTimers handles the timeouts that have expired by now, and starts the next probe period if it is due.
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

// changePeers replaces the list of nodes. An invalid new list is ignored.
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

// shutDown tells IndirectProbes+2 random nodes that this node has left. These nodes tell the others.
func (c *Core) shutDown() {
	c.members[c.cfg.Self].state = Left
	for _, node := range c.randomAlive(c.cfg.IndirectProbes+2, c.cfg.Self) {
		c.sendPing(node)
	}
	c.hasLeft = true
}
