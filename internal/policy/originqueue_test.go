package policy

import (
	"fmt"
	"testing"
	"time"

	"shelfproxy/internal/admission"
)

// TestOverQuotaWritesWaitOnlyForAnOverloadedOrigin checks that writes beyond a tenant's quota are sent at once to an
// origin that is not overloaded. At an overloaded origin, these writes wait until the writes within a quota have been
// sent.
func TestOverQuotaWritesWaitOnlyForAnOverloadedOrigin(t *testing.T) {
	driver := newTrainedDriver(t)
	writeOfTenant := func(request *Request) {
		asWrite(request)
		ofTenant(request)
	}
	for range 10 { // these writes use up the tenant's quota
		driver.request("high", "k", writeOfTenant)
	}
	if _, actions := driver.request("high", "k", writeOfTenant); driver.sentTo(actions) != originID {
		t.Errorf("quiet origin: got %v, want the write beyond the quota sent", actions)
	}
	driver.feedOrigin(60, time.Second, TimedOut)
	driver.request("high", "k", writeOfTenant) // this write fills the origin to its limit of attempts in flight
	driver.request("high", "k", writeOfTenant)
	if _, actions := driver.request("high", "k", writeOfTenant); len(actionsOf[Send](actions)) > 0 {
		t.Errorf("overloaded origin: got %v, want the write beyond the quota to wait", actions)
	}
	within, _ := driver.request("high", "k", asWrite)
	for id := range within {
		if driver.sendCount[id] == 0 || len(driver.router.origin.gauge.inFlight) == 0 {
			continue
		}
		for _, next := range actionsOf[Send](driver.endAttempt(id, Succeeded, 50*ms)) {
			if next.ID != within {
				t.Errorf("next in the queue: got request %d, want the write within its quota, %d", next.ID, within)
			}
			return
		}
	}
	t.Error("no queued write was sent when the origin had a free slot again")
}

// TestOriginQueueServesWritesThenPopularFetches checks the order of the queue in front of an origin that is at its
// limit of attempts in flight: writes first, then the fetch that most requests wait for. A queued fetch that can no
// longer be answered in time is rejected, and leaves the queue.
func TestOriginQueueServesWritesThenPopularFetches(t *testing.T) {
	driver := newTrainedDriver(t)
	driver.router.originLimiter = admission.ConcurrencyLimiter{Max: 1}
	inFlight, _ := driver.request("high", "w0", asWrite)
	driver.now += 10 * ms
	popular, actions := driver.requestMiss("low", "popular", nil)
	if sends := actionsOf[Send](actions); len(sends) != 0 {
		t.Fatalf("full origin: got %v, want the fetch to wait", sends)
	}
	for range 3 {
		driver.request("low", "popular", nil)
	}
	write, _ := driver.request("low", "w1", asWrite)
	lone, _ := driver.requestMiss("low", "lone", nil)
	for _, want := range []uint64{write, popular} {
		sends := actionsOf[Send](driver.endAttempt(inFlight, Succeeded, 50*ms))
		if len(sends) == 0 || sends[0].ID != want || sends[0].Server != originID {
			t.Fatalf("next in the queue: got %v, want request %d at the origin", sends, want)
		}
		inFlight = want
	}
	driver.now += 400 * ms // too little of its latency objective of 500 ms is left for the lone fetch, which is still queued
	if got := actionsOf[Reject](driver.handle(TimerFired{Token: lone})); len(got) != 1 || got[0].ID != lone {
		t.Errorf("too late: got %v rejected, want the lone fetch %d", got, lone)
	}
	if got := driver.router.originQueue.Len(); got != 0 || driver.router.flights["lone"] != nil {
		t.Errorf("after the rejection: got %d in the queue, flight %v, want neither", got, driver.router.flights["lone"])
	}
}

// TestSlowOriginGetsFewerAttempts checks that a router lowers the number of its attempts in flight at the origin when
// many of the origin's answers are late, however many requests arrive.
func TestSlowOriginGetsFewerAttempts(t *testing.T) {
	driver := newTrainedDriver(t)
	most := 0
	var inFlight []uint64
	for i := range 12000 {
		driver.now += 5 * ms
		id, actions := driver.request("high", fmt.Sprint("k", i), asWrite)
		if len(actionsOf[Send](actions)) == 1 {
			inFlight = append(inFlight, id)
		}
		if i%20 == 0 && len(inFlight) > 0 { // the origin answers only ten of 200 writes a second, the oldest first
			oldest := inFlight[0]
			took := driver.now - driver.router.requests[oldest].attempts[0].sentAt
			sends := actionsOf[Send](driver.endAttempt(oldest, Succeeded, took))
			inFlight = inFlight[1:]
			for _, send := range sends {
				inFlight = append(inFlight, send.ID)
			}
		}
		if i > 8000 {
			most = max(most, len(driver.router.origin.gauge.inFlight))
		}
	}
	if most > 8 {
		t.Errorf("got up to %d in flight at an origin that answers 10 a second, want at most 8", most)
	}
}
