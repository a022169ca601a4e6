package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestLowestPriorityWeightIsShedFirst checks which classes of reads are shed when fetches from the origin are slow. The
// class with the lowest priority weight is shed first; when more fetches are slow, further classes are shed too. Writes
// are never shed.
func TestLowestPriorityWeightIsShedFirst(t *testing.T) {
	for _, test := range []struct {
		name    string
		fetches int
		slow    int // how many of the fetches take longer than usual (see took)
		took    time.Duration
		shed    map[string]bool // classes of which some reads must be rejected
	}{
		{"quiet", 20, 0, 0, nil},
		{"no recent fetches", 0, 0, 0, nil},
		{"half over the target", 20, 10, 200 * ms, map[string]bool{"low": true}},
		{"six in ten over the target", 20, 12, 200 * ms, map[string]bool{"low": true, "middle": true}},
		{"nearly all over the maximum", 20, 19, 900 * ms, map[string]bool{"low": true, "middle": true, "high": true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			for _, class := range []string{"low", "middle", "high"} {
				driver := newTrainedDriver(t)
				driver.now += 20 * time.Second
				driver.feedOrigin(test.fetches-test.slow, 50*ms, Succeeded)
				driver.feedOrigin(test.slow, test.took, Succeeded)
				if got := driver.countRejectedMisses(class, 40); got > 0 != test.shed[class] {
					t.Errorf("%s: got %d of 40 misses rejected, want some: %v", class, got, test.shed[class])
				}
				if _, actions := driver.request("high", "w", asWrite); len(actionsOf[Send](actions)) != 1 {
					t.Errorf("write: got %v, want it sent", actions)
				}
			}
		})
	}
}

// countRejectedMisses sends reads, all of which miss at their cache servers, and returns how many of the reads are
// rejected. The clients of all other reads disconnect, so that no fetches stay in flight.
func (driver *routerDriver) countRejectedMisses(class string, reads int) (rejected int) {
	for i := range reads {
		id, actions := driver.request(class, fmt.Sprint(class, "-", driver.nextID, i), nil)
		if len(actionsOf[Reject](actions)) == 0 {
			actions = driver.endAttempt(id, Miss, ms)
		}
		rejected += len(actionsOf[Reject](actions))
		if len(actionsOf[Send](actions)) == 1 {
			driver.handle(ClientDisconnected{id})
			driver.endAttempt(id, Cancelled, ms)
		}
	}
	return rejected
}

// TestReadsBypassACrowdedCacheServer checks when reads bypass a cache server because it is crowded (overloaded). A
// server is not crowded while its answers take far less than the latency objective, or while it has hardly any attempts
// in flight. If a server is crowded, reads of its keys go to the origin while the origin has a low load; otherwise they
// are rejected.
func TestReadsBypassACrowdedCacheServer(t *testing.T) {
	for _, test := range []struct {
		took         time.Duration
		inFlight     int
		isOriginBusy bool
		wantBypass   bool
		wantRejects  bool
	}{
		{took: 150 * ms, inFlight: 5},
		{took: 400 * ms, inFlight: 0},
		{took: 400 * ms, inFlight: 5, wantBypass: true},
		{took: 400 * ms, inFlight: 5, isOriginBusy: true, wantRejects: true},
	} {
		driver := newTrainedDriver(t)
		driver.readOtherKeys(40)
		for i := range 200 {
			driver.router.origin.gauge.observe(driver.now, 10*ms, test.isOriginBusy && i%3 == 0)
		}
		var keys []string // keys that s1 owns
		for i := 0; len(keys) < 40; i++ {
			if key := fmt.Sprint("k", i); driver.ownerOf(key) == "s1" {
				keys = append(keys, key)
			}
		}
		bypassing, rejected := 0, 0
		for i, key := range keys {
			id, actions := driver.request("low", key, nil)
			rejected += len(actionsOf[Reject](actions))
			if sends := actionsOf[Send](actions); len(sends) > 0 && sends[0].Server == originID {
				bypassing++
			} else if len(sends) > 0 && i >= test.inFlight {
				driver.endAttempt(id, Succeeded, test.took)
			}
		}
		if bypassing > 0 != test.wantBypass || rejected > 0 != test.wantRejects {
			t.Errorf("%+v: got %d reads that bypassed the server and %d rejected", test, bypassing, rejected)
		}
	}
}

// TestOverQuotaRequestsAreShedFirst checks that requests beyond a tenant's quota are shed first: at a load at which
// some of them are shed, no request within the quota is shed.
func TestOverQuotaRequestsAreShedFirst(t *testing.T) {
	driver := newTrainedDriver(t)
	for range 10 { // these reads use up the tenant's quota at this router
		driver.request("high", "k", ofTenant)
	}
	for _, srv := range driver.router.servers {
		// Half of the answers of all servers, and of the origin, are slow. At this utilisation of 0.5, bulk requests
		// are shed (here those beyond the quota), but no critical ones.
		for i := range 200 {
			srv.gauge.observe(driver.now, 50*ms, i%2 == 0)
		}
	}
	beyond, within := 0, 0
	for i := range 60 {
		_, actions := driver.request("high", fmt.Sprint("x", i), ofTenant)
		beyond += len(actionsOf[Reject](actions))
		_, actions = driver.request("high", fmt.Sprint("y", i), nil)
		within += len(actionsOf[Reject](actions))
	}
	if beyond == 0 || within > 0 {
		t.Errorf("got %d rejected beyond the quota and %d within it, want some and none", beyond, within)
	}
}

