package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestOnlyKeysOfTheMissingServerMove(t *testing.T) {
	owners := func(servers ...string) map[string]string {
		driver := newDriver(t, testSettings(), servers...)
		m := map[string]string{}
		for i := range 300 {
			key := fmt.Sprint("key", i)
			m[key] = driver.ownerOf(key)
		}
		return m
	}
	with, without := owners("s1", "s2", "s3", "s4"), owners("s1", "s2", "s3")
	moved := 0
	for key, owner := range with {
		if owner == "s4" {
			moved++
		} else if without[key] != owner {
			t.Errorf("%s moved from %s to %s though only s4 left", key, owner, without[key])
		}
	}
	if moved < 30 || moved > 130 {
		t.Errorf("s4 had %d of 300 keys, want about a quarter", moved)
	}
}

func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	for _, list := range []EndpointUpdate{
		{Scope: DeltaUpdate, Servers: []Server{{ID: "s1", Kind: "cache", State: Draining}}},
		{Scope: DeltaUpdate, Servers: []Server{{ID: "s1", Kind: "cache", State: Removed}}},
		{Scope: FullUpdate, Servers: []Server{{ID: "o", Kind: "origin"}, {ID: "s2", Kind: "cache"}}},
	} {
		driver := newDriver(t, testSettings(), "s1", "s2")
		driver.handle(list)
		for i := range 50 {
			if _, actions := driver.request("high", fmt.Sprint(i), nil); driver.sentTo(actions) != "s2" {
				t.Fatal("sent to a server that drains or is gone")
			}
		}
		driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s2", Kind: "cache", State: Removed}}})
		if _, actions := driver.request("high", "x", nil); driver.sentTo(actions) != "o" {
			t.Error("without cache servers a read should go to the origin")
		}
		driver.handle(EndpointUpdate{Scope: FullUpdate})
		if _, actions := driver.request("high", "y", nil); len(actionsOf[Reject](actions)) != 1 {
			t.Errorf("without any server: %v, want a refusal", actions)
		}
	}
}

func TestUnreachableZoneGetsNoRequests(t *testing.T) {
	settings := testSettings()
	settings.Zone = "a"
	driver := newDriver(t, settings, "s1", "s2")
	far := EndpointUpdate{Scope: DeltaUpdate}
	for i := range 8 {
		far.Servers = append(far.Servers, Server{ID: fmt.Sprint("far", i), Kind: "cache", Zone: "b", Capacity: 1})
	}
	driver.handle(far)
	toFar := func(n int, reason Reason) (sent int) {
		for range n {
			id, actions := driver.request("high", fmt.Sprint("z", driver.nextID), nil)
			driver.now += 20 * ms
			if server := driver.sentTo(actions); server[0] == 'f' {
				sent++
				actions = driver.endAttempt(id, reason, 20*ms)
				for len(actionsOf[Send](actions)) == 1 && actionsOf[Send](actions)[0].Server[0] == 'f' {
					sent++
					actions = driver.endAttempt(id, reason, 20*ms)
				}
			}
			if driver.router.requests[id] != nil {
				driver.endAttempt(id, Succeeded, 20*ms)
			}
		}
		return sent
	}
	if n := toFar(50, NoConnection); n > zoneCutOffFailures {
		t.Errorf("%d attempts into a zone that is cut off, want %d", n, zoneCutOffFailures)
	}
	driver.handle(HealthChecked{Server: "far3", Reason: Succeeded}) // a sign of life from any of its servers
	if n := toFar(50, Succeeded); n == 0 {
		t.Error("a zone that is back in reach is still left out")
	}
}

// TestReadsStayInTheirZoneWhereCrossingHasACost: where crossing zones has a price and all is calm, nearly all reads
// go to servers of the own zone; a crowd at the origin brings the others back, and none of it happens without a
// price.
func TestReadsStayInTheirZoneWhereCrossingHasACost(t *testing.T) {
	for _, price := range []float64{0, 0.13} {
		settings := testSettings()
		settings.Zone, settings.CrossZoneCost, settings.AffinityBudget = "a", price, 1
		driver := newDriver(t, settings, "s1", "s2", "s3")
		far := EndpointUpdate{Scope: DeltaUpdate}
		for i := range 3 {
			far.Servers = append(far.Servers, Server{ID: fmt.Sprint("far", i), Kind: "cache", Zone: "b", Capacity: 1})
		}
		driver.handle(far)
		cross := func(span time.Duration, took time.Duration) (share float64) {
			n, away := 0, 0
			for end := driver.now + span; driver.now < end; driver.now += 25 * ms {
				id, actions := driver.request("high", fmt.Sprint("k", driver.nextID), nil)
				n++
				for _, s := range actionsOf[Send](actions) {
					if len(s.Server) > 2 {
						away++
					}
				}
				driver.endAttempt(id, Succeeded, 10*ms)
				w, actions := driver.request("high", fmt.Sprint("w", driver.nextID), asWrite)
				if len(actionsOf[Send](actions)) == 1 {
					driver.endAttempt(w, Succeeded, took)
				}
				if n%10 == 0 {
					driver.handle(TimerFired{Token: upkeepToken})
				}
			}
			return float64(away) / float64(n)
		}
		start := cross(2*time.Second, 20*ms)
		cross(30*time.Second, 20*ms)
		calm := cross(5*time.Second, 20*ms)
		cross(5*time.Second, time.Second)
		crowd := cross(5*time.Second, time.Second)
		switch {
		case price == 0 && (calm < 0.35 || calm > 0.65):
			t.Errorf("without a price %.2f of the reads crossed", calm)
		case price > 0 && (start < 0.25 || calm > 0.08 || crowd < 0.35):
			t.Errorf("%.2f of the reads crossed at the start, %.2f when all was calm, %.2f in a crowd", start, calm, crowd)
		}
	}
}
