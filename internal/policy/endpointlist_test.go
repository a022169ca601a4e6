package policy

import (
	"fmt"
	"math/rand/v2"
	"shelfproxy/internal/discovery/polling"
	"testing"
	"time"
)

func TestPollsBackOff(t *testing.T) {
	settings := testSettings()
	settings.MustPoll, settings.DrainGrace = true, 2500*ms
	driver := newDriver(t, settings, "s1")
	var gaps []time.Duration
	last := driver.now
	for range 5 {
		for n := 0; n == 0; driver.now += upkeepInterval {
			n = len(actionsOf[Subscribe](driver.handle(TimerFired{upkeepToken})))
		}
		gaps = append(gaps, driver.now-last)
		last = driver.now
		driver.handle(EndpointUpdate{Scope: PollFailed})
	}
	if gaps[4] < 2*gaps[1] {
		t.Errorf("waits between calls %v do not grow", gaps)
	}
	if _, actions := driver.request("high", "k", nil); driver.sentTo(actions) != "s1" {
		t.Error("a failed call should leave the last list in force")
	}
	driver.now += time.Minute
	driver.handle(TimerFired{upkeepToken})
	driver.handle(EndpointUpdate{Scope: DeltaUpdate})
	for range 400 {
		if driver.now += upkeepInterval; len(actionsOf[Subscribe](driver.handle(TimerFired{upkeepToken}))) > 0 {
			t.Fatal("asked again though subscribed")
		}
	}
}

func TestServersThatLeftTheListAreForgotten(t *testing.T) {
	driver := newDriver(t, testSettings(), "s0")
	for i := range 200 {
		driver.handle(EndpointUpdate{Scope: FullUpdate, Servers: []Server{{ID: "o", Kind: "origin"}, {ID: fmt.Sprint("s", i), Kind: "cache"}}})
	}
	if n := len(driver.router.servers); n != 2 || len(driver.router.serverByID) != 2 {
		t.Errorf("%d servers are held, want the two that are listed", n)
	}
}

// TestPollsOfAFleetAreSpread: routers that start together, or lose their watches together, do not call together,
// each has one call out at a time, and the list they hold serves meanwhile.
func TestPollsOfAFleetAreSpread(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.MustPoll, settings.DrainGrace = 80, true, 2500*ms
	var routers []*routerDriver
	for i := range settings.Nodes {
		driver := newDriver(t, settings)
		driver.router.rng = rand.New(rand.NewPCG(uint64(i), 3))
		driver.router.isTimerRunning = false
		driver.handle(EndpointUpdate{Scope: CachedList, Servers: []Server{{ID: "s1", Kind: "cache", Zone: "a", Capacity: 1}}})
		routers = append(routers, driver)
	}
	calls := func(steps int) (total, most int) {
		for range steps {
			n := 0
			for _, driver := range routers {
				driver.now += upkeepInterval
				n += len(actionsOf[Subscribe](driver.handle(TimerFired{upkeepToken})))
			}
			total, most = total+n, max(most, n)
		}
		return total, most
	}
	for round, within := range []time.Duration{4 * time.Second, 8 * time.Second} {
		total, most := calls(int(within/upkeepInterval) + 1)
		if total != 80 || most > 14 {
			t.Fatalf("round %d: %d calls in %v, %d of them within %v; want one each, spread", round, total, within, most, upkeepInterval)
		}
		for _, driver := range routers {
			if _, actions := driver.request("high", "k", nil); driver.sentTo(actions) != "s1" {
				t.Fatal("the list that is held should serve")
			}
			driver.handle(EndpointUpdate{Scope: PollFailed})
		}
	}
}

