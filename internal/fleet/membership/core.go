// Package membership knows which nodes of a fleet are there. It is SWIM (Das, Gupta and Motivala, 2002) with suspicion and
// refutation, in datagrams of 256 bytes at most, among the nodes of a configured list. The core has no clock and no I/O: it
// takes (now, event) and returns effects.
//
// Each node probes one other a period, in an order of its own that comes to everybody in turn. One that does not answer is asked
// through a few others, and then suspected; a suspect that does not refute it in time is dead. News ride on every datagram.
// Whatever is known of a node is ordered by its life (its process's start) and its word within it, so what is late, doubled or
// out of order changes nothing. See docs/fleet.md.
package membership

import (
	"errors"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Time is a point on this node's clock, counted from its start.
type Time = time.Duration

// State is what is known of a node.
type State byte

// The states, in the order in which one goes before another of the same word.
const (
	Unknown State = iota // nothing was heard yet
	Alive
	Suspect
	Dead
	Left // it said that it ends
	states
)

func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[s]
}

// Config is what a node is told.
type Config struct {
	Self, Nodes     int
	PeerListID      uint32        // names the list of nodes: numbers of nodes mean nothing under another
	Incarnation     uint64        // Unix milliseconds of the process's start: greater for each process of a node, but for what clocks do
	ProbeInterval   time.Duration // between two probes of a node
	ProbeTimeout    time.Duration // for an answer, before others are asked to ask
	IndirectProbes  int           // others that are asked
	SuspicionFactor float64       // periods, times the logarithm of the fleet, after which a suspect is dead
	Seed            uint64
}

// Validate tells which field makes no sense.
func (c Config) Validate() error {
	switch {
	case c.Nodes < 1 || c.Nodes > 1<<16-1 || c.Self < 0 || c.Self >= c.Nodes:
		return errors.New("nodes: this one is not among them")
	case c.ProbeInterval < 50*time.Millisecond:
		return errors.New("period: must be 50ms at least")
	case c.ProbeTimeout <= 0 || c.ProbeTimeout > c.ProbeInterval/2:
		return errors.New("wait: must be above 0, and half a period at most")
	case c.IndirectProbes < 0 || c.IndirectProbes > 10:
		return errors.New("ask: must be from 0 to 10")
	case !(c.SuspicionFactor >= 1 && c.SuspicionFactor <= 100):
		return errors.New("suspicion: must be from 1 to 100")
	}
	return nil
}

// Event is what the core is told: one of the types below it.
type Event interface{ event() }

type (
	// Tick says that time went on; the core wants one every Wait/2 or so.
	Tick struct{}
	// MessageReceived brings a datagram of another node.
	MessageReceived struct {
		From int
		Data []byte
	}
	// ShutdownStarted says that this node ends.
	ShutdownStarted struct{}
	// PeersChanged brings another list of nodes. All of them are unknown then.
	PeersChanged struct {
		Self, Nodes int
		PeerListID  uint32
	}
)

func (Tick) event()            {}
func (MessageReceived) event() {}
func (ShutdownStarted) event() {}
func (PeersChanged) event()    {}

// Effect is what the core wants done: one of the types below it.
type Effect interface{ effect() }

type (
	// Send moves a datagram to a node.
	Send struct {
		To   int
		Data []byte
	}
	// StateChanged says that another node counts as something else from now on, or that a process of a later life has its name.
	StateChanged struct {
		Node        int
		From        State
		To          State
		Incarnation uint64
	}
	// FleetSizeChanged says how many nodes share the work from now on, this one among them; 0: that cannot be told (Core.Count).
	FleetSizeChanged struct{ Nodes int }
	// IncarnationConflict says that a process of this node's name and of a later life was heard of: one from before a clock was set back, or
	// one that runs now, in which case this comes again and again. This process's life goes past it.
	IncarnationConflict struct{ Incarnation uint64 }
	// MessageRejected says that a datagram counted for nothing: it was garbled, or goes by another list of nodes.
	MessageRejected struct {
		From          int
		OtherPeerList bool
	}
)

