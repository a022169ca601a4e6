package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shelfproxy/internal/discovery/polling"
)

// countPolls returns how many polls there are among the actions.
func countPolls(actions []Action) int { return len(actionsOf[Subscribe](actions)) }

// TestPollsBackOff: the waits between polls that fail grow, and the last list stays in force; with a watch there is no
// poll.
func TestPollsBackOff(t *testing.T) {
	settings := testSettings()
	settings.MustPoll, settings.DrainGrace = true, 2500*ms
	driver := newDriver(t, settings, "s1")
	var gaps []time.Duration
	last := driver.now
	for range 5 {
		for polls := 0; polls == 0; driver.now += upkeepInterval {
			polls = countPolls(driver.runUpkeep())
		}
		gaps = append(gaps, driver.now-last)
		last = driver.now
		driver.handle(EndpointUpdate{Scope: PollFailed})
	}
	if gaps[4] < 2*gaps[1] {
		t.Errorf("waits between polls: got %v, want them to grow", gaps)
	}
	if _, actions := driver.request("high", "k", nil); driver.sentTo(actions) != "s1" {
		t.Errorf("after a failed poll: got %v, want a send to s1 of the last list", actions)
	}
	driver.now += time.Minute
	driver.runUpkeep()
	driver.update()
	for range 400 {
		driver.now += upkeepInterval
		if polls := countPolls(driver.runUpkeep()); polls > 0 {
			t.Fatalf("with a watch: got %d polls, want none", polls)
		}
	}
}

// TestServersThatLeftTheListAreForgotten: what the router knows does not grow with the servers that came and went.
func TestServersThatLeftTheListAreForgotten(t *testing.T) {
	driver := newDriver(t, testSettings(), "s0")
	for i := range 200 {
		cache := Server{ID: fmt.Sprint("s", i), Kind: "cache"}
		driver.handle(EndpointUpdate{Scope: FullUpdate, Servers: []Server{{ID: originID, Kind: "origin"}, cache}})
	}
	if got := len(driver.router.servers); got != 2 || len(driver.router.serverByID) != 2 {
		t.Errorf("got %d servers, %d by id, want the two that are listed", got, len(driver.router.serverByID))
	}
}

// TestPollsOfAFleetAreSpread: routers that start together, or lose their watches together, do not poll together, each
// has one poll in flight at a time, and their list serves meanwhile.
func TestPollsOfAFleetAreSpread(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.MustPoll, settings.DrainGrace = 80, true, 2500*ms
	var drivers []*routerDriver
	for i := range settings.Nodes {
		driver := newDriver(t, settings)
		driver.router.rng = rand.New(rand.NewPCG(uint64(i), 3))
		driver.router.isTimerRunning = false
		cache := Server{ID: "s1", Kind: "cache", Zone: "a", Capacity: 1}
		driver.handle(EndpointUpdate{Scope: CachedList, Servers: []Server{cache}})
		drivers = append(drivers, driver)
	}
	countRounds := func(rounds int) (total, most int) {
		for range rounds {
			polls := 0
			for _, driver := range drivers {
				driver.now += upkeepInterval
				polls += countPolls(driver.runUpkeep())
			}
			total, most = total+polls, max(most, polls)
		}
		return total, most
	}
	for round, within := range []time.Duration{4 * time.Second, 8 * time.Second} {
		total, most := countRounds(int(within/upkeepInterval) + 1)
		if total != 80 || most > 14 {
			t.Fatalf("round %d: got %d polls in %v, %d of them within %v, want 80 and at most 14",
				round, total, within, most, upkeepInterval)
		}
		for _, driver := range drivers {
			if _, actions := driver.request("high", "k", nil); driver.sentTo(actions) != "s1" {
				t.Fatalf("while polls fail: got %v, want a send to s1 of the last list", actions)
			}
			driver.handle(EndpointUpdate{Scope: PollFailed})
		}
	}
}

// TestPollsKeepTheBoundsOfTheProtocol: however many routers there are, a router counts as notified of a change 6 s after
// it could know, and the grace for drains runs from there. Within both, a watch that falls silent as a change is made is
// found out and the poll after it answered; a poll is made and answered after one that failed, had discovery come back
// the moment that one began; and, after a start, a second poll after a first that failed. Polls are no closer than one
// service can take: 5 ms each where a list names 200 servers, as was measured on the fleet's days, or a little less where
// the grace leaves no more.
func TestPollsKeepTheBoundsOfTheProtocol(t *testing.T) {
	for grace, pace := range map[time.Duration]time.Duration{2500 * ms: 5 * ms, 500 * ms: 4 * ms} {
		for _, routers := range []int{1, 4, 80, 300, 1000} {
			t.Run(fmt.Sprint(routers, " routers, grace ", grace), func(t *testing.T) {
				settings := testSettings()
				settings.Nodes, settings.MustPoll = routers, true
				settings.MaxPollInterval, settings.DrainGrace = 10*time.Second, grace
				checkPollBounds(t, newDriver(t, settings), pace)
			})
		}
	}
}

