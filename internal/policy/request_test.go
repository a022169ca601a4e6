package policy

import (
	"fmt"
	"testing"
	"time"
)

func TestMissIsFetchedFromOrigin(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	driver.readOtherKeys(20)
	id, actions := driver.request("high", "k", nil)
	first := driver.sentTo(actions)
	if first == "o" {
		t.Fatal("a read went to the origin before a cache server missed")
	}
	if got := driver.sentTo(driver.endAttempt(id, Miss, ms)); got != "o" {
		t.Fatalf("a miss went to %s, want the origin", got)
	}
	driver.endAttempt(id, Succeeded, 50*ms)
	if _, actions = driver.request("high", "k", nil); driver.sentTo(actions) != first {
		t.Fatal("the key moved without cause")
	}
	if _, actions = driver.request("high", "k2", asWrite); driver.sentTo(actions) != "o" {
		t.Fatal("a write did not go to the origin")
	}
}

func TestWaitingRequestIsAnsweredInTime(t *testing.T) {
	for _, class := range []string{"high", "late"} {
		driver := newDriver(t, testSettings(), "s1", "s2")
		leader, _ := driver.request("high", "k", nil)
		driver.endAttempt(leader, Miss, ms)
		driver.now += 3 * time.Microsecond
		id, actions := driver.request(class, "k", nil)
		timers := actionsOf[SetTimer](actions)
		if len(timers) != 1 || timers[0].Token != id || timers[0].At%time.Microsecond != 0 {
			t.Fatalf("%s: want a timer on whole microseconds, got %v", class, actions)
		}
		if driver.now = timers[0].At; driver.now > 102*time.Second+3*time.Microsecond {
			t.Errorf("%s: the timer is past the deadline", class)
		}
		if got := driver.handle(TimerFired{id}); len(actionsOf[Fail](got))+len(actionsOf[Reject](got)) != 1 {
			t.Errorf("%s: want one final answer, got %v", class, got)
		}
		if got := driver.handle(TimerFired{id}); len(got) != 0 {
			t.Errorf("%s: answered twice: %v", class, got)
		}
	}
}

func TestIdleConnectionsOfManyRoutersAreClosed(t *testing.T) {
	for routers, want := range map[int]int{3: 0, 300: 1} {
		settings := testSettings()
		settings.Nodes, settings.ConnectionCost, settings.HandshakeCost = routers, 0.03, 0.03
		driver := newDriver(t, settings, "s1")
		first, _ := driver.request("high", "k", nil)
		second, _ := driver.request("high", "k", nil)
		if got := actionsOf[CloseIdle](driver.endAttempt(first, Succeeded, ms)); len(got) != 0 {
			t.Errorf("%d routers: closed with an attempt out: %v", routers, got)
		}
		if got := actionsOf[CloseIdle](driver.endAttempt(second, Succeeded, ms)); len(got) != want {
			t.Errorf("%d routers: closes %v, want %d", routers, got, want)
		}
	}
}

// TestWaitingRequestResumesAtItsTimeAndNotBefore: a request that waits is woken at its time and not before: one that
// was woken a part of a microsecond early waited anew for the same moment, and again, for as long as the clock stood
// there. Found by the simulation, seed 53.
func TestWaitingRequestResumesAtItsTimeAndNotBefore(t *testing.T) {
	driver := newTrainedDriver(t)
	driver.now += 101 // deadlines are no whole microseconds
	leader, _ := driver.request("high", "k", nil)
	driver.endAttempt(leader, Miss, ms)
	waits, actions := driver.request("high", "k", nil)
	if len(actionsOf[Send](actions)) > 0 {
		actions = driver.endAttempt(waits, Miss, ms)
	}
	for _, settings := range actionsOf[SetTimer](actions) {
		if settings.Token != waits {
			continue
		}
		driver.now = settings.At
		for _, again := range actionsOf[SetTimer](driver.handle(TimerFired{Token: waits})) {
			if again.At <= driver.now {
				t.Fatalf("woken at %v, it waits for %v", driver.now, again.At)
			}
		}
		if q := driver.router.requests[waits]; q != nil && q.isWaiting {
			t.Fatalf("at %v it still waits, until %v", driver.now, q.wakeAt)
		}
		return
	}
	t.Fatalf("it does not wait: %v", actions)
}

// A read with less time left than the quickest answers of late took is refused at once; one with a little more is
// not, and a pause of the servers does not lift the bar for long.
func TestReadsWithoutTimeLeftAreRejectedAtOnce(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2")
	left := func(d time.Duration) bool {
		id, actions := driver.request("low", fmt.Sprint("d", driver.nextID), func(q *Request) { q.Deadline = driver.now + d })
		refused := len(actionsOf[Reject](actions)) > 0
		if !refused {
			driver.endAttempt(id, Miss, ms)
			driver.endAttempt(id, Succeeded, ms)
		}
		return refused
	}
	if left(2 * ms) {
		t.Error("refused before anything is known")
	}
	for range 30 {
		id, _ := driver.request("high", fmt.Sprint("o", driver.nextID), nil)
		driver.now += 20 * ms
		driver.endAttempt(id, Succeeded, 20*ms)
	}
	if !left(10*ms) || left(60*ms) {
		t.Error("10 ms left must be refused, 60 ms not, where the quickest answers take 20 ms")
	}
	for range 3 {
		id, _ := driver.request("high", fmt.Sprint("o", driver.nextID), nil)
		driver.endAttempt(id, Succeeded, 500*ms)
	}
	if left(60 * ms) {
		t.Error("a few slow answers count as the quickest")
	}
}