func (Send) effect()                {}
func (StateChanged) effect()        {}
func (FleetSizeChanged) effect()    {}
func (IncarnationConflict) effect() {}
func (MessageRejected) effect()     {}

// member is what is known of a node.
type member struct {
	state State
	life  uint64
	word  uint8 // counts refutations within a life
	since Time  // of the state
	left  int   // times that this is still told
	heard Time  // a datagram of it
}

// probe is the question of this period.
type probe struct {
	node    int
	seq     uint32
	sent    Time
	asked   bool // others were
	waiting bool
}

// errand is a question that this node asks for another.
type errand struct {
	for_ int
	seq  uint32 // of the other's question
	node int
	own  uint32 // of this node's
	at   Time
}

// Core is one node's part. It is not safe for concurrent use.
type Core struct {
	cfg     Config
	rng     *rand.Rand
	started bool
	begun   Time // of the list of nodes
	over    bool // it left
	count   int
	members []member
	order   []int // in which others are probed
	next    int
	period  Time // when the next one begins
	last    Time // event
	probe   probe
	seq     uint32
	errands []errand
	round   int
	effects []Effect
}

const (
	deadEvery = 4   // periods between two probes of a node that counts as dead: a fleet that fell apart comes together again
	tellTimes = 3.0 // times, times the logarithm of the fleet, that news are told
	pause     = 3   // periods without an event that show that this process was stopped: its questions tell nothing then
	rounds    = 2   // probes of everybody, in which a node that is there is heard by each other one

	// A life so far past this node's date is none. Lives go by the dates of the nodes' machines, and one that is far off must not
	// bar a node's later processes from its name.
	future = 24 * time.Hour
)

// New makes a core. It takes part from its first event on.
func New(cfg Config) (*Core, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	c := &Core{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation))}
	c.begin(cfg.Incarnation)
	return c, nil
}

// begin forgets all nodes but this one.
func (c *Core) begin(life uint64) {
	c.members = make([]member, c.cfg.Nodes)
	c.members[c.cfg.Self] = member{state: Alive, life: life}
	c.order, c.next, c.probe, c.errands = nil, 0, probe{}, nil
	for i := range c.cfg.Nodes {
		if i != c.cfg.Self {
			c.order = append(c.order, i)
		}
	}
	c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
}

// scale is the logarithm of the fleet that spreading and suspicion go by.
func (c *Core) scale() float64 { return math.Log2(float64(c.cfg.Nodes) + 1) }

func (c *Core) times() int { return int(math.Ceil(tellTimes * c.scale())) }

// SuspicionTimeout is how long a node is suspected before it is dead.
func (c *Core) SuspicionTimeout() time.Duration {
	return time.Duration(c.cfg.SuspicionFactor * c.scale() * float64(c.cfg.ProbeInterval))
}

// Step takes one event and returns its effects, which belong to the caller.
func (c *Core) Step(now Time, ev Event) []Effect {
	c.effects = nil
	if c.over {
		return nil
	}
	if !c.started {
		c.started, c.begun, c.period, c.last = true, now, now+time.Duration(c.rng.Int64N(int64(c.cfg.ProbeInterval))), now
	}
	if now-c.last > pause*c.cfg.ProbeInterval {
		// This process was stopped. What it asked before has long been answered, and what it suspects may have been refuted.
		c.probe.waiting, c.errands = false, nil
		for i := range c.members {
			if m := &c.members[i]; m.state == Suspect {
				m.since = now
			}
		}
	}
	c.last = now
	switch e := ev.(type) {
	case MessageReceived:
		c.heard(now, e)
	case ShutdownStarted:
		c.leave()
		return c.effects
	case PeersChanged:
		was := c.cfg
		c.cfg.Self, c.cfg.Nodes, c.cfg.PeerListID = e.Self, e.Nodes, e.PeerListID
		if c.cfg.Validate() != nil {
			c.cfg = was
			break
		}
		c.begun = now
		c.begin(c.members[was.Self].life)
	}
	c.look(now)
	if n := c.FleetSize(now); n != c.count {
		c.count = n
		c.do(FleetSizeChanged{n})
	}
	return c.effects
}

