// Package rollout lets the nodes of a fleet agree on who may go out of service, so that never too many are out at once,
// and stops a release whose nodes do badly. The core has no clock and no I/O: it takes (now, event) and returns effects.
//
// A node that wants to go out asks all others for one of the budget's slots. Each grants a slot to one node only, and a
// node that more than half of the fleet granted it has it: two halves of a fleet cannot both have one. A slot is given back
// by the node that has it, when it is back in service and fit, and by no clock: a holder that is killed, stalled or cut
// off is out, and counts. Only a node that stays away for Lost is written off. See docs/rollout.md.
package rollout

import (
	"cmp"
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Time is a point on this node's clock. The clocks of two nodes need not agree; they may drift by Drift.
type Time = time.Duration

// Config is what a node is told. All nodes of a fleet should be told the same, but for Self, Zone and Release; while a new
// budget is rolled out the smaller one holds wherever a majority has it.
type Config struct {
	Self, Nodes int
	Zone        string
	Budget      int // nodes out at once, 1 to MaxBudget
	ZoneBudget  int // of one zone; 0 is no bound of its own

	HeartbeatInterval time.Duration // between two beacons of a node
	UnresponsiveAfter time.Duration // a node unheard for so long is out
	RequestTimeout    time.Duration // an ask counts for so long; a node that starts grants nothing before
	ReturnTimeout     time.Duration // a node that is out for longer has failed: the release halts
	WriteOffAfter     time.Duration // and is written off after this: its slot is free
	ObservationPeriod time.Duration // a node that starts is not fit before it did well for so long
	MaxClockDrift     float64       // of two clocks against each other, at most

	Release        string  // that this node runs
	MaxFailureRate float64 // share of its answers that may fail while it is watched, past what fails at the others
	MaxSlowRate    float64 // the same of those that come after their class's aim
	MinSamples     int     // answers from which that is judged
	Incarnation    uint64  // greater for each start of this node: its own clock's milliseconds will do
	Seed           uint64
}

// MaxBudget is the greatest budget: the slots that a node granted must fit a datagram.
const MaxBudget = tableRoom

// State is what a node is.
type State byte

// The states of a node. All but Fit are out of service for the budget.
const (
	Starting State = iota // not yet fit
	Ready
	Draining  // it drains, or is about to end
	Unhealthy // it did badly as it started
	states
)

func (s State) String() string { return [...]string{"starting", "fit", "leaving", "broken"}[s] }

// Reason says why an ask is refused, or a release halted.
type Reason byte

// The reasons.
const (
	ReasonGranted        Reason = iota
	ReasonSlotTaken             // another node has the slot
	ReasonOverBudget            // so many are out already
	ReasonHalted                // the release is halted
	ReasonAbstaining            // it has just started and does not know yet what it granted before
	ReasonOperator              // halted by hand
	ReasonNodeUnhealthy         // a node that started does badly
	ReasonNotReturned           // a node that went out did not come back
	ReasonRequestExpired        // the ask is over already
	ReasonNotInstalled          // a node that went out for a release came back with another
	reasons
)

func (r Reason) String() string {
	return [...]string{"granted", "slot_taken", "over_budget", "halted", "abstains", "by_operator", "node_broken", "not_returned", "superfluous", "not_installed"}[r]
}

// Event is what the core is told: one of the types below it.
type Event interface{ event() }

type (
	// Tick says that time went on; the core wants one every Beacon/2 or so.
	Tick struct{}
	// MessageReceived brings a datagram of another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// ServingStarted says that the node serves; it is watched from then on.
	ServingStarted struct{}
	// ResponseCounts counts answers of the node, of which some failed and others came late, since the last such event.
	ResponseCounts struct{ Responses, Failed, Slow int }
	// DrainRequested asks for this node to go out.
	DrainRequested struct{}
	// ShutdownStarted says that the node goes out, whether it may or not: it was told to end.
	ShutdownStarted struct{}
	// ReleaseOrdered orders the whole fleet to a release: every node that runs another goes out in its turn.
	ReleaseOrdered struct{ Release string }
	// HaltRequested stops all grants, Resume lets them go on.
	HaltRequested struct{}
	// ResumeRequested ends a halt, and the wait of a node that could not learn from enough others who is out.
	ResumeRequested struct{}
	// BudgetChanged changes the budget.
	BudgetChanged struct{ Nodes, Zone int }
)

func (Tick) event()            {}
func (MessageReceived) event() {}
func (ServingStarted) event()  {}
func (ResponseCounts) event()  {}
func (DrainRequested) event()  {}
func (ShutdownStarted) event() {}
func (ReleaseOrdered) event()  {}
func (HaltRequested) event()   {}
func (ResumeRequested) event() {}
func (BudgetChanged) event()   {}

// Effect is what the core wants done: one of the types below it.
type Effect interface{ effect() }

type (
	// Send moves a datagram to a node, or to all others where To is All.
	Send struct {
		To   int
		Data []byte
	}
	// DrainGranted says that the node may go out, if it begins before Until.
	DrainGranted struct{ Until Time }
	// LogEvent is for the log and the counters.
	LogEvent struct {
		Kind   LogEventKind
		Node   int // that it is about
		Slot   int
		Reason Reason
	}
)

// AllNodes is the address of all other nodes.
const AllNodes = agreement.AllNodes

func (Send) effect()         {}
func (DrainGranted) effect() {}
func (LogEvent) effect()     {}

// LogEventKind is what happened.
type LogEventKind int

// What is noted.
const (
	LogSlotRequested LogEventKind = iota
	LogSlotGranted
	LogSlotDenied
	LogSlotAcquired
	LogRequestAbandoned
	LogSlotReleased
	LogSlotExpired
	LogHalted
	LogResumed
	LogReleaseOrdered
	LogNodeReady
	LogNodeUnhealthy
	LogMessageCorrupt
	LogEventKinds
)

func (k LogEventKind) String() string {
	return [...]string{"asked", "granted", "refused", "held", "gave_up", "freed", "expired", "halted", "resumed", "ordered", "fit", "broken", "garbled"}[k]
}

// peer is what is known of another node.
type peer struct {
	heard Time // its last beacon
	met   bool
	start uint64
	count uint32
	state State
	well  health
	done  uint32
	told  bool // it told its table since this node started
	knows bool // and granted itself by then, so the table is whole
}

// grant is a slot that this node gave, or heard that others did.
type grant struct {
	entry
	at    Time   // when it was last granted
	told  bool   // that the holder did not return
	order uint16 // the order that stood then
}

// Core is the agreement as one node takes part in it. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	begun   Time
	started bool

	state State
	fitAt Time // since when it is fit
	upAt  Time
	up    bool
	// Answers of the node, which fade while it is fit: what others are judged by is how it goes now.
	answers, failed, slow float64
	servedAt              Time

	peers  []peer
	grants []grant
	halt   halt
	order  order

	count  uint32
	beacon Time // when the next one is due

	asked   bool // to go out, by an operator
	trying  bool
	ask     ask
	askedAt Time
	sentAt  Time
	nextAt  Time // before which nothing is asked again
	votes   map[int]bool
	noes    map[int]bool
	held    bool
	until   Time
	done    uint32
	release uint32
	trusted bool // the operator said that nobody is out whom this node does not know of

	effects []Effect
}

