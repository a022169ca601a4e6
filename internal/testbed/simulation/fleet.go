package simulation

import (
	"time"

	"shelfproxy/internal/testbed/model"
)

// maxViolations is the number of violations that a run may collect. A run with more is aborted.
const maxViolations = 20

// fleetResources are the names of the resources that nodes lease in a fleet's run.
var fleetResources = []string{"prober", "caller"}

// fleet is one run in which nodes agree on leases, drains and membership. The run has no requests.
type fleet struct {
	timeline
	plan     *FleetPlan
	nodes    []*fleetNode
	blocked  [][]int // by sender and receiver: number of active faults that drop the sender's datagrams to the receiver
	recorded []datagram
	budget   int // greatest drain budget that any node has been given so far

	lastHolder      map[string]int    // by resource: the node that last held the lease
	lastToken       map[string]uint64 // by resource: the fencing token of the last holder's lease
	pendingHalts    int               // number of halts that operators ordered and that have not ended yet
	haltedForHealth bool
}

// RunFleet runs the plan of a fleet to its end. If a core panics, the run ends and the report has a violation.
func RunFleet(plan *FleetPlan, opt Options) (report *Report) {
	began := time.Now()
	report = &Report{Seed: plan.Seed, Faults: plan.describe()}
	run := &fleet{
		timeline:   newTimeline(model.RandomStream(plan.Seed, "fleet/net"), opt, report),
		plan:       plan,
		budget:     plan.Budget,
		lastHolder: map[string]int{},
		lastToken:  map[string]uint64{},
	}
	defer func() {
		if reason := recover(); reason != nil {
			run.violation(InvariantNoPanic, "%v", reason)
			if opt.Trace != nil {
				panic(reason) // the developer who traces a run needs the stack of the panic
			}
		}
		report.Hash = run.log.Hash()
		report.Took = time.Since(began)
	}()
	run.addNodes()
	for _, fault := range plan.Faults {
		run.at(fault.At, func() { run.inject(fault) })
	}
	run.run()
	run.checkSettled()
	return report
}

// addNodes creates the nodes and schedules the start of the first process of each node.
func (f *fleet) addNodes() {
	for i := range f.plan.Nodes {
		f.blocked = append(f.blocked, make([]int, f.plan.Nodes))
		f.nodes = append(f.nodes, &fleetNode{
			fleet:            f,
			index:            i,
			clockRate:        1 + (f.rng.Float64()-0.5)*fleetMaxClockDrift,
			clockOffset:      f.drawBetween(0, fleetLeaseDuration/2),
			installedRelease: "r1",
			budget:           f.plan.Budget,
		})
	}
	for _, node := range f.nodes {
		f.at(f.drawBetween(0, 200*time.Millisecond), node.start)
	}
}

// run executes the scheduled work in order until the end of the run, and checks the invariants after each step.
func (f *fleet) run() {
	for steps := 0; ; steps++ {
		next, ok := f.queue.PopUntil(fleetEnd)
		if !ok {
			return
		}
		f.now = max(f.now, next.At)
		next.Run()
		f.checkAlways()
		if len(f.report.Violations) > maxViolations || steps > maxSteps {
			f.violation(InvariantNoPanic, "too much is broken, or too much happens: %d steps", steps)
			return
		}
	}
}
