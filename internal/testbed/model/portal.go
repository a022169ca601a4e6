package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"shelfproxy/internal/testbed/eventqueue"
)

// Spec is all that a portal is made of.
type Spec struct {
	Seed         uint64
	Nodes        []NodeSpec
	CacheServers []CacheServerSpec
	Origin       OriginSpec
	OriginZone   string
	Discovery    DiscoverySpec
	Link         LinkSpec
	Classes      []ClassSpec
	Faults       []Fault
}

// NodeSpec is a node as the portal sees it.
type NodeSpec struct{ Name, Zone string }

// CacheServerSpec is a box that is there from the start.
type CacheServerSpec struct {
	Kind  *CacheServerKind
	Zone  string
	Cell  int
	Speed float64
}

// ClassSpec is what the requests of a class cost.
type ClassSpec struct {
	Name                string
	WorkLeast, WorkMost time.Duration
}

// OriginID is the id and the kind of the origin in the list.
const OriginID = "origin"

// Events of a driver.
type (
	// Event is one of the types below it.
	Event interface{ event() }
	// Connect says that a node's connection came up at the server of a slot.
	Connect struct {
		Conn       ConnID
		Node, Slot int
	}
	// Closed says that the node ended a connection.
	Closed struct{ Conn ConnID }
	// RequestArrived says that the last byte of a request was written to a connection. Its Work is set by the portal.
	RequestArrived struct{ Request }
	// HealthCheck asks a server for a sign of life or, with Load, its load.
	HealthCheck struct {
		Conn ConnID
		Seq  uint64
		Load bool
	}
	// DiscoveryCall is a call of discovery: for the whole list, or for what came after a version and from then on.
	DiscoveryCall struct {
		Call  uint64
		Node  int
		Watch bool
		After int64
	}
	// DiscoveryCancelled ends a call from the node's side.
	DiscoveryCancelled struct{ Call uint64 }
)

func (Connect) event()            {}
func (Closed) event()             {}
func (RequestArrived) event()     {}
func (HealthCheck) event()        {}
func (DiscoveryCall) event()      {}
func (DiscoveryCancelled) event() {}

// AcceptorState is what becomes of new connections to a slot.
type AcceptorState int

// The states of a door.
const (
	Accepting    AcceptorState = iota
	Refusing                   // refused
	Unresponsive               // never come up
)

// Effects for a driver.
type (
	// Effect is one of the types below it.
	Effect interface{ effect() }
	// Acceptor says what becomes of new connections from a node to a slot from now on. All doors are shut at first.
	Acceptor struct {
		Slot, Node int
		State      AcceptorState
	}
	// Reset ends a connection from the server's side, with whatever is on its way on it.
	Reset struct{ Conn ConnID }
	// Response is written to a connection, after those that were written to it before.
	Response struct {
		Conn       ConnID
		Seq        uint64
		Server     string
		Request    string // id of the client's request; empty for a probe
		Outcome    Outcome
		Copy       Copy
		Load       Load
		Corruption CorruptionKind
		HasLoad    bool // the load was asked for
	}
	// DiscoveryReply is what discovery writes to a call. One that Ends gets nothing more; one that Failed gets a 503, or a
	// reset where it had begun.
	DiscoveryReply struct {
		Call         uint64
		List         *List // nil is an empty line
		Ends, Failed bool
	}
	// RequestExecuted says that work on a request began, for the rules; it is not seen by nodes.
	RequestExecuted struct {
		Request, Server, Class string
		Seq                    uint64
	}
	// ServerOverloaded says that a cold box was pushed over.
	ServerOverloaded struct{ Server string }
	// ServerStarted says that the process of a cold box started, for the rules. At is what the list will say of it.
	ServerStarted struct {
		Server string
		At     Time
	}
	// ServerListed says that discovery has something new to tell of a server, for the rules.
	ServerListed struct {
		Server string
		State  State
	}
	// DiscoveryReachable says whether discovery answers, for the rules. It does at first.
	DiscoveryReachable struct{ Up bool }
)

func (Acceptor) effect()         {}
func (Reset) effect()            {}
func (Response) effect()         {}
func (DiscoveryReply) effect()   {}
func (RequestExecuted) effect()  {}
func (ServerOverloaded) effect() {}
func (ServerStarted) effect()    {}

