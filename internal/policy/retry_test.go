package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestRetriesRespectTheEffectOfTheClass(t *testing.T) {
	tests := []struct {
		class  string
		reason Reason
		after  time.Duration
		sends  int
		final  string // what ends it at once, if anything
	}{
		{"high", Errored, 0, 1, ""},
		{"keyed", Errored, 0, 1, ""},
		{"keyed", Errored, 790 * ms, 0, "refuse"},
		{"keyed-zone", Errored, 790 * ms, 0, "fail"},
		{"unsafe", Errored, 0, 0, "fail"},
		{"unsafe", Rejected, 0, 1, ""},
		{"unsafe", Reset, 0, 0, "fail"},
		{"unsafe", CorruptResponse, 0, 0, "fail"},
		{"high", TimedOut, 0, 0, "refuse"},
		{"unsafe", TimedOut, 0, 0, "fail"},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.class, tt.reason, tt.after), func(t *testing.T) {
			driver := newDriver(t, testSettings(), "s1")
			id, _ := driver.request(tt.class, "k", asWrite)
			driver.now += tt.after
			actions := driver.endAttempt(id, tt.reason, tt.after)
			for _, timer := range actionsOf[SetTimer](actions) {
				driver.now = timer.At
				actions = append(actions, driver.handle(TimerFired{timer.Token})...)
			}
			if n := len(actionsOf[Send](actions)); n != tt.sends {
				t.Errorf("%d sends, want %d: %v", n, tt.sends, actions)
			}
			refused, failed := len(actionsOf[Reject](actions)), len(actionsOf[Fail](actions))
			if refused != map[bool]int{true: 1}[tt.final == "refuse"] ||
				failed != map[bool]int{true: 1}[tt.final == "fail"] {
				t.Errorf("refused %d failed %d, want %q", refused, failed, tt.final)
			}
		})
	}
}

// TestReadsRejectedByAFullServerGoElsewhere: while the origin is calm, and past that only where other servers do
// better: then past all that do as badly, and not at the price of a second attempt.
func TestReadsRejectedByAFullServerGoElsewhere(t *testing.T) {
	for name, test := range map[string]struct {
		calm  bool
		full  int // servers that turn requests away
		moves bool
	}{"origin calm": {true, 4, true}, "one of four is full": {false, 1, true}, "two of four are full": {false, 2, true}, "all are full": {false, 4, false}} {
		driver := newTrainedDriver(t, "s4")
		if !test.calm {
			driver.feedOrigin(20, 300*ms, Succeeded)
		}
		for _, budget := range driver.router.retryBudgets { // nothing saved up, where that is not the question
			for !test.calm && budget.AllowRetry(driver.now) {
			}
		}
		id, actions := driver.request("high", "k", nil)
		first := driver.sentTo(actions)
		full := map[string]bool{first: true}
		for _, s := range driver.router.servers {
			if s.ID != "o" && len(full) < test.full {
				full[s.ID] = true
			}
		}
		for range 20 {
			for _, s := range driver.router.servers {
				if s.ID != "o" {
					driver.router.observeLatency(s, 10*ms, full[s.ID])
				}
			}
		}
		sends := actionsOf[Send](driver.endAttempt(id, Rejected, ms))
		moved := len(sends) == 1 && sends[0].Server != first && sends[0].Server != "o"
		if moved != test.moves || moved && !test.calm && full[sends[0].Server] {
			t.Errorf("%s: after %s's answer %v; full are %v", name, first, sends, full)
		}
	}
}

// TestDeduplicatedRetryHasAWriteDeadline: another attempt of a keyed request that may have run says until when it may
// be written, counted from the first one; a first attempt, one after others that never ran, and one of a class
// without effects say nothing.
func TestDeduplicatedRetryHasAWriteDeadline(t *testing.T) {
	for name, test := range map[string]struct {
		class string
		first Reason
		bound bool
	}{"keyed, reset": {"keyed", Reset, true}, "keyed, never ran": {"keyed", NoConnection, false}, "a read": {"high", Reset, false}} {
		settings := testSettings()
		driver := newDriver(t, settings, "s1", "s2")
		began := driver.now
		id, actions := driver.request(test.class, "k", nil)
		if sends := actionsOf[Send](actions); len(sends) != 1 || sends[0].WriteBy != 0 {
			t.Fatalf("%s: %v first", name, sends)
		}
		driver.now += 100 * ms
		sends := actionsOf[Send](driver.endAttempt(id, test.first, 100*ms))
		for n := 0; len(sends) == 0 && n < 100; n++ {
			driver.now += 5 * ms
			sends = actionsOf[Send](driver.handle(TimerFired{Token: id}))
		}
		want := Time(0)
		if test.bound {
			want = began + 800*ms - 2*settings.Tick
		}
		if len(sends) != 1 || sends[0].WriteBy != want {
			t.Errorf("%s: %v again, want it by %v", name, sends, want)
		}
	}
}

// TestReadRejectedByADrainingServerIsRedirected: a read that was turned away by a server which the list no longer
// names for work goes on to the one that has its key now, though nothing is known of the origin and the class is
// refused first. Elsewhere it is refused.
func TestReadRejectedByADrainingServerIsRedirected(t *testing.T) {
	for _, left := range []bool{true, false} {
		driver := newDriver(t, testSettings(), "s1", "s2")
		for range 50 { // it does well
			id, _ := driver.request("high", "k", nil)
			driver.endAttempt(id, Succeeded, ms)
		}
		id, actions := driver.request("low", "k", nil)
		first := driver.sentTo(actions)
		if left {
			driver.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: first, Kind: "cache", Zone: "a", Capacity: 1, State: Draining}}})
		}
		actions = driver.endAttempt(id, Rejected, ms)
		sends := actionsOf[Send](actions)
		if moved := len(sends) == 1 && sends[0].Server != first; moved != left {
			t.Errorf("left %v: %v", left, actions)
		}
	}
}

// When much fails at once, attempts do not multiply: past the budget a request ends instead of being tried again.
func TestRetriesHaveABudget(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	driver.readOtherKeys(50)
	sends := 0
	for range 400 {
		id, _ := driver.request("low", fmt.Sprint("b", driver.nextID), nil)
		for driver.router.requests[id] != nil && driver.router.requests[id].inFlight > 0 {
			driver.endAttempt(id, Reset, ms)
		}
		sends += driver.sendCount[id]
		driver.now += ms
	}
	if sends < 450 || sends > 400*14/10 {
		t.Errorf("%d attempts for 400 requests that all fail", sends)
	}
}

// TestReadIsRetriedElsewhereAfterAnError: a server that answers with errors is met seldom by one router of many, so
// each of its errors must not cost a read. A write that may have run stays where the rules for repeats put it.
func TestReadIsRetriedElsewhereAfterAnError(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	driver.readOtherKeys(20)
	id, actions := driver.request("low", "k", nil)
	first := driver.sentTo(actions)
	second := driver.sentTo(driver.endAttempt(id, Errored, ms))
	if second == first || second == "o" {
		t.Fatalf("after an error at %s the read went to %s, want another cache server", first, second)
	}
	driver.endAttempt(id, Errored, ms)
	if got := actionsOf[Send](driver.endAttempt(id, Errored, ms)); len(got) != 0 {
		t.Errorf("a fourth attempt at once: %v", got)
	}
}