// checkPollBounds checks the longest time that a router takes for its polls, and that they are spread over the pace.
func checkPollBounds(t *testing.T, driver *routerDriver, pace time.Duration) {
	t.Helper()
	routers := driver.router.settings.Nodes
	spread, firstBackoff := driver.router.pollSpread(), driver.router.polls.FirstBackoff()
	limit := updateKnownWithin + driver.router.settings.DrainGrace
	if worst := polling.WatchTimeout + upkeepInterval + spread + pollCallTimeout; worst > limit {
		t.Errorf("poll after a silent watch: answered up to %v after a change, want %v", worst, limit)
	}
	for range 10 { // the waits grow
		driver.router.polls.Failed(driver.now)
	}
	driver.router.polls.Jitter = func(wait time.Duration) time.Duration { return wait } // the longest there is
	failedAt := driver.now
	driver.handle(EndpointUpdate{Scope: PollFailed})
	for countPolls(driver.runUpkeep()) == 0 {
		driver.now += upkeepInterval
	}
	if worst := polling.CallTimeout + driver.now - failedAt + pollCallTimeout; worst > limit {
		t.Errorf("poll after one that failed: answered up to %v after discovery is back, want %v", worst, limit)
	}
	if worst := spread + pollCallTimeout + firstBackoff + upkeepInterval; worst > limit+upkeepInterval {
		t.Errorf("second poll: made up to %v after a start, want %v", worst, limit+upkeepInterval)
	}
	if least := pace * time.Duration(routers); routers <= 300 && spread < least {
		t.Errorf("first polls: made within %v, want at least %v", spread, least)
	}
	if routers <= 4 && spread > 200*ms {
		t.Errorf("first polls: spread over %v, want at most 200 ms", spread)
	}
}

// TestAllRoutersHaveTheListInTime: 300 routers and one service that takes 5 ms for each list. What it has is known to all
// in the time after which a router counts as notified and the grace that follows, from when it could be had: where all
// watches fall silent at once, where the service was down for 8 s, and where all are sent to another one in the same
// moment.
func TestAllRoutersHaveTheListInTime(t *testing.T) {
	for name, test := range map[string]listRecovery{
		"watches fall silent":        {isWatchUnresponsive: true},
		"the service was down":       {downFor: 8 * time.Second},
		"all move to another server": {isMoved: true},
	} {
		fleet := newFleet(t, 300, false, 0, "s1")
		last := test.timeToRecover(t, fleet)
		t.Logf("%s: all have the list %v after it could be had", name, last)
		if limit := updateKnownWithin + fleet.drivers[0].router.settings.DrainGrace; last > limit {
			t.Errorf("%s: the last has the list after %v, want %v", name, last, limit)
		}
	}
}

// listRecovery is how all routers lose the endpoint list.
type listRecovery struct {
	isWatchUnresponsive bool
	downFor             time.Duration
	isMoved             bool
}

// timeToRecover returns how long after the list could be had again the last router has it.
func (test listRecovery) timeToRecover(t *testing.T, fleet *simulatedFleet) (last time.Duration) {
	t.Helper()
	began := fleet.drivers[0].now
	service := &discoveryService{perPoll: 5 * ms, downUntil: began + test.downFor, responses: map[int]pollResponse{}}
	for i, driver := range fleet.drivers {
		driver.router.settings.MustPoll = true
		driver.update() // it has what there is
		switch {
		case test.isMoved:
			service.poll(driver.now, i)
		case test.downFor > 0:
			driver.handle(EndpointUpdate{Scope: PollFailed})
		}
	}
	hasList := make([]bool, len(fleet.drivers))
	for step, left := 0, len(fleet.drivers); left > 0; step++ {
		if step > 6000 {
			t.Fatalf("%+v: %d routers never have the list", test, left)
		}
		for i, driver := range fleet.drivers {
			if test.stepOne(fleet, service, step, i, began) && !hasList[i] {
				hasList[i] = true
				left--
				last = max(last, driver.now-began-test.downFor)
			}
		}
	}
	return last
}

// stepOne is one step of one router; it reports whether the router got the list.
func (test listRecovery) stepOne(fleet *simulatedFleet, service *discoveryService, step, index int, began Time) bool {
	driver, hasList := fleet.drivers[index], false
	driver.now += stepTime
	var actions []Action
	if test.isWatchUnresponsive && driver.now-began == polling.WatchTimeout {
		actions = append(actions, driver.handle(EndpointUpdate{Scope: PollFailed})...)
	}
	if isUpkeepStep(step, index) {
		actions = append(actions, driver.runUpkeep()...)
	}
	if response, isAwaited := service.responses[index]; isAwaited && driver.now >= response.at {
		delete(service.responses, index)
		scope := PollFailed
		if response.isSucceeded {
			scope, hasList = DeltaUpdate, true
		}
		actions = append(actions, driver.handle(EndpointUpdate{Scope: scope})...)
	}
	for range countPolls(actions) {
		service.poll(driver.now, index)
	}
	return hasList
}
