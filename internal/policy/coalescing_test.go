package policy

import (
	"slices"
	"testing"

	"shelfproxy/internal/admission"
)

// TestMissesOfOneKeyAreCoalesced: misses of a key that is being fetched wait, and go on to the cache server once it has
// the object.
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
	// A fetch that fails hands over to one of those who wait.
	leader, _ = driver.request("high", "k9", nil)
	driver.endAttempt(leader, Miss, ms)
	follower, _ = driver.request("high", "k9", nil)
	sends := actionsOf[Send](driver.endAttempt(leader, TimedOut, 50*ms))
	if len(sends) != 1 || sends[0].ID != follower {
		t.Errorf("after a failed fetch: got %v, want one send for %d", sends, follower)
	}
}

// TestFollowerTakesOverFromALeaderThatLeft: the client of a fetch in the origin queue disconnects, and a request that
// waited for the fetch makes one of its own.
func TestFollowerTakesOverFromALeaderThatLeft(t *testing.T) {
	driver := newTrainedDriver(t)
	driver.router.originLimiter = admission.ConcurrencyLimiter{Max: 1}
	first, _ := driver.request("high", "w0", asWrite)
	leader, _ := driver.requestMiss("high", "k", nil)
	driver.now += 10 * ms
	follower, _ := driver.request("high", "k", nil)
	// The follower asks the cache server itself, or the object would not be stored there.
	driver.handle(ClientDisconnected{ID: leader})
	driver.endAttempt(follower, Miss, ms)
	sends := actionsOf[Send](driver.endAttempt(first, Succeeded, 50*ms))
	if len(sends) != 1 || sends[0].ID != follower {
		t.Errorf("as the origin has a slot again: got %v, want the follower %d", sends, follower)
	}
}