func (ServerListed) effect()       {}
func (DiscoveryReachable) effect() {}

// System is all of it. It is not safe for concurrent use.
type System struct {
	spec   Spec
	now    Time
	events eventqueue.Queue
	out    []Effect

	servers []*server // in the order in which they came; those long gone are dropped
	bySlot  map[int]*server
	slots   int
	ids     int
	origin  *server
	roster  *roster
	conns   map[ConnID]*conn
	work    map[string]ClassSpec
	missed  map[string]*misses
	misses  []*misses // in the order of their times

	speeds, links, lags, spoil *rand.Rand

	hash    *xxhash.Digest
	line    []byte
	Trace   func(line []byte) // gets every line of the event log, if set; it must not keep it
	started bool
}

type server struct {
	id, zone   string
	cell, slot int
	kind       *CacheServerKind // nil for the origin
	box        *box
	origin     *origin
	started    Time // as the roster tells; 0 is long ago

	kills, frozen, stalled, draining int
	slow, spoilt, lossy              []float64
	cuts                             []int // by node
	leaving                          bool  // it drains and will go
	gone                             bool  // and is gone for good
	dead                             bool  // its process is not there
	doors                            []AcceptorState

	open      []ConnID // ascending
	held      []func() // messages that came while it was frozen
	published Time     // when the roster learns of the latest change
	timer     uint64   // number of the wake that counts
}

type conn struct {
	id      ConnID
	server  *server
	node    int
	in, out *link
	cut     bool // something was lost on it
}

type misses struct {
	id    string
	at    Time
	boxes []*server
}

// New makes a portal. Start puts it into the state of time 0.
func New(spec Spec) *System {
	p := &System{spec: spec, bySlot: map[int]*server{}, conns: map[ConnID]*conn{}, work: map[string]ClassSpec{},
		missed: map[string]*misses{}, hash: xxhash.New(),
		speeds: RandomStream(spec.Seed, "speeds"), links: RandomStream(spec.Seed, "links"), lags: RandomStream(spec.Seed, "lags"),
		spoil: RandomStream(spec.Seed, "spoilt")}
	p.roster = &roster{spec: spec.Discovery, rand: p.lags}
	for _, c := range spec.Classes {
		p.work[c.Name] = c
	}
	return p
}

// Start brings the boxes and the origin up and books the faults.
func (p *System) Start() []Effect {
	if p.started {
		return nil
	}
	p.started = true
	p.origin = p.add(&server{id: OriginID, zone: p.spec.OriginZone, origin: newOrigin(p.spec.Origin, p.spec.Seed)})
	p.roster.set(p.entry(p.origin))
	for _, b := range p.spec.CacheServers {
		s := p.newBoxServer(b.Kind, b.Speed, b.Zone, b.Cell, p.slots, false)
		p.roster.set(p.entry(s))
	}
	for i, f := range p.spec.Faults {
		p.at(f.At, func() { p.begin(i) })
	}
	return p.take()
}

// Step takes an event. Time must not go back; a time before the latest counts as that one.
func (p *System) Step(now Time, ev Event) []Effect {
	p.pass(now)
	switch e := ev.(type) {
	case Connect:
		p.connect(e)
	case Closed:
		p.closed(e.Conn)
	case RequestArrived:
		p.arrive(e)
	case HealthCheck:
		p.probe(e)
	case DiscoveryCall:
		p.ask(e)
	case DiscoveryCancelled:
		p.note("hang-up", strconv.FormatUint(e.Call, 10))
		p.hangUp(e.Call)
	}
	return p.take()
}

// Advance does what is due.
func (p *System) Advance(now Time) []Effect {
	p.pass(now)
	return p.take()
}

// NextEvent is when Tick is wanted next; Never is not.
func (p *System) NextEvent() Time {
	if at, ok := p.events.Next(); ok {
		return at
	}
	return Never
}

// Hash is that of the event log so far.
func (p *System) Hash() uint64 { return p.hash.Sum64() }

// List is the whole list as discovery has it now.
func (p *System) List() List { return p.roster.whole() }

// ServerOf is the id of the server that a connection is to; empty once the connection has ended.
func (p *System) ServerOf(id ConnID) string {
	if c := p.conns[id]; c != nil {
		return c.server.id
	}
	return ""
}

