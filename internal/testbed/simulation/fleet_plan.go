package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"shelfproxy/internal/testbed/model"
)

// Times of a fleet's run. At its end the fleet has to be settled, as checkSettled requires.
const (
	fleetFaultsFrom       = 4 * time.Second
	fleetFaultsTo         = 20 * time.Second
	fleetNetworkFaultsEnd = 24 * time.Second
	fleetLossFreeFrom     = 70 * time.Second // no datagram is lost from this time on, so that the final checks see a settled fleet
	fleetEnd              = 75 * time.Second

	fleetLeaseDuration = time.Second
	fleetMaxClockDrift = 0.05
	fleetProbeInterval = 200 * time.Millisecond
)

// FleetFaultKind is a kind of fault in a fleet's run.
type FleetFaultKind int

// The kinds of faults in a fleet's run.
const (
	FleetKill            FleetFaultKind = iota // a process is killed; another starts some time later
	FleetTerm                                  // a process is shut down gracefully; another starts some time later
	FleetStop                                  // a process is stopped for a while (SIGSTOP)
	FleetOneWayPartition                       // datagrams from one node to another are lost for a while
	FleetIsolate                               // all datagrams to and from a node are lost for a while
	FleetSplit                                 // the fleet is split in two for a while
	FleetKillAll                               // all processes are killed, and start again at about the same time
	FleetClockBack                             // a machine's clock is set back; its next process starts with the new time
	FleetDrain                                 // an operator asks for a drain of a node
	FleetRelease                               // an operator orders a release
	FleetHalt                                  // an operator halts the rollout, and resumes some time later
	FleetBudget                                // the drain budget changes at all nodes, one after another
	FleetReplay                                // recorded datagrams are sent again
	FleetRemove                                // one node of three or more never starts again
	FleetForgetHolder                          // datagrams from a lease holder to one node are lost while the nodes that granted the lease restart
	fleetFaultKinds
)

var fleetFaultNames = [fleetFaultKinds]string{"kill", "term", "stop", "deaf", "alone", "halves", "all", "date", "leave", "roll", "halt", "budget", "replay", "gone", "forget"}

// String is the fault's name in event logs and reports.
func (k FleetFaultKind) String() string { return fleetFaultNames[k] }

// FleetFault is one fault of a plan. The meaning of To depends on Kind: for example another node, or the number of a release.
type FleetFault struct {
	Kind     FleetFaultKind
	At, For  Time
	Node, To int
}

// FleetPlan is what a seed draws for one run of a fleet.
type FleetPlan struct {
	Seed                           uint64
	Nodes, Budget                  int
	Dropped, Duplicated, Corrupted float64       // shares of the datagrams until fleetNetworkFaultsEnd; some loss remains until fleetLossFreeFrom
	MaxDelay                       time.Duration // longest delay of a datagram
	MaxLag                         time.Duration // longest time that a runnable process waits until it runs
	SuspendAtGrant                 float64       // probability that a process is suspended at the moment when its drain is granted
	Faults                         []FleetFault
	drawn                          []int // numbers of the faults that are in the plan
}

// DrawFleet draws the plan of a seed. Faults whose number is in skip are left out; the others stay as they are.
func DrawFleet(seed uint64, skip map[int]bool) *FleetPlan {
	random := model.RandomStream(seed, "fleet/plan")
	plan := &FleetPlan{
		Seed:     seed,
		Nodes:    2 + random.IntN(6),
		MaxDelay: time.Duration(5+random.IntN(100)) * time.Millisecond,
		MaxLag:   time.Duration(random.IntN(20)) * time.Millisecond,
	}
	plan.Budget = 1 + random.IntN(max(1, plan.Nodes/2))
	level := []float64{0, 0.1, 0.4}[random.IntN(3)]
	plan.Dropped, plan.Duplicated, plan.Corrupted = level*random.Float64(), 0.2*random.Float64(), level*random.Float64()/2
	plan.SuspendAtGrant = []float64{0, 0, 0.5}[random.IntN(3)]
	kinds := drawFaultKinds(random)
	centre := drawFaultTime(random)
	clustering := random.Float64()
	for i := range 2 + random.IntN(14) {
		fault := plan.drawFault(model.RandomStream(seed, "fleet/fault/"+strconv.Itoa(i)), kinds, centre, clustering, skip[i])
		if fault != nil {
			plan.Faults, plan.drawn = append(plan.Faults, *fault), append(plan.drawn, i)
		}
	}
	return plan
}

// drawFaultKinds draws the subset of the kinds of faults that a seed has (swarm testing).
func drawFaultKinds(random *rand.Rand) (kinds []FleetFaultKind) {
	for kind := range fleetFaultKinds {
		if random.IntN(2) == 0 {
			kinds = append(kinds, kind)
		}
	}
	return kinds
}

func drawFaultTime(random *rand.Rand) Time {
	return fleetFaultsFrom + time.Duration(random.Int64N(int64(fleetFaultsTo-fleetFaultsFrom)))
}

// drawFault draws one fault from its own random stream. It returns nil if the fault is left out. With the probability clustering,
// the fault is within half a second of centre, so that faults overlap.
func (p *FleetPlan) drawFault(random *rand.Rand, kinds []FleetFaultKind, centre Time, clustering float64, skip bool) *FleetFault {
	fault := FleetFault{
		At:   drawFaultTime(random),
		Node: random.IntN(p.Nodes),
		To:   random.IntN(p.Nodes),
		For:  time.Duration(50+random.IntN(4000)) * time.Millisecond,
	}
	if random.Float64() < clustering {
		at := centre + time.Duration(random.Int64N(int64(time.Second))) - 500*time.Millisecond
		fault.At = min(fleetFaultsTo, max(fleetFaultsFrom, at))
	}
	if len(kinds) == 0 || skip {
		return nil
	}
	fault.Kind = kinds[random.IntN(len(kinds))]
	return &fault
}

// describe returns what the seed has drawn, as reports print it.
func (p *FleetPlan) describe() []string {
	names := []string{fmt.Sprintf("nodes=%d budget=%d lost=%.2f", p.Nodes, p.Budget, p.Dropped)}
	for _, fault := range p.Faults {
		names = append(names, fault.Kind.String())
	}
	return names
}
