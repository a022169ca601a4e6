package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestLowestPriorityWeightIsShedFirst(t *testing.T) {
	refused := func(driver *routerDriver, class string) (n int) {
		for i := range 40 {
			id, actions := driver.request(class, fmt.Sprint(class, "-", driver.nextID, i), nil)
			if len(actionsOf[Reject](actions)) == 0 {
				actions = driver.endAttempt(id, Miss, ms)
			}
			n += len(actionsOf[Reject](actions))
			if len(actionsOf[Send](actions)) == 1 {
				driver.handle(ClientDisconnected{id})
				driver.endAttempt(id, Cancelled, ms)
			}
		}
		return n
	}
	tests := []struct {
		name              string
		slow              int // of 20 fetches over the target
		took              time.Duration
		low, middle, high bool
	}{
		{"quiet", 0, 50 * ms, false, false, false},
		{"no recent fetches", -1, 0, false, false, false},
		{"half over the target", 10, 200 * ms, true, false, false},
		{"six in ten over the target", 12, 200 * ms, true, true, false},
		{"nearly all over the maximum", 19, 900 * ms, true, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for class, want := range map[string]bool{"low": tt.low, "middle": tt.middle, "high": tt.high} {
				driver := newTrainedDriver(t)
				driver.now += 20 * time.Second
				for i := range 20 {
					took := 50 * ms
					if i >= 20-tt.slow {
						took = tt.took
					}
					if tt.slow >= 0 {
						driver.feedOrigin(1, took, Succeeded)
					}
				}
				if n := refused(driver, class); n > 0 != want {
					t.Errorf("%s: %d of 40 misses refused, want some: %v", class, n, want)
				}
				if id, actions := driver.request("high", "w", asWrite); len(actionsOf[Send](actions)) != 1 {
					t.Errorf("write %d was not sent: %v", id, actions)
				}
			}
		})
	}
}

// A slow machine, or the one with the popular key, is not crowded as long as it answers well inside the aim, or has
// next to nothing in hand. Reads of a crowded one go past it while the origin is quiet, and are refused when not.
func TestReadsPassACrowdedCacheServer(t *testing.T) {
	for _, tt := range []struct {
		took         time.Duration
		inHand       int
		originBusy   bool
		past, refuse bool
	}{
		{150 * ms, 5, false, false, false},
		{400 * ms, 0, false, false, false},
		{400 * ms, 5, false, true, false},
		{400 * ms, 5, true, false, true},
	} {
		driver := newTrainedDriver(t)
		driver.readOtherKeys(40)
		for i := range 200 {
			driver.router.origin.gauge.observe(driver.now, 10*ms, tt.originBusy && i%3 == 0)
		}
		var keys []string // of one server, among others
		for i := 0; len(keys) < 40; i++ {
			if key := fmt.Sprint("k", i); driver.ownerOf(key) == "s1" {
				keys = append(keys, key)
			}
		}
		past, refused := 0, 0
		for i, key := range keys {
			id, actions := driver.request("low", key, nil)
			refused += len(actionsOf[Reject](actions))
			if sends := actionsOf[Send](actions); len(sends) > 0 && sends[0].Server == "o" {
				past++
			} else if len(sends) > 0 && i >= tt.inHand {
				driver.endAttempt(id, Succeeded, tt.took)
			}
		}
		if past > 0 != tt.past || refused > 0 != tt.refuse {
			t.Errorf("%+v: %d went past, %d refused", tt, past, refused)
		}
	}
}

func TestOverQuotaRequestsAreShedFirst(t *testing.T) {
	driver := newTrainedDriver(t)
	of := func(q *Request) { q.Tenant = "t" }
	for range 10 { // uses up the tenant's share at this router
		driver.request("high", "k", of)
	}
	for _, s := range driver.router.servers {
		for i := range 200 {
			s.gauge.observe(driver.now, 50*ms, i%2 == 0) // past the lowest threshold only; the origin is not quiet
		}
	}
	over, within := 0, 0
	for i := range 60 {
		_, actions := driver.request("high", fmt.Sprint("x", i), of)
		over += len(actionsOf[Reject](actions))
		_, actions = driver.request("high", fmt.Sprint("y", i), nil)
		within += len(actionsOf[Reject](actions))
	}
	if over == 0 || within > 0 {
		t.Errorf("refused %d beyond the share and %d within, want some and none", over, within)
	}
}

