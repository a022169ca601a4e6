package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestCorruptResponsesAndResetsDoNotTakeAServerOut checks that a server keeps its keys after a corrupt response, a
// broken connection, or a health check whose connection breaks. After a corrupt response, the read is retried at the
// same server first, because the object is there. Two health checks without a connection do take the server's keys
// away.
func TestCorruptResponsesAndResetsDoNotTakeAServerOut(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	ownerID := driver.ownerOf("k")
	id, _ := driver.request("low", "k", nil)
	if got := driver.sentTo(driver.endAttempt(id, CorruptResponse, ms)); got != ownerID {
		t.Errorf("second attempt: got %s, want the owner %s", got, ownerID)
	}
	if got := driver.sentTo(driver.endAttempt(id, CorruptResponse, ms)); got == ownerID {
		t.Errorf("third attempt: got the owner %s, want another server", got)
	}
	driver.now += ms
	id, _ = driver.request("low", "k", nil)
	actions := driver.endAttempt(id, Reset, ms)
	if driver.sentTo(actions) == ownerID || len(actionsOf[HealthCheck](actions)) != 1 || driver.ownerOf("k") != ownerID {
		t.Errorf("after a reset: got %v and owner %s, want another server, a health check and owner %s",
			actions, driver.ownerOf("k"), ownerID)
	}
	for _, test := range []struct {
		result  Reason
		wantOut bool
	}{{Reset, false}, {Reset, false}, {NoConnection, false}, {NoConnection, true}} {
		driver.now += ms
		driver.handle(HealthChecked{Server: ownerID, Reason: test.result})
		if isOut := driver.ownerOf("k") != ownerID; isOut != test.wantOut {
			t.Errorf("after a health check with result %d: out %v, want %v", test.result, isOut, test.wantOut)
		}
	}
}

// TestServerIsOutAfterTwoFailedHealthChecks checks that a server counts as unresponsive after two failed health checks.
// The server's attempts in flight are then cancelled, and their requests go to other servers. Once the server responds
// again, its slow start begins.
func TestServerIsOutAfterTwoFailedHealthChecks(t *testing.T) {
	for _, test := range []struct {
		name    string
		results []Reason
		wantOut bool
	}{
		{"answered", []Reason{Succeeded}, false},
		{"rejected: the process is overloaded", []Reason{Rejected, Rejected}, false},
		{"one failed at an overloaded server", []Reason{TimedOut, Succeeded}, false},
		{"two failed", []Reason{TimedOut, TimedOut}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			driver := newDriver(t, testSettings(), "s1", "s2")
			for i := range 40 {
				id, _ := driver.request("high", fmt.Sprint(i), nil)
				driver.now += 20 * ms
				driver.endAttempt(id, Succeeded, 20*ms)
			}
			id, actions := driver.request("high", "k", func(request *Request) { request.Deadline += time.Minute })
			serverID := driver.sentTo(actions)
			driver.now += 2 * time.Second
			driver.awaitHealthCheck()
			actions = nil
			for _, result := range test.results {
				driver.now += 300 * ms
				actions = append(actions, driver.handle(HealthChecked{Server: serverID, Reason: result})...)
			}
			cancels := actionsOf[Cancel](actions)
			if isOut := len(cancels) == 1 && cancels[0].ID == id; isOut != test.wantOut {
				t.Fatalf("got cancels %v, want the read cancelled: %v", cancels, test.wantOut)
			}
			if !test.wantOut {
				return
			}
			if got := driver.sentTo(driver.endAttempt(id, Cancelled, time.Second)); got == serverID {
				t.Errorf("retry: got the unresponsive server %s, want another one", got)
			}
			driver.now += 3 * time.Second
			driver.handle(HealthChecked{Server: serverID, Reason: Succeeded})
			srv := driver.router.serverByID[serverID]
			if weight := driver.router.slowStartWeight(srv); srv.isUnresponsive || weight > 0.3 {
				t.Errorf("after an answer: unresponsive %v, slow start weight %.2f, want it back and warming up",
					srv.isUnresponsive, weight)
			}
		})
	}
}