// Validate tells which field makes no sense.
func (c Config) Validate() error {
	if err := agreement.ValidateNodes(c.Self, c.Nodes, agreement.MaxNodes); err != nil {
		return err
	}
	switch {
	case c.Budget < 1 || c.Budget > MaxBudget:
		return errors.New("nodes_out: must be from 1 to 11")
	case c.ZoneBudget < 0 || c.ZoneBudget > MaxBudget:
		return errors.New("zone_out: must be from 0 to 11")
	case c.HeartbeatInterval <= 0 || c.UnresponsiveAfter < 3*c.HeartbeatInterval:
		return errors.New("silent: must be three beacons at least")
	case c.RequestTimeout < 2*c.HeartbeatInterval:
		return errors.New("lease: must be two beacons at least")
	case c.ReturnTimeout < c.UnresponsiveAfter || c.WriteOffAfter < c.ReturnTimeout:
		return errors.New("return, lost: must grow from silent on")
	case agreement.ValidateClockDrift(c.MaxClockDrift) != nil:
		return agreement.ErrClockDrift
	case !(c.MaxFailureRate >= 0 && c.MaxFailureRate <= 1):
		return errors.New("max_failed: must be from 0 to 1")
	case !(c.MaxSlowRate >= 0 && c.MaxSlowRate <= 1):
		return errors.New("max_slow: must be from 0 to 1")
	}
	return nil
}

