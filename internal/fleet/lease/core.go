// Package lease gives duties of a fleet to one node at a time. The core has no clock and no I/O: it takes (now, event) and
// returns effects.
//
// A node that wants a duty asks all nodes for it under a token that is greater than any it has heard of. Each grants a duty
// to one node and token at a time, for a lease by its own clock; more than half of the configured fleet make the holder,
// whose lease ends earlier by the drift that two clocks may have, counted from when it asked. So nobody else can begin
// before a holder has stopped, whether it is killed, stalled or cut off. What is done under a duty carries its token: who
// has heard of a later one ignores it. See docs/duties.md.
package lease

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Time is a point on this node's clock, counted from its start. Clocks of two nodes need not agree; they may drift.
type Time = time.Duration

// Config is what a node is told. All nodes should be told the same, but for Self, Epoch and Seed.
type Config struct {
	Self, Nodes   int
	PeerListID    uint32 // names the list of peers: what comes from a node that has another list counts for nothing
	Resources     []string
	LeaseDuration time.Duration
	MaxClockDrift float64 // of two clocks against each other, at most
	Epoch         uint64  // Unix milliseconds at Time 0: tokens grow with it where a majority forgot the last one
	Seed          uint64
}

// MaxResources bounds the duties of a fleet.
const MaxResources = 16

// Validate tells which field makes no sense.
func (c Config) Validate() error {
	if err := agreement.ValidateNodes(c.Self, c.Nodes, math.MaxInt); err != nil {
		return err
	}
	switch {
	case c.LeaseDuration < leastLease:
		return fmt.Errorf("lease: must be %s at least", leastLease)
	case agreement.ValidateClockDrift(c.MaxClockDrift) != nil:
		return agreement.ErrClockDrift
	case len(c.Resources) == 0 || len(c.Resources) > MaxResources:
		return fmt.Errorf("hold: from 1 to %d duties can be", MaxResources)
	}
	ids := map[uint32]bool{}
	for _, name := range c.Resources {
		if name == "" || ids[HashName(name)] {
			return fmt.Errorf("hold: %q stands there twice, or is no name", name)
		}
		ids[HashName(name)] = true
	}
	return nil
}

const (
	leastLease = 100 * time.Millisecond
	renewals   = 3    // rounds in a lease: two may be lost
	repeats    = 8    // an ask is sent again so often in a lease, while too few answer
	fewest     = 10   // nodes for which waits are drawn, at least: of three a third would not wait at all
	kept       = 4    // rounds of which answers still count
	ahead      = 3600 // seconds by which a token may be ahead of this node's clock: no clock is further off
)

// HashName is the number by which a duty or a list of peers is told.
func HashName(text string) uint32 { return agreement.HashName(text) }

// Event is what the core is told: one of the types below it.
type Event interface{ event() }

type (
	// Tick says that time went on; the core wants one every Lease/16 or so.
	Tick struct{}
	// MessageReceived brings a datagram of another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// Announce tells all nodes something under a duty, if this node holds it.
	Announce struct{ Resource string }
	// Resign gives back what this node holds, and asks for nothing more: it is about to end.
	Resign struct{}
	// PeersChanged changes the list of peers. Two lists in a row may differ by one node, or two majorities need not share one.
	PeersChanged struct {
		Self, Nodes int
		PeerListID  uint32
	}
)

func (Tick) event()            {}
func (MessageReceived) event() {}
func (Announce) event()        {}
func (Resign) event()          {}
func (PeersChanged) event()    {}

// Effect is what the core wants done: one of the types below it.
type Effect interface{ effect() }

type (
	// Send moves a datagram to a node, or to all others where To is All.
	Send struct {
		To   int
		Data []byte
	}
	// Acquired says that this node has a duty from now on; it asks Holds at each deed.
	Acquired struct {
		Resource string
		Token    uint64
	}
	// Lost says that it no longer has it.
	Lost struct {
		Resource string
		Token    uint64
	}
	// HolderChanged says who has a duty as far as this node knows: None, itself, or another node.
	HolderChanged struct {
		Resource string
		Node     int
		Token    uint64
	}
	// Announced brings what the holder of a duty told all.
	Announced struct {
		Resource string
		Node     int
		Token    uint64
	}
	// LogEvent is for the log and the counters.
	LogEvent struct {
		Kind     LogEventKind
		Resource string
		Node     int
		Token    uint64
		Reason   Reason
	}
)

