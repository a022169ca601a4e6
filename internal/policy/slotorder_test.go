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

// newWideDriver returns the driver of a router with many cache servers in two zones, of different sizes.
func newWideDriver(t *testing.T, servers int) *routerDriver {
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

// TestSlotOrderIsThatOfTheScores: servers come in the order of their scores, each once, without those that get nothing.
func TestSlotOrderIsThatOfTheScores(t *testing.T) {
	driver := newWideDriver(t, 40)
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

// shortest returns the shortest time that a function takes in some runs, which a busy machine does not change much.
func shortest(run func()) time.Duration {
	least := time.Duration(math.MaxInt64)
	for range 9 {
		start := time.Now()
		run()
		least = min(least, time.Since(start))
	}
	return least
}

// popularKey is the key that most requests of checkGrowth are for.
const popularKey = "popular"

// checkGrowth fails the test if what a function does costs more in front of sixteen times the servers than in proportion to them,
// with a factor for caches of the processor and logarithms.
func checkGrowth(t *testing.T, what string, run func(driver *routerDriver)) {
	t.Helper()
	const few, times, slack = 200, 16, 4
	cost := func(servers int) time.Duration {
		driver := newWideDriver(t, servers)
		for range servers { // the nodes of the fleet have been asked for little else
			driver.router.keyCounts.Add(driver.now, gossip.FingerprintOf(hash(popularKey)), float64(servers))
		}
		return shortest(func() { run(driver) })
	}
	if usual, most := cost(few), cost(times*few); most > slack*times*usual {
		t.Errorf("%s: %v in front of %d servers, %v in front of %d, want at most %d times as much", what, usual, few, most, times*few, slack*times)
	}
}

// Report 7e0653: requests for a popular key cost the square of the number of servers, also those that wait for one fetch.
func TestCostOfAPopularKeyFollowsTheNumberOfServers(t *testing.T) {
	checkGrowth(t, "requests for a popular key", func(driver *routerDriver) {
		for range 4 {
			id, _ := driver.request("high", popularKey, nil)
			driver.endAttempt(id, Succeeded, ms)
		}
	})
}

// The same of what operators ask for: each of these held up the event loop for as long.
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

// TestServersWithoutSlotsEndTheOrder: servers that have just started where they begin with nothing.
func TestServersWithoutSlotsEndTheOrder(t *testing.T) {
	driver := newWideDriver(t, 12)
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