func (c *Core) do(e Effect) { c.effects = append(c.effects, e) }

// look does what is due.
func (c *Core) look(now Time) {
	if p := &c.probe; p.waiting && !p.asked && now-p.sent >= c.cfg.ProbeTimeout {
		p.asked = true
		for _, other := range c.some(c.cfg.IndirectProbes, p.node) {
			c.send(other, message{kind: kindAsk, seq: p.seq, node: uint16(p.node)})
		}
	}
	c.errands = slices.DeleteFunc(c.errands, func(e errand) bool { return now-e.at >= c.cfg.ProbeInterval })
	for i := range c.members {
		if m := &c.members[i]; m.state == Suspect && now-m.since >= c.SuspicionTimeout() {
			c.take(now, i, news{node: uint16(i), life: m.life, word: m.word, state: Dead})
		}
	}
	if now < c.period {
		return
	}
	c.period = max(c.period+c.cfg.ProbeInterval, now+c.cfg.ProbeInterval/2)
	if p := c.probe; p.waiting {
		if m := c.members[p.node]; m.state == Alive && m.heard < p.sent {
			c.take(now, p.node, news{node: uint16(p.node), life: m.life, word: m.word, state: Suspect})
		}
	}
	c.ask(now)
}

// ask begins a period: it probes the next node in turn, and now and then one that counts as dead or was never heard.
func (c *Core) ask(now Time) {
	c.probe.waiting = false
	c.round++
	for range c.order {
		node := c.order[c.next]
		if c.next++; c.next == len(c.order) {
			c.next = 0
			c.rng.Shuffle(len(c.order), func(i, j int) { c.order[i], c.order[j] = c.order[j], c.order[i] })
		}
		if s := c.members[node].state; s == Alive || s == Suspect {
			c.seq++
			c.probe = probe{node: node, seq: c.seq, sent: now, waiting: true}
			c.send(node, message{kind: kindPing, seq: c.seq})
			break
		}
	}
	var away []int
	for _, node := range c.order {
		if s := c.members[node].state; s == Dead || s == Unknown || s == Left {
			away = append(away, node)
		}
	}
	if len(away) > 0 && (c.round%deadEvery == 0 || len(away) == len(c.order)) {
		c.seq++
		c.send(away[c.rng.IntN(len(away))], message{kind: kindPing, seq: c.seq})
	}
}

// some draws nodes that are there, but not one.
func (c *Core) some(n, but int) []int {
	var out []int
	for _, i := range c.rng.Perm(c.cfg.Nodes) {
		if len(out) < n && i != but && i != c.cfg.Self && c.members[i].state == Alive {
			out = append(out, i)
		}
	}
	return out
}

func (c *Core) heard(now Time, e MessageReceived) {
	if e.From < 0 || e.From >= c.cfg.Nodes || e.From == c.cfg.Self {
		return
	}
	m, err := decode(e.Data)
	if err != nil || m.fleet != c.cfg.PeerListID {
		c.do(MessageRejected{e.From, err == nil})
		return
	}
	c.members[e.From].heard = now
	most := c.cfg.Incarnation + uint64((now+future)/time.Millisecond)
	for _, n := range m.news {
		if int(n.node) < c.cfg.Nodes && n.life <= most {
			c.take(now, int(n.node), n)
		}
	}
	switch m.kind {
	case kindPing:
		c.send(e.From, message{kind: kindAck, seq: m.seq})
	case kindAsk:
		if to := int(m.node); to < c.cfg.Nodes && to != c.cfg.Self {
			c.seq++
			c.errands = append(c.errands, errand{for_: e.From, seq: m.seq, node: to, own: c.seq, at: now})
			c.send(to, message{kind: kindPing, seq: c.seq})
		}
	case kindAck:
		if p := &c.probe; p.waiting && p.seq == m.seq {
			p.waiting = false
			break
		}
		c.errands = slices.DeleteFunc(c.errands, func(r errand) bool {
			if r.own != m.seq || r.node != e.From {
				return false
			}
			c.send(r.for_, message{kind: kindAck, seq: r.seq})
			return true
		})
	}
}

