package simulation

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"shelfproxy/internal/testbed/model"
)

// Times in a fleet's run, from its start, and settings of the nodes. At fleetEnd the invariants of checkSettled have to hold.
const (
	fleetFaultsFrom       = 4 * time.Second
	fleetFaultsTo         = 20 * time.Second
	fleetNetworkFaultsEnd = 24 * time.Second
	fleetLossFreeFrom     = 70 * time.Second // from this time on no datagram is lost, so that all nodes agree again before the final checks
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
	FleetSplit                                 // the nodes are split into two groups, and all datagrams between the groups are lost for a while
	FleetKillAll                               // all processes are killed, and each starts again within the duration of the fault
	FleetClockBack                             // a machine's clock is set back; its next process starts with the new time
	FleetDrain                                 // an operator asks for a drain of a node
	FleetRelease                               // an operator starts the rollout of a release (a version of the software)
	FleetHalt                                  // an operator halts the rollout, and resumes it some time later
	FleetBudget                                // the number of nodes that may drain at once is changed, at one node after another
	FleetReplay                                // recorded datagrams are sent again
	FleetRemove                                // one node is killed and never starts again; only in fleets of three or more nodes
	FleetForgetHolder                          // datagrams from a lease's holder to one node are lost for a while; in this time all nodes except these two restart
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

// FleetPlan is the plan of one run of a fleet: its size, its faults and its random parameters, all drawn from a seed.
type FleetPlan struct {
	Seed                           uint64
	Nodes, Budget                  int
	Dropped, Duplicated, Corrupted float64       // fractions of all datagrams that are affected until fleetNetworkFaultsEnd; duplication and some loss go on after that
	MaxDelay                       time.Duration // longest delay of a datagram
	MaxLag                         time.Duration // longest delay until a process that is ready to run gets to run
	SuspendAtGrant                 float64       // probability that a process is suspended (SIGSTOP) at the moment when its drain is granted
	Faults                         []FleetFault
	faultNumbers                   []int // for each fault in Faults: its number among all faults drawn, before some were left out; DrawFleet takes such numbers as skip
}

// DrawFleet returns the plan of a seed. Faults whose numbers are in skip are left out; this does not change the other faults.
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
			plan.Faults, plan.faultNumbers = append(plan.Faults, *fault), append(plan.faultNumbers, i)
		}
	}
	return plan
}

// drawFaultKinds chooses the kinds of faults that can occur in a run. Each kind has a chance of one half (swarm testing).
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

// drawFault returns a random fault. random is a source of random numbers for this fault alone. clustering is the probability that
// the time of the fault is at most half a second from the time centre, so that faults overlap. If skip is true, or if there are no
// kinds, drawFault returns nil.
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

// describe returns the parameters and the faults of the plan, as reports print them.
func (p *FleetPlan) describe() []string {
	names := []string{fmt.Sprintf("nodes=%d budget=%d lost=%.2f", p.Nodes, p.Budget, p.Dropped)}
	for _, fault := range p.Faults {
		names = append(names, fault.Kind.String())
	}
	return names
}
