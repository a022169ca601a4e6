package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// TestFleetSizeSetsThePaceOfChecksAndPolls: the routers that are there probe a silent server at the pace of the whole
// fleet, and spread calls for the list over the time that the whole fleet would; where they cannot be told, those of
// the settings count.
func TestFleetSizeSetsThePaceOfChecksAndPolls(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.MayGossip, settings.DrainGrace = 60, true, 2500*ms
	driver := newDriver(t, settings, serverIDs(4)...)
	probe, call := driver.router.recheckInterval(), driver.router.polls.SpreadOver
	driver.handle(FleetSize{Nodes: 30})
	if driver.router.recheckInterval() != probe/2 || driver.router.polls.SpreadOver >= call {
		t.Errorf("half are there: a probe after %v, calls over %v; %v and %v with all", driver.router.recheckInterval(), driver.router.polls.SpreadOver, probe, call)
	}
	driver.handle(FleetSize{})
	if driver.router.recheckInterval() != probe || driver.router.polls.SpreadOver != call {
		t.Errorf("not told: a probe after %v, calls over %v; want %v and %v", driver.router.recheckInterval(), driver.router.polls.SpreadOver, probe, call)
	}
}

// TestAssignedHealthCheckerChecksForAll: with the duty to probe at one router, a server that is silent for 20 s costs
// a fleet a fraction of the probes, and all have it back no later than without.
func TestAssignedHealthCheckerChecksForAll(t *testing.T) {
	const routers = 60
	type result struct {
		probes int
		back   time.Duration // until nine in ten have it back
	}
	play := func(duty bool, lost float64) (r result) {
		fleet := newFleet(t, routers, true, lost, serverIDs(40)...)
		fleet.rng = rand.New(rand.NewPCG(9, 9))
		if duty {
			for i, driver := range fleet.drivers {
				who := AssignedElsewhere
				if i == 7 {
					who = AssignedHere
				}
				driver.handle(RoleAssigned{HealthChecker, who})
			}
		}
		const from, until = 200, 2200
		for n := range 6000 {
			if n == from+300 { // all know by then that it is silent
				fleet.healthChecks = 0
			}
			fleet.advanceAll(n, func(s string) Reason {
				if s == "s20" && n >= from && n < until {
					return NoConnection
				}
				return Succeeded
			})
			if n == until-1 {
				r.probes = fleet.healthChecks
			}
			back := 0
			for _, driver := range fleet.drivers {
				if !driver.router.serverByID["s20"].isUnresponsive {
					back++
				}
			}
			if n >= until && back >= routers*9/10 {
				r.back = time.Duration(n-until) * 10 * ms
				return r
			}
		}
		t.Fatalf("duty %v: it never came back", duty)
		return r
	}
	for _, lost := range []float64{0, 0.1} {
		alone, one := play(false, lost), play(true, lost)
		t.Logf("%.0f%% lost: %d probes in 17 s without the duty, back after %v; %d with it, back after %v", lost*100, alone.probes, alone.back, one.probes, one.back)
		if one.probes*3 > alone.probes || one.back > alone.back+500*ms {
			t.Errorf("%.0f%% lost: %+v with the duty, %+v without", lost*100, one, alone)
		}
	}
}

// TestAssignedPollerPollsForAll: while the list does not answer for eight seconds, one router calls for all and tells
// the others when it answers again. They call as soon as without, and two thirds as often at most; with every word
// lost each still calls, as soon as the rule on what counts as told wants.
func TestAssignedPollerPollsForAll(t *testing.T) {
	const routers = 80
	type result struct {
		failed int
		last   time.Duration // until all have the list again
	}
	play := func(duty bool, lost float64) (r result) {
		fleet := newFleet(t, routers, true, 0, "s1")
		down := 8 * time.Second
		var words []int // routers that said so, and when
		have := make([]bool, routers)
		for i, driver := range fleet.drivers {
			driver.router.settings.MustPoll = true
			driver.handle(EndpointUpdate{Scope: PollFailed}) // the watch of each breaks
			if who := AssignedElsewhere; duty {
				if i == 7 {
					who = AssignedHere
				}
				driver.handle(RoleAssigned{DiscoveryPoller, who})
			}
		}
		for n := 0; ; n++ {
			at := time.Duration(n) * 10 * ms
			heard := len(words)
			for i, driver := range fleet.drivers {
				driver.now += 10 * ms
				var acts []Action
				if heard > 0 && fleet.rng.Float64() >= lost {
					acts = append(acts, driver.handle(RoleAnnouncement{DiscoveryPoller})...)
				}
				if (n+i)%25 == 0 {
					acts = append(acts, driver.handle(TimerFired{Token: upkeepToken})...)
				}
				for len(acts) > 0 {
					a := acts[0]
					acts = acts[1:]
					switch a.(type) {
					case Subscribe:
						if at < down {
							r.failed++
							acts = append(acts, driver.handle(EndpointUpdate{Scope: PollFailed})...)
						} else {
							have[i] = true
							acts = append(acts, driver.handle(EndpointUpdate{Scope: DeltaUpdate})...)
						}
					case Announce:
						words = append(words, i)
					}
				}
			}
			words = words[heard:]
			if !slices.Contains(have, false) {
				r.last = at - down
				return r
			}
			if at > time.Minute {
				t.Fatalf("duty %v: not all have the list", duty)
			}
		}
	}
	alone, one, deaf := play(false, 0), play(true, 0), play(true, 1)
	t.Logf("%d calls failed without the duty, all had the list %v after; %d with it, %v; with every word lost %d, %v", alone.failed, alone.last, one.failed, one.last, deaf.failed, deaf.last)
	if one.failed*3 > alone.failed*2 || one.last > 6*time.Second || deaf.last > 4500*ms {
		t.Errorf("%+v alone, %+v with the duty, %+v with every word lost", alone, one, deaf)
	}
}