// ServerState is a server as it is, for tables and charts.
type ServerState struct {
	ID, Kind, Zone     string
	Slot               int
	State              State
	Dead, Unresponsive bool
	SlowStart          float64
	Running            int
	Waiting            int
	Conns              int
	Copies             int
	Cores              int
}

// Servers are those that are there, in the order in which they came.
func (p *System) Servers() []ServerState {
	var out []ServerState
	for _, s := range p.servers {
		e := p.entry(s)
		st := ServerState{ID: s.id, Kind: e.Kind, Zone: s.zone, Slot: s.slot, State: e.State, Dead: s.dead, SlowStart: 1,
			Unresponsive: s.frozen > 0, Conns: len(s.open)}
		for _, n := range s.cuts {
			st.Unresponsive = st.Unresponsive || n > 0
		}
		if b := s.box; b != nil {
			st.Running, st.Waiting, st.SlowStart, st.Copies, st.Cores = len(b.running), len(b.waiting), b.warmth(p.now), len(b.memory.byKey), b.kind.Cores
		} else {
			st.Running, st.Waiting, st.Cores = s.origin.working, len(s.origin.waiting), s.origin.spec.Parallel
			st.Unresponsive = s.origin.still(p.now)
		}
		out = append(out, st)
	}
	return out
}

func (p *System) take() []Effect {
	out := p.out
	p.out = nil
	return out
}

// pass does what is due up to now, each at its own time.
func (p *System) pass(now Time) {
	for event, ok := p.events.PopDue(now); ok; event, ok = p.events.PopDue(now) {
		p.now = max(p.now, event.At)
		event.Run()
	}
	p.now = max(p.now, now)
}

// note adds a line to the event log.
func (p *System) note(what string, about ...string) {
	b := strconv.AppendInt(p.line[:0], int64(p.now), 10)
	b = append(append(b, ' '), what...)
	for _, a := range about {
		b = append(append(b, ' '), a...)
	}
	p.line = append(b, '\n')
	p.hash.Write(p.line)
	if p.Trace != nil {
		p.Trace(p.line)
	}
}

func (p *System) emit(e Effect) { p.out = append(p.out, e) }

// add takes a server into the portal.
func (p *System) add(s *server) *server {
	s.cuts, s.doors = make([]int, len(p.spec.Nodes)), make([]AcceptorState, len(p.spec.Nodes))
	for i := range s.doors {
		s.doors[i] = Refusing
	}
	p.slots = max(p.slots, s.slot+1)
	p.servers = append(p.servers, s)
	p.bySlot[s.slot] = s
	p.note("server", s.id, s.zone, strconv.Itoa(s.slot))
	p.settle(s)
	return s
}

func (p *System) newBoxServer(kind *CacheServerKind, speed float64, zone string, cell, slot int, cold bool) *server {
	id := fmt.Sprintf("box-%d", p.ids)
	p.ids++
	s := &server{id: id, zone: zone, cell: cell, slot: slot, kind: kind,
		box: newBox(kind, speed, p.now, cold, RandomStream(p.spec.Seed, "box/"+id))}
	if cold {
		s.started = max(p.now, 1)
		p.emit(ServerStarted{id, s.started})
	}
	return p.add(s)
}

// entry is what the roster would say of a server now.
func (p *System) entry(s *server) Entry {
	e := Entry{ID: s.id, Zone: s.zone, Cell: s.cell, Slot: s.slot, Started: s.started, Origin: s.origin != nil, Kind: OriginID}
	if s.kind != nil {
		e.Kind = s.kind.Name
	}
	switch {
	case s.gone || s.dead:
		e.State = Removed
	case s.leaving || s.draining > 0:
		e.State = Draining
	}
	return e
}

// publish lets the roster learn what is so now, in its own time, and in the order of the changes of a server.
func (p *System) publish(s *server) {
	e := p.entry(s)
	p.note("state", e.ID, e.State.String())
	at := max(s.published, p.now+span(p.lags, p.spec.Discovery.MinLag, p.spec.Discovery.MaxLag)+p.roster.lag)
	s.published = at
	p.at(at, func() {
		p.roster.set(e)
		p.note("listed", e.ID, e.State.String())
		p.emit(ServerListed{e.ID, e.State})
		p.tellWatches()
	})
}

