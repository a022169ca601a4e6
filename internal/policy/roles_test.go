package policy

import (
	"math/rand/v2"
	"testing"
	"time"
)

// roleHolder is the index of the only router of a simulated fleet to which assign gives a role.
const roleHolder = 7

// assign gives a role, which is a task that one router does for all, to the router roleHolder. It tells all routers
// whether they have the role.
func (fleet *simulatedFleet) assign(role Role) {
	for i, driver := range fleet.drivers {
		responsibility := AssignedElsewhere
		if i == roleHolder {
			responsibility = AssignedHere
		}
		driver.handle(RoleAssigned{Role: role, Responsibility: responsibility})
	}
}

// TestFleetSizeSetsThePaceOfChecksAndPolls checks that a router follows a change of the fleet size. In a smaller fleet
// each router checks an unresponsive server more often, so that the fleet as a whole checks as often as before. In a
// smaller fleet the first polls of discovery are also spread over less time. An event with a size of 0 restores the
// size in the settings.
func TestFleetSizeSetsThePaceOfChecksAndPolls(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.MayGossip, settings.DrainGrace = 60, true, 2500*ms
	router := newDriver(t, settings, serverIDs(4)...).router
	interval, spread := router.recheckInterval(), router.polls.SpreadOver
	router.Handle(router.now, FleetSize{Nodes: 30})
	if got := router.recheckInterval(); got != interval/2 {
		t.Errorf("half of the fleet: got a recheck after %v, want %v", got, interval/2)
	}
	if got := router.polls.SpreadOver; got >= spread {
		t.Errorf("half of the fleet: got polls spread over %v, want less than %v", got, spread)
	}
	router.Handle(router.now, FleetSize{})
	if got := router.recheckInterval(); got != interval {
		t.Errorf("as configured: got a recheck after %v, want %v", got, interval)
	}
	if got := router.polls.SpreadOver; got != spread {
		t.Errorf("as configured: got polls spread over %v, want %v", got, spread)
	}
}

// serverOutageCost is what it costs a fleet that a server is down for 20 s.
type serverOutageCost struct {
	healthChecks int           // health checks in the last 17 s of the outage
	recovery     time.Duration // time from the end of the outage until nine in ten routers use the server again
}

// simulateServerOutage returns what it costs a fleet of 60 routers that a server is down for 20 s. If hasRole is true,
// one router has the role HealthChecker: it checks unresponsive servers for all routers.
func simulateServerOutage(t *testing.T, hasRole bool, lossRate float64) (result serverOutageCost) {
	t.Helper()
	const (
		routers   = 60
		downID    = "s20"
		downFrom  = 200
		knownFrom = downFrom + 300 // by this step, 3 s into the outage, the routers know that the server is down
		downUntil = 2200
	)
	fleet := newFleet(t, routers, true, lossRate, serverIDs(40)...)
	fleet.rng = rand.New(rand.NewPCG(9, 9))
	if hasRole {
		fleet.assign(HealthChecker)
	}
	for step := range 6000 {
		if step == knownFrom {
			fleet.healthChecks = 0
		}
		fleet.serveStep(step, func(server string) Reason {
			if server == downID && step >= downFrom && step < downUntil {
				return NoConnection
			}
			return Succeeded
		})
		if step == downUntil-1 {
			result.healthChecks = fleet.healthChecks
		}
		if step >= downUntil && routers-fleet.countUnresponsive(downID) >= routers*9/10 {
			result.recovery = time.Duration(step-downUntil) * stepTime
			return result
		}
	}
	t.Fatalf("role assigned %v: the server never came back", hasRole)
	return result
}

// TestAssignedHealthCheckerChecksForAll checks the effect of the HealthChecker role, with which one router checks
// unresponsive servers for all. While a server is down for 20 s, the fleet must make at most a third of the health
// checks. The fleet may use the server again at most 500 ms later than without the role.
func TestAssignedHealthCheckerChecksForAll(t *testing.T) {
	for _, lossRate := range []float64{0, 0.1} {
		unassigned, assigned := simulateServerOutage(t, false, lossRate), simulateServerOutage(t, true, lossRate)
		t.Logf("%.0f%% of the datagrams lost: %+v with the role, %+v without", lossRate*100, assigned, unassigned)
		if assigned.healthChecks*3 > unassigned.healthChecks || assigned.recovery > unassigned.recovery+500*ms {
			t.Errorf("%.0f%% of the datagrams lost: got %+v with the role, %+v without, "+
				"want a third of the health checks and 500 ms more at most", lossRate*100, assigned, unassigned)
		}
	}
}