// awaitHealthCheck repeats the router's periodic work until the router starts a health check.
func (driver *routerDriver) awaitHealthCheck() {
	driver.t.Helper()
	for range 1000 {
		hasChecked := len(actionsOf[HealthCheck](driver.runUpkeep())) > 0
		driver.now += upkeepInterval
		if hasChecked {
			return
		}
	}
	driver.t.Fatal("no health check in 1000 rounds of upkeep")
}

// TestOneFailedConnectDoesNotTakeAServerOut checks that a server does not count as unresponsive after one failed
// connect, as a full connection table may be the cause. The request goes to another server, and the first server gets a
// health check.
func TestOneFailedConnectDoesNotTakeAServerOut(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2")
	id, actions := driver.request("high", "k", nil)
	failedAt := driver.sentTo(actions)
	actions = driver.endAttempt(id, NoConnection, 250*ms)
	if driver.sentTo(actions) == failedAt || len(actionsOf[HealthCheck](actions)) != 1 {
		t.Errorf("got %v, want a send to the next server and a health check", actions)
	}
	if driver.router.serverByID[failedAt].isUnresponsive {
		t.Error("one failed connect made the router regard the server as unresponsive")
	}
}

// TestRechecksArePacedByTheFleetSize checks that a router in a larger fleet waits longer between its health checks of
// an unresponsive server.
func TestRechecksArePacedByTheFleetSize(t *testing.T) {
	for routers, want := range map[int]struct{ least, most int }{2: {15, 20}, 400: {4, 5}} {
		settings := testSettings()
		settings.Nodes = routers
		driver := newDriver(t, settings, "s1", "s2")
		driver.router.markUnresponsive(driver.router.serverByID["s1"])
		got := 0
		for range 80 { // 80 times upkeepInterval are 20 s
			driver.now += upkeepInterval
			for _, check := range actionsOf[HealthCheck](driver.runUpkeep()) {
				if check.Server == "s1" {
					got++
					driver.handle(HealthChecked{Server: "s1", Reason: TimedOut})
				}
			}
		}
		if got < want.least || got > want.most {
			t.Errorf("%d routers: got %d health checks of one in 20 s, want %d to %d", routers, got, want.least, want.most)
		}
	}
}

// TestUnresponsiveServerIsFoundWithoutHealthChecks checks how a router that must not use health checks treats a server
// that accepts no connections. After a few failed attempts the server loses its keys; from then on, it gets a single
// attempt now and then. When the server answers again, it gets its keys back. Its zone, in which it is the only server,
// must not count as unreachable.
func TestUnresponsiveServerIsFoundWithoutHealthChecks(t *testing.T) {
	settings := testSettings()
	settings.MayHealthCheck, settings.Zone = false, "a"
	driver := newDriver(t, settings, "s1", "s2")
	driver.update(Server{ID: "far", Kind: "cache", Zone: "b", Capacity: 1})
	attemptsAtFar := func(span time.Duration, isDown bool) (count int) {
		for end := driver.now + span; driver.now < end; driver.now += 20 * ms {
			id, actions := driver.request("high", fmt.Sprint("k", driver.nextID), nil)
			for range 4 {
				sends := actionsOf[Send](actions)
				if len(sends) == 0 {
					break
				}
				reason, took := Succeeded, 10*ms
				if sends[0].Server == "far" {
					count++
					if isDown {
						reason, took = NoConnection, 150*ms
					}
				}
				actions = driver.endAttempt(id, reason, took)
			}
			if driver.nextID%12 == 0 {
				driver.runUpkeep()
			}
		}
		return count
	}
	if got := attemptsAtFar(4*time.Second, true); got < 3 || got > 20 {
		t.Errorf("first 4 s at a server that is down: got %d attempts, want 3 to 20", got)
	}
	if got := attemptsAtFar(20*time.Second, true); got == 0 || got > 6 {
		t.Errorf("20 s at a server that is left out: got %d attempts, want 1 to 6", got)
	}
	if got := attemptsAtFar(30*time.Second, false); got < 300 { // in slow start the server gets only some requests
		t.Errorf("30 s at a server that is back: got %d of 1500 requests, want at least 300", got)
	}
}
