package policy

import (
	"shelfproxy/internal/admission"
	"slices"
	"testing"
)

func TestMissesOfOneKeyShareAFetch(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1", "s2")
	driver.readOtherKeys(20)
	leader, _ := driver.request("high", "k", nil)
	second, actions := driver.request("high", "k", nil)
	cache := driver.sentTo(actions)
	driver.endAttempt(leader, Miss, ms)
	if sends := actionsOf[Send](driver.endAttempt(second, Miss, ms)); len(sends) > 0 {
		t.Fatalf("a second fetch of the key: %v", sends)
	}
	third, actions := driver.request("high", "k", nil)
	if len(actionsOf[Send](actions)) > 0 {
		t.Fatal("a read of a key being fetched did not wait")
	}
	want := []Send{{ID: second, Server: cache}, {ID: third, Server: cache}}
	if got := actionsOf[Send](driver.endAttempt(leader, Succeeded, 50*ms)); !slices.Equal(got, want) {
		t.Errorf("after the fetch landed %v, want %v", got, want)
	}
	// A fetch that fails hands over to one of those who wait.
	leader, _ = driver.request("high", "k9", nil)
	driver.endAttempt(leader, Miss, ms)
	waiting, _ := driver.request("high", "k9", nil)
	sends := actionsOf[Send](driver.endAttempt(leader, TimedOut, 50*ms))
	if len(sends) != 1 || sends[0].ID != waiting {
		t.Errorf("after a failed fetch %v, want one send for %d", sends, waiting)
	}
}

// TestFollowerTakesOverFromALeaderThatLeft: the client of a fetch in line leaves, or its time ends, and one that
// waited for it fetches.
func TestFollowerTakesOverFromALeaderThatLeft(t *testing.T) {
	driver := newTrainedDriver(t)
	driver.router.originLimiter = admission.ConcurrencyLimiter{Max: 1}
	first, _ := driver.request("high", "w0", asWrite)
	leader, _ := driver.requestMiss("high", "k", nil)
	driver.now += 10 * ms
	follower, _ := driver.request("high", "k", nil)
	driver.handle(ClientDisconnected{ID: leader}) // the follower asks the cache server for itself, or the value would not be stored there
	driver.endAttempt(follower, Miss, ms)
	sends := actionsOf[Send](driver.endAttempt(first, Succeeded, 50*ms))
	if len(sends) != 1 || sends[0].ID != follower {
		t.Errorf("%v went on, want the follower %d", sends, follower)
	}
}