// newer tells whether news say something that was not known: of a later life, of a later word, or of one that goes before.
func newer(m member, n news) bool {
	switch {
	case m.state == Unknown || n.life != m.life:
		return m.state == Unknown || n.life > m.life
	case n.word != m.word:
		return int8(n.word-m.word) > 0
	}
	return n.state > m.state
}

// take takes news of a node.
func (c *Core) take(now Time, node int, n news) {
	if n.state == Unknown || n.state >= states {
		return
	}
	if node == c.cfg.Self {
		c.refute(n)
		return
	}
	m := &c.members[node]
	if !newer(*m, n) {
		return
	}
	was, since := *m, now
	if was.state == n.state {
		since = m.since
	}
	*m = member{state: n.state, life: n.life, word: n.word, since: since, left: c.times(), heard: m.heard}
	if was.state != n.state || was.life != n.life {
		c.do(StateChanged{node, was.state, n.state, n.life})
	}
}

// refute says that this node is there, where others say that it is not, or that it is another process.
func (c *Core) refute(n news) {
	me := &c.members[c.cfg.Self]
	switch {
	case n.life > me.life:
		c.do(IncarnationConflict{n.life})
		me.life, me.word = n.life+1, 0
	case n.life == me.life && n.state != Alive && int8(n.word-me.word) >= 0:
		me.word = n.word + 1
	}
}

// leave tells some others that this node ends; they tell the rest.
func (c *Core) leave() {
	c.members[c.cfg.Self].state = Left
	for _, to := range c.some(c.cfg.IndirectProbes+2, c.cfg.Self) {
		c.seq++
		c.send(to, message{kind: kindPing, seq: c.seq})
	}
	c.over = true
}

// send sends a message with the news that were told least often so far, this node's own word first.
func (c *Core) send(to int, m message) {
	m.fleet = c.cfg.PeerListID
	var tell []int
	for i := range c.members {
		if c.members[i].left > 0 && i != c.cfg.Self {
			tell = append(tell, i)
		}
	}
	slices.SortStableFunc(tell, func(i, j int) int { return c.members[j].left - c.members[i].left })
	first := []int{c.cfg.Self}
	if s := c.members[to].state; s == Suspect || s == Dead { // it must hear what it is taken for, to refute it
		first = append(first, to)
		tell = slices.DeleteFunc(tell, func(i int) bool { return i == to })
	}
	for _, i := range append(first, tell[:min(len(tell), mostNews-len(first))]...) {
		k := &c.members[i]
		m.news = append(m.news, news{uint16(i), k.life, k.word, k.state})
		if i != c.cfg.Self && k.left > 0 {
			k.left--
		}
	}
	c.do(Send{to, m.encode()})
}

// Member is one node as this one knows it.
type Member struct {
	Node        int           `json:"node"`
	State       string        `json:"state"`
	Incarnation uint64        `json:"started_ms"`
	Duration    time.Duration `json:"for_ns"`
}

// Members lists all nodes.
func (c *Core) Members(now Time) []Member {
	out := make([]Member, len(c.members))
	for i, m := range c.members {
		out[i] = Member{i, m.state.String(), m.life, now - m.since}
	}
	return out
}

// FleetSize is how many nodes share the work, this one among them: those that are there, or suspected, those that this node heard
// itself within two rounds of probes, whatever others say of them, so that no other node can make it smaller, and those of which
// it has not had the time to hear. It is 0 where no more than half of the list is heard: in a fleet that fell apart each part
// has all the others for dead, and clients reach them all.
func (c *Core) FleetSize(now Time) int {
	recent := rounds * time.Duration(len(c.order)) * c.cfg.ProbeInterval
	young := now-c.begun < recent+c.SuspicionTimeout()
	heard, unheard := 0, 0
	for i, m := range c.members {
		switch {
		case i == c.cfg.Self || m.state == Alive || m.state == Suspect || m.heard > 0 && now-m.heard < recent:
			heard++
		case m.state == Unknown && young:
			unheard++
		}
	}
	if 2*heard <= c.cfg.Nodes {
		return 0
	}
	return heard + unheard
}