// AllNodes is the address of all other nodes, None is no node, and Mine is what agents call their own.
const (
	AllNodes = agreement.AllNodes
	NoNode   = agreement.NoNode
	ThisNode = -2
)

func (Send) effect()          {}
func (Acquired) effect()      {}
func (Lost) effect()          {}
func (HolderChanged) effect() {}
func (Announced) effect()     {}
func (LogEvent) effect()      {}

// LogEventKind is what happened.
type LogEventKind int

// What is noted.
const (
	LogLeaseRequested LogEventKind = iota
	LogLeaseAcquired
	LogLeaseLost
	LogRequestAbandoned
	LogLeaseDenied
	LogHolderChanged // to another node, as this one heard
	LogTokenStale    // something came under a token that is over
	LogMessageCorrupt
	LogEventKinds
)

func (k LogEventKind) String() string {
	return [...]string{"asked", "held", "lost", "gave_up", "refused", "handed_over", "stale", "garbled"}[k]
}

// Reason says why an ask is refused, or a duty lost.
type Reason byte

// The reasons.
const (
	ReasonGranted         Reason = iota
	ReasonTaken                  // another node has it
	ReasonContested              // another node asks for it and has not won yet
	ReasonTokenSuperseded        // the token is not greater than the last
	ReasonAbstaining             // the node has just started: what it granted before is unknown to it
	ReasonExpired                // the lease ended with too few answers
	ReasonResigned               // given back
	ReasonPeersChanged           // the list of peers changed
	reasons
)

func (r Reason) String() string {
	return [...]string{"granted", "taken", "contested", "old_token", "abstains", "expired", "resigned", "peers_changed"}[r]
}

// round is one ask that was sent to all.
type round struct {
	n     uint32
	sent  Time
	yes   map[int]bool
	no    map[int]bool
	valid bool
}

// duty is one of them as this node sees it.
type duty struct {
	name string
	id   uint32

	high     uint64 // greatest token that is known to have been held: what comes under a lesser one is old
	promised uint64 // greatest token granted: whoever asks anew has to have a greater one
	// The last token that each node gave back: what still comes from it under that was on its way. A token that one node asked under in
	// vain says nothing of a lower one that another holds.
	released map[int]uint64

	to      int // whom this node granted it
	token   uint64
	granted Time // until when
	settled bool // it had it by its own word

	holder    int // as heard
	heardOf   uint64
	heardTill Time

	own    uint64 // token that this node asks or holds under; 0 is none
	held   bool
	until  Time
	since  Time
	rounds [kept]round // a ring
	last   uint32      // number of the last round
	sentAt Time        // when an ask was last sent
	nextAt Time        // when to ask; 0 is not planned
	tries  int         // asks in a row that nobody won
	free   Time        // when a node that refused would grant
}

// Core is one node's part. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	duties  []*duty
	begun   Time
	started bool
	over    bool
	effects []Effect
}

// New makes a core. It takes part from its first event on.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Epoch))}
	for _, name := range cfg.Resources {
		c.duties = append(c.duties, &duty{name: name, id: HashName(name), to: NoNode, holder: NoNode, released: map[int]uint64{}})
	}
	return c, nil
}

// Step takes one event and returns its effects, which belong to the caller.
func (c *Core) Step(now Time, ev Event) []Effect {
	c.effects = nil
	if !c.started {
		c.started, c.begun = true, now
	}
	// First what time did: an answer that comes after the lease must not find it still held.
	for _, d := range c.duties {
		c.expire(now, d)
	}
	switch e := ev.(type) {
	case MessageReceived:
		c.heard(now, e)
	case Announce:
		if d := c.named(e.Resource); d != nil && d.held {
			c.do(Send{AllNodes, c.message(kindWord, d.id, d.own, 0, 0)})
		}
	case Resign:
		c.over = true
		for _, d := range c.duties {
			c.drop(now, d, ReasonResigned)
		}
	case PeersChanged:
		c.move(now, e)
	}
	for _, d := range c.duties {
		c.pursue(now, d)
	}
	return c.effects
}

