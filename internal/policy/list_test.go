package policy

import (
	"strconv"
	"testing"
	"time"

	"shelfproxy/internal/discovery/polling"
)

// discoveryService is one that answers calls for the list in turn: each takes a while, and one that waits for too long fails.
type discoveryService struct {
	perCall   time.Duration
	idleAt    Time // when it is done with what it has
	downUntil Time // until when calls fail at once
	answers   map[int]struct {
		at Time
		ok bool
	}
}

func (s *discoveryService) call(now Time, router int) {
	a := struct {
		at Time
		ok bool
	}{now + ms, false}
	if now >= s.downUntil {
		if s.idleAt = max(s.idleAt, now) + s.perCall; s.idleAt-now <= pollCallTimeout {
			a.at, a.ok = s.idleAt, true
		} else {
			s.idleAt -= s.perCall
			a.at = now + pollCallTimeout
		}
	}
	s.answers[router] = a
}

// TestAllHaveTheListInTime: 300 routers and one service that takes 5 ms for each list. What it has is known to all in the time after
// which it counts as told and the grace that follows, from when it could be had: where all watches fall silent at once, where it was
// down for 8 s, and where all are sent to another one in the same moment.
func TestAllHaveTheListInTime(t *testing.T) {
	const routers = 300
	for name, test := range map[string]struct {
		silent bool
		down   Time
		moved  bool
	}{"silent": {silent: true}, "down": {down: 8 * time.Second}, "moved": {moved: true}} {
		f := newFleet(t, routers, false, 0, "s1")
		s := &discoveryService{perCall: 5 * ms, downUntil: f.drivers[0].now + test.down, answers: map[int]struct {
			at Time
			ok bool
		}{}}
		began := f.drivers[0].now
		have := make([]Time, routers)
		for i, b := range f.drivers {
			b.router.settings.MustPoll = true
			b.handle(EndpointUpdate{Scope: DeltaUpdate}) // it has what there is
			switch {
			case test.moved:
				s.call(b.now, i)
			case test.down > 0:
				b.handle(EndpointUpdate{Scope: PollFailed})
			}
		}
		for n, left := 0, routers; left > 0; n++ {
			for i, b := range f.drivers {
				b.now += 10 * ms
				var acts []Action
				if test.silent && b.now-began == polling.WatchTimeout {
					acts = append(acts, b.handle(EndpointUpdate{Scope: PollFailed})...)
				}
				if (n+i)%25 == 0 {
					acts = append(acts, b.handle(TimerFired{Token: upkeepToken})...)
				}
				if a, out := s.answers[i]; out && b.now >= a.at {
					delete(s.answers, i)
					scope := PollFailed
					if a.ok {
						scope = DeltaUpdate
						if have[i] == 0 {
							have[i] = b.now
							left--
						}
					}
					acts = append(acts, b.handle(EndpointUpdate{Scope: scope})...)
				}
				for range actionsOf[Subscribe](acts) {
					s.call(b.now, i)
				}
			}
			if n > 6000 {
				t.Fatalf("%s: %d never have the list", name, left)
			}
		}
		last := Time(0)
		for _, at := range have {
			last = max(last, at-began-test.down)
		}
		t.Logf("%s: all have the list %v after it could be had", name, last)
		if most := updateKnownWithin + f.drivers[0].router.settings.DrainGrace; last > most {
			t.Errorf("%s: the last has the list %v after it could be had, want %v", name, last, most)
		}
	}
}

// TestColdServersPartWhenOthersLeave: what one server answers is judged by how many there were as it did. Half of them go: a cold one
// bears no more than it did a moment before.
func TestColdServersPartWhenOthersLeave(t *testing.T) {
	set := testSettings()
	b := newDriver(t, set, serverIDs(8)...)
	for i := range 400 {
		b.now += 5 * ms
		id, _ := b.request("high", "k"+strconv.Itoa(i), nil)
		b.endAttempt(id, Succeeded, 10*ms)
	}
	b.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: "s1", Kind: "cache", Zone: "a", Capacity: 1, StartedAt: b.now}}})
	taken := func() (n int) {
		cold := b.router.serverByID["s1"]
		for range 4000 {
			cold.offered = 30 * b.router.requestWeight
			if b.router.admitsDuringSlowStart(cold, &request{Request: Request{Key: "k1"}}) {
				n++
			}
		}
		return n
	}
	before := taken()
	var gone []Server
	for _, id := range serverIDs(8)[4:] {
		gone = append(gone, Server{ID: id, Kind: "cache", Zone: "a", Capacity: 1, State: Removed})
	}
	b.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: gone})
	if after := taken(); before == 0 || after > before*5/4 {
		t.Errorf("of 4000 lots it had %d, and %d once half of the others had left", before, after)
	}
}

// TestRepeatsSayUntilWhen: another attempt of a keyed request that may have run says until when it may be written, counted from the
// first one; a first attempt, one after others that never ran, and one of a class without effects say nothing.
func TestRepeatsSayUntilWhen(t *testing.T) {
	for name, test := range map[string]struct {
		class string
		first Reason
		bound bool
	}{"keyed, reset": {"keyed", Reset, true}, "keyed, never ran": {"keyed", NoConnection, false}, "a read": {"high", Reset, false}} {
		set := testSettings()
		b := newDriver(t, set, "s1", "s2")
		began := b.now
		id, actions := b.request(test.class, "k", nil)
		if sends := actionsOf[Send](actions); len(sends) != 1 || sends[0].WriteBy != 0 {
			t.Fatalf("%s: %v first", name, sends)
		}
		b.now += 100 * ms
		sends := actionsOf[Send](b.endAttempt(id, test.first, 100*ms))
		for n := 0; len(sends) == 0 && n < 100; n++ {
			b.now += 5 * ms
			sends = actionsOf[Send](b.handle(TimerFired{Token: id}))
		}
		want := Time(0)
		if test.bound {
			want = began + 800*ms - 2*set.Tick
		}
		if len(sends) != 1 || sends[0].WriteBy != want {
			t.Errorf("%s: %v again, want it by %v", name, sends, want)
		}
	}
}

// TestTurnedAwayByOneThatLeft: a read that was turned away by a server which the list no longer names for work goes on to the one that
// has its key now, though nothing is known of the origin and the class is refused first. Elsewhere it is refused.
func TestTurnedAwayByOneThatLeft(t *testing.T) {
	for _, left := range []bool{true, false} {
		b := newDriver(t, testSettings(), "s1", "s2")
		for range 50 { // it does well
			id, _ := b.request("high", "k", nil)
			b.endAttempt(id, Succeeded, ms)
		}
		id, actions := b.request("low", "k", nil)
		first := b.sentTo(actions)
		if left {
			b.handle(EndpointUpdate{Scope: DeltaUpdate, Servers: []Server{{ID: first, Kind: "cache", Zone: "a", Capacity: 1, State: Draining}}})
		}
		actions = b.endAttempt(id, Rejected, ms)
		sends := actionsOf[Send](actions)
		if moved := len(sends) == 1 && sends[0].Server != first; moved != left {
			t.Errorf("left %v: %v", left, actions)
		}
	}
}