// TestRequestsWithinASmallQuotaAreNotOverIt checks a tenant whose quota, divided by the number of routers, is less than
// one request a second. A single request now and then must not count as over the quota.
func TestRequestsWithinASmallQuotaAreNotOverIt(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 40 // half a request a second for each router: the quota of 20 divided by 40
	driver := newDriver(t, settings, "s1")
	countOverQuota := func(gap time.Duration) (count int) {
		for range 30 {
			id, _ := driver.request("high", "k", ofTenant)
			if driver.router.requests[id].isOverQuota {
				count++
			}
			driver.endAttempt(id, Succeeded, 50*ms)
			driver.now += gap
		}
		return count
	}
	if got := countOverQuota(2500 * ms); got > 0 {
		t.Errorf("within the quota: got %d of 30 requests over it, want none", got)
	}
	if got := countOverQuota(500 * ms); got < 15 {
		t.Errorf("at four times the quota: got %d of 30 requests over it, want most", got)
	}
}

// TestRoutersDoNotShedInStep checks that routers under the same load do not all shed at the same moment. For example,
// the first miss that a router rejects must not be the third miss at every router.
func TestRoutersDoNotShedInStep(t *testing.T) {
	// firstRejected maps n (1, 2, ...) to the number of routers that reject the n-th miss that they get as their first.
	firstRejected := map[int]int{}
	for seed := range uint64(60) {
		router, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		// The utilisation (fraction of slow answers) is 1.2 times the threshold above which misses are shed. The excess
		// is 0.2 of the threshold, so a fifth of the misses are shed.
		loaded := gauge{
			objectives: router.newObjectives(),
			samples:    100,
			overTarget: 120 * shedThresholds[degraded],
			fadedAt:    router.now,
		}
		for miss := 1; miss < 1000; miss++ {
			if router.shouldShed(degraded, &loaded) {
				firstRejected[miss]++
				break
			}
		}
	}
	if len(firstRejected) < 4 {
		t.Errorf("60 routers, by the first miss that each rejects: got %v, want at least 4 groups", firstRejected)
	}
}

// TestLoadLevelShedsTheLowestPriorityWeight checks that a part of the requests is rejected while the node is behind
// with its own work, those of the lowest priority weight first. Writes and critical reads are never rejected for this
// reason.
func TestLoadLevelShedsTheLowestPriorityWeight(t *testing.T) {
	driver := newTrainedDriver(t)
	countRejected := func(class string, change func(*Request)) (count int) {
		for range 100 {
			id, actions := driver.request(class, fmt.Sprint("s", driver.nextID), change)
			if len(actionsOf[Reject](actions)) > 0 {
				count++
				continue
			}
			driver.now += ms
			driver.endAttempt(id, Succeeded, ms)
		}
		return count
	}
	driver.handle(LoadLevel{Level: 0.25})
	low, middle, high := countRejected("low", nil), countRejected("middle", nil), countRejected("high", nil)
	writes := countRejected("low", asWrite)
	if low < 60 || middle < 15 || middle > 35 || high != 0 || writes != 0 {
		t.Errorf("got %d low, %d middle, %d high reads and %d writes of 100 each rejected, "+
			"want at least 60, 15 to 35, none and none", low, middle, high, writes)
	}
	driver.handle(LoadLevel{})
	if got := countRejected("low", nil); got != 0 {
		t.Errorf("node no longer behind: got %d rejected, want none", got)
	}
}

// TestCrowdedCacheServerIsRelievedBelowTheFetchThreshold checks that reads bypass an overloaded cache server early:
// when a fifth of its answers are slow, and the origin has a low load. Fetches are shed only when a much larger
// fraction of them is slow.
func TestCrowdedCacheServerIsRelievedBelowTheFetchThreshold(t *testing.T) {
	driver := newTrainedDriver(t)
	crowded := driver.router.serverByID[driver.ownerOf("k")]
	for i := range 100 {
		latency := 20 * ms
		if i%5 == 0 {
			latency = 400 * ms
		}
		driver.now += 10 * ms
		crowded.gauge.observe(driver.now, latency, false)
	}
	bypassing := 0
	for i := range 40 {
		driver.request("low", "k", nil)
		key := fmt.Sprint("k", i, "x")
		_, actions := driver.request("low", key, nil)
		sends := actionsOf[Send](actions)
		if driver.ownerOf(key) == crowded.ID && len(sends) == 1 && sends[0].Server == originID {
			bypassing++
		}
		driver.feedOrigin(1, 50*ms, Succeeded)
	}
	if bypassing == 0 {
		t.Error("no read bypassed a server of which a fifth of the answers are slow")
	}
}