func (c *Core) do(e Effect) { c.effects = append(c.effects, e) }

func (c *Core) note(kind LogEventKind, d *duty, node int, token uint64, why Reason) {
	c.do(LogEvent{kind, d.name, node, token, why})
}

func (c *Core) named(name string) *duty {
	i := slices.IndexFunc(c.duties, func(d *duty) bool { return d.name == name })
	if i < 0 {
		return nil
	}
	return c.duties[i]
}

// Holds tells whether this node has a duty at this moment, and under which token. A node that stalled asks before it acts.
func (c *Core) Holds(now Time, name string) (token uint64, ok bool) {
	if d := c.named(name); d != nil && d.held && now < d.until {
		return d.own, true
	}
	return 0, false
}

// majority returns how many nodes have to grant a lease.
func majority(nodes int) int { return agreement.Majority(nodes) }

// lease is how long a holder trusts answers, by its own clock.
func (c *Core) lease() time.Duration {
	return agreement.HolderTimeout(c.cfg.LeaseDuration, c.cfg.MaxClockDrift)
}

// abstains tells whether this node may not grant yet: what it granted before it started, or under another list of peers,
// is unknown to it or was counted otherwise, and is over after a lease.
func (c *Core) abstains(now Time) bool {
	return c.cfg.Nodes > 1 && !agreement.HasExpired(now-c.begun, c.cfg.LeaseDuration, c.cfg.MaxClockDrift)
}

func (c *Core) wall(now Time) uint64 { return c.cfg.Epoch + uint64(now/time.Millisecond) }

// expire ends what is over by the clock.
func (c *Core) expire(now Time, d *duty) {
	if d.held && now >= d.until {
		c.drop(now, d, ReasonExpired)
	}
	if d.holder != NoNode && d.holder != c.cfg.Self && now >= d.heardTill {
		c.know(now, d, NoNode, d.heardOf)
	}
}

// drop gives a duty back, or an ask for it. Those that granted it are told, so that they need not wait for its end.
func (c *Core) drop(now Time, d *duty, why Reason) {
	if d.own == 0 {
		return
	}
	token, held := d.own, d.held
	d.own, d.held, d.nextAt = 0, false, 0
	for i := range d.rounds {
		d.rounds[i].valid = false
	}
	if d.to == c.cfg.Self && d.token == token {
		d.to = NoNode
	}
	c.do(Send{AllNodes, c.message(kindRelease, d.id, token, 0, 0)})
	if !held {
		c.note(LogRequestAbandoned, d, c.cfg.Self, token, why)
		return
	}
	c.do(Lost{d.name, token})
	c.note(LogLeaseLost, d, c.cfg.Self, token, why)
	c.know(now, d, NoNode, token)
}

// know takes it that a node has a duty.
func (c *Core) know(now Time, d *duty, node int, token uint64) {
	d.heardTill = now + c.cfg.LeaseDuration
	if d.holder == node && d.heardOf == token {
		return
	}
	if node != NoNode && node != c.cfg.Self {
		c.note(LogHolderChanged, d, node, token, ReasonGranted)
	}
	d.holder, d.heardOf = node, token
	c.do(HolderChanged{d.name, node, token})
}

// pursue does what is due for a duty: to renew it, to ask for it again, or to begin to ask.
func (c *Core) pursue(now Time, d *duty) {
	switch r := d.round(d.last); {
	case c.over:
	case d.own != 0 && !d.held && (len(r.no) > c.cfg.Nodes-majority(c.cfg.Nodes) || now-r.sent >= c.lease()/2):
		if d.free <= now {
			d.tries++
		}
		c.drop(now, d, ReasonTaken)
		d.nextAt = max(now, d.free) + c.wait(d)
	case d.held && now-r.sent >= c.cfg.LeaseDuration/renewals:
		c.send(now, d)
	case d.own != 0 && len(r.yes) < majority(c.cfg.Nodes) && now-d.sentAt >= c.cfg.LeaseDuration/repeats:
		c.resend(now, d) // some may be lost
	case d.own != 0:
	case c.abstains(now) || d.holder != NoNode && now < d.heardTill || d.to != NoNode && now < d.granted:
		d.nextAt, d.tries = 0, 0
	case d.nextAt == 0:
		d.nextAt = now + c.wait(d)
	case now >= d.nextAt:
		d.own = max(d.high+1, d.promised+1, c.wall(now))
		d.free = 0
		c.note(LogLeaseRequested, d, c.cfg.Self, d.own, ReasonGranted)
		c.send(now, d)
	}
}

