// Package sim plays whole fleets of nodes on a virtual clock: the real cores of nodes, listeners, pools, decoders and watches,
// the lab's model of boxes, origin and discovery, and clients, over a network of byte streams and datagrams that does to them
// what the seed says. One goroutine, one seed, no wall clock: a run is the same each time, byte for byte, which the hash of its
// event log shows. The rules of the service are checked after every step. See docs/simulation.md.
package simulation

import (
	"container/heap"
	"fmt"
	"strings"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
)

// Time is a point of the run, counted from its start.
type Time = time.Duration

// epoch is the date at which every run begins. It has no monotonic part: nothing of the machine's clock gets in.
var epoch = time.Unix(1_800_000_000, 0).UTC()

// Options say how a plan is played.
type Options struct {
	// Trace gets every line of the event log, if set; it must not keep it.
	Trace func(line []byte)
}

// Broken is an invariant that a run broke.
type Broken struct {
	Rule string // of the service's rules, or one of the simulation's own
	At   Time
	Text string
}

func (b Broken) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Rule, b.At.Seconds(), b.Text)
}

// The simulation's own invariants, beside the rules that package rules checks.
const (
	NeverRan = "never-ran" // said of a forward whose request came whole to its server
	Order    = "order"     // answers come in the order of their commands
	Leak     = "leak"      // nothing is held once all is quiet
	Liveness = "liveness"  // some time after the last fault all is served again
	Deaf     = "deaf"      // a watch that fell silent is found and asked anew
	Refused  = "refused"   // what was refused, and may not run twice, comes to no server after that
	History  = "history"   // what clients saw of each record fits one order of its writes, each taken once
	Rude     = "rude"      // who sends what makes no sense has an error or a close within 3 s
	Crash    = "crash"     // a core panicked
)

// Report is what a run came to.
type Report struct {
	Seed                                      uint64
	Hash                                      uint64 // of the event log
	Events                                    int
	Due, Taken, Served, Refused, Failed, Left int
	Kills, Restarts                           int
	Faults                                    []string
	Broken                                    []Broken
	Took                                      time.Duration // of real time
}

// String is one line.
func (r *Report) String() string {
	verdict := "kept"
	if len(r.Broken) > 0 {
		verdict = "BROKEN " + r.Broken[0].String()
	}
	return fmt.Sprintf("seed %d: %d due, %d taken, %d served, %d refused, %d failed, %d left; %s; %d events, hash %016x: %s", r.Seed, r.Due, r.Taken,
		r.Served, r.Refused, r.Failed, r.Left, strings.Join(r.Faults, " "), r.Events, r.Hash, verdict)
}

// world is one run.
type world struct {
	timeline
	plan *Plan

	portal  *model.System
	check   *invariants.Checker
	seen    int // violations that were taken over
	classes map[string]scenario.Class

	doors   map[doorKey]model.AcceptorState
	servers map[model.ConnID]*serverConn
	lastID  model.ConnID
	seq     uint64
	calls   map[uint64]*call
	lastAsk uint64
	nodes   []*node
	clients *clients
}

type doorKey struct{ slot, node int }

// strikes draws whether a fault of the network happens now. Past faultsOver none does.
func (w *world) strikes(p float64) bool { return w.now < faultsOver && w.chance(p) }

// most is how many steps a run may take: one that goes round in circles is broken, not endless.
const most = 1_000_000

