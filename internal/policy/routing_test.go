package policy

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// addFarServers adds cache servers far0, far1 and so on to the endpoint list. They are in another zone than the router.
func (driver *routerDriver) addFarServers(count int) {
	var far []Server
	for i := range count {
		far = append(far, Server{ID: fmt.Sprint("far", i), Kind: "cache", Zone: "b", Capacity: 1})
	}
	driver.update(far...)
}

// isFar reports whether the server with this id is one that addFarServers added.
func isFar(id string) bool { return strings.HasPrefix(id, "far") }

// TestOnlyKeysOfTheMissingServerChangeOwner checks that when one server is missing from the endpoint list, only its
// keys get another owner.
func TestOnlyKeysOfTheMissingServerChangeOwner(t *testing.T) {
	ownersOf := func(servers ...string) map[string]string {
		driver := newDriver(t, testSettings(), servers...)
		owners := map[string]string{}
		for i := range 300 {
			key := fmt.Sprint("key", i)
			owners[key] = driver.ownerOf(key)
		}
		return owners
	}
	with, without := ownersOf("s1", "s2", "s3", "s4"), ownersOf("s1", "s2", "s3")
	ofMissing := 0
	for key, want := range with {
		if want == "s4" {
			ofMissing++
		} else if got := without[key]; got != want {
			t.Errorf("without s4: got owner %s of %s, want %s as before", got, key, want)
		}
	}
	if ofMissing < 30 || ofMissing > 130 {
		t.Errorf("s4 owned %d of 300 keys, want about a quarter", ofMissing)
	}
}

// TestDrainingAndRemovedServersGetNoRequests checks where requests go whose key is owned by a draining or removed
// server: to the other cache server, and to the origin if there is no cache server. Without any server, the requests
// are rejected.
func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	for _, list := range []EndpointUpdate{
		{Scope: DeltaUpdate, Servers: []Server{{ID: "s1", Kind: "cache", State: Draining}}},
		{Scope: DeltaUpdate, Servers: []Server{{ID: "s1", Kind: "cache", State: Removed}}},
		{Scope: FullUpdate, Servers: []Server{{ID: originID, Kind: "origin"}, {ID: "s2", Kind: "cache"}}},
	} {
		driver := newDriver(t, testSettings(), "s1", "s2")
		driver.handle(list)
		for i := range 50 {
			if _, actions := driver.request("high", fmt.Sprint(i), nil); driver.sentTo(actions) != "s2" {
				t.Fatalf("after %+v: got %v, want a send to s2", list, actions)
			}
		}
		driver.update(Server{ID: "s2", Kind: "cache", State: Removed})
		if _, actions := driver.request("high", "x", nil); driver.sentTo(actions) != originID {
			t.Errorf("without cache servers: got %v, want a send to the origin", actions)
		}
		driver.handle(EndpointUpdate{Scope: FullUpdate})
		if _, actions := driver.request("high", "y", nil); len(actionsOf[Reject](actions)) != 1 {
			t.Errorf("without any server: got %v, want a rejection", actions)
		}
	}
}

// TestUnreachableZoneGetsNoRequests checks that after a few failed connects to servers of one zone, no server of the
// zone gets a request until a server of the zone responds.
func TestUnreachableZoneGetsNoRequests(t *testing.T) {
	settings := testSettings()
	settings.Zone = "a"
	driver := newDriver(t, settings, "s1", "s2")
	driver.addFarServers(8)
	attemptsAtFar := func(requests int, reason Reason) (count int) {
		for range requests {
			id, actions := driver.request("high", fmt.Sprint("z", driver.nextID), nil)
			driver.now += 20 * ms
			driver.sentTo(actions)
			for sends := actionsOf[Send](actions); len(sends) == 1 && isFar(sends[0].Server); sends = actionsOf[Send](actions) {
				count++
				actions = driver.endAttempt(id, reason, 20*ms)
			}
			if driver.router.requests[id] != nil {
				driver.endAttempt(id, Succeeded, 20*ms)
			}
		}
		return count
	}
	if got := attemptsAtFar(50, NoConnection); got > zoneCutOffFailures {
		t.Errorf("unreachable zone: got %d attempts, want at most %d", got, zoneCutOffFailures)
	}
	driver.handle(HealthChecked{Server: "far3", Reason: Succeeded})
	if got := attemptsAtFar(50, Succeeded); got == 0 {
		t.Error("zone that is reachable again: got no attempts, want some")
	}
}

// TestReadsStayInTheirZoneWhereCrossingHasACost checks to which zone reads go. If crossing zones has a cost, nearly all
// reads go to servers of the router's own zone while the load is low. When the origin is overloaded, reads go to all
// zones again. If crossing zones costs nothing, the zone has no influence.
func TestReadsStayInTheirZoneWhereCrossingHasACost(t *testing.T) {
	for _, cost := range []float64{0, 0.13} {
		settings := testSettings()
		settings.Zone, settings.CrossZoneCost, settings.AffinityBudget = "a", cost, 1
		driver := newDriver(t, settings, "s1", "s2", "s3")
		driver.addFarServers(3)
		start := driver.crossingFraction(2*time.Second, 20*ms)
		driver.crossingFraction(30*time.Second, 20*ms)
		quiet := driver.crossingFraction(5*time.Second, 20*ms)
		driver.crossingFraction(5*time.Second, time.Second)
		overloaded := driver.crossingFraction(5*time.Second, time.Second)
		switch {
		case cost == 0 && (quiet < 0.35 || quiet > 0.65):
			t.Errorf("without a cost %.2f of the reads crossed zones, want about half", quiet)
		case cost > 0 && (start < 0.25 || quiet > 0.08 || overloaded < 0.35):
			t.Errorf("%.2f of reads crossed zones at first, %.2f when all was quiet, %.2f with an overloaded origin, "+
				"want at least 0.25, at most 0.08, at least 0.35", start, quiet, overloaded)
		}
	}
}

// crossingFraction sends reads and writes for the time span; the origin answers the writes after originLatency. It
// returns the fraction of the reads that went to servers of another zone.
func (driver *routerDriver) crossingFraction(span, originLatency time.Duration) float64 {
	reads, crossed := 0, 0
	for end := driver.now + span; driver.now < end; driver.now += 25 * ms {
		read, actions := driver.request("high", fmt.Sprint("k", driver.nextID), nil)
		reads++
		for _, send := range actionsOf[Send](actions) {
			if isFar(send.Server) {
				crossed++
			}
		}
		driver.endAttempt(read, Succeeded, 10*ms)
		write, actions := driver.request("high", fmt.Sprint("w", driver.nextID), asWrite)
		if len(actionsOf[Send](actions)) == 1 {
			driver.endAttempt(write, Succeeded, originLatency)
		}
		if reads%10 == 0 {
			driver.runUpkeep()
		}
	}
	return float64(crossed) / float64(reads)
}
