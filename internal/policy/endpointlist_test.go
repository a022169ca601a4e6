package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shelfproxy/internal/discovery/polling"
)

// countPolls returns how many of the actions are polls of discovery (Subscribe).
func countPolls(actions []Action) int { return len(actionsOf[Subscribe](actions)) }

// TestPollsBackOff checks a router whose polls of discovery fail: the waits between polls must grow, and the last
// endpoint list must stay in use. A router whose watch works must make no polls.
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

// TestServersThatLeftTheListAreForgotten checks that a router forgets servers that left the endpoint list. Otherwise
// its memory would grow with every server that was ever listed.
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

// TestPollsOfAFleetAreSpread checks that routers that start at the same time spread their polls of discovery over time,
// and do so again when all these polls failed. Each router has one poll in flight at a time, and uses its last endpoint
// list meanwhile.
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

// TestPollsKeepTheBoundsOfTheProtocol checks the bounds on polls of discovery for fleets of several sizes. A router
// counts as notified of a change of the endpoint list 6 s after the change (updateKnownWithin). For the drain grace
// after that, it may still send to servers that drain or are gone. So each of these cases has to end within 6 s plus
// the drain grace:
//   - A watch falls silent as a change is made: the router notices the silence, polls, and gets the answer.
//   - Discovery recovers just after a router has begun a poll that fails: the router polls again and gets the answer.
//   - The first poll after a start fails: the router makes a second poll; here upkeepInterval more is allowed.
//
// In fleets of up to 300 routers, the first polls of different routers are at least 5 ms apart on average. In runs with
// a whole fleet, one discovery service took 5 ms to answer with a list of 200 servers. With a drain grace of only 500
// ms, the polls are at least 4 ms apart on average.
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

// checkPollBounds checks the longest times that a router takes for its polls of discovery. In fleets of up to 300
// routers, it also checks that the mean time between the first polls of different routers is at least pace.
func checkPollBounds(t *testing.T, driver *routerDriver, pace time.Duration) {
	t.Helper()
	routers := driver.router.settings.Nodes
	spread, firstBackoff := driver.router.pollSpread(), driver.router.polls.FirstBackoff()
	limit := updateKnownWithin + driver.router.settings.DrainGrace
	if worst := polling.WatchTimeout + upkeepInterval + spread + pollCallTimeout; worst > limit {
		t.Errorf("poll after a silent watch: answered up to %v after a change, want at most %v", worst, limit)
	}
	for range 10 { // each failed poll lengthens the wait for the next one
		driver.router.polls.Failed(driver.now)
	}
	// Without jitter the wait is as long as it can be.
	driver.router.polls.Jitter = func(wait time.Duration) time.Duration { return wait }
	failedAt := driver.now
	driver.handle(EndpointUpdate{Scope: PollFailed})
	for countPolls(driver.runUpkeep()) == 0 {
		driver.now += upkeepInterval
	}
	if worst := polling.CallTimeout + driver.now - failedAt + pollCallTimeout; worst > limit {
		t.Errorf("poll after one that failed: answered up to %v after discovery is back, want at most %v", worst, limit)
	}
	if worst := spread + pollCallTimeout + firstBackoff + upkeepInterval; worst > limit+upkeepInterval {
		t.Errorf("second poll: made up to %v after a start, want at most %v", worst, limit+upkeepInterval)
	}
	if least := pace * time.Duration(routers); routers <= 300 && spread < least {
		t.Errorf("first polls: made within %v, want at least %v", spread, least)
	}
	if routers <= 4 && spread > 200*ms {
		t.Errorf("first polls: spread over %v, want at most 200 ms", spread)
	}
}

// TestAllRoutersHaveTheListInTime checks how long 300 routers take to get the endpoint list from one discovery service
// that needs 5 ms for each answer. The time counts from when the service can give the list. It must not exceed
// updateKnownWithin (the time after which a router counts as notified of a change) plus the drain grace. In the three
// cases, all watches fall silent at once, the service was down for 8 s, or all routers move to another service in the
// same moment.
func TestAllRoutersHaveTheListInTime(t *testing.T) {
	for name, test := range map[string]listRecovery{
		"watches fall silent":        {isWatchUnresponsive: true},
		"the service was down":       {downFor: 8 * time.Second},
		"all move to another server": {isMoved: true},
	} {
		fleet := newFleet(t, 300, false, 0, "s1")
		last := test.timeToRecover(t, fleet)
		t.Logf("%s: all routers have the list %v after it is available", name, last)
		if limit := updateKnownWithin + fleet.drivers[0].router.settings.DrainGrace; last > limit {
			t.Errorf("%s: the last router has the list after %v, want at most %v", name, last, limit)
		}
	}
}

// listRecovery describes one case of TestAllRoutersHaveTheListInTime: how all routers lose the endpoint list before
// they get it again.
type listRecovery struct {
	isWatchUnresponsive bool
	downFor             time.Duration
	isMoved             bool
}

// timeToRecover returns how long the last router takes to get the endpoint list, counted from when discovery can give
// it.
func (test listRecovery) timeToRecover(t *testing.T, fleet *simulatedFleet) (last time.Duration) {
	t.Helper()
	began := fleet.drivers[0].now
	service := &discoveryService{perPoll: 5 * ms, downUntil: began + test.downFor, responses: map[int]pollResponse{}}
	for i, driver := range fleet.drivers {
		driver.router.settings.MustPoll = true
		driver.update() // an empty update, which tells the router that its watch works
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

// stepOne advances one router by one step and reports whether the router got the endpoint list in this step.
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
