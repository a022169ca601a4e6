package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestMissIsFetchedFromOrigin checks that a read goes to the cache server of its key, and to the origin only after a
// miss. A write goes to the origin.
func TestMissIsFetchedFromOrigin(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2", "s3")
	driver.readOtherKeys(20)
	id, actions := driver.request("high", "k", nil)
	owner := driver.sentTo(actions)
	if owner == originID {
		t.Fatal("read: got a send to the origin, want a cache server")
	}
	if got := driver.sentTo(driver.endAttempt(id, Miss, ms)); got != originID {
		t.Fatalf("miss: got a send to %s, want the origin", got)
	}
	driver.endAttempt(id, Succeeded, 50*ms)
	if _, actions = driver.request("high", "k", nil); driver.sentTo(actions) != owner {
		t.Fatalf("second read: got %v, want a send to %s again", actions, owner)
	}
	if _, actions = driver.request("high", "k2", asWrite); driver.sentTo(actions) != originID {
		t.Fatalf("write: got %v, want a send to the origin", actions)
	}
}

// TestWaitingRequestIsAnsweredInTime checks that a request that waits for the fetch of another request gets exactly one
// final answer, by its deadline.
func TestWaitingRequestIsAnsweredInTime(t *testing.T) {
	for _, class := range []string{"high", "late"} {
		driver := newDriver(t, testSettings(), "s1", "s2")
		leader, _ := driver.request("high", "k", nil)
		driver.endAttempt(leader, Miss, ms)
		driver.now += 3 * time.Microsecond
		deadline := driver.now + 2*time.Second
		id, actions := driver.request(class, "k", nil)
		timers := actionsOf[SetTimer](actions)
		if len(timers) != 1 || timers[0].Token != id || timers[0].At%time.Microsecond != 0 {
			t.Fatalf("%s: got %v, want a timer on whole microseconds", class, actions)
		}
		driver.now = timers[0].At
		if driver.now > deadline {
			t.Errorf("%s: got a timer at %v, want it by the deadline, %v", class, driver.now, deadline)
		}
		if got := driver.handle(TimerFired{id}); len(actionsOf[Fail](got))+len(actionsOf[Reject](got)) != 1 {
			t.Errorf("%s: got %v, want one final answer", class, got)
		}
		if got := driver.handle(TimerFired{id}); len(got) != 0 {
			t.Errorf("%s: second timer: got %v, want nothing", class, got)
		}
	}
}

// TestIdleConnectionsOfManyRoutersAreClosed checks a router in a fleet so large that keeping all routers' idle
// connections to a cache server costs the server more than new connections. When its last attempt at the server ends,
// the router must close its idle connections to the server.
func TestIdleConnectionsOfManyRoutersAreClosed(t *testing.T) {
	for routers, want := range map[int]int{3: 0, 300: 1} {
		settings := testSettings()
		settings.Nodes, settings.ConnectionCost, settings.HandshakeCost = routers, 0.03, 0.03
		driver := newDriver(t, settings, "s1")
		first, _ := driver.request("high", "k", nil)
		last, _ := driver.request("high", "k", nil)
		if got := actionsOf[CloseIdle](driver.endAttempt(first, Succeeded, ms)); len(got) != 0 {
			t.Errorf("%d routers: with an attempt in flight got %v, want nothing closed", routers, got)
		}
		if got := actionsOf[CloseIdle](driver.endAttempt(last, Succeeded, ms)); len(got) != want {
			t.Errorf("%d routers: got %v, want %d closed", routers, got, want)
		}
	}
}

// TestWaitingRequestResumesAtItsTimeAndNotBefore guards against an endless loop that the simulation found with seed 53.
// A request was resumed a fraction of a microsecond before the end of its wait, so a timer for the same moment was set
// again. As the clock did not move meanwhile, this repeated for ever.
func TestWaitingRequestResumesAtItsTimeAndNotBefore(t *testing.T) {
	driver := newTrainedDriver(t)
	driver.now += 101 // 101 ns, so that the end of a wait is not on a whole microsecond
	leader, _ := driver.request("high", "k", nil)
	driver.endAttempt(leader, Miss, ms)
	follower, actions := driver.request("high", "k", nil)
	if len(actionsOf[Send](actions)) > 0 {
		actions = driver.endAttempt(follower, Miss, ms)
	}
	for _, timer := range actionsOf[SetTimer](actions) {
		if timer.Token != follower {
			continue
		}
		driver.now = timer.At
		for _, next := range actionsOf[SetTimer](driver.handle(TimerFired{Token: follower})) {
			if next.At <= driver.now {
				t.Fatalf("resumed at %v: got a timer at %v, want a later one", driver.now, next.At)
			}
		}
		if req := driver.router.requests[follower]; req != nil && req.isWaiting {
			t.Fatalf("at %v the request still waits, until %v", driver.now, req.wakeAt)
		}
		return
	}
	t.Fatalf("got %v, want a timer for the request that waits", actions)
}

// TestReadsWithoutTimeLeftAreRejectedAtOnce checks that a read is rejected at once if its deadline is sooner than even
// the fastest recent answers would arrive. A read with more time left is not rejected. This must still hold right after
// a few slow answers, such as a pause of the servers causes.
func TestReadsWithoutTimeLeftAreRejectedAtOnce(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2")
	isRejectedWith := func(timeLeft time.Duration) bool {
		id, actions := driver.request("low", fmt.Sprint("d", driver.nextID), func(request *Request) {
			request.Deadline = driver.now + timeLeft
		})
		isRejected := len(actionsOf[Reject](actions)) > 0
		if !isRejected {
			driver.endAttempt(id, Miss, ms)
			driver.endAttempt(id, Succeeded, ms)
		}
		return isRejected
	}
	if isRejectedWith(2 * ms) {
		t.Error("a read is rejected before any latency is known")
	}
	for range 30 {
		id, _ := driver.request("high", fmt.Sprint("o", driver.nextID), nil)
		driver.now += 20 * ms
		driver.endAttempt(id, Succeeded, 20*ms)
	}
	if !isRejectedWith(10*ms) || isRejectedWith(60*ms) {
		t.Error("where the fastest answers take 20 ms, a read with 10 ms left must be rejected, one with 60 ms not")
	}
	for range 3 {
		id, _ := driver.request("high", fmt.Sprint("o", driver.nextID), nil)
		driver.endAttempt(id, Succeeded, 500*ms)
	}
	if isRejectedWith(60 * ms) {
		t.Error("a few slow answers count as the fastest")
	}
}

// TestReadsAreSentAgainAfterSlowHits guards against reads that are refused for ever: all hits were slow once, and since
// then no client has had as much time, so that no read is sent that could show that the cache servers are fast again.
func TestReadsAreSentAgainAfterSlowHits(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1")
	slow, _ := driver.request("late", "k", func(request *Request) { request.Deadline = driver.now + 5*time.Second })
	driver.now += 2 * time.Second
	driver.endAttempt(slow, Succeeded, 2*time.Second)
	lastHit := driver.now
	for _, step := range []struct {
		wait   time.Duration
		isSent bool
	}{{0, false}, {time.Second, false}, {time.Second, false}, {time.Second, true}} {
		driver.now += step.wait
		hurried := func(request *Request) { request.Deadline = driver.now + 400*ms }
		if _, actions := driver.request("high", "k", hurried); (len(actionsOf[Send](actions)) > 0) != step.isSent {
			t.Errorf("%v after the last hit: got %v, want the read sent: %v", driver.now-lastHit, actions, step.isSent)
		}
	}
}
