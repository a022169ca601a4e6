// Package simulation runs whole fleets of nodes on a virtual clock. In a run, the program's own cores of nodes, listeners,
// connection pools, decoders and watches work with the testbed's model of cache servers, origin and discovery, and with simulated
// clients. All communicate over a simulated network of byte streams and datagrams. The seed of a run determines its faults.
//
// A run has one goroutine and does not use the wall clock. So runs of one seed have the same event log, byte for byte, and the same
// hash of the log. The invariants of the service are checked after every step. See docs/simulation.md.
package simulation

import (
	"strings"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
)

// Time is a point in time of a run, counted from the start of the run.
type Time = time.Duration

// epoch is the date at which every run begins. The value has no monotonic clock reading, so that the clock of the machine that
// executes the run has no influence.
var epoch = time.Unix(1_800_000_000, 0).UTC()

// world is one run of nodes under load.
type world struct {
	timeline
	plan *Plan

	system         *model.System
	checker        *invariants.Checker
	violationsSeen int // number of the checker's violations that are already in the report
	classes        map[string]scenario.Class

	acceptors map[acceptorKey]model.AcceptorState // by slot and node: what happens to new connections from the node to the server in the slot
	servers   map[model.ConnID]*serverConn
	// latestAttempt holds, by the id of each request, the connection on which the last attempt for it arrived.
	latestAttempt map[string]*serverConn
	lastID        model.ConnID
	seq           uint64
	calls         map[uint64]*discoveryCall
	lastCall      uint64
	nodes         []*node
	clients       *clients
}

// acceptorKey identifies a server's listening socket, as one node sees it. The slot is a number that stands for the server's
// address. The state of the socket can differ between nodes.
type acceptorKey struct{ slot, node int }

// networkFault decides at random whether a network fault happens now. The probability is p before networkFaultsEnd, and 0 from
// then on.
func (w *world) networkFault(p float64) bool { return w.now < networkFaultsEnd && w.chance(p) }

// maxSteps is the maximum number of steps of a run. A run that takes more steps is aborted, and the report has a violation.
const maxSteps = 1_000_000

// Run runs a plan to its end. If a core panics, the run ends and the report has a violation.
func Run(plan *Plan, opt Options) (report *Report) {
	began := time.Now()
	report = &Report{Seed: plan.Seed, Faults: plan.PartNames()}
	run := &world{
		timeline:      newTimeline(model.RandomStream(plan.Seed, "sim/net"), opt, report),
		plan:          plan,
		classes:       map[string]scenario.Class{},
		acceptors:     map[acceptorKey]model.AcceptorState{},
		servers:       map[model.ConnID]*serverConn{},
		latestAttempt: map[string]*serverConn{},
		calls:         map[uint64]*discoveryCall{},
	}
	defer func() {
		if reason := recover(); reason != nil {
			run.violation(InvariantNoPanic, "%v", reason)
			if opt.Trace != nil {
				panic(reason) // the developer who traces a run needs the stack of the panic
			}
		}
		report.Hash = run.log.Hash() ^ run.system.Hash()
		report.Took = time.Since(began)
	}()
	run.startChecker()
	run.startSystem()
	run.startNodes()
	run.clients = newClients(run)
	run.clients.start()
	run.scheduleNodeFaults()
	run.run()
	run.checkFinalState()
	return report
}

func (w *world) startChecker() {
	var classes []invariants.Class
	for _, c := range w.plan.Classes {
		w.classes[c.Name] = c
		classes = append(classes, invariants.Class{Name: c.Name, Effect: invariants.Effects[c.Effect], Window: c.DedupWindow.D()})
	}
	w.checker = invariants.New(classes, invariants.Tolerances{
		DrainWithin:  w.plan.Invariants.DrainWithin.D(),
		NotifyWithin: w.plan.notifyWithin(),
		Grace:        w.plan.Invariants.Grace.D(),
	})
}

func (w *world) startSystem() {
	w.system = model.New(w.plan.Spec)
	w.system.Trace = w.opt.Trace
	w.execute(w.system.Start())
}

func (w *world) startNodes() {
	for i := range w.plan.Spec.Nodes {
		w.nodes = append(w.nodes, newNode(w, i))
	}
	for _, n := range w.nodes {
		n.start()
	}
}

func (w *world) scheduleNodeFaults() {
	for _, fault := range w.plan.NodeFaults {
		for i := range 1 + fault.More {
			for repeat := range 1 + fault.Repeats {
				w.at(fault.At+time.Duration(repeat)*fault.Every, func() { w.nodes[fault.Node+i].inject(fault) })
			}
		}
	}
}

// checkInterval is the time between two checks for violations that come about without an event, such as a missed deadline.
const checkInterval = 50 * time.Millisecond

// run executes the scheduled work in order until the end of the plan, and checks the invariants after each step.
func (w *world) run() {
	nextCheck := Time(0)
	for steps := 0; ; steps++ {
		systemNext := w.system.NextEvent()
		next := min(nextCheck, systemNext)
		at, isOwn := w.queue.Next()
		isOwn = isOwn && at <= next
		if isOwn {
			next = at
		}
		if next > w.plan.End {
			w.now = w.plan.End
			return
		}
		w.now = max(w.now, next)
		switch {
		case isOwn:
			own, _ := w.queue.PopUntil(next)
			own.Run()
		case systemNext <= nextCheck:
			w.execute(w.system.Advance(w.now))
		default:
			nextCheck = w.now + checkInterval
			w.checker.Advance(w.now)
		}
		w.collectViolations()
		if w.plan.Agreements {
			w.checkLeases()
		}
		if len(w.report.Violations) > maxViolations || steps > maxSteps {
			w.violation(InvariantNoPanic, "too much is broken, or too much happens: %d steps", steps)
			return
		}
	}
}

// collectViolations copies new violations from the checker into the report.
func (w *world) collectViolations() {
	for _, v := range w.checker.Violations()[w.violationsSeen:] {
		w.violationsSeen++
		w.violation(string(v.Invariant), "%s [%s]", v.Text, strings.Join(v.History, "; "))
	}
}

// checkFinalState checks, long after the last request, that the nodes retain no requests or memory, and that most of the late
// requests were served.
func (w *world) checkFinalState() {
	w.checker.Advance(w.now)
	w.collectViolations()
	for _, n := range w.nodes {
		n.checkLeaks()
	}
	w.clients.checkLiveness()
	w.report.Taken = w.checker.Counts().Requests
}

// execute executes effects that the model of servers, origin and discovery returned.
func (w *world) execute(effects []model.Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case model.Acceptor:
			w.acceptors[acceptorKey{effect.Slot, effect.Node}] = effect.State
		case model.Reset:
			if c := w.servers[effect.Conn]; c != nil {
				delete(w.servers, effect.Conn)
				c.stream.reset()
			}
		case model.Response:
			w.responseReady(effect)
		case model.DiscoveryReply:
			w.replyToCall(effect)
		case model.RequestExecuted:
			w.checker.RequestExecuted(w.now, effect.Server, effect.Request, effect.Class)
		case model.ServerOverloaded:
			w.checker.ServerOverloaded(w.now, effect.Server)
		case model.ServerStarted:
			w.checker.ServerStarted(effect.Server, effect.At)
		case model.ServerListed:
			w.checker.ServerListed(w.now, effect.Server, effect.State.String())
		case model.DiscoveryReachable:
			w.checker.DiscoveryReachable(w.now, effect.Up)
		}
	}
}
