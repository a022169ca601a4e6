package policy

import (
	"fmt"
	"testing"
	"time"
)

// A spoilt answer or one broken connection is no death: the map stays, and the spoilt read is asked for again where
// its object is. Nor is a probe whose connection breaks; two without an answer take the server out.
func TestCorruptResponsesAndResetsAreNoSignOfDeath(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	owner := driver.ownerOf("k")
	id, _ := driver.request("low", "k", nil)
	if to := driver.sentTo(driver.endAttempt(id, CorruptResponse, ms)); to != owner {
		t.Errorf("asked %s again, want the owner %s", to, owner)
	}
	if to := driver.sentTo(driver.endAttempt(id, CorruptResponse, ms)); to == owner {
		t.Error("asked the owner a third time")
	}
	driver.now += ms
	id, _ = driver.request("low", "k", nil)
	actions := driver.endAttempt(id, Reset, ms)
	if driver.sentTo(actions) == owner || len(actionsOf[HealthCheck](actions)) != 1 || driver.ownerOf("k") != owner {
		t.Errorf("after a reset %v, owner %s", actions, driver.ownerOf("k"))
	}
	for _, tt := range []struct {
		probe Reason
		out   bool
	}{{Reset, false}, {Reset, false}, {NoConnection, false}, {NoConnection, true}} {
		driver.now += ms
		if driver.handle(HealthChecked{Server: owner, Reason: tt.probe}); driver.ownerOf("k") == owner == tt.out {
			t.Errorf("after a probe that ended as %d: out of the map %v, want %v", tt.probe, !tt.out, tt.out)
		}
	}
}

func TestServerIsOutAfterTwoFailedHealthChecks(t *testing.T) {
	tests := []struct {
		name   string
		probes []Reason
		silent bool
	}{
		{"answered probe", []Reason{Succeeded}, false},
		{"turned away: the probe found a crowded process", []Reason{Rejected, Rejected}, false},
		{"one failed probe of a crowded server", []Reason{TimedOut, Succeeded}, false},
		{"two failed probes", []Reason{TimedOut, TimedOut}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			driver := newDriver(t, testSettings(), "s1", "s2")
			for i := range 40 {
				id, _ := driver.request("high", fmt.Sprint(i), nil)
				driver.now += 20 * ms
				driver.endAttempt(id, Succeeded, 20*ms)
			}
			id, actions := driver.request("high", "k", func(q *Request) { q.Deadline += time.Minute })
			lost := driver.sentTo(actions)
			for driver.now += 2 * time.Second; len(actionsOf[HealthCheck](actions)) == 0; driver.now += upkeepInterval {
				actions = driver.handle(TimerFired{upkeepToken})
			}
			actions = nil
			for _, reason := range tt.probes {
				driver.now += 300 * ms
				actions = append(actions, driver.handle(HealthChecked{Server: lost, Reason: reason})...)
			}
			if cancels := actionsOf[Cancel](actions); (len(cancels) == 1 && cancels[0].ID == id) != tt.silent {
				t.Fatalf("cancelled %v, want so: %v", cancels, tt.silent)
			}
			if !tt.silent {
				return
			}
			if to := driver.sentTo(driver.endAttempt(id, Cancelled, time.Second)); to == lost {
				t.Error("repeated on the silent server")
			}
			driver.now += 3 * time.Second
			driver.handle(HealthChecked{Server: lost, Reason: Succeeded})
			if s := driver.router.serverByID[lost]; s.isUnresponsive || driver.router.slowStartWeight(s) > 0.3 {
				t.Error("after an answered probe the server should be back, and cold")
			}
		})
	}
}

func TestOneFailedConnectIsNoSignOfDeath(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2")
	id, actions := driver.request("high", "k", nil)
	first := driver.sentTo(actions)
	actions = driver.endAttempt(id, NoConnection, 250*ms)
	if driver.sentTo(actions) == first || len(actionsOf[HealthCheck](actions)) != 1 {
		t.Errorf("want the next server and a probe, got %v", actions)
	}
	if driver.router.serverByID[first].isUnresponsive {
		t.Error("one failed connect took the server out of the map")
	}
}

func TestRechecksArePacedByTheFleetSize(t *testing.T) {
	for routers, want := range map[int][2]int{2: {15, 20}, 400: {4, 5}} {
		settings := testSettings()
		settings.Nodes = routers
		driver := newDriver(t, settings, "s1", "s2")
		driver.router.markUnresponsive(driver.router.serverByID["s1"])
		probes := 0
		for range 80 { // twenty seconds
			driver.now += upkeepInterval
			for _, p := range actionsOf[HealthCheck](driver.handle(TimerFired{upkeepToken})) {
				if p.Server == "s1" {
					probes++
					driver.handle(HealthChecked{Server: "s1", Reason: TimedOut})
				}
			}
		}
		if probes < want[0] || probes > want[1] {
			t.Errorf("%d routers: each probes a silent server %d times in 20 s, want %v", routers, probes, want)
		}
	}
}

// TestUnresponsiveServerIsFoundWithoutHealthChecks: where servers may not be asked, one that nobody answers at is
// left out after a few attempts, is tried by one request at a time, and takes its keys again when it answers. The
// other zone is not given up.
func TestUnresponsiveServerIsFoundWithoutHealthChecks(t *testing.T) {
	settings := testSettings()
	settings.MayHealthCheck, settings.Zone = false, "a"
	driver := newDriver(t, settings, "s1", "s2")
	driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "far", Kind: "cache", Zone: "b", Capacity: 1}}})
	dead, at := true, map[int]int{}
	phase := func(n int, span time.Duration) {
		for end := driver.now + span; driver.now < end; driver.now += 20 * ms {
			id, actions := driver.request("high", fmt.Sprint("k", driver.nextID), nil)
			for range 4 {
				sends := actionsOf[Send](actions)
				if len(sends) == 0 {
					break
				}
				if sends[0].Server == "far" {
					at[n]++
					if dead {
						actions = driver.endAttempt(id, NoConnection, 150*ms)
						continue
					}
				}
				actions = driver.endAttempt(id, Succeeded, 10*ms)
			}
			if driver.nextID%12 == 0 {
				driver.handle(TimerFired{Token: upkeepToken})
			}
		}
	}
	phase(0, 4*time.Second)
	phase(1, 20*time.Second)
	dead = false
	phase(2, 30*time.Second) // it is taken to be cold at first
	switch {
	case at[0] < 3 || at[0] > 20:
		t.Errorf("%d attempts in the first 4 s at a server that is gone", at[0])
	case at[1] == 0 || at[1] > 6:
		t.Errorf("%d attempts in 20 s at a server that was given up, want a few", at[1])
	case at[2] < 300:
		t.Errorf("%d of 1500 requests in 30 s at a server that is back", at[2])
	}
}
