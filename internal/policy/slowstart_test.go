package policy

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"shelfproxy/internal/fleet/gossip"
)

// isAdmitted reports whether a server in slow start may take a request for the key. offered is how many requests the
// router could have sent to the server so far.
func (driver *routerDriver) isAdmitted(srv *server, key string, offered float64) bool {
	srv.offered = offered
	return driver.router.admitsDuringSlowStart(srv, &request{Request: Request{Key: key}})
}

// TestRestartedServerStaysWithinItsBudget checks that a server that restarted gets only a part of its requests at
// first, and all of them after its slow start. A hot key must not overload the server during its slow start.
func TestRestartedServerStaysWithinItsBudget(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	countSent := func(requests int) (count int) {
		for i := range requests {
			id, actions := driver.request("high", fmt.Sprint("c", driver.nextID, i), nil)
			if driver.sentTo(actions) == "s3" {
				count++
			}
			driver.now += 5 * ms
			driver.endAttempt(id, Succeeded, 5*ms)
		}
		return count
	}
	warm := countSent(600)
	driver.now += upkeepInterval
	driver.runUpkeep()
	driver.restart("s3", "")
	if got := countSent(600); got == 0 || got > warm*6/10 {
		t.Errorf("just started: got %d requests, %d when warm, want some and at most 0.6 of that", got, warm)
	}
	driver.now += 21 * time.Second
	if got := countSent(600); got < warm*8/10 {
		t.Errorf("warm again: got %d requests, want about %d", got, warm)
	}
	// 200 reads of one key that the restarted server owns arrive at once.
	driver.restart("s3", "")
	key := driver.keyOwnedBy("s3", "o")
	got := 0
	for range 200 {
		if _, actions := driver.request("high", key, nil); driver.sentTo(actions) == "s3" {
			got++
		}
	}
	// Popularity is counted over about 1.5 s, in which each of the three servers gets about 100 of the 200 requests a
	// second; 110 is a little more. In slow start, a server can serve 0.2 (SlowStartFloor) of them, and OverloadFactor
	// allows 3 times as many.
	if limit := 3 * 0.2 * 110; float64(got) > limit {
		t.Errorf("hot key while the server warms up: got %d requests, want at most %.0f", got, limit)
	}
}

