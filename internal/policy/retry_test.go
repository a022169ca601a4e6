package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestRetriesRespectTheEffectOfTheClass: after an attempt that was possibly executed a write is retried only as far as
// its class allows, and rejected only where trying again is harmless.
func TestRetriesRespectTheEffectOfTheClass(t *testing.T) {
	for _, test := range []struct {
		class       string
		reason      Reason
		after       time.Duration
		wantSends   int // further ones
		wantRejects int
		wantFails   int
	}{
		{class: "high", reason: Errored, wantSends: 1},
		{class: "keyed", reason: Errored, wantSends: 1},
		{class: "keyed", reason: Errored, after: 790 * ms, wantRejects: 1},
		{class: "keyed-zone", reason: Errored, after: 790 * ms, wantFails: 1},
		{class: "unsafe", reason: Errored, wantFails: 1},
		{class: "unsafe", reason: Rejected, wantSends: 1},
		{class: "unsafe", reason: Reset, wantFails: 1},
		{class: "unsafe", reason: CorruptResponse, wantFails: 1},
		{class: "high", reason: TimedOut, wantRejects: 1},
		{class: "unsafe", reason: TimedOut, wantFails: 1},
	} {
		t.Run(fmt.Sprint(test.class, test.reason, test.after), func(t *testing.T) {
			driver := newDriver(t, testSettings(), "s1")
			id, _ := driver.request(test.class, "k", asWrite)
			driver.now += test.after
			actions := driver.endAttempt(id, test.reason, test.after)
			for _, timer := range actionsOf[SetTimer](actions) {
				driver.now = timer.At
				actions = append(actions, driver.handle(TimerFired{timer.Token})...)
			}
			if got := len(actionsOf[Send](actions)); got != test.wantSends {
				t.Errorf("got %d sends, want %d: %v", got, test.wantSends, actions)
			}
			rejects, fails := len(actionsOf[Reject](actions)), len(actionsOf[Fail](actions))
			if rejects != test.wantRejects || fails != test.wantFails {
				t.Errorf("got %d rejects and %d fails, want %d and %d", rejects, fails, test.wantRejects, test.wantFails)
			}
		})
	}
}

// TestReadsRejectedByAFullServerGoElsewhere: while the origin is quiet, and otherwise only where other servers do better:
// then past all that do as badly, and at no cost to the retry budget.
func TestReadsRejectedByAFullServerGoElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		isOriginQuiet bool
		full          int // servers that reject requests, of four
		wantRetry     bool
	}{
		"origin quiet":         {true, 4, true},
		"one of four is full":  {false, 1, true},
		"two of four are full": {false, 2, true},
		"all are full":         {false, 4, false},
	} {
		driver := newTrainedDriver(t, "s4")
		if !test.isOriginQuiet {
			driver.feedOrigin(20, 300*ms, Succeeded)
			driver.spendRetryBudgets()
		}
		id, actions := driver.request("high", "k", nil)
		first := driver.sentTo(actions)
		isFull := map[string]bool{first: true}
		for _, srv := range driver.router.servers {
			if srv.ID != originID && len(isFull) < test.full {
				isFull[srv.ID] = true
			}
		}
		for range 20 {
			for _, srv := range driver.router.servers {
				if srv.ID != originID {
					driver.router.observeLatency(srv, 10*ms, isFull[srv.ID])
				}
			}
		}
		sends := actionsOf[Send](driver.endAttempt(id, Rejected, ms))
		isRetried := len(sends) == 1 && sends[0].Server != first && sends[0].Server != originID
		if isRetried != test.wantRetry {
			t.Errorf("%s: after the rejection by %s got %v, want a retry elsewhere: %v", name, first, sends, test.wantRetry)
		}
		if isRetried && !test.isOriginQuiet && isFull[sends[0].Server] {
			t.Errorf("%s: got a retry at %s, want none of the full servers %v", name, sends[0].Server, isFull)
		}
	}
}

// spendRetryBudgets leaves nothing saved up.
func (driver *routerDriver) spendRetryBudgets() {
	for _, budget := range driver.router.retryBudgets {
		for budget.AllowRetry(driver.now) {
			continue
		}
	}
}

