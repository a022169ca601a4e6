package policy

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/outlier"
)

// newManyServersDriver returns the driver of a router with the given number of cache servers. The servers are in two
// zones and have different capacities.
func newManyServersDriver(t *testing.T, servers int) *routerDriver {
	t.Helper()
	settings := testSettings()
	settings.WeightByCapacity, settings.Zone = true, "a"
	driver := newDriver(t, settings)
	list := EndpointUpdate{Scope: FullUpdate, Servers: []Server{{ID: originID, Kind: "origin", Zone: "a"}}}
	for i, id := range serverIDs(servers) {
		list.Servers = append(list.Servers, Server{
			ID: id, Kind: "cache", Zone: []string{"a", "b"}[i%2], Capacity: float64(1 + i%3),
		})
	}
	driver.handle(list)
	return driver
}

// TestSlotOrderFollowsTheScores checks the order in which servers are tried for the keys of a slot. It must contain
// each server once, by ascending score, except the servers that get no requests for the slot.
func TestSlotOrderFollowsTheScores(t *testing.T) {
	driver := newManyServersDriver(t, 40)
	router := driver.router
	router.keyServers[3].server.isUnresponsive = true
	router.keyServers[7].server.assessment.KeptFraction = 0.5
	driver.restart(router.keyServers[11].server.ID, "b")
	avoided := &request{avoidedServer: router.keyServers[19].server}
	for i := range 50 {
		slot := slotOf(fmt.Sprint("k", i))
		score := func(srv *server) float64 {
			return -math.Log(unitInterval(mix(slot^srv.hash))) / router.rendezvousWeight(srv)
		}
		var want []*server
		for _, listed := range router.keyServers {
			if srv := listed.server; keepsSlot(srv, slot) && !srv.isUnresponsive && !avoided.avoids(srv) {
				want = append(want, srv)
			}
		}
		slices.SortFunc(want, func(a, b *server) int { return int(math.Copysign(1, score(a)-score(b))) })
		var got []*server
		order := router.orderOf(slot, avoided)
		for srv := order.next(); srv != nil; srv = order.next() {
			got = append(got, srv)
		}
		if !slices.Equal(got, want) {
			t.Fatalf("slot %d: got %d servers in another order than the %d of their scores", slot, len(got), len(want))
		}
	}
}

// minDuration returns the time of the fastest of nine runs of a function. On a busy machine, this time varies less than
// the time of a single run.
func minDuration(run func()) time.Duration {
	least := time.Duration(math.MaxInt64)
	for range 9 {
		start := time.Now()
		run()
		least = min(least, time.Since(start))
	}
	return least
}

// popularKey is the key that gets most requests of the fleet in checkGrowth.
const popularKey = "popular"

// checkGrowth fails the test if the time of run grows faster than the number of servers. With sixteen times as many
// servers, run may take 16*4 times as long; the factor of 4 allows for effects of processor caches and for costs that
// grow logarithmically.
func checkGrowth(t *testing.T, what string, run func(driver *routerDriver)) {
	t.Helper()
	const few, times, slack = 200, 16, 4
	cost := func(servers int) time.Duration {
		driver := newManyServersDriver(t, servers)
		for range servers { // nearly all requests of the fleet have been for the popular key
			driver.router.keyCounts.Add(driver.now, gossip.FingerprintOf(hash(popularKey)), float64(servers))
		}
		return minDuration(func() { run(driver) })
	}
	if usual, most := cost(few), cost(times*few); most > slack*times*usual {
		t.Errorf("%s: %v in front of %d servers, %v in front of %d, want at most %d times as much", what, usual, few, most, times*few, slack*times)
	}
}

// TestCostOfAPopularKeyFollowsTheNumberOfServers guards against a cost of requests for a popular key that grows with
// the square of the number of servers (report 7e0653). Requests that waited for the same fetch had the same quadratic
// cost.
func TestCostOfAPopularKeyFollowsTheNumberOfServers(t *testing.T) {
	checkGrowth(t, "requests for a popular key", func(driver *routerDriver) {
		for range 4 {
			id, _ := driver.request("high", popularKey, nil)
			driver.endAttempt(id, Succeeded, ms)
		}
	})
}

// TestCostOfUpkeepAndExplanationsFollowsTheNumberOfServers guards against a cost that grows with the square of the
// number of servers. It checks explanations that operators ask for. With a budget that bounds ejections of outliers, it
// also checks the periodic upkeep, and how the ends of attempts are handled. Each of these once blocked the event loop
// for as long as requests for a popular key had blocked it.
func TestCostOfUpkeepAndExplanationsFollowsTheNumberOfServers(t *testing.T) {
	checkGrowth(t, "an explanation", func(driver *routerDriver) { driver.router.Explain(driver.now, popularKey) })
	checkGrowth(t, "upkeep with an ejection budget", func(driver *routerDriver) {
		driver.router.ejectionBudget = outlier.Budget{MaxFraction: 0.3}
		driver.runUpkeep()
	})
	checkGrowth(t, "outcomes with an ejection budget", func(driver *routerDriver) {
		driver.router.ejectionBudget = outlier.Budget{MaxFraction: 0.3}
		driver.readOtherKeys(50)
	})
}

// TestServersWithoutSlotsEndTheOrder checks the order in which servers are tried for the keys of a slot. The order must
// not contain servers that have no slots. A server that has just started has none if SlowStartFloor is 0.
func TestServersWithoutSlotsEndTheOrder(t *testing.T) {
	driver := newManyServersDriver(t, 12)
	driver.router.settings.SlowStartFloor = 0
	for _, listed := range slices.Clone(driver.router.keyServers[:6]) {
		driver.restart(listed.server.ID, "a")
	}
	order, count := driver.router.orderOf(slotOf("k"), &request{}), 0
	for srv := order.next(); srv != nil; srv = order.next() {
		count++
	}
	if count != 6 {
		t.Errorf("%d servers have slots, want 6", count)
	}
}