// TestPollsKeepTheBoundsOfTheProtocol: however many routers there are, what the list has to tell counts as told 6 s
// after it could be had, and the grace for drains runs from there. Within both, a watch that falls silent as a change
// is made is found out and the call after it answered; a call is made and answered after one that failed, had the
// list come back the moment that one began; and, after a start, a second call after a first that failed. Calls are no
// closer than one service can take: 5 ms each where a list names 200 servers, as was measured on the fleet's days, or
// a little less where the grace leaves no more.
func TestPollsKeepTheBoundsOfTheProtocol(t *testing.T) {
	for grace, pace := range map[time.Duration]time.Duration{2500 * ms: 5 * ms, 500 * ms: 4 * ms} {
		for _, routers := range []int{1, 4, 80, 300, 1000} {
			settings := testSettings()
			settings.Nodes, settings.MustPoll = routers, true
			settings.MaxPollInterval, settings.DrainGrace = 10*time.Second, grace
			driver := newDriver(t, settings)
			first, again := driver.router.pollSpread(), driver.router.polls.FirstBackoff()
			most := updateKnownWithin + grace
			if worst := polling.WatchTimeout + upkeepInterval + first + pollCallTimeout; worst > most {
				t.Errorf("%d routers: the call after a silent watch is answered up to %v after a change", routers, worst)
			}
			for range 10 { // the waits grow
				driver.router.polls.Failed(driver.now)
			}
			driver.router.polls.Jitter = func(wait time.Duration) time.Duration { return wait } // the longest there is
			failed := driver.now
			driver.handle(EndpointUpdate{Scope: PollFailed})
			for len(actionsOf[Subscribe](driver.handle(TimerFired{upkeepToken}))) == 0 {
				driver.now += upkeepInterval
			}
			if worst := polling.CallTimeout + driver.now - failed + pollCallTimeout; worst > most {
				t.Errorf("%d routers: the call after one that failed is answered up to %v after the list is back", routers, worst)
			}
			if worst := first + pollCallTimeout + again + upkeepInterval; worst > most+upkeepInterval {
				t.Errorf("%d routers: a second call is made up to %v after a start", routers, worst)
			}
			if routers <= 300 && first < pace*time.Duration(routers) {
				t.Errorf("%d routers make their first calls within %v", routers, first)
			}
			if routers <= 4 && first > 200*ms {
				t.Errorf("%d routers wait up to %v", routers, first)
			}
		}
	}
}

// TestWholeFleetHasTheListInTime: 300 routers and one service that takes 5 ms for each list. What it has is known to
// all in the time after which it counts as told and the grace that follows, from when it could be had: where all
// watches fall silent at once, where it was down for 8 s, and where all are sent to another one in the same moment.
func TestWholeFleetHasTheListInTime(t *testing.T) {
	const routers = 300
	for name, test := range map[string]struct {
		silent bool
		down   Time
		moved  bool
	}{"silent": {silent: true}, "down": {down: 8 * time.Second}, "moved": {moved: true}} {
		fleet := newFleet(t, routers, false, 0, "s1")
		service := &discoveryService{perCall: 5 * ms, downUntil: fleet.drivers[0].now + test.down, answers: map[int]struct {
			at Time
			ok bool
		}{}}
		began := fleet.drivers[0].now
		have := make([]Time, routers)
		for i, driver := range fleet.drivers {
			driver.router.settings.MustPoll = true
			driver.handle(EndpointUpdate{Scope: DeltaUpdate}) // it has what there is
			switch {
			case test.moved:
				service.call(driver.now, i)
			case test.down > 0:
				driver.handle(EndpointUpdate{Scope: PollFailed})
			}
		}
		for step, left := 0, routers; left > 0; step++ {
			for i, driver := range fleet.drivers {
				driver.now += 10 * ms
				var acts []Action
				if test.silent && driver.now-began == polling.WatchTimeout {
					acts = append(acts, driver.handle(EndpointUpdate{Scope: PollFailed})...)
				}
				if (step+i)%25 == 0 {
					acts = append(acts, driver.handle(TimerFired{Token: upkeepToken})...)
				}
				if a, out := service.answers[i]; out && driver.now >= a.at {
					delete(service.answers, i)
					scope := PollFailed
					if a.ok {
						scope = DeltaUpdate
						if have[i] == 0 {
							have[i] = driver.now
							left--
						}
					}
					acts = append(acts, driver.handle(EndpointUpdate{Scope: scope})...)
				}
				for range actionsOf[Subscribe](acts) {
					service.call(driver.now, i)
				}
			}
			if step > 6000 {
				t.Fatalf("%s: %d never have the list", name, left)
			}
		}
		last := Time(0)
		for _, at := range have {
			last = max(last, at-began-test.down)
		}
		t.Logf("%s: all have the list %v after it could be had", name, last)
		if most := updateKnownWithin + fleet.drivers[0].router.settings.DrainGrace; last > most {
			t.Errorf("%s: the last has the list %v after it could be had, want %v", name, last, most)
		}
	}
}