// New makes a core. It takes part from its first event on.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)), peers: make([]peer, cfg.Nodes), release: HashName(cfg.Release)}, nil
}

// HashName is the number by which a release or a zone is told.
func HashName(text string) uint32 {
	if text == "" {
		return 0
	}
	return max(1, agreement.HashName(text))
}

// majority returns how many nodes have to grant a slot.
func majority(nodes int) int { return agreement.Majority(nodes) }

// Step takes one event and returns its effects, which belong to the caller.
func (c *Core) Step(now Time, ev Event) []Effect {
	c.effects = nil
	if !c.started {
		c.started, c.begun, c.beacon = true, now, now
		for i := range c.peers { // none is silent before it had the time to speak
			c.peers[i].heard = now
		}
	}
	switch e := ev.(type) {
	case MessageReceived:
		c.heard(now, e)
	case ServingStarted:
		if !c.up {
			c.up, c.upAt = true, now
		}
	case ResponseCounts:
		c.served(now, e)
	case DrainRequested:
		c.asked = true
	case ShutdownStarted:
		c.leave(now)
	case ReleaseOrdered:
		c.setHalt(now, false, ReasonOperator)
		c.obey(order{c.order.Epoch + 1, HashName(e.Release)})
		c.beacon = now
	case HaltRequested:
		c.setHalt(now, true, ReasonOperator)
	case ResumeRequested:
		c.setHalt(now, false, ReasonOperator)
		c.trusted = true
	case BudgetChanged:
		next := c.cfg
		if next.Budget, next.ZoneBudget = e.Nodes, e.Zone; next.Validate() == nil {
			c.cfg = next
		}
	}
	c.look(now)
	return c.effects
}

func (c *Core) do(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) note(kind LogEventKind, node, slot int, why Reason) {
	c.do(LogEvent{Kind: kind, Node: node, Slot: slot, Reason: why})
}

// MayDrain tells whether the node still has its slot. One that stalled after it was told to go asks before it acts.
func (c *Core) MayDrain(now Time) bool { return c.held && now < c.until && !c.halt.On }

func (c *Core) leave(now Time) {
	if c.state != Draining {
		c.state, c.beacon = Draining, now
	}
}

// look does what is due.
func (c *Core) look(now Time) {
	if c.state == Starting && c.up && now-c.upAt >= c.cfg.ObservationPeriod {
		c.state, c.fitAt, c.beacon = Ready, now, now
		c.note(LogNodeReady, c.cfg.Self, 0, ReasonGranted)
		c.free(c.cfg.Self, c.cfg.Incarnation, c.done) // what its process before had
	}
	c.watchHolders(now)
	c.pursue(now)
	if now >= c.beacon {
		c.beacon = now + c.cfg.HeartbeatInterval
		c.tell(now)
	}
}

func (c *Core) tell(now Time) {
	c.count++
	m := beacon{Start: c.cfg.Incarnation, Count: c.count, State: c.state, Learns: c.abstains(now), Done: c.done, Release: c.release, Halt: c.halt, Order: c.order, Health: c.health()}
	for _, g := range c.grants {
		m.Table = append(m.Table, g.entry)
	}
	c.do(Send{AllNodes, m.encode()})
}

// served judges a node while it is watched: one that does badly, where the others do not, says so and stops the release.
// What goes badly everywhere is the origin's or the network's doing, and going back would not mend it.
func (c *Core) served(now Time, e ResponseCounts) {
	if c.state == Ready {
		keep := math.Exp(-float64(now-c.servedAt) / float64(max(c.cfg.ObservationPeriod, 1)))
		c.answers, c.failed, c.slow = c.answers*keep, c.failed*keep, c.slow*keep
	}
	c.servedAt = now
	c.answers, c.failed, c.slow = c.answers+float64(e.Responses), c.failed+float64(e.Failed), c.slow+float64(e.Slow)
	h := c.health()
	if c.state != Starting || !h.Known {
		return
	}
	failed, slow := c.usual()
	if share(h.Failed) > c.cfg.MaxFailureRate+failed || share(h.Slow) > c.cfg.MaxSlowRate+slow {
		c.state, c.beacon = Unhealthy, 0
		c.note(LogNodeUnhealthy, c.cfg.Self, 0, ReasonNodeUnhealthy)
		c.raise(ReasonNodeUnhealthy, c.cfg.Self)
	}
}