// settle brings a server's process, doors and speed in line with the faults that are on.
func (p *System) settle(s *server) {
	if s.box != nil {
		s.box.advance(p.now)
	}
	var resets []func(*conn) bool // after the doors: who sees one must not find the door open
	if dead := s.gone || s.kills > 0; dead != s.dead {
		s.dead = dead
		if dead {
			p.note("died", s.id)
			resets = append(resets, func(*conn) bool { return true })
			s.held = nil
		} else {
			p.note("started", s.id)
			s.started = max(p.now, 1)
			p.emit(ServerStarted{s.id, s.started})
		}
		if s.box != nil {
			s.box.restart(p.now, true)
		}
		p.publish(s)
	}
	if s.box != nil {
		s.box.factor = 1
		for _, f := range s.slow {
			s.box.factor *= f
		}
		if s.frozen > 0 || s.stalled > 0 {
			s.box.factor = 0
		}
	}
	for n := range s.doors {
		state := Accepting
		switch {
		case s.dead:
			state = Refusing
		case s.cuts[n] > 0:
			state = Unresponsive
		}
		if was := s.doors[n]; state != was {
			s.doors[n] = state
			if was == Unresponsive { // what was open meanwhile is reset now that the machine is back
				resets = append(resets, func(c *conn) bool { return c.node == n })
			}
			if p.bySlot[s.slot] == s {
				p.emit(Acceptor{Slot: s.slot, Node: n, State: state})
			}
		}
	}
	for _, which := range resets {
		p.resetAll(s, which)
	}
	if s.frozen == 0 && len(s.held) > 0 {
		held := s.held
		s.held = nil
		for _, f := range held {
			f()
		}
	}
	p.serve(s)
}

// resetAll ends connections of a server, in the order of their ids.
func (p *System) resetAll(s *server, which func(*conn) bool) {
	for _, id := range slices.Clone(s.open) {
		if c := p.conns[id]; which(c) {
			p.emit(Reset{id})
			p.drop(c)
		}
	}
}

func (p *System) drop(c *conn) {
	delete(p.conns, c.id)
	if at, ok := slices.BinarySearch(c.server.open, c.id); ok {
		c.server.open = slices.Delete(c.server.open, at, at+1)
	}
	if s := c.server; s.box != nil {
		s.box.advance(p.now)
		s.box.closed(c.id)
		p.serve(s)
	} else {
		s.origin.closed(c.id)
	}
}

// retire drains a box, ends its process after a while, and then goes on.
func (p *System) retire(s *server, after time.Duration, then func()) {
	if s.gone || s.leaving {
		return
	}
	s.leaving = true
	p.publish(s)
	p.at(p.now+after, func() {
		s.gone = true
		p.settle(s)
		if s.dead { // it may have been dead before
			p.publish(s)
		}
		then()
		p.servers = slices.DeleteFunc(p.servers, func(o *server) bool { return o == s })
	})
}

// succeed starts a cold box in the place of one that has gone.
func (p *System) succeed(old *server, sameSlot bool) {
	slot := p.slots
	if sameSlot {
		slot = old.slot
	}
	s := p.newBoxServer(old.kind, old.box.speed, old.zone, old.cell, slot, true)
	p.publish(s)
}

func (p *System) connect(e Connect) {
	s := p.bySlot[e.Slot]
	p.note("connect", strconv.Itoa(e.Slot), strconv.Itoa(e.Node), strconv.FormatUint(uint64(e.Conn), 10))
	if s == nil || s.dead || s.kind != nil && s.kind.MaxConnections > 0 && len(s.open) >= s.kind.MaxConnections {
		p.emit(Reset{e.Conn})
		return
	}
	same := s.zone == p.spec.Nodes[e.Node].Zone
	c := &conn{id: e.Conn, server: s, node: e.Node, in: newLink(&p.spec.Link, p.links, same),
		out: newLink(&p.spec.Link, p.links, same)}
	p.conns[e.Conn] = c
	at, _ := slices.BinarySearch(s.open, e.Conn)
	s.open = slices.Insert(s.open, at, e.Conn)
	if s.box != nil && s.kind.ConnectionWork > 0 {
		p.load(s, &Request{Conn: e.Conn, Work: s.kind.ConnectionWork, Deadline: Never})
	}
}

