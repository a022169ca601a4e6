package policy

import (
	"fmt"
	"testing"
	"time"

	"shelfproxy/internal/admission"
)

// requestMiss asks for a key and has its cache server miss it.
func (b *routerDriver) requestMiss(class, key string, change func(*Request)) (uint64, []Action) {
	id, actions := b.request(class, key, change)
	if len(actionsOf[Send](actions)) == 1 {
		actions = b.endAttempt(id, Miss, ms)
	}
	return id, actions
}

// TestLineForTheOrigin: with the origin full, writes go first, then the fetch that most wait for; what can't be in time
// any more is refused, and those who waited for its fetch go on.
func TestLineForTheOrigin(t *testing.T) {
	b := newTrainedDriver(t)
	b.router.originLimiter = admission.ConcurrencyLimiter{Max: 1}
	first, _ := b.request("high", "w0", asWrite)
	b.now += 10 * ms
	hot, actions := b.requestMiss("low", "hot", nil)
	if len(actionsOf[Send](actions)) != 0 {
		t.Fatalf("a fetch went to an origin that is full: %v", actions)
	}
	for range 3 {
		b.request("low", "hot", nil)
	}
	put, _ := b.request("low", "w1", asWrite)
	lone, _ := b.requestMiss("low", "lone", nil)
	for _, want := range []uint64{put, hot} {
		sends := actionsOf[Send](b.endAttempt(first, Succeeded, 50*ms))
		if len(sends) == 0 || sends[0].ID != want || sends[0].Server != "o" {
			t.Fatalf("%v went on, want request %d", sends, want)
		}
		first = want
	}
	b.now += 400 * ms // the rest can't be answered within 500 ms
	if got := actionsOf[Reject](b.handle(TimerFired{Token: lone})); len(got) != 1 || got[0].ID != lone {
		t.Errorf("refused %v, want the lone fetch", got)
	}
	if b.router.originQueue.Len() != 0 || b.router.flights["lone"] != nil {
		t.Error("the line or the flight outlived the request")
	}
}

// TestNextInLineTakesOver: the client of a fetch in line leaves, or its time ends, and one that waited for it fetches.
func TestNextInLineTakesOver(t *testing.T) {
	b := newTrainedDriver(t)
	b.router.originLimiter = admission.ConcurrencyLimiter{Max: 1}
	first, _ := b.request("high", "w0", asWrite)
	leader, _ := b.requestMiss("high", "k", nil)
	b.now += 10 * ms
	follower, _ := b.request("high", "k", nil)
	b.handle(ClientDisconnected{ID: leader}) // the follower asks the cache server for itself, or the value would not be stored there
	b.endAttempt(follower, Miss, ms)
	sends := actionsOf[Send](b.endAttempt(first, Succeeded, 50*ms))
	if len(sends) != 1 || sends[0].ID != follower {
		t.Errorf("%v went on, want the follower %d", sends, follower)
	}
}

// TestOriginThatSlowsIsNotFlooded: the more its answers are late the less is out there, whatever asks.
func TestOriginThatSlowsIsNotFlooded(t *testing.T) {
	b := newTrainedDriver(t)
	most := 0
	var out []uint64
	for i := range 12000 {
		b.now += 5 * ms
		if id, actions := b.request("high", fmt.Sprint("k", i), asWrite); len(actionsOf[Send](actions)) == 1 {
			out = append(out, id)
		}
		if i%20 == 0 && len(out) > 0 { // ten answers a second, of 200 writes a second, in their order
			id := out[0]
			took := b.now - b.router.requests[id].attempts[0].sentAt
			sends := actionsOf[Send](b.endAttempt(id, Succeeded, took))
			out = out[1:]
			for _, s := range sends {
				out = append(out, s.ID)
			}
		}
		if i > 8000 {
			most = max(most, len(b.router.origin.gauge.inFlight))
		}
	}
	if most > 8 {
		t.Errorf("%d are out at an origin that takes 10 a second", most)
	}
}

// TestReadsStayInTheirZone: where crossing zones has a price and all is calm, nearly all reads go to servers of the own
// zone; a crowd at the origin brings the others back, and none of it happens without a price.
func TestReadsStayInTheirZone(t *testing.T) {
	for _, price := range []float64{0, 0.13} {
		set := testSettings()
		set.Zone, set.CrossZoneCost, set.AffinityBudget = "a", price, 1
		b := newDriver(t, set, "s1", "s2", "s3")
		far := EndpointUpdate{Scope: DeltaUpdate}
		for i := range 3 {
			far.Servers = append(far.Servers, Server{ID: fmt.Sprint("far", i), Kind: "cache", Zone: "b", Capacity: 1})
		}
		b.handle(far)
		cross := func(span time.Duration, took time.Duration) (share float64) {
			n, away := 0, 0
			for end := b.now + span; b.now < end; b.now += 25 * ms {
				id, actions := b.request("high", fmt.Sprint("k", b.nextID), nil)
				n++
				for _, s := range actionsOf[Send](actions) {
					if len(s.Server) > 2 {
						away++
					}
				}
				b.endAttempt(id, Succeeded, 10*ms)
				w, actions := b.request("high", fmt.Sprint("w", b.nextID), asWrite)
				if len(actionsOf[Send](actions)) == 1 {
					b.endAttempt(w, Succeeded, took)
				}
				if n%10 == 0 {
					b.handle(TimerFired{Token: upkeepToken})
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

// TestCrowdedCacheServerIsRelievedEarly: a share of slow hits far under the threshold of fetches sends reads past a
// crowded server while the origin is quiet.
func TestCrowdedCacheServerIsRelievedEarly(t *testing.T) {
	b := newTrainedDriver(t)
	s := b.router.serverByID[b.ownerOf("k")]
	for i := range 100 {
		b.now += 10 * ms
		s.gauge.observe(b.now, map[bool]time.Duration{true: 400 * ms, false: 20 * ms}[i%5 == 0], false)
	}
	past := 0
	for i := range 40 {
		b.request("low", "k", nil)
		_, actions := b.request("low", fmt.Sprint("k", i, "x"), nil)
		if b.ownerOf(fmt.Sprint("k", i, "x")) == s.ID && len(actionsOf[Send](actions)) == 1 && b.sentTo(actions) == "o" {
			past++
		}
		b.feedOrigin(1, 50*ms, Succeeded)
	}
	if past == 0 {
		t.Error("no read went past a server with a fifth of its answers slow")
	}
}
