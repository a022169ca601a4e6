package policy

import (
	"fmt"
	"shelfproxy/internal/admission"
	"testing"
	"time"
)

func TestOverQuotaWritesWaitOnlyForAnOverloadedOrigin(t *testing.T) {
	driver := newTrainedDriver(t)
	excess := func(q *Request) { q.Write, q.Tenant = true, "t" }
	for range 10 {
		driver.request("high", "k", excess)
	}
	if _, actions := driver.request("high", "k", excess); driver.sentTo(actions) != "o" {
		t.Error("an excess write waited though the origin is well")
	}
	driver.feedOrigin(60, time.Second, TimedOut)
	driver.request("high", "k", excess) // it takes the last place
	driver.request("high", "k", excess)
	if _, actions := driver.request("high", "k", excess); len(actionsOf[Send](actions)) > 0 {
		t.Error("an excess write was sent to an origin far over its maximum")
	}
	within, _ := driver.request("high", "k", asWrite)
	for id := range within {
		if driver.sendCount[id] == 0 || len(driver.router.origin.gauge.inFlight) == 0 {
			continue
		}
		for _, next := range actionsOf[Send](driver.endAttempt(id, Succeeded, 50*ms)) {
			if next.ID != within {
				t.Errorf("request %d went before the write within its share, %d", next.ID, within)
			}
			return
		}
	}
	t.Error("no write of those that wait went on as the origin got room")
}

// TestOriginQueueServesWritesThenPopularFetches: with the origin full, writes go first, then the fetch that most wait
// for; what can't be in time any more is refused, and those who waited for its fetch go on.
func TestOriginQueueServesWritesThenPopularFetches(t *testing.T) {
	driver := newTrainedDriver(t)
	driver.router.originLimiter = admission.ConcurrencyLimiter{Max: 1}
	first, _ := driver.request("high", "w0", asWrite)
	driver.now += 10 * ms
	hot, actions := driver.requestMiss("low", "hot", nil)
	if len(actionsOf[Send](actions)) != 0 {
		t.Fatalf("a fetch went to an origin that is full: %v", actions)
	}
	for range 3 {
		driver.request("low", "hot", nil)
	}
	put, _ := driver.request("low", "w1", asWrite)
	lone, _ := driver.requestMiss("low", "lone", nil)
	for _, want := range []uint64{put, hot} {
		sends := actionsOf[Send](driver.endAttempt(first, Succeeded, 50*ms))
		if len(sends) == 0 || sends[0].ID != want || sends[0].Server != "o" {
			t.Fatalf("%v went on, want request %d", sends, want)
		}
		first = want
	}
	driver.now += 400 * ms // the rest can't be answered within 500 ms
	if got := actionsOf[Reject](driver.handle(TimerFired{Token: lone})); len(got) != 1 || got[0].ID != lone {
		t.Errorf("refused %v, want the lone fetch", got)
	}
	if driver.router.originQueue.Len() != 0 || driver.router.flights["lone"] != nil {
		t.Error("the line or the flight outlived the request")
	}
}

// TestSlowOriginGetsFewerAttempts: the more its answers are late the less is out there, whatever asks.
func TestSlowOriginGetsFewerAttempts(t *testing.T) {
	driver := newTrainedDriver(t)
	most := 0
	var out []uint64
	for i := range 12000 {
		driver.now += 5 * ms
		if id, actions := driver.request("high", fmt.Sprint("k", i), asWrite); len(actionsOf[Send](actions)) == 1 {
			out = append(out, id)
		}
		if i%20 == 0 && len(out) > 0 { // ten answers a second, of 200 writes a second, in their order
			id := out[0]
			took := driver.now - driver.router.requests[id].attempts[0].sentAt
			sends := actionsOf[Send](driver.endAttempt(id, Succeeded, took))
			out = out[1:]
			for _, s := range sends {
				out = append(out, s.ID)
			}
		}
		if i > 8000 {
			most = max(most, len(driver.router.origin.gauge.inFlight))
		}
	}
	if most > 8 {
		t.Errorf("%d are out at an origin that takes 10 a second", most)
	}
}