// TestManyRoutersDoNotOverloadARestartedServer checks that 400 routers together do not overload a server that
// restarted. Each router gets few requests, a third of them for one key that the restarted server owns.
func TestManyRoutersDoNotOverloadARestartedServer(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 400
	ids := []string{"s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "s10"}
	driver := newDriver(t, settings, ids...)
	driver.restart("s1", "")
	hot := driver.keyOwnedBy("s1", "h") // s1 owns this key even during its slow start
	sent, offered := 0, 0
	for seed := range uint64(settings.Nodes) {
		driver := newDriver(t, settings, ids...)
		driver.router.rng = rand.New(rand.NewPCG(seed, 1))
		for i := range 40 {
			driver.now += 500 * ms
			key := fmt.Sprint("x", i)
			if i%3 == 0 {
				key = hot
			}
			id, actions := driver.request("high", key, nil)
			driver.handle(Outcome{ID: id, Reason: Succeeded, Took: ms, Ended: true})
			if i == 20 {
				driver.restart("s1", "")
			}
			if i > 20 && i <= 26 {
				offered++
				if driver.sentTo(actions) == "s1" {
					sent++
				}
			}
		}
	}
	// Each of the ten servers gets a tenth of the offered requests on average. In slow start, a server can serve at
	// least 2/10 (SlowStartFloor) of this tenth. The overload factor of 3 allows 3 times as many.
	if limit := offered / 10 * 2 * 3 / 10; sent == 0 || sent > limit {
		t.Errorf("got %d of %d requests at a restarted server with a hot key, want some and at most %d", sent, offered, limit)
	}
}

// TestPartsOfHotKeysCountAgainstTheSlowStartBudget checks hot keys whose owners are other servers than s1. Their
// requests are spread over several servers, also over s1, which is in slow start. s1 must not get more of these
// requests than it may get in all during its slow start (its budget).
func TestPartsOfHotKeysCountAgainstTheSlowStartBudget(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8")
	driver.restart("s1", "")
	var hot []string // keys for which s1, which is in slow start, is the second server to try
	for i := 0; len(hot) < 3; i++ {
		key := fmt.Sprint("h", i)
		order := driver.router.orderOf(slotOf(key), &request{})
		order.next()
		if order.next().ID == "s1" {
			hot = append(hot, key)
		}
	}
	got := 0
	for i := range 600 {
		driver.now += 5 * ms
		id, actions := driver.request("high", hot[i%3], nil)
		if driver.sentTo(actions) == "s1" {
			got++
		}
		driver.endAttempt(id, Succeeded, 5*ms)
	}
	// If the keys were spread evenly, s1 would get an eighth of the 600 requests: 75. In slow start, s1 can serve at
	// least a fifth of these 75, which is 15. The overload factor of 3 allows 3 times as many: 45.
	if got > 45 {
		t.Errorf("three hot keys: got %d of 600 requests at a server that warms up, want at most 45", got)
	}
}

// TestSlowStartBudgetFollowsAnswersNotDemand checks how many requests a server may get during its slow start. The
// number must depend on how many requests an average server answers, not on how many arrive. In a retry storm, clients
// repeat their requests again and again, and only one request in ten is answered.
func TestSlowStartBudgetFollowsAnswersNotDemand(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	for i := range 600 {
		id, actions := driver.request("high", fmt.Sprint("k", i), nil)
		if i%10 == 0 && len(actionsOf[Send](actions)) == 1 {
			driver.endAttempt(id, Succeeded, 5*ms)
		}
		driver.handle(ClientDisconnected{id})
	}
	driver.restart("s3", "")
	restarted, admitted := driver.router.serverByID["s3"], 0
	for offered := range 100 {
		if driver.isAdmitted(restarted, "k1", float64(offered+1)) {
			admitted++
		}
	}
	// Each of the three servers answered 20 of the 600 requests. In slow start, a server can serve a fifth
	// (SlowStartFloor) of 20, which is 4, and the overload factor of 3 allows 12. The bound of 45 is higher, because
	// the first few requests are admitted before the key counts as hot.
	if admitted == 0 || admitted > 45 {
		t.Errorf("got %d of 100 requests admitted while an average server answers 20, want 1 to 45", admitted)
	}
}

// TestFleetDoesNotOverloadTheRestartedOwnerOfAHotKey checks a fleet of 300 routers when the owner of a hot key, which
// gets a tenth of all requests, restarts. Without a bound, each router would send its first request for the hot key to
// the owner, because the router knows of no other requests for the key. A third of the routers restart in the same
// moment and have no samples. In any 1.5 s the owner must get fewer requests than would overload it, even if its cache
// did not fill in that time.
func TestFleetDoesNotOverloadTheRestartedOwnerOfAHotKey(t *testing.T) {
	const (
		steps, restartAt = 1400, 800
		servers          = 50
		window           = 150 // 1.5 s, in steps of 10 ms
	)
	fleet := newFleet(t, 300, true, 0.1, serverIDs(servers)...)
	ownerID := fleet.drivers[0].ownerOf("hot")
	// sent holds, for each step, how many requests went to the owner. requests counts the requests to all servers.
	sent, requests := make([]int, steps), 0
	for step := range steps {
		if step == restartAt {
			fleet.restartOwnerAndThirdOfRouters(ownerID, serverIDs(servers))
		}
		received := fleet.takeUndelivered()
		for i, driver := range fleet.drivers {
			fleet.tick(step, i, received, neverDown)
			if (step+i)%20 != 0 { // each router has 5 requests a second, a tenth of them for the hot key
				continue
			}
			id, actions := driver.request("high", fleet.drawKey(true), nil)
			requests++
			if driver.sentTo(actions) == ownerID {
				sent[step]++
			}
			fleet.carryOut(i, actions, neverDown)
			fleet.carryOut(i, driver.endAttempt(id, Succeeded, 10*ms), neverDown)
		}
	}
	settings := fleet.drivers[0].router.settings
	fair := float64(requests) / steps * window / servers // requests that an average server gets in a window of 1.5 s
	most, total := 0, sum(sent[restartAt:])
	for step := restartAt; step+window <= steps; step++ {
		most = max(most, sum(sent[step:step+window]))
	}
	t.Logf("the owner got at most %d requests in 1.5 s, %d in 6 s; a warm server gets %.0f in 1.5 s", most, total, fair)
	if limit := settings.OverloadFactor * settings.SlowStartFloor * fair; float64(most) > limit || total == 0 {
		t.Errorf(
			"got %d requests at the owner in 1.5 s, %d in all, want at most %.0f, or it is overloaded, and some in all",
			most, total, limit)
	}
}

// sum returns the sum of the counts.
func sum(counts []int) (total int) {
	for _, count := range counts {
		total += count
	}
	return total
}

// restartOwnerAndThirdOfRouters restarts every third router, so that these routers lose all their state. It tells all
// routers that the owner restarted.
func (fleet *simulatedFleet) restartOwnerAndThirdOfRouters(ownerID string, servers []string) {
	for i, driver := range fleet.drivers {
		if i%3 == 0 {
			now := driver.now
			*driver = *newDriver(driver.t, driver.router.settings, servers...)
			driver.now = now
			driver.router.rng = rand.New(rand.NewPCG(uint64(i), 8))
		}
		driver.restart(ownerID, "a")
	}
}

// TestSlowStartAdmitsByPopularityAtAllRouters checks a router that has had no requests yet for a server in slow start.
// Of 1000 requests for an ordinary key, the router must admit at least 500 to the server. Of 1000 requests for a key
// that is popular at the other routers, it must admit at least one and at most 150.
func TestSlowStartAdmitsByPopularityAtAllRouters(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 300
	driver := newDriver(t, settings, serverIDs(50)...)
	driver.readOtherKeys(400)
	driver.restart("s20", "a")
	for i := range 400 { // half of the requests that the other routers report are for the hot key
		for _, key := range []string{"hot", fmt.Sprint("ordinary", i%200)} {
			driver.router.keyCounts.Add(driver.now, gossip.FingerprintOf(hash(key)), 50)
		}
	}
	countAdmitted := func(key string) (count int) {
		for range 1000 {
			if driver.isAdmitted(driver.router.serverByID["s20"], key, 0) {
				count++
			}
		}
		return count
	}
	if ordinary, hot := countAdmitted("ordinary7"), countAdmitted("hot"); ordinary < 500 || hot == 0 || hot > 150 {
		t.Errorf("got %d of 1000 requests admitted for an ordinary key and %d for a hot one, want at least 500 and 1 to 150",
			ordinary, hot)
	}
}

// TestSlowStartBudgetDoesNotGrowWhenServersAreRemoved checks that a server in slow start does not take more requests
// when half of the servers are removed. The limit follows from how many requests an average server answered. It would
// grow if past answers were divided by the new number of servers, instead of the number at the time of each answer.
func TestSlowStartBudgetDoesNotGrowWhenServersAreRemoved(t *testing.T) {
	driver := newDriver(t, testSettings(), serverIDs(8)...)
	for i := range 400 {
		driver.now += 5 * ms
		id, _ := driver.request("high", fmt.Sprint("k", i), nil)
		driver.endAttempt(id, Succeeded, 10*ms)
	}
	driver.restart("s1", "a")
	countAdmitted := func() (count int) {
		for range 4000 {
			if driver.isAdmitted(driver.router.serverByID["s1"], "k1", 30*driver.router.requestWeight) {
				count++
			}
		}
		return count
	}
	before := countAdmitted()
	var removed []Server
	for _, id := range serverIDs(8)[4:] {
		removed = append(removed, Server{ID: id, Kind: "cache", Zone: "a", Capacity: 1, State: Removed})
	}
	driver.update(removed...)
	if got := countAdmitted(); before == 0 || got > before*5/4 {
		t.Errorf("got %d of 4000 requests admitted once half of the servers were removed, %d before, want at most 5/4 of that",
			got, before)
	}
}

// TestUnreachableServerIsDistinguishedFromRestartedOne checks how a router distinguishes a restarted server from one
// that was only unreachable. When an unresponsive server answers again, its slow start begins, as the server may have
// restarted. Four hits without a miss show that the server was only unreachable, and end its slow start. A connect that
// was refused while the server was unresponsive, a miss, or the endpoint list shows that the server restarted.
func TestUnreachableServerIsDistinguishedFromRestartedOne(t *testing.T) {
	for name, test := range map[string]struct {
		meanwhile     Reason // how an attempt ended while the server was unresponsive
		took          time.Duration
		answers       []Reason
		wantWarmingUp bool
	}{
		"nothing shown yet":     {TimedOut, time.Second, nil, true},
		"hits":                  {TimedOut, time.Second, []Reason{Succeeded, Succeeded, Succeeded, Succeeded}, false},
		"hits and a miss":       {TimedOut, time.Second, []Reason{Succeeded, Miss, Succeeded, Succeeded, Succeeded, Succeeded}, true},
		"a connect was refused": {NoConnection, 2 * ms, []Reason{Succeeded, Succeeded, Succeeded, Succeeded}, true},
		"a connect timed out":   {NoConnection, 250 * ms, []Reason{Succeeded, Succeeded, Succeeded, Succeeded}, false},
	} {
		t.Run(name, func(t *testing.T) {
			driver := newDriver(t, testSettings(), "s1")
			driver.readOtherKeys(20)
			srv := driver.router.serverByID["s1"]
			pending, _ := driver.request("high", "pending", func(request *Request) { request.Deadline += time.Minute })
			driver.now += 2 * time.Second
			driver.awaitHealthCheck()
			for range 2 {
				driver.now += 300 * ms
				driver.handle(HealthChecked{Server: "s1", Reason: TimedOut})
			}
			if !srv.isUnresponsive {
				t.Fatal("after two failed health checks the server is not unresponsive")
			}
			driver.now += 2 * time.Second
			driver.handle(Outcome{ID: pending, Attempt: 0, Reason: test.meanwhile, Took: test.took})
			driver.now += time.Second
			driver.handle(HealthChecked{Server: "s1", Reason: Succeeded})
			if weight := driver.router.slowStartWeight(srv); srv.isUnresponsive || weight > 0.3 {
				t.Fatalf("after an answer: unresponsive %v, slow start weight %.2f, want it back and warming up",
					srv.isUnresponsive, weight)
			}
			for i, reason := range test.answers {
				id, actions := driver.request("high", fmt.Sprint("k", i), nil)
				// During its slow start, s1 does not take all requests; the others go to the origin. So the loop sends
				// requests until s1 takes one.
				for driver.sentTo(actions) != "s1" {
					driver.endAttempt(id, Succeeded, 5*ms)
					id, actions = driver.request("high", fmt.Sprint("k", i, driver.nextID), nil)
				}
				driver.handle(Outcome{ID: id, Server: "s1", Reason: reason, Took: 5 * ms, Ended: reason == Succeeded})
			}
			if got := driver.router.isWarmingUp(srv); got != test.wantWarmingUp {
				t.Errorf("after its answers: warming up %v, want %v", got, test.wantWarmingUp)
			}
		})
	}
}