// load gives a box work that nobody waits for.
func (p *System) load(s *server, q *Request) {
	s.box.advance(p.now)
	if r, taken := s.box.arrive(p.now, q, true); taken {
		r.dropped = true
		p.serve(s)
	}
}

func (p *System) closed(id ConnID) {
	if c := p.conns[id]; c != nil {
		p.note("close", strconv.FormatUint(uint64(id), 10))
		p.drop(c)
	}
}

// deliver takes a message over a connection's way in and does it there, unless the way is cut or the connection has
// ended; a server that is frozen does it later.
func (p *System) deliver(c *conn, do func()) {
	s := c.server
	if s.cuts[c.node] > 0 {
		c.cut = true
	}
	if c.cut {
		return
	}
	p.at(c.in.arrival(p.now, &p.spec.Link, 0, together(s.lossy)), func() {
		p.here(s, func() {
			if p.conns[c.id] == c {
				do()
			}
		})
	})
}

func (p *System) here(s *server, do func()) {
	if s.frozen > 0 {
		s.held = append(s.held, do)
		return
	}
	do()
}

// answer takes an answer over the way back.
func (p *System) answer(s *server, a Response) {
	p.note("answer", s.id, a.Request, a.Outcome.String())
	c := p.conns[a.Conn]
	if c == nil {
		return
	}
	if s.cuts[c.node] > 0 {
		c.cut = true
	}
	if c.cut {
		return
	}
	if q := together(s.spoilt); q > 0 && p.spoil.Float64() < q {
		a.Corruption = CorruptionKind(1 + p.spoil.IntN(int(numberOfSpoilt)-1))
	}
	a.Server = s.id
	p.at(c.out.arrival(p.now, &p.spec.Link, 0, together(s.lossy)), func() {
		if p.conns[c.id] == c && !c.cut && s.cuts[c.node] == 0 {
			p.emit(a)
		}
	})
}

func (p *System) arrive(e RequestArrived) {
	c := p.conns[e.Conn]
	p.note("arrive", e.ID, e.Class, e.Key, strconv.FormatUint(uint64(e.Conn), 10))
	if c == nil {
		return
	}
	q := e.Request
	q.Work = p.workOf(q.Class, q.ID)
	p.deliver(c, func() {
		if c.server.origin != nil {
			p.fetch(c.server, &q)
		} else {
			p.lookUp(c.server, &q)
		}
	})
}

// workOf is the work of a request: the same for each of its attempts, and drawn by its id.
func (p *System) workOf(class, id string) time.Duration {
	w := p.work[class]
	u := float64(xxhash.Sum64String(strconv.FormatUint(p.spec.Seed, 16)+id)>>11) / (1 << 53)
	return w.WorkLeast + time.Duration(u*float64(w.WorkMost-w.WorkLeast))
}

func (p *System) probe(e HealthCheck) {
	c := p.conns[e.Conn]
	p.note("probe", strconv.FormatUint(uint64(e.Conn), 10))
	if c == nil {
		return
	}
	p.deliver(c, func() {
		s := c.server
		if s.origin != nil {
			if !s.origin.still(p.now) {
				p.answer(s, Response{Conn: e.Conn, Seq: e.Seq, Outcome: Pong, HasLoad: e.Load,
					Load: Load{Inflight: s.origin.working + len(s.origin.waiting)}})
			}
			return
		}
		s.box.advance(p.now)
		q := &Request{Conn: e.Conn, Seq: e.Seq, Work: s.kind.HealthCheckWork, Deadline: Never}
		r, taken := s.box.arrive(p.now, q, true)
		if !taken {
			p.answer(s, Response{Conn: e.Conn, Seq: e.Seq, Outcome: RejectedUnseen})
			return
		}
		r.load = e.Load
		p.serve(s)
	})
}

// lookUp is a request at a box.
func (p *System) lookUp(s *server, q *Request) {
	if s.draining > 0 || s.leaving {
		p.answer(s, Response{Conn: q.Conn, Seq: q.Seq, Request: q.ID, Outcome: RejectedUnseen})
		return
	}
	b := s.box
	b.advance(p.now)
	_, taken := b.arrive(p.now, q, false)
	if b.overloaded(p.now, q.Work.Seconds()) { // by what was sent: a box that finds nothing, or has no room, is pushed all the same
		b.fallen = true
		p.note("fell", s.id)
		p.emit(ServerOverloaded{s.id})
		s.kills++
		p.settle(s)
		return
	}
	if !taken {
		p.answer(s, Response{Conn: q.Conn, Seq: q.Seq, Request: q.ID, Outcome: RejectedUnseen, Load: b.load()})
		return
	}
	p.serve(s)
}