// discoveryOutageCost is what it costs a fleet that discovery does not answer for a while.
type discoveryOutageCost struct {
	failedPolls int
	recovery    time.Duration // time from the end of the outage until all routers have the endpoint list again
}

// discoveryOutage simulates a discovery service that does not answer for a while, and records what this costs the
// fleet.
type discoveryOutage struct {
	length    time.Duration
	hasList   []bool // whether each router has the endpoint list again, by the index of the router
	missing   int    // number of routers that do not have the endpoint list yet
	announced bool   // whether a router announced in this step that discovery answers again
	result    discoveryOutageCost
}

// carryOut answers a router's polls of discovery, and records whether the router announces that discovery answers
// again.
func (outage *discoveryOutage) carryOut(at time.Duration, index int, driver *routerDriver, actions []Action) {
	for len(actions) > 0 {
		action := actions[0]
		actions = actions[1:]
		switch action.(type) {
		case Subscribe:
			scope := DeltaUpdate
			if at < outage.length {
				scope = PollFailed
				outage.result.failedPolls++
			} else if !outage.hasList[index] {
				outage.hasList[index] = true
				outage.missing--
			}
			actions = append(actions, driver.handle(EndpointUpdate{Scope: scope})...)
		case Announce:
			outage.announced = true
		}
	}
}

// simulateDiscoveryOutage returns what it costs a fleet of 80 routers that discovery does not answer for eight seconds.
// If hasRole is true, one router has the role DiscoveryPoller: it polls discovery for all routers.
func simulateDiscoveryOutage(t *testing.T, hasRole bool, lossRate float64) discoveryOutageCost {
	t.Helper()
	const routers = 80
	fleet := newFleet(t, routers, true, 0, "s1")
	outage := discoveryOutage{length: 8 * time.Second, hasList: make([]bool, routers), missing: routers}
	for _, driver := range fleet.drivers {
		driver.router.settings.MustPoll = true
		driver.handle(EndpointUpdate{Scope: PollFailed}) // the watch of each router breaks
	}
	if hasRole {
		fleet.assign(DiscoveryPoller)
	}
	for step := 0; ; step++ {
		at := time.Duration(step) * stepTime
		wasAnnounced := outage.announced
		outage.announced = false
		for i, driver := range fleet.drivers {
			driver.now += stepTime
			var actions []Action
			if wasAnnounced && fleet.rng.Float64() >= lossRate {
				actions = append(actions, driver.handle(RoleAnnouncement{DiscoveryPoller})...)
			}
			if isUpkeepStep(step, i) {
				actions = append(actions, driver.runUpkeep()...)
			}
			outage.carryOut(at, i, driver, actions)
		}
		if outage.missing == 0 {
			outage.result.recovery = at - outage.length
			return outage.result
		}
		if at > time.Minute {
			t.Fatalf("role assigned %v: %d of %d routers never have the list", hasRole, outage.missing, routers)
		}
	}
}

// TestAssignedPollerPollsForAll checks the effect of the DiscoveryPoller role. While discovery does not answer, one
// router polls for all and announces when discovery answers again. The fleet must make at most two thirds of the failed
// polls that it makes without the role. All routers must have the endpoint list within 6 s of the end of the outage. If
// every announcement is lost, the routers poll for themselves and must have the list within 4.5 s.
func TestAssignedPollerPollsForAll(t *testing.T) {
	unassigned, assigned := simulateDiscoveryOutage(t, false, 0), simulateDiscoveryOutage(t, true, 0)
	allLost := simulateDiscoveryOutage(t, true, 1)
	t.Logf("%+v without the role, %+v with it, %+v with every announcement lost", unassigned, assigned, allLost)
	if assigned.failedPolls*3 > unassigned.failedPolls*2 {
		t.Errorf("got %d failed polls with the role, want at most two thirds of %d",
			assigned.failedPolls, unassigned.failedPolls)
	}
	if assigned.recovery > 6*time.Second || allLost.recovery > 4500*ms {
		t.Errorf("got the list after %v, with every announcement lost after %v, want at most 6 s and 4.5 s",
			assigned.recovery, allLost.recovery)
	}
}