func TestSmallQuotaIsNotTakenForExcess(t *testing.T) {
	settings := testSettings()
	settings.Nodes = 40 // so the share is half a request a second here
	driver := newDriver(t, settings, "s1")
	of := func(q *Request) { q.Tenant = "t" }
	beyond := func(gap time.Duration) (n int) {
		for range 30 {
			id, _ := driver.request("high", "k", of)
			if driver.router.requests[id].isOverQuota {
				n++
			}
			driver.endAttempt(id, Succeeded, 50*ms)
			driver.now += gap
		}
		return n
	}
	if n := beyond(2500 * ms); n > 0 {
		t.Errorf("%d of 30 requests within the share were taken for excess", n)
	}
	if n := beyond(500 * ms); n < 15 {
		t.Errorf("%d of 30 requests at four times the share were taken for excess, want most", n)
	}
}

func TestRoutersDoNotShedInStep(t *testing.T) {
	first := map[int]int{} // routers by the miss that each refuses first
	for seed := range uint64(60) {
		r, err := New(testSettings(), seed)
		if err != nil {
			t.Fatal(err)
		}
		g := gauge{objectives: r.newObjectives(), samples: 100, overTarget: 120 * shedThresholds[degraded], fadedAt: r.now} // a fifth of the way up the curve
		for i := 1; i < 1000; i++ {
			if r.shouldShed(degraded, &g) {
				first[i]++
				break
			}
		}
	}
	if len(first) < 4 {
		t.Errorf("60 routers refuse their first miss at only %d different places: %v", len(first), first)
	}
}

// While the node is behind with its own work a share of what may be refused is, the lowest worth first; writes and
// critical reads never are.
func TestLoadLevelShedsTheLowestPriorityWeight(t *testing.T) {
	driver := newTrainedDriver(t)
	refused := func(class string, change func(*Request)) (n int) {
		for range 100 {
			id, actions := driver.request(class, fmt.Sprint("s", driver.nextID), change)
			if len(actionsOf[Reject](actions)) > 0 {
				n++
				continue
			}
			driver.now += ms
			driver.endAttempt(id, Succeeded, ms)
		}
		return n
	}
	driver.handle(LoadLevel{Level: 0.25})
	low, middle, high, writes := refused("low", nil), refused("middle", nil), refused("high", nil), refused("low", asWrite)
	if low < 60 || middle < 15 || middle > 35 || high != 0 || writes != 0 {
		t.Errorf("refused of 100: low %d, middle %d, high %d, writes %d", low, middle, high, writes)
	}
	driver.handle(LoadLevel{})
	if n := refused("low", nil); n != 0 {
		t.Errorf("%d refused when it is no longer behind", n)
	}
}

// TestCrowdedCacheServerIsRelievedBelowTheFetchThreshold: a share of slow hits far under the threshold of fetches
// sends reads past a crowded server while the origin is quiet.
func TestCrowdedCacheServerIsRelievedBelowTheFetchThreshold(t *testing.T) {
	driver := newTrainedDriver(t)
	s := driver.router.serverByID[driver.ownerOf("k")]
	for i := range 100 {
		driver.now += 10 * ms
		s.gauge.observe(driver.now, map[bool]time.Duration{true: 400 * ms, false: 20 * ms}[i%5 == 0], false)
	}
	past := 0
	for i := range 40 {
		driver.request("low", "k", nil)
		_, actions := driver.request("low", fmt.Sprint("k", i, "x"), nil)
		if driver.ownerOf(fmt.Sprint("k", i, "x")) == s.ID && len(actionsOf[Send](actions)) == 1 && driver.sentTo(actions) == "o" {
			past++
		}
		driver.feedOrigin(1, 50*ms, Succeeded)
	}
	if past == 0 {
		t.Error("no read went past a server with a fifth of its answers slow")
	}
}