// TestDeduplicatedRetryHasAWriteDeadline: a retry of a deduplicated request that was possibly executed says until when it
// may be written, counted from the first attempt; a first attempt, one after others that were never executed, and one of
// an idempotent class have no such bound.
func TestDeduplicatedRetryHasAWriteDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		class     string
		first     Reason // how the first attempt ends
		wantBound bool
	}{
		"deduplicated, reset":          {"keyed", Reset, true},
		"deduplicated, never executed": {"keyed", NoConnection, false},
		"idempotent":                   {"high", Reset, false},
	} {
		settings := testSettings()
		driver := newDriver(t, settings, "s1", "s2")
		began := driver.now
		id, actions := driver.request(test.class, "k", nil)
		if sends := actionsOf[Send](actions); len(sends) != 1 || sends[0].WriteBy != 0 {
			t.Fatalf("%s: first attempt: got %v, want one send without a bound", name, sends)
		}
		driver.now += 100 * ms
		sends := actionsOf[Send](driver.endAttempt(id, test.first, 100*ms))
		for rounds := 0; len(sends) == 0 && rounds < 100; rounds++ {
			driver.now += 5 * ms
			sends = actionsOf[Send](driver.handle(TimerFired{Token: id}))
		}
		want := Time(0)
		if test.wantBound {
			want = began + 800*ms - 2*settings.Tick
		}
		if len(sends) != 1 || sends[0].WriteBy != want {
			t.Errorf("%s: retry: got %v, want one send to be written by %v", name, sends, want)
		}
	}
}

// TestReadRejectedByADrainingServerIsRedirected: a read that was rejected by a server which the list no longer names for
// work goes on to the one that owns its key now, though nothing is known of the origin and the class is shed first. A
// read that another server rejected is not sent on.
func TestReadRejectedByADrainingServerIsRedirected(t *testing.T) {
	for _, isDraining := range []bool{true, false} {
		driver := newDriver(t, testSettings(), "s1", "s2")
		for range 50 { // the server does well
			id, _ := driver.request("high", "k", nil)
			driver.endAttempt(id, Succeeded, ms)
		}
		id, actions := driver.request("low", "k", nil)
		first := driver.sentTo(actions)
		if isDraining {
			driver.update(Server{ID: first, Kind: "cache", Zone: "a", Capacity: 1, State: Draining})
		}
		actions = driver.endAttempt(id, Rejected, ms)
		sends := actionsOf[Send](actions)
		if isRedirected := len(sends) == 1 && sends[0].Server != first; isRedirected != isDraining {
			t.Errorf("draining %v: got %v, want the read redirected: %v", isDraining, actions, isDraining)
		}
	}
}

// TestRetriesHaveABudget: when much fails at once, attempts do not multiply: past the budget a request ends instead of
// being retried.
func TestRetriesHaveABudget(t *testing.T) {
	const requests = 400
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	driver.readOtherKeys(50)
	sends := 0
	for range requests {
		id, _ := driver.request("low", fmt.Sprint("b", driver.nextID), nil)
		for driver.router.requests[id] != nil && driver.router.requests[id].inFlight > 0 {
			driver.endAttempt(id, Reset, ms)
		}
		sends += driver.sendCount[id]
		driver.now += ms
	}
	if sends < 450 || sends > requests*14/10 {
		t.Errorf("got %d attempts for %d requests that all fail, want 450 to %d", sends, requests, requests*14/10)
	}
}

// TestReadIsRetriedElsewhereAfterAnError: one router of many meets a server that answers with errors seldom, so each of
// its errors must not cost a read. There is no fourth attempt at once.
func TestReadIsRetriedElsewhereAfterAnError(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	driver.readOtherKeys(20)
	id, actions := driver.request("low", "k", nil)
	failedAt := driver.sentTo(actions)
	retriedAt := driver.sentTo(driver.endAttempt(id, Errored, ms))
	if retriedAt == failedAt || retriedAt == originID {
		t.Fatalf("after an error at %s: got a retry at %s, want another cache server", failedAt, retriedAt)
	}
	driver.endAttempt(id, Errored, ms)
	if got := actionsOf[Send](driver.endAttempt(id, Errored, ms)); len(got) != 0 {
		t.Errorf("after three errors: got %v, want no fourth attempt", got)
	}
}