// serve lets a box go on and books when it wants to be looked at again.
func (p *System) serve(s *server) {
	b := s.box
	if b == nil {
		return
	}
	if s.dead {
		s.timer++
		return
	}
	for {
		done := b.finish(p.now)
		waiting := len(b.waiting)
		turned := b.fill(p.now)
		for _, r := range append(done, turned...) {
			p.done(s, r)
		}
		if len(done) == 0 && len(turned) == 0 || waiting == 0 {
			break
		}
	}
	s.timer++
	number := s.timer
	if at := b.wake(); at != Never {
		p.at(at, func() {
			if s.timer == number {
				b.advance(p.now)
				p.serve(s)
			}
		})
	}
}

// done is the end of a request at a box.
func (p *System) done(s *server, r *run) {
	if r.dropped {
		return
	}
	a := Response{Conn: r.Conn, Seq: r.Seq, Request: r.ID, Outcome: r.outcome, Load: s.box.load()}
	switch r.outcome {
	case Pong:
		a.HasLoad = r.load
	case Hit, Failed:
		p.note("ran", s.id, r.ID)
		p.emit(RequestExecuted{Request: r.ID, Server: s.id, Class: r.Class, Seq: r.Seq})
		a.Copy = r.copied
	case Miss:
		p.miss(r.ID, s)
	}
	p.answer(s, a)
}

// missedFor is how long a miss is remembered: longer than any request may take.
const missedFor = 30 * time.Second

// miss remembers where a request missed, as its value is stored there once the origin has answered.
func (p *System) miss(id string, s *server) {
	for len(p.misses) > 0 && p.now-p.misses[0].at > missedFor {
		if old := p.misses[0]; p.missed[old.id] == old {
			delete(p.missed, old.id)
		}
		p.misses = p.misses[1:]
	}
	m := p.missed[id]
	if m == nil {
		m = &misses{id: id, at: p.now}
		p.missed[id] = m
		p.misses = append(p.misses, m)
	}
	m.boxes = append(m.boxes, s)
}

// fetch is a request at the origin.
func (p *System) fetch(s *server, q *Request) {
	o := s.origin
	switch {
	case o.still(p.now):
		p.answer(s, Response{Conn: q.Conn, Seq: q.Seq, Request: q.ID, Outcome: RejectedUnseen})
	case o.fall(p.now):
		p.note("origin-fell")
		o.until = p.now + o.spec.OverloadStall
		o.bucket = o.rate() * o.spec.OverloadMultiple * o.spec.OverloadWindow.Seconds()
		p.at(o.until, p.originWake)
		p.answer(s, Response{Conn: q.Conn, Seq: q.Seq, Request: q.ID, Outcome: RejectedUnseen})
	case o.working < o.spec.Parallel:
		p.originWork(&originRun{Request: q, arrived: p.now})
	case len(o.waiting) < o.spec.Queue:
		o.waiting = append(o.waiting, &originRun{Request: q, arrived: p.now})
	default:
		p.answer(s, Response{Conn: q.Conn, Seq: q.Seq, Request: q.ID, Outcome: RejectedUnseen})
	}
}

// originWake goes on with what waits, once the origin no longer stands still.
func (p *System) originWake() {
	o := p.origin.origin
	for !o.still(p.now) && o.working < o.spec.Parallel && len(o.waiting) > 0 {
		r := o.waiting[0]
		o.waiting[0] = nil
		o.waiting = o.waiting[1:]
		p.originWork(r)
	}
}

// originWork serves one request. A write counts from its end; what the origin does while it stands still is not
// answered until it no longer does.
func (p *System) originWork(r *originRun) {
	o := p.origin.origin
	o.working++
	p.note("ran", OriginID, r.ID)
	p.emit(RequestExecuted{Request: r.ID, Server: OriginID, Class: r.Class, Seq: r.Seq})
	p.at(p.now+o.service(), func() { p.here(p.origin, func() { p.fetched(r) }) })
}

