// Package rules checks, from what a rig sees itself, that nodes keep the rules of the service: one final answer for
// each request taken, by its deadline and made for it; nothing resent beyond what its class allows; no fresh work for
// a box that a node was told drains; no cold box pushed over. It has no clock and no I/O: whoever sees an event tells
// it with its time. It knows nothing of what nodes believe, so it can be wrong in their favour only: what never
// reached the rig is not held against them.
//
// A Checker belongs to one goroutine. What it remembers of a request it forgets some seconds after its deadline.
package invariants

import (
	"fmt"
	"strings"
	"time"
)

// Effect says how far requests of a class may be repeated.
type Effect int

// The effects.
const (
	Idempotent   Effect = iota // at any time
	Deduplicated               // inside the window of their key
	AtMostOnce                 // only when no earlier attempt can have run
)

// Effects are the words for them.
var Effects = map[string]Effect{"idempotent": Idempotent, "deduplicated": Deduplicated, "at_most_once": AtMostOnce}

// Class is a class of requests.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // Keyed: from the first attempt that may have run
}

// Tolerances are those of the rules. What discovery has to tell counts as told after ToldWithin at the latest, as long
// as it can be reached; 0 waits for ever. Grace is added to each limit, for what the rig itself takes.
type Tolerances struct{ DrainWithin, NotifyWithin, Grace time.Duration }

// Invariant names a rule.
type Invariant string

// The rules.
const (
	MissingAnswer          Invariant = "answer"  // one final answer by the deadline, made for the request
	DuplicateExecution     Invariant = "repeat"  // nothing resent beyond what the class allows
	RejectedAfterExecution Invariant = "refusal" // no refusal once something may have run
	SentToDraining         Invariant = "drain"   // no fresh work for a box that drains or has gone
	ColdServerOverloaded   Invariant = "cold"    // no cold box pushed over
)

// Violation is a rule that was broken, with what is known of the request.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Text      string
	History   []string
}

func (v Violation) String() string {
	s := fmt.Sprintf("rule %s broken at %.3f s: %s", v.Invariant, v.At.Seconds(), v.Text)
	if len(v.History) > 0 {
		s += " [" + strings.Join(v.History, "; ") + "]"
	}
	return s
}

// Final is a client's final answer.
type Final int

// The final answers.
const (
	Served Final = iota
	Rejected
	Failed
)

var finals = [...]string{"served", "refused", "failed"}

func (f Final) String() string { return finals[f] }

// Proof is what an answer of a server proves.
type Proof int

// The proofs.
const (
	MayHaveRun Proof = iota
	NeverRan         // turned away, or nothing was held there
)

// Checker holds what the rules need.
type Checker struct {
	classes  map[string]Class
	figures  Tolerances
	requests map[string]*request
	order    []*request // in the order in which they were first seen
	nodes    map[int]*view
	listed   map[string]told                  // servers that discovery says take nothing new
	pushed   map[string]push                  // by server: what came
	starts   map[int]map[string]time.Duration // of servers, by id, as a node knows them
	down     bool                             // discovery does not answer
	upSince  time.Duration
	broken   []Violation
	counts   Counts
}

// Counts is what was checked.
type Counts struct{ Requests, Answered, Attempts, Notifications, Open int }

type request struct {
	id, class string
	first     time.Duration
	node      int
	taken     bool // by a node, from one of the rig's clients
	over      bool // it was answered, or its client left
	deadline  time.Duration
	attempts  []*attempt
	ran       int
	made      map[string]bool // servers that made a value for it
	history   []string
	forget    time.Duration
}

type attempt struct {
	seq    uint64
	server string
	at     time.Duration
	proof  Proof
}

// view is what a node was told of the list.
type view struct {
	known map[string]bool // servers, and whether they are still listed
	out   map[string]told // those that take nothing new
}

type told struct {
	at    time.Duration
	state string
}

const (
	remember = 5 * time.Second // past the deadline, or past the first sight where there is none
	unknown  = 10 * time.Second
	entries  = 40 // of a request's history
	kept     = 50 // violations with their history; the rest are counted
)

// New makes a checker.
func New(classes []Class, f Tolerances) *Checker {
	c := &Checker{classes: map[string]Class{}, figures: f, requests: map[string]*request{}, nodes: map[int]*view{}, listed: map[string]told{}, pushed: map[string]push{}, starts: map[int]map[string]time.Duration{}}
	for _, cl := range classes {
		c.classes[cl.Name] = cl
	}
	return c
}

// Violations is every rule that was broken so far.
func (c *Checker) Violations() []Violation { return c.broken }

// Counts is what was checked so far.
func (c *Checker) Counts() Counts {
	n := c.counts
	for _, r := range c.requests {
		if r.taken && !r.over {
			n.Open++
		}
	}
	return n
}

func (c *Checker) report(rule Invariant, now time.Duration, r *request, format string, args ...any) {
	v := Violation{Invariant: rule, At: now, Text: fmt.Sprintf(format, args...)}
	if r != nil && len(c.broken) < kept {
		v.History = append(v.History, r.history...)
	}
	c.broken = append(c.broken, v)
}