// wait is drawn so that few of many nodes are early and those apart, however many there are: exponentially distributed
// timers, as Nonnenmacher and Biersack use them to have one of a large group answer (Scalable feedback for large groups,
// 1999). Two that ask at once may take the votes from each other; after that all wait longer.
func (c *Core) wait(d *duty) time.Duration {
	span := float64(c.cfg.LeaseDuration / 4 << min(d.tries, 4))
	early := math.Log(1-c.rng.Float64()) / math.Log(float64(max(fewest, c.cfg.Nodes)))
	return 1 + time.Duration(span*max(0, 1+early))
}

func (d *duty) round(n uint32) *round { return &d.rounds[n%kept] }

// send begins another round of the ask: each counts from its own moment, so a late answer to an early one can prolong
// nothing.
func (c *Core) send(now Time, d *duty) {
	d.last++
	*d.round(d.last) = round{n: d.last, sent: now, yes: map[int]bool{}, no: map[int]bool{}, valid: true}
	c.resend(now, d)
	c.vote(now, d, c.cfg.Self, d.last, c.decide(now, d, c.cfg.Self, d.own, d.held), 0)
}

func (c *Core) resend(now Time, d *duty) {
	d.sentAt = now
	flags := byte(0)
	if d.held {
		flags = flagHeld
	}
	c.do(Send{AllNodes, c.message(kindAsk, d.id, d.own, d.last, flags)})
}

// decide answers an ask and keeps what it granted.
func (c *Core) decide(now Time, d *duty, from int, token uint64, held bool) Reason {
	switch same := d.to == from && d.token == token; {
	case c.abstains(now):
		return ReasonAbstaining
	case same && now < d.granted:
	case d.to != NoNode && d.to != from && now < d.granted && d.settled:
		return ReasonTaken
	case d.to != NoNode && d.to != from && now < d.granted:
		return ReasonContested // a node that asks under another token has given the one before back
	case d.to == from && token < d.token && now < d.granted:
		return ReasonTokenSuperseded // a renewal of before that comes late: what the node gave back under it must not take the grant of now with it
	case token < d.high || token <= d.released[from] || token <= d.promised && !same && !held:
		return ReasonTokenSuperseded
	}
	// A holder is granted its token again though another node was granted a greater one meanwhile and did not win: it must
	// not lose the vote for good. What was promised stays promised.
	d.to, d.token, d.promised, d.granted, d.settled = from, token, max(d.promised, token), now+c.cfg.LeaseDuration, held
	return ReasonGranted
}

// vote counts an answer to one of the rounds.
func (c *Core) vote(now Time, d *duty, from int, n uint32, why Reason, left time.Duration) {
	r := d.round(n)
	if d.own == 0 || !r.valid || r.n != n {
		return
	}
	if why != ReasonGranted {
		r.no[from] = true
		d.free = max(d.free, now+min(left, c.cfg.LeaseDuration))
		return
	}
	r.yes[from] = true
	until := r.sent + c.lease()
	if len(r.yes) < majority(c.cfg.Nodes) || now >= until || until <= d.until && d.held {
		return
	}
	d.until = until
	if !d.held {
		d.held, d.since, d.tries, d.high = true, now, 0, max(d.high, d.own)
		c.do(Acquired{d.name, d.own})
		c.note(LogLeaseAcquired, d, c.cfg.Self, d.own, ReasonGranted)
		c.know(now, d, c.cfg.Self, d.own)
		c.send(now, d) // all others hear at once who has it
	}
}

