package policy

import (
	"fmt"
	"shelfproxy/internal/fleet/gossip"
	"testing"
	"time"
)

// TestOutliersKeepTheirKeysPastTheEjectionBudget: with a quarter of the servers drained and more bad than the budget
// has left, the bad ones keep keys; and one that others say is silent stays until this router's own probe fails.
func TestOutliersKeepTheirKeysPastTheEjectionBudget(t *testing.T) {
	share := func(budget float64) (kept float64) {
		settings := testSettings()
		settings.MaxEjectedFraction, settings.MayGossip, settings.Nodes = budget, true, 3
		driver := newDriver(t, settings, serverIDs(12)...)
		var out []Server
		for _, id := range serverIDs(3) {
			s := driver.router.serverByID[id].Server
			s.State = Draining
			out = append(out, s)
		}
		driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: out})
		for range 40 {
			driver.now += 50 * ms
			for i, id := range serverIDs(12) {
				driver.router.observeLatency(driver.router.serverByID[id], 10*ms, i >= 3 && i < 7)
			}
		}
		for _, id := range serverIDs(12)[3:7] {
			kept += driver.router.serverByID[id].assessment.KeptFraction / 4
		}
		note := gossip.Buffer{}
		note.Unresponsive(driver.router.serverByID["s20"].assessment.Fingerprint)
		word := note.Encode()
		driver.now += time.Second
		driver.handle(GossipReceived{From: 1, Data: word})
		driver.handle(GossipReceived{From: 2, Data: word})
		if over := budget > 0; driver.router.serverByID["s20"].isUnresponsive == over {
			t.Errorf("budget %v: a server is taken out on the word of others: %v", budget, !over)
		}
		return kept
	}
	none, some, full := share(0), share(0.4), share(0.25)
	if none > 0.3 || some <= none || some > 0.8 || full < 0.99 {
		t.Errorf("four bad servers keep %v of their keys without a budget, %v with 0.4, %v with 0.25", none, some, full)
	}
}

// TestOutliersGiveUpSlots: what is slow or fails far more often than the others keeps few of its slots, the same
// ones at every router, and has them back once it is well again.
func TestOutliersGiveUpSlots(t *testing.T) {
	tests := []struct {
		name string
		hurt func(driver *routerDriver, id uint64)
		bad  []string
		want float64 // most of the slots of a bad server that may stay with it
		all  bool    // every server is bad: a crowd
	}{
		{"errors", func(driver *routerDriver, id uint64) { driver.endAttempt(id, Errored, ms) }, []string{"s1"}, 0.3, false},
		{"slow", func(driver *routerDriver, id uint64) { driver.endAttempt(id, Succeeded, 2*time.Second) }, []string{"s1"}, 0.3, false},
		{"moved on from", func(driver *routerDriver, id uint64) { driver.endAttempt(id, Cancelled, time.Second) }, []string{"s1"}, 0.3, false},
		{"a crowd", func(driver *routerDriver, id uint64) { driver.endAttempt(id, Succeeded, 2*time.Second) }, []string{"s1", "s2", "s3", "s4", "s5", "s6"}, 1, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			driver := newDriver(t, testSettings(), "s1", "s2", "s3", "s4", "s5", "s6")
			bad := map[string]bool{}
			for _, id := range test.bad {
				bad[id] = true
			}
			before := map[string]int{}
			owners := func() map[string]int {
				count := map[string]int{}
				for i := range 600 {
					count[driver.ownerOf(fmt.Sprint("key", i))]++
				}
				return count
			}
			before = owners()
			for i := range 240 {
				id, actions := driver.request("high", fmt.Sprint("key", i), nil)
				if to := driver.sentTo(actions); bad[to] {
					test.hurt(driver, id)
				} else {
					driver.endAttempt(id, Succeeded, ms)
				}
				driver.now += 5 * ms
			}
			after := owners()
			if left := float64(after["s1"]) / float64(before["s1"]); !test.all && (left > test.want || left == 0) {
				t.Errorf("s1 kept %.2f of its slots, want some, at most %.2f", left, test.want)
			} else if test.all && left < 0.8 {
				t.Errorf("s1 kept %.2f of its slots though all were slow", left)
			}
			if !test.all && after["s2"] < before["s2"] {
				t.Errorf("s2 lost slots: %d, had %d", after["s2"], before["s2"])
			}
			for range 12 { // nothing bad is seen any more
				driver.now += time.Second
				driver.handle(TimerFired{Token: upkeepToken})
			}
			if !test.all && owners()["s1"] < before["s1"]*9/10 {
				t.Errorf("s1 has %d of its %d slots long after", owners()["s1"], before["s1"])
			}
		})
	}
}