func (r *request) note(now time.Duration, format string, args ...any) {
	if len(r.history) < entries {
		r.history = append(r.history, fmt.Sprintf("%.3f ", now.Seconds())+fmt.Sprintf(format, args...))
	}
}

// of is what is known of a request.
func (c *Checker) of(now time.Duration, id, class string) *request {
	r := c.requests[id]
	if r == nil {
		r = &request{id: id, class: class, first: now, made: map[string]bool{}, forget: now + unknown}
		c.requests[id] = r
		c.order = append(c.order, r)
	}
	return r
}

// RequestSent says that the last byte of a request was written to a node, whose machine had accepted the connection.
func (c *Checker) RequestSent(now time.Duration, id, class string, node int, deadline time.Duration) {
	r := c.of(now, id, class)
	r.taken, r.node, r.deadline, r.forget = true, node, deadline, deadline+remember
	r.note(now, "taken by node %d, due by %.3f", node, deadline.Seconds())
	c.counts.Requests++
}

// RequestAnswered says that a client read the last byte of an answer. madeFor is the request that a value names; it is not
// looked at for other answers.
func (c *Checker) RequestAnswered(now time.Duration, id string, f Final, madeFor string) {
	r := c.requests[id]
	if r == nil || !r.taken {
		c.report(MissingAnswer, now, r, "an answer for %s, which nobody asked for", id)
		return
	}
	if r.over {
		r.note(now, "%s", f)
		c.report(MissingAnswer, now, r, "a second final answer for %s", id)
		return
	}
	r.over = true
	c.counts.Answered++
	r.note(now, "%s", f)
	if now > r.deadline+c.figures.Grace {
		c.report(MissingAnswer, now, r, "%s was answered %s past its deadline", id, (now - r.deadline).Round(time.Millisecond))
	}
	switch {
	case f == Served && madeFor != id:
		c.report(MissingAnswer, now, r, "%s was served what was made for %q", id, madeFor)
	case f == Served && len(r.made) == 0:
		c.report(MissingAnswer, now, r, "%s was served a value that no server made for it", id)
	case f == Rejected && c.classes[r.class].Effect == AtMostOnce && r.mayHaveRun() != nil:
		c.report(RejectedAfterExecution, now, r, "%s of class %s was refused after an attempt at %s that may have run", id, r.class, r.mayHaveRun().server)
	}
}

// ConnectionEnded says that a node ended the connection on which an answer was owed. It is no break of a rule for a request
// that the node may not have read; unread says that.
func (c *Checker) ConnectionEnded(now time.Duration, id string, unread bool) {
	r := c.requests[id]
	if r == nil || r.over {
		return
	}
	r.over = true
	r.note(now, "connection ended")
	if !unread {
		c.report(MissingAnswer, now, r, "node %d ended the connection of %s without an answer", r.node, id)
	}
}

// ClientDisconnected says that nothing is owed for a request any more: its client left, or the rig itself ended the node.
func (c *Checker) ClientDisconnected(now time.Duration, id string) {
	if r := c.requests[id]; r != nil && !r.over {
		r.over = true
		r.note(now, "left")
	}
}

// AttemptArrived says that the last byte of an attempt came to a server; first is when the first did.
func (c *Checker) AttemptArrived(now, first time.Duration, node int, server, id, class string, seq uint64) {
	c.counts.Attempts++
	r := c.of(now, id, class)
	r.note(now, "attempt at %s", server)
	p := c.pushed[server]
	if p.all++; c.starts[node][server] < p.began {
		p.unaware++
	}
	c.pushed[server] = p
	if r.class != class {
		c.report(DuplicateExecution, now, r, "%s came to %s as class %s", id, server, class)
	}
	if t, out := c.told(node, server); out && first > t.at+c.figures.DrainWithin+c.figures.Grace {
		c.report(SentToDraining, now, r, "%s was sent to %s %s after node %d was told it is %s", id, server,
			(first - t.at).Round(time.Millisecond), node, t.state)
	}
	if before := r.mayHaveRun(); before != nil {
		switch cl := c.classes[r.class]; {
		case cl.Effect == AtMostOnce:
			c.report(DuplicateExecution, now, r, "%s of class %s was sent to %s after an attempt at %s that may have run", id, class, server, before.server)
		case cl.Effect == Deduplicated && first > before.at+cl.Window+c.figures.Grace:
			c.report(DuplicateExecution, now, r, "%s of class %s was sent to %s %s after an attempt that may have run, past its window", id, class,
				server, (first - before.at).Round(time.Millisecond))
		}
	}
	r.attempts = append(r.attempts, &attempt{seq: seq, server: server, at: first})
}

// told is when a node was told, or counts as told, that a server takes nothing new.
func (c *Checker) told(node int, server string) (told, bool) {
	if v := c.nodes[node]; v != nil {
		if t, out := v.out[server]; out {
			return t, true
		}
	}
	t, out := c.listed[server]
	if !out || c.down || c.figures.NotifyWithin == 0 {
		return told{}, false
	}
	t.at = max(t.at, c.upSince) + c.figures.NotifyWithin
	return t, true
}

