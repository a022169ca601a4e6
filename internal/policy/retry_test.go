package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestRetriesRespectTheEffectOfTheClass checks that a write whose attempt was possibly executed is retried only as far
// as its class allows. The write may be rejected, which tells the client to retry, only where such a retry is harmless.
// Otherwise it fails.
func TestRetriesRespectTheEffectOfTheClass(t *testing.T) {
	for _, test := range []struct {
		class       string
		reason      Reason
		after       time.Duration
		wantSends   int // wanted number of attempts after the first one
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
		{class: "unsafe", reason: Displaced, wantFails: 1},
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

// TestDisplacedReadIsSentToItsServerAgain guards against a server that is blamed for a connection that the node closed
// because of another attempt, and against a read that is rejected for it. The read goes to the same server again,
// without a charge to the retry budget, as long as it has had few attempts.
func TestDisplacedReadIsSentToItsServerAgain(t *testing.T) {
	driver := newTrainedDriver(t)
	id, actions := driver.request("high", "k", nil)
	driver.spendRetryBudgets()
	first := driver.sentTo(actions)
	for range maxImmediateAttempts - 1 {
		actions = driver.endAttempt(id, Displaced, 100*ms)
		if got := driver.sentTo(actions); got != first {
			t.Errorf("a displaced read is sent to %q, want %q again: %v", got, first, actions)
		}
		if got := actionsOf[HealthCheck](actions); len(got) > 0 {
			t.Errorf("got %v for a displaced read, want no health check", got)
		}
	}
	if actions := driver.endAttempt(id, Displaced, 100*ms); len(actionsOf[Reject](actions)) != 1 {
		t.Errorf("got %v after %d attempts, want a rejection: the retry budget is used up", actions, maxImmediateAttempts)
	}
}

// TestReadsRejectedByAFullServerGoElsewhere checks when a read that a full cache server rejected is retried at another
// cache server. While the origin has a low load, the read is always retried. While the origin is busy, the read is
// retried only if some cache servers reject fewer requests than the full one. The retry then goes to none of the
// servers that reject as many requests as the full one, and the retry budget is not charged.
func TestReadsRejectedByAFullServerGoElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		isOriginQuiet bool
		full          int // how many of the four cache servers reject requests
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

// spendRetryBudgets uses up the retry budget of each class, so that no retry is allowed that is charged to a budget.
func (driver *routerDriver) spendRetryBudgets() {
	for _, budget := range driver.router.retryBudgets {
		for budget.AllowRetry(driver.now) {
			continue
		}
	}
}

// TestDeduplicatedRetryHasAWriteDeadline checks that a retry of a deduplicated request that was possibly executed has a
// time by which it must be written to the server, counted from the first attempt. The other attempts have no such
// bound: a first attempt, a retry after attempts that were never executed, and a retry of an idempotent class.
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

// TestReadRejectedByADrainingServerIsRedirected checks a read that a server rejected while the endpoint list no longer
// has the server as live. The read must be redirected to the new owner of its key, even if the router has no answers of
// the origin yet, and even if its class is shed first. A read that a live server rejected is not redirected.
func TestReadRejectedByADrainingServerIsRedirected(t *testing.T) {
	for _, isDraining := range []bool{true, false} {
		driver := newDriver(t, testSettings(), "s1", "s2")
		for range 50 { // 50 good answers, so that the server does not count as an outlier
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

// TestRetriesHaveABudget checks that attempts do not multiply when all requests fail: once the retry budget is spent, a
// request is not retried.
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

// TestReadIsRetriedElsewhereAfterAnError checks that a read is retried at another cache server after an error. In a
// large fleet, each router seldom sends to any one server, and so takes long to find out that a server answers with
// errors. Until then, the server's errors must not fail reads. After three errors, no fourth attempt follows at once.
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