// health is what this node tells of its answers.
func (c *Core) health() health {
	if c.answers < float64(max(1, c.cfg.MinSamples)) {
		return health{}
	}
	part := func(n float64) byte { return byte(min(255, 255*n/c.answers)) }
	return health{true, part(c.failed), part(c.slow)}
}

func share(part byte) float64 { return float64(part) / 255 }

// usual is how it goes at the other nodes that are fit: the median of those that tell, so that a few that lie or do badly
// themselves move nothing.
func (c *Core) usual() (failed, slow float64) {
	var f, s []byte
	for i, p := range c.peers {
		if i != c.cfg.Self && p.met && p.state == Ready && p.well.Known {
			f, s = append(f, p.well.Failed), append(s, p.well.Slow)
		}
	}
	if len(f) == 0 {
		return 0, 0
	}
	slices.Sort(f)
	slices.Sort(s)
	return share(f[(len(f)-1)/2]), share(s[(len(s)-1)/2])
}

// raise halts the release.
func (c *Core) raise(why Reason, by int) {
	if c.halt.On {
		return
	}
	c.halt = halt{c.halt.Epoch + 1, true, why, uint16(by)}
	c.beacon = 0
	c.note(LogHalted, by, 0, why)
}

func (c *Core) setHalt(now Time, on bool, why Reason) {
	if c.halt.On == on {
		return
	}
	c.halt = halt{c.halt.Epoch + 1, on, why, uint16(c.cfg.Self)}
	c.beacon = now
	if on {
		c.note(LogHalted, c.cfg.Self, 0, why)
	} else {
		c.note(LogResumed, c.cfg.Self, 0, why)
	}
}

// obey takes an order.
func (c *Core) obey(o order) {
	if o.Epoch <= c.order.Epoch {
		return
	}
	c.order = o
	c.note(LogReleaseOrdered, c.cfg.Self, 0, ReasonGranted)
}

// wants tells whether this node is to go out: an operator asked it to, or the last order names another release than it runs. An
// order for its own release does not take back what an operator asked of this node alone. A node that has just come back lets
// the others see first what it runs.
func (c *Core) wants(now Time) bool {
	seen := c.state == Unhealthy || c.state == Ready && now-c.fitAt >= c.cfg.UnresponsiveAfter
	return c.asked || seen && c.order.Release != 0 && c.order.Release != c.release
}

// silent tells whether a node has not spoken for too long.
func (c *Core) silent(now Time, node int) bool {
	return node != c.cfg.Self && now-c.peers[node].heard >= c.cfg.UnresponsiveAfter
}

// abstains tells whether this node may not grant yet. What it granted before it started is unknown to it: asks of then are
// over after a lease, and what more than half of the fleet knows, one of those that told it since does.
func (c *Core) abstains(now Time) bool {
	if c.cfg.Nodes == 1 {
		return false
	}
	told, knows := 0, 0
	for _, p := range c.peers {
		if p.told {
			told++
		}
		if p.knows {
			knows++
		}
	}
	// A fleet that starts all at once has nobody who knows; together they know all there is.
	learnt := knows >= min(majority(c.cfg.Nodes), c.cfg.Nodes-1) || told == c.cfg.Nodes-1
	return !learnt && !c.trusted || !agreement.HasExpired(now-c.begun, c.cfg.RequestTimeout, c.cfg.MaxClockDrift)
}

