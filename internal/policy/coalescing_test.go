package policy

import (
	"slices"
	"testing"

	"shelfproxy/internal/admission"
)

// TestMissesOfOneKeyAreCoalesced checks that while a key's object is being fetched, other reads of the key wait instead
// of starting further fetches. Once the fetch has stored the object at the cache server, the waiting reads are sent
// there.
func TestMissesOfOneKeyAreCoalesced(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2")
	driver.readOtherKeys(20)
	leader, _ := driver.request("high", "k", nil)
	follower, actions := driver.request("high", "k", nil)
	cache := driver.sentTo(actions)
	driver.endAttempt(leader, Miss, ms)
	if sends := actionsOf[Send](driver.endAttempt(follower, Miss, ms)); len(sends) > 0 {
		t.Fatalf("second miss of the key: got %v, want no second fetch", sends)
	}
	late, actions := driver.request("high", "k", nil)
	if sends := actionsOf[Send](actions); len(sends) > 0 {
		t.Fatalf("read of a key being fetched: got %v, want it to wait", sends)
	}
	want := []Send{{ID: follower, Server: cache}, {ID: late, Server: cache}}
	if got := actionsOf[Send](driver.endAttempt(leader, Succeeded, 50*ms)); !slices.Equal(got, want) {
		t.Errorf("after the fetch: got %v, want %v", got, want)
	}
	// When a fetch fails, one of the requests that waited for its result makes the next fetch.
	leader, _ = driver.request("high", "k9", nil)
	driver.endAttempt(leader, Miss, ms)
	follower, _ = driver.request("high", "k9", nil)
	sends := actionsOf[Send](driver.endAttempt(leader, TimedOut, 50*ms))
	if len(sends) != 1 || sends[0].ID != follower {
		t.Errorf("after a failed fetch: got %v, want one send for %d", sends, follower)
	}
}

// TestFollowerTakesOverFromALeaderThatLeft checks a request (the follower) that waits for the fetch of another one (the
// leader). If the leader's client disconnects while that fetch is still in the origin queue, the follower must make its
// own fetch.
func TestFollowerTakesOverFromALeaderThatLeft(t *testing.T) {
	driver := newTrainedDriver(t)
	driver.router.originLimiter = admission.ConcurrencyLimiter{Max: 1}
	first, _ := driver.request("high", "w0", asWrite)
	leader, _ := driver.requestMiss("high", "k", nil)
	driver.now += 10 * ms
	follower, _ := driver.request("high", "k", nil)
	// When the leader's client disconnects, the leader's fetch is given up. The follower has not read the cache server
	// yet, and must do so before it fetches: without this read, the fetched object would not be stored at the cache
	// server.
	driver.handle(ClientDisconnected{ID: leader})
	driver.endAttempt(follower, Miss, ms)
	sends := actionsOf[Send](driver.endAttempt(first, Succeeded, 50*ms))
	if len(sends) != 1 || sends[0].ID != follower {
		t.Errorf("when the origin has a free slot again: got %v, want a send of the follower %d", sends, follower)
	}
}

// TestFollowerGoesOnWhenItsFetchIsGivenUp guards against reads of a key that wait for ever: the fetch that they wait for
// is given up as it leaves the queue, or its origin leaves the endpoint list meanwhile.
func TestFollowerGoesOnWhenItsFetchIsGivenUp(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1")
	driver.router.originLimiter = admission.ConcurrencyLimiter{Max: 1}
	write, _ := driver.request("high", "w0", asWrite)
	leader, _ := driver.request("keyed", "k", nil)
	driver.endAttempt(leader, Errored, ms) // from now on the read may be sent again for as long as its window lasts
	if !driver.router.originQueue.Contains(driver.router.requests[leader]) {
		t.Fatal("the fetch does not wait for the origin, want it queued")
	}
	follower, _ := driver.request("high", "k", nil)
	driver.now += 800 * ms
	actions := driver.endAttempt(write, Succeeded, 50*ms)
	if sends := actionsOf[Send](actions); len(sends) != 1 || sends[0].ID != follower {
		t.Errorf("when the window has ended: got %v, want one send for the follower %d", actions, follower)
	}
	if len(driver.router.flights) > 0 {
		t.Errorf("%d fetches are known, want none", len(driver.router.flights))
	}

	driver = newDriver(t, testSettings(), "s1")
	leader, _ = driver.request("high", "k", nil)
	driver.endAttempt(leader, Miss, ms)
	driver.update(Server{ID: originID, Kind: "origin", State: Removed})
	driver.endAttempt(leader, TimedOut, 50*ms)
	if len(driver.router.flights) > 0 {
		t.Errorf("the origin has left: %d fetches are known, want none", len(driver.router.flights))
	}
}
