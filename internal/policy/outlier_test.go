package policy

import (
	"fmt"
	"testing"
	"time"

	"shelfproxy/internal/fleet/gossip"
)

// TestOutliersKeepTheirKeysPastTheEjectionBudget checks that outliers (servers that fail more often than the others)
// keep keys that they would lose if there were no ejection budget. A quarter of the servers drain, which uses up part
// of the budget; the outliers use up the rest. With the budget used up, a server that other nodes report as
// unresponsive must stay in use until a health check of this router fails.
func TestOutliersKeepTheirKeysPastTheEjectionBudget(t *testing.T) {
	retainedFraction := func(budget float64) (fraction float64) {
		settings := testSettings()
		settings.MaxEjectedFraction, settings.MayGossip, settings.Nodes = budget, true, 3
		ids := serverIDs(12)
		driver := newDriver(t, settings, ids...)
		serverByID := driver.router.serverByID
		var draining []Server
		for _, id := range ids[:3] {
			entry := serverByID[id].Server
			entry.State = Draining
			draining = append(draining, entry)
		}
		driver.update(draining...)
		for range 40 {
			driver.now += 50 * ms
			for i, id := range ids {
				driver.router.observeLatency(serverByID[id], 10*ms, i >= 3 && i < 7)
			}
		}
		for _, id := range ids[3:7] {
			fraction += serverByID[id].assessment.KeptFraction / 4
		}
		reported := serverByID["s20"]
		buffer := gossip.Buffer{}
		buffer.Unresponsive(reported.assessment.Fingerprint)
		datagram := buffer.Encode()
		driver.now += time.Second
		driver.handle(GossipReceived{From: 1, Data: datagram})
		driver.handle(GossipReceived{From: 2, Data: datagram})
		if wantOut := budget == 0; reported.isUnresponsive != wantOut {
			t.Errorf("budget %v: server is out on gossip alone: %v, want %v", budget, reported.isUnresponsive, wantOut)
		}
		return fraction
	}
	unlimited, some, full := retainedFraction(0), retainedFraction(0.4), retainedFraction(0.25)
	if unlimited > 0.3 || some <= unlimited || some > 0.8 || full < 0.99 {
		t.Errorf("four outliers keep %v of their keys without a budget, %v with 0.4, %v with 0.25, "+
			"want at most 0.3, more than that and at most 0.8, and at least 0.99", unlimited, some, full)
	}
}

// TestOutliersGiveUpSlots checks that a server that is slow or fails far more often than the others keeps only few of
// its slots. Other servers keep all of theirs. When the bad answers are long past, the server gets nearly all slots
// back. If all servers are slow, none of them is an outlier.
func TestOutliersGiveUpSlots(t *testing.T) {
	ids := []string{"s1", "s2", "s3", "s4", "s5", "s6"}
	for _, test := range []struct {
		name        string
		reason      Reason // how attempts at the bad servers end
		took        time.Duration
		bad         []string
		maxRetained float64 // largest fraction of its slots that a bad server may keep
	}{
		{"errors", Errored, ms, ids[:1], 0.3},
		{"slow", Succeeded, 2 * time.Second, ids[:1], 0.3},
		{"hedged", Cancelled, time.Second, ids[:1], 0.3},
		{"all are slow", Succeeded, 2 * time.Second, ids, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			driver := newDriver(t, testSettings(), ids...)
			isBad := map[string]bool{}
			for _, id := range test.bad {
				isBad[id] = true
			}
			before := driver.countOwned(600)
			for i := range 240 {
				id, actions := driver.request("high", fmt.Sprint("key", i), nil)
				if isBad[driver.sentTo(actions)] {
					driver.endAttempt(id, test.reason, test.took)
				} else {
					driver.endAttempt(id, Succeeded, ms)
				}
				driver.now += 5 * ms
			}
			after := driver.countOwned(600)
			retained := float64(after["s1"]) / float64(before["s1"])
			if len(test.bad) == len(ids) {
				if retained < 0.8 {
					t.Errorf("s1 kept %.2f of its slots though all were slow, want at least 0.8", retained)
				}
				return
			}
			if retained > test.maxRetained || retained == 0 {
				t.Errorf("s1 kept %.2f of its slots, want some, at most %.2f", retained, test.maxRetained)
			}
			if after["s2"] < before["s2"] {
				t.Errorf("s2 has %d slots, want at least the %d that it had", after["s2"], before["s2"])
			}
			for range 12 { // 12 s pass without any attempt, and the bad answers count less and less
				driver.now += time.Second
				driver.runUpkeep()
			}
			if got := driver.countOwned(600)["s1"]; got < before["s1"]*9/10 {
				t.Errorf("12 s later s1 has %d slots, want at least nine tenths of %d", got, before["s1"])
			}
		})
	}
}

// countOwned returns how many keys each server owns, of the keys key0, key1 and so on. keys is the number of these
// keys.
func (driver *routerDriver) countOwned(keys int) map[string]int {
	count := map[string]int{}
	for i := range keys {
		count[driver.ownerOf(fmt.Sprint("key", i))]++
	}
	return count
}