// watchHolders halts the release where one that went out does not come back, and writes it off in the end.
func (c *Core) watchHolders(now Time) {
	c.grants = slices.DeleteFunc(c.grants, func(g grant) bool {
		node := int(g.Holder)
		if now-g.at >= c.cfg.WriteOffAfter && c.silent(now, node) {
			c.note(LogSlotExpired, node, int(g.Slot), ReasonNotReturned)
			return true
		}
		return false
	})
	for i := range c.grants {
		g := &c.grants[i]
		if !g.told && now-g.at >= c.cfg.ReturnTimeout && int(g.Holder) != c.cfg.Self {
			g.told = true
			c.raise(ReasonNotReturned, int(g.Holder))
		}
	}
}

// judge tells whether this node grants an ask.
func (c *Core) judge(now Time, from int, a ask) Reason {
	p := c.peers[from]
	switch {
	case from != c.cfg.Self && (a.Start < p.start || a.Start == p.start && a.Ask <= p.done):
		return ReasonRequestExpired
	case c.halt.On:
		return ReasonHalted
	case c.abstains(now):
		return ReasonAbstaining
	case int(a.Slot) >= c.cfg.Budget || c.cfg.ZoneBudget > 0 && int(a.Zone) >= c.cfg.ZoneBudget:
		return ReasonOverBudget
	}
	if slices.ContainsFunc(c.grants, func(g grant) bool {
		return int(g.Holder) == from && (g.Start > a.Start || g.Start == a.Start && g.Ask > a.Ask)
	}) {
		return ReasonRequestExpired // it came late: a vote for the newer one must not be lost
	}
	out, near := 0, 0
	holds := map[int]bool{}
	for _, g := range c.grants {
		holds[int(g.Holder)] = true
		switch same := c.cfg.ZoneBudget > 0 && g.Name == a.Name; {
		case int(g.Holder) == from:
		case g.Slot == a.Slot || same && g.Zone == a.Zone:
			return ReasonSlotTaken
		default:
			if out++; same {
				near++
			}
		}
	}
	for i := range c.peers { // out of themselves, without a slot
		if i != from && !holds[i] && (c.silent(now, i) || i != c.cfg.Self && c.peers[i].met && c.peers[i].state != Ready) {
			out++
		}
	}
	if c.state != Ready && from != c.cfg.Self && !holds[c.cfg.Self] {
		out++
	}
	if out >= c.cfg.Budget || c.cfg.ZoneBudget > 0 && near >= c.cfg.ZoneBudget {
		return ReasonOverBudget
	}
	return ReasonGranted
}

// decide answers an ask and keeps what it granted.
func (c *Core) decide(now Time, from int, a ask) Reason {
	why := c.judge(now, from, a)
	if why != ReasonGranted {
		if why != ReasonRequestExpired {
			c.note(LogSlotDenied, from, int(a.Slot), why)
		}
		return why
	}
	e := entry{Holder: uint16(from), Start: a.Start, Ask: a.Ask, Slot: a.Slot, Zone: a.Zone, Name: a.Name}
	for i := range c.grants {
		if g := &c.grants[i]; int(g.Holder) == from {
			if g.entry != e {
				c.note(LogSlotGranted, from, int(a.Slot), ReasonGranted)
			}
			g.entry, g.at, g.told, g.order = e, now, false, c.order.Epoch
			return ReasonGranted
		}
	}
	c.note(LogSlotGranted, from, int(a.Slot), ReasonGranted)
	c.grants = append(c.grants, grant{entry: e, at: now, order: c.order.Epoch})
	return ReasonGranted
}

// compare halts the release where a node that went out for it came back with another: nothing else is installed there, and it
// would go out again and again.
func (c *Core) compare(from int, m beacon) {
	if c.order.Release != 0 && m.Release != c.order.Release && slices.ContainsFunc(c.grants, func(g grant) bool {
		return int(g.Holder) == from && g.Start < m.Start && g.order == c.order.Epoch
	}) {
		c.raise(ReasonNotInstalled, from)
	}
}

// free gives back what a node had, up to an ask of one of its processes.
func (c *Core) free(node int, start uint64, ask uint32) {
	c.grants = slices.DeleteFunc(c.grants, func(g grant) bool {
		over := int(g.Holder) == node && (g.Start < start || g.Start == start && g.Ask <= ask)
		if over {
			c.note(LogSlotReleased, node, int(g.Slot), ReasonGranted)
		}
		return over
	})
}