// Run plays a plan to its end. A panic of a core is a broken invariant like any other.
func Run(plan *Plan, opt Options) (report *Report) {
	began := time.Now()
	report = &Report{Seed: plan.Seed, Faults: plan.Words()}
	w := &world{plan: plan, timeline: newTimeline(model.RandomStream(plan.Seed, "sim/net"), opt, report),
		classes: map[string]scenario.Class{}, doors: map[doorKey]model.AcceptorState{}, servers: map[model.ConnID]*serverConn{}, calls: map[uint64]*call{}}
	defer func() {
		if p := recover(); p != nil {
			w.broken(Crash, "%v", p)
			if opt.Trace != nil {
				panic(p) // with its stack: somebody is looking
			}
		}
		report.Hash = w.hash.Sum64() ^ w.portal.Hash()
		report.Took = time.Since(began)
	}()
	var classes []invariants.Class
	for _, c := range plan.Classes {
		w.classes[c.Name] = c
		classes = append(classes, invariants.Class{Name: c.Name, Effect: invariants.Effects[c.Effect], Window: c.DedupWindow.D()})
	}
	w.check = invariants.New(classes, invariants.Tolerances{DrainWithin: plan.Invariants.DrainWithin.D(), NotifyWithin: plan.toldWithin(), Grace: plan.Invariants.Grace.D()})
	w.portal = model.New(plan.Spec)
	w.portal.Trace = opt.Trace
	w.carry(w.portal.Start())
	for i := range plan.Spec.Nodes {
		w.nodes = append(w.nodes, newNode(w, i))
	}
	for _, n := range w.nodes {
		n.start()
	}
	w.clients = newClients(w)
	w.clients.start()
	for _, f := range plan.NodeFaults {
		for i := range 1 + f.More {
			w.at(f.At, func() { w.nodes[f.Node+i].suffer(f) })
		}
	}
	w.run()
	w.quiet()
	return report
}

// run does what is due, in its order, until the end of the plan.
func (w *world) run() {
	const tick = 50 * time.Millisecond
	nextCheck := Time(0)
	for steps := 0; ; steps++ {
		wake := w.portal.NextEvent()
		next := min(nextCheck, wake)
		own := len(w.due) > 0 && w.due[0].at <= next
		if own {
			next = w.due[0].at
		}
		if next > w.plan.End {
			w.now = w.plan.End
			return
		}
		w.now = max(w.now, next)
		switch {
		case own:
			e := heap.Pop(&w.due).(event)
			e.run()
		case wake <= nextCheck:
			w.carry(w.portal.Advance(w.now))
		default:
			nextCheck = w.now + tick
			w.check.Advance(w.now)
		}
		w.takeBroken()
		if w.plan.Agree {
			w.checkDuties()
		}
		if len(w.report.Broken) > 20 || steps > most {
			w.broken(Crash, "too much is broken, or too much happens: %d steps", steps)
			return
		}
	}
}

// takeBroken takes over what the rules found.
func (w *world) takeBroken() {
	for _, v := range w.check.Violations()[w.seen:] {
		w.seen++
		w.broken(string(v.Invariant), "%s [%s]", v.Text, strings.Join(v.History, "; "))
	}
}

// quiet looks at what is still held when the load is long over, and at how the last requests went.
func (w *world) quiet() {
	w.check.Advance(w.now)
	w.takeBroken()
	for _, n := range w.nodes {
		n.leaks()
	}
	w.clients.judge()
	w.report.Taken = w.check.Counts().Requests
}

// carry carries out what the model wants done.
func (w *world) carry(effects []model.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case model.Acceptor:
			w.doors[doorKey{e.Slot, e.Node}] = e.State
		case model.Reset:
			if c := w.servers[e.Conn]; c != nil {
				delete(w.servers, e.Conn)
				c.end.reset()
			}
		case model.Response:
			w.answered(e)
		case model.DiscoveryReply:
			w.tellCall(e)
		case model.RequestExecuted:
			w.check.RequestExecuted(w.now, e.Server, e.Request, e.Class)
		case model.ServerOverloaded:
			w.check.ServerOverloaded(w.now, e.Server)
		case model.ServerStarted:
			w.check.ServerStarted(e.Server, e.At)
		case model.ServerListed:
			w.check.ServerListed(w.now, e.Server, e.State.String())
		case model.DiscoveryReachable:
			w.check.DiscoveryReachable(w.now, e.Up)
		}
	}
}