func (c *Core) heard(now Time, e MessageReceived) {
	if !agreement.IsPeer(e.From, c.cfg.Self, c.cfg.Nodes) {
		return
	}
	m, err := decode(e.Data)
	if err != nil || m.token > c.wall(now)+ahead*1000 {
		c.do(LogEvent{Kind: LogMessageCorrupt, Node: e.From})
		return
	}
	i := slices.IndexFunc(c.duties, func(d *duty) bool { return d.id == m.duty })
	if i < 0 || m.fleet != c.cfg.PeerListID {
		return
	}
	d := c.duties[i]
	switch m.kind {
	case kindAsk:
		if m.flags&flagHeld != 0 {
			c.heardHolder(now, d, e.From, m.token)
		}
		if d.own != 0 && !d.held && m.token > d.own {
			c.drop(now, d, ReasonContested) // of two that ask at once the greater token wins, at once
		}
		a := message{kind: kindAnswer, fleet: c.cfg.PeerListID, duty: d.id, token: m.token, round: m.round}
		if a.why = c.decide(now, d, e.From, m.token, m.flags&flagHeld != 0); a.why != ReasonGranted {
			c.note(LogLeaseDenied, d, e.From, m.token, a.why)
		}
		if a.high = max(d.high, d.promised); a.why == ReasonTaken {
			a.left = uint32((d.granted - now) / time.Millisecond)
		}
		c.do(Send{e.From, a.encode()})
	case kindAnswer:
		if m.token == d.own {
			d.promised = max(d.promised, min(m.high, c.wall(now)+ahead*1000))
			c.vote(now, d, e.From, m.round, m.why, time.Duration(m.left)*time.Millisecond)
		}
	case kindRelease:
		d.released[e.From] = max(d.released[e.From], m.token)
		if d.to == e.From && d.token == m.token {
			d.to = NoNode
		}
		if d.holder == e.From && d.heardOf == m.token {
			c.know(now, d, NoNode, m.token)
		}
	case kindWord:
		if m.token < d.high || m.token <= d.released[e.From] {
			c.note(LogTokenStale, d, e.From, m.token, ReasonTokenSuperseded)
			return
		}
		c.heardHolder(now, d, e.From, m.token)
		c.do(Announced{d.name, e.From, m.token})
	}
}

// heardHolder takes it that a node holds a duty, as it says itself: it had more than half of the fleet for it.
func (c *Core) heardHolder(now Time, d *duty, from int, token uint64) {
	if token < d.high || token <= d.released[from] || d.held && token <= d.own {
		return
	}
	d.high = token
	c.know(now, d, from, token)
}

// move takes another list of peers: what is held under the old one is given back, and nothing is granted before all that
// was granted under it is over.
func (c *Core) move(now Time, e PeersChanged) {
	next := c.cfg
	next.Self, next.Nodes, next.PeerListID = e.Self, e.Nodes, e.PeerListID
	if next.Validate() != nil || e.PeerListID == c.cfg.PeerListID {
		return
	}
	for _, d := range c.duties {
		c.drop(now, d, ReasonPeersChanged)
		if d.holder != NoNode {
			c.know(now, d, NoNode, d.heardOf)
		}
		d.to, d.nextAt = NoNode, 0
		clear(d.released) // of nodes that have other numbers now
	}
	c.cfg, c.begun = next, now
}

// Status is one duty as this node sees it.
type Status struct {
	Resource   string        `json:"duty"`
	Holder     int           `json:"holder"` // -1: nobody that this node knows of
	Token      uint64        `json:"token"`
	IsHeldHere bool          `json:"mine"`
	Since      time.Duration `json:"held_for_ns,omitempty"` // of this node's own
	State      string        `json:"state"`                 // held, asking, waiting, abstains or idle
}

// Status lists all duties.
func (c *Core) Status(now Time) []Status {
	var out []Status
	for _, d := range c.duties {
		s := Status{Resource: d.name, Holder: d.holder, Token: d.heardOf, State: "idle"}
		switch _, mine := c.Holds(now, d.name); {
		case mine:
			s.IsHeldHere, s.Since, s.State = true, now-d.since, "held"
		case d.own != 0:
			s.State = "asking"
		case c.abstains(now):
			s.State = "abstains"
		case d.nextAt > 0:
			s.State = "waiting"
		}
		out = append(out, s)
	}
	return out
}