func (c *Core) heard(now Time, e MessageReceived) {
	if !agreement.IsPeer(e.From, c.cfg.Self, c.cfg.Nodes) {
		return
	}
	m, err := decode(e.Data)
	if err != nil {
		c.note(LogMessageCorrupt, e.From, 0, ReasonGranted)
		return
	}
	switch m := m.(type) {
	case beacon:
		c.heardBeacon(now, e.From, m)
	case ask:
		c.do(Send{e.From, answer{m.Start, m.Ask, c.decide(now, e.From, m)}.encode()})
	case answer:
		c.heardAnswer(now, e.From, m)
	}
}

func (c *Core) heardBeacon(now Time, from int, m beacon) {
	p, learns := &c.peers[from], c.abstains(now)
	if m.Start < p.start || m.Start == p.start && m.Count <= p.count && p.met {
		return // late or twice
	}
	if m.Start > p.start {
		p.done = 0
	}
	p.met, p.heard, p.start, p.count, p.state, p.well = true, now, m.Start, m.Count, m.State, m.Health
	p.done = max(p.done, m.Done)
	if m.State == Ready {
		c.compare(from, m)
		c.free(from, m.Start, m.Done) // of this process: what is over; of earlier ones: all
	}
	if m.Halt.Epoch > c.halt.Epoch || m.Halt.Epoch == c.halt.Epoch && m.Halt.On && !c.halt.On {
		on := m.Halt.On
		if c.halt = m.Halt; on {
			c.note(LogHalted, int(m.Halt.By), 0, m.Halt.Reason)
		} else {
			c.note(LogResumed, int(m.Halt.By), 0, m.Halt.Reason)
		}
		c.beacon = now
	}
	c.obey(m.Order)
	p.told, p.knows = true, p.knows || !m.Learns
	// What others granted counts here too while this node learns, unless its holder said since that it is over.
	if !learns {
		return
	}
	for _, e := range m.Table {
		node := int(e.Holder)
		if node >= c.cfg.Nodes || slices.ContainsFunc(c.grants, func(g grant) bool { return g.Holder == e.Holder }) {
			continue
		}
		h := c.peers[node]
		over := node != c.cfg.Self && h.met && h.state == Ready && (e.Start < h.start || e.Start == h.start && e.Ask <= h.done)
		mine := node == c.cfg.Self && (c.state == Ready && e.Start < c.cfg.Incarnation || e.Start == c.cfg.Incarnation && e.Ask <= c.done)
		if !over && !mine {
			c.grants = append(c.grants, grant{entry: e, at: now})
		}
	}
}

// pursue asks for a slot, again and again until it has one.
func (c *Core) pursue(now Time) {
	if c.state == Draining {
		return
	}
	if !c.wants(now) {
		if c.trying || c.held { // the way back was ordered meanwhile: others must not keep the slot for this node
			c.giveUp(now, ReasonRequestExpired)
		}
		return
	}
	if c.held {
		if now >= c.until { // it stalled: what it had may be another's by now
			c.giveUp(now, ReasonRequestExpired)
		}
		return
	}
	lease := agreement.HolderTimeout(c.cfg.RequestTimeout, c.cfg.MaxClockDrift)
	switch {
	case c.trying && (now-c.askedAt >= lease/2 || len(c.noes) > c.cfg.Nodes-majority(c.cfg.Nodes)):
		c.giveUp(now, ReasonSlotTaken)
	case c.trying && now-c.sentAt >= c.cfg.HeartbeatInterval/2: // some may be lost
		c.sentAt = now
		c.do(Send{AllNodes, c.ask.encode()})
	case !c.trying && now >= c.nextAt && !c.halt.On:
		c.try(now)
	}
}

// try begins an ask for a slot that is free as far as is known.
func (c *Core) try(now Time) {
	slot, ok := c.pick(c.cfg.Budget, func(g grant) int { return int(g.Slot) })
	name := uint16(HashName(c.cfg.Zone))
	zone, near := 0, true
	if c.cfg.ZoneBudget > 0 {
		zone, near = c.pick(c.cfg.ZoneBudget, func(g grant) int {
			if g.Name != name {
				return -1
			}
			return int(g.Zone)
		})
	}
	if !ok || !near {
		c.nextAt = now + c.cfg.HeartbeatInterval
		return
	}
	c.ask = ask{Start: c.cfg.Incarnation, Ask: c.ask.Ask + 1, Slot: uint8(slot), Zone: uint8(zone), Name: name}
	c.trying, c.askedAt, c.sentAt, c.votes, c.noes = true, now, now, map[int]bool{}, map[int]bool{}
	c.note(LogSlotRequested, c.cfg.Self, slot, ReasonGranted)
	c.do(Send{AllNodes, c.ask.encode()})
	c.vote(now, c.cfg.Self, c.decide(now, c.cfg.Self, c.ask))
}