// ServerListed says that discovery has something new to tell of a server.
func (c *Checker) ServerListed(now time.Duration, server, state string) {
	if state == "up" {
		delete(c.listed, server)
	} else if _, out := c.listed[server]; !out {
		c.listed[server] = told{now, state}
	}
}

// DiscoveryReachable says whether discovery answers from now on.
func (c *Checker) DiscoveryReachable(now time.Duration, up bool) {
	if up && c.down {
		c.upSince = now
	}
	c.down = !up
}

// mayHaveRun is the first attempt that may have run, if there is one.
func (r *request) mayHaveRun() *attempt {
	for _, a := range r.attempts {
		if a.proof == MayHaveRun {
			return a
		}
	}
	return nil
}

// ResponseSent says that a server wrote its answer to an attempt. value tells that it holds a value made for the request.
func (c *Checker) ResponseSent(now time.Duration, server, id string, seq uint64, p Proof, value bool, what string) {
	r := c.requests[id]
	if r == nil {
		return
	}
	r.note(now, "%s answers %s", server, what)
	if value {
		r.made[server] = true
	}
	for _, a := range r.attempts {
		if a.seq == seq {
			a.proof = p
		}
	}
}

// RequestExecuted says that work on a request began at a server.
func (c *Checker) RequestExecuted(now time.Duration, server, id, class string) {
	r := c.of(now, id, class)
	r.ran++
	r.note(now, "runs at %s", server)
	if r.ran > 1 && c.classes[r.class].Effect == AtMostOnce {
		c.report(DuplicateExecution, now, r, "%s of class %s ran %d times", id, r.class, r.ran)
	}
}

// NodeNotified says that the list, or what changed of it, was written to a node. states are those of the servers, by id;
// "up" is the only one under which a server takes fresh work.
func (c *Checker) NodeNotified(now time.Duration, node int, whole bool, states map[string]string) {
	c.counts.Notifications++
	v := c.nodes[node]
	if v == nil {
		v = &view{known: map[string]bool{}, out: map[string]told{}}
		c.nodes[node] = v
	}
	leave := func(id, state string) {
		if _, out := v.out[id]; !out { // told again is not told later
			v.out[id] = told{now, state}
		}
	}
	for id, state := range states {
		v.known[id] = state != "removed"
		if state == "up" {
			delete(v.out, id)
		} else {
			leave(id, state)
		}
	}
	for id, listed := range v.known {
		if _, named := states[id]; whole && !named && listed {
			v.known[id] = false
			leave(id, "gone")
		}
		if t, out := v.out[id]; out && !v.known[id] && now-t.at > time.Minute { // nobody remembers it by now
			delete(v.known, id)
			delete(v.out, id)
		}
	}
}

// NodeRestarted says that a node started anew: it knows the list as its configuration has it.
func (c *Checker) NodeRestarted(node int) {
	delete(c.nodes, node)
	delete(c.starts, node)
}

// push counts what came to a server since its process started, and what of it from nodes that were not told of that.
type push struct {
	began        time.Duration // as the list says it
	all, unaware int
}

// ServerStarted says that the process of a cold server started; at is what the list says of it.
func (c *Checker) ServerStarted(server string, at time.Duration) { c.pushed[server] = push{began: at} }

// NodeKnowsStart says that a node has a list, its configuration's or one that discovery wrote to it, which gives the start of a server.
func (c *Checker) NodeKnowsStart(node int, server string, began time.Duration) {
	if c.starts[node] == nil {
		c.starts[node] = map[string]time.Duration{}
	}
	c.starts[node][server] = began
}

// ServerOverloaded says that a cold box was pushed over. That is nobody's fault where a third or more of what came to it came from nodes that
// nobody had told of its start: they took it for the one before at its address.
func (c *Checker) ServerOverloaded(now time.Duration, server string) {
	if p := c.pushed[server]; 3*p.unaware >= p.all && p.unaware > 0 {
		return
	}
	c.report(ColdServerOverloaded, now, nil, "%s was cold and fell over under what all nodes together sent it", server)
}

// longGone is when nobody remembers a server any more that takes nothing new.
const longGone = 10 * time.Minute

// Advance finds requests that were never answered and forgets old ones.
func (c *Checker) Advance(now time.Duration) {
	keep := c.order[:0]
	for _, r := range c.order {
		if r.taken && !r.over && now > r.deadline+c.figures.Grace {
			r.over = true
			c.report(MissingAnswer, now, r, "%s was not answered by its deadline", r.id)
		}
		if now > r.forget {
			delete(c.requests, r.id)
			continue
		}
		keep = append(keep, r)
	}
	clear(c.order[len(keep):])
	c.order = keep
	for id, t := range c.listed {
		if now-t.at > longGone {
			delete(c.listed, id)
		}
	}
}