func (p *System) fetched(r *originRun) {
	s, o := p.origin, p.origin.origin
	if o.still(p.now) { // it ends when the origin is back
		wait := max(o.until-p.now, 50*time.Millisecond)
		p.at(p.now+wait, func() { p.fetched(r) })
		return
	}
	o.working--
	a := Response{Conn: r.Conn, Seq: r.Seq, Request: r.ID, Outcome: Hit, Copy: o.record(r.Key),
		Load: Load{Inflight: o.working + len(o.waiting)}}
	if r.Write {
		a.Outcome = Written
		if !o.repeated(p.now, r.IdempotencyKey) {
			v := o.record(r.Key)
			v.Version++
			v.Size = r.Size
			o.records[r.Key] = v
			for _, b := range p.servers {
				if b.box != nil {
					b.box.memory.drop(r.Key)
				}
			}
		}
		a.Copy = Copy{Key: r.Key, Version: o.record(r.Key).Version}
	} else if m := p.missed[r.ID]; m != nil {
		delete(p.missed, r.ID)
		for _, b := range m.boxes {
			if !b.dead {
				b.box.memory.put(a.Copy)
			}
		}
	}
	p.answer(s, a)
	p.originWake()
}

func (p *System) ask(e DiscoveryCall) {
	p.note("ask", strconv.Itoa(e.Node), strconv.FormatBool(e.Watch), strconv.FormatInt(e.After, 10))
	r := p.roster
	if r.down > 0 {
		p.emit(DiscoveryReply{Call: e.Call, Ends: true, Failed: true})
		return
	}
	lines := len(r.entries)
	if e.Watch {
		lines = len(r.since(e.After).Entries)
	}
	at, ok := r.admit(p.now, lines)
	r.watches = append(r.watches, watch{call: e.Call, after: -1})
	p.at(at, func() { p.askDone(e, ok) })
}

// askDone answers a call when those before it are done, unless it was hung up or discovery went down.
func (p *System) askDone(e DiscoveryCall, ok bool) {
	r := p.roster
	i := slices.IndexFunc(r.watches, func(w watch) bool { return w.call == e.Call })
	if i < 0 {
		return
	}
	if !ok || !e.Watch {
		r.watches = slices.Delete(r.watches, i, i+1)
	}
	switch {
	case !ok:
		p.emit(DiscoveryReply{Call: e.Call, Ends: true, Failed: true})
	case e.Watch:
		list := r.since(e.After)
		r.watches[i].after = r.version
		p.emit(DiscoveryReply{Call: e.Call, List: &list})
		p.beat(e.Call)
	default:
		list := r.whole()
		p.emit(DiscoveryReply{Call: e.Call, List: &list, Ends: true})
	}
}

func (p *System) beat(call uint64) {
	if p.spec.Discovery.Heartbeat <= 0 {
		return
	}
	p.at(p.now+p.spec.Discovery.Heartbeat, func() {
		if slices.ContainsFunc(p.roster.watches, func(w watch) bool { return w.call == call }) {
			p.emit(DiscoveryReply{Call: call})
			p.beat(call)
		}
	})
}

// tellWatches writes to every watch what it has not been told yet.
func (p *System) tellWatches() {
	r := p.roster
	for i, w := range r.watches {
		if w.after >= 0 && w.after != r.version {
			list := r.since(w.after)
			r.watches[i].after = r.version
			p.emit(DiscoveryReply{Call: w.call, List: &list})
		}
	}
}

func (p *System) hangUp(call uint64) {
	p.roster.watches = slices.DeleteFunc(p.roster.watches, func(w watch) bool { return w.call == call })
}

func (p *System) rosterDown(sign int) {
	r := p.roster
	r.down += sign
	p.emit(DiscoveryReachable{r.down == 0})
	if r.down > 0 {
		for _, w := range r.watches {
			p.emit(DiscoveryReply{Call: w.call, Ends: true, Failed: true})
		}
		r.watches = nil
	}
}

// rosterEmpty makes the list one of nothing, and whole again at the end.
func (p *System) rosterEmpty(sign int) {
	r := p.roster
	r.hidden += sign
	r.version++
	r.changes = nil // so that everybody gets the whole list
	p.tellWatches()
}

func (p *System) at(t Time, run func()) { p.events.Schedule(max(t, p.now), run) }