// pick draws one of the slots that no other node has.
func (c *Core) pick(n int, slot func(grant) int) (int, bool) {
	free := make([]int, 0, n)
	for s := range n {
		if !slices.ContainsFunc(c.grants, func(g grant) bool { return int(g.Holder) != c.cfg.Self && slot(g) == s }) {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return 0, false
	}
	return free[c.rng.IntN(len(free))], true
}

func (c *Core) heardAnswer(now Time, from int, m answer) {
	if c.trying && m.Start == c.cfg.Incarnation && m.Ask == c.ask.Ask {
		c.vote(now, from, m.Reason)
	}
}

// vote counts an answer. An answer counts for a lease from when the ask was first sent, by the slower clock.
func (c *Core) vote(now Time, from int, why Reason) {
	if why != ReasonGranted {
		c.noes[from] = true
		return
	}
	c.votes[from] = true
	delete(c.noes, from)
	until := c.askedAt + agreement.HolderTimeout(c.cfg.RequestTimeout, c.cfg.MaxClockDrift)
	if len(c.votes) >= majority(c.cfg.Nodes) && now < until {
		c.trying, c.held, c.until = false, true, until
		c.note(LogSlotAcquired, c.cfg.Self, int(c.ask.Slot), ReasonGranted)
		c.do(DrainGranted{until})
	}
}

// giveUp ends an ask; the next comes after a wait of full jitter, so that two that took half of the votes each part.
func (c *Core) giveUp(now Time, why Reason) {
	c.note(LogRequestAbandoned, c.cfg.Self, int(c.ask.Slot), why)
	c.trying, c.held, c.done = false, false, c.ask.Ask
	c.free(c.cfg.Self, c.cfg.Incarnation, c.done)
	c.nextAt = now + time.Duration(c.rng.Int64N(int64(c.cfg.RequestTimeout)))
	c.beacon = now
}

// Status is the agreement as this node sees it.
type Status struct {
	Node       int          `json:"node"`
	State      string       `json:"state"`
	WantsDrain bool         `json:"wants_out"`
	Halted     string       `json:"halted,omitempty"`
	HaltedBy   int          `json:"halted_by"` // the node for which; -1 while nothing is halted
	Out        []StatusNode `json:"out"`
	Ready      int          `json:"fit"`
	Budget     int          `json:"budget"`
}

// StatusNode is one node that is out.
type StatusNode struct {
	Node  int    `json:"node"`
	State string `json:"state"`
	Slot  int    `json:"slot"` // -1 without one
}

// Status tells who is out, and why nothing goes on where it does not.
func (c *Core) Status(now Time) Status {
	s := Status{Node: c.cfg.Self, State: c.state.String(), WantsDrain: c.wants(now), Budget: c.cfg.Budget, HaltedBy: -1, Out: []StatusNode{}}
	if c.halt.On {
		s.Halted, s.HaltedBy = c.halt.Reason.String(), int(c.halt.By)
	}
	for i, p := range c.peers {
		n := StatusNode{Node: i, State: p.state.String(), Slot: -1}
		switch {
		case i == c.cfg.Self:
			n.State = c.state.String()
		case c.silent(now, i):
			n.State = "silent"
		case !p.met:
			n.State = "unknown"
		}
		for _, g := range c.grants {
			if int(g.Holder) == i {
				n.Slot = int(g.Slot)
			}
		}
		if n.State == Ready.String() && n.Slot < 0 {
			s.Ready++
			continue
		}
		s.Out = append(s.Out, n)
	}
	slices.SortFunc(s.Out, func(a, b StatusNode) int { return cmp.Compare(a.Node, b.Node) })
	return s
}
