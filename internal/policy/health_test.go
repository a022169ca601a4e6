package policy

import (
	"fmt"
	"testing"
	"time"
)

// TestDeadServerWithoutProbes: where servers may not be asked, one that nobody answers at is left out after a few
// attempts, is tried by one request at a time, and takes its keys again when it answers. The other zone is not given up.
func TestDeadServerWithoutProbes(t *testing.T) {
	set := testSettings()
	set.MayHealthCheck, set.Zone = false, "a"
	b := newDriver(t, set, "s1", "s2")
	b.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "far", Kind: "cache", Zone: "b", Capacity: 1}}})
	dead, at := true, map[int]int{}
	phase := func(n int, span time.Duration) {
		for end := b.now + span; b.now < end; b.now += 20 * ms {
			id, actions := b.request("high", fmt.Sprint("k", b.nextID), nil)
			for range 4 {
				sends := actionsOf[Send](actions)
				if len(sends) == 0 {
					break
				}
				if sends[0].Server == "far" {
					at[n]++
					if dead {
						actions = b.endAttempt(id, NoConnection, 150*ms)
						continue
					}
				}
				actions = b.endAttempt(id, Succeeded, 10*ms)
			}
			if b.nextID%12 == 0 {
				b.handle(TimerFired{Token: upkeepToken})
			}
		}
	}
	phase(0, 4*time.Second)
	phase(1, 20*time.Second)
	dead = false
	phase(2, 30*time.Second) // it is taken to be cold at first
	switch {
	case at[0] < 3 || at[0] > 20:
		t.Errorf("%d attempts in the first 4 s at a server that is gone", at[0])
	case at[1] == 0 || at[1] > 6:
		t.Errorf("%d attempts in 20 s at a server that was given up, want a few", at[1])
	case at[2] < 300:
		t.Errorf("%d of 1500 requests in 30 s at a server that is back", at[2])
	}
}
