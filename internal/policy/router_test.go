package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

func TestEventsOfUnknownIDsAreIgnored(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1")
	for _, ev := range []Event{Outcome{ID: 99}, ClientDisconnected{99}, ResponseStarted{ID: 99}, TimerFired{99}, HealthChecked{Server: "x"}} {
		if got := driver.handle(ev); len(got) != 0 {
			t.Errorf("%T: %v", ev, got)
		}
	}
	id, _ := driver.request("high", "k", nil)
	if got := driver.handle(Outcome{ID: id, Attempt: 7, Reason: Succeeded}); len(got) != 0 {
		t.Errorf("outcome of an attempt never made: %v", got)
	}
}

// TestSameEventsGiveTheSameActions: two routers with the same seed that see the same events do the same.
func TestSameEventsGiveTheSameActions(t *testing.T) {
	original, twin := newTrainedDriver(t), newTrainedDriver(t)
	for i := range 200 {
		key := fmt.Sprint("k", i%17)
		id, got := original.request("high", key, nil)
		if _, want := twin.request("high", key, nil); !reflect.DeepEqual(got, want) {
			t.Fatalf("request %d: got %v, want %v as before", id, got, want)
		}
		reason := Reason(i % 9)
		original.now, twin.now = original.now+7*ms, twin.now+7*ms
		got, want := original.endAttempt(id, reason, 7*ms), twin.endAttempt(id, reason, 7*ms)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("outcome of request %d: got %v, want %v as before", id, got, want)
		}
	}
}

// TestRandomEventsKeepTheInvariants drives legal random events and checks what one router can see of the rules:
// one final answer each and in time, no unproven repeat of an unsafe request, one attempt out, and nothing
// to a server that is known to drain. The same events must give the same actions.
func TestRandomEventsKeepTheInvariants(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		settings := testSettings()
		if seed%2 == 1 { // one router among many, with prices that make it close idle connections
			settings.Nodes, settings.ConnectionCost, settings.HandshakeCost = 400, 0.03, 0.03
		}
		driver := newDriver(t, settings, "s1", "s2", "s3", "s4")
		twin := newDriver(t, settings, "s1", "s2", "s3", "s4")
		type held struct {
			Request
			out, sends int
			risky      bool
			ended      bool
		}
		requests := map[uint64]*held{}
		var order []uint64
		var timers []SetTimer
		draining := ""
		step := func(ev Event) {
			actions := driver.handle(ev)
			twin.now = driver.now
			if other := twin.handle(ev); !reflect.DeepEqual(actions, other) {
				t.Fatalf("seed %d: %v and %v differ after %v", seed, actions, other, ev)
			}
			for _, a := range actions {
				switch a := a.(type) {
				case Send:
					q := requests[a.ID]
					if q.ended || q.out > 0 || a.Server == draining || q.risky && q.Class == "unsafe" {
						t.Fatalf("seed %d: %v breaks a rule: %+v after %v", seed, a, q, ev)
					}
					q.out, q.sends = q.out+1, q.sends+1
				case Reject:
					q := requests[a.ID]
					if q.ended || q.risky && (q.Class == "unsafe" || q.Class == "keyed-zone") {
						t.Fatalf("seed %d: %v breaks a rule: %+v", seed, a, q)
					}
					q.ended = true
				case Fail:
					if requests[a.ID].ended {
						t.Fatalf("seed %d: %d answered twice", seed, a.ID)
					}
					requests[a.ID].ended = true
				case SetTimer:
					timers = append(timers, a)
				}
			}
		}
		classes := driver.router.settings.Classes
		for n := range 3000 {
			driver.now += time.Duration(rng.IntN(10)) * ms
			due := timers
			timers = nil
			for _, timer := range due {
				if timer.At <= driver.now {
					step(TimerFired{timer.Token})
				} else {
					timers = append(timers, timer)
				}
			}
			if n%2 == 0 && n < 2000 {
				q := Request{ID: uint64(n + 1), Key: fmt.Sprint("k", rng.IntN(30)), Deadline: driver.now + time.Second,
					Class: classes[rng.IntN(len(classes))].Name, Write: rng.IntN(5) == 0}
				requests[q.ID] = &held{Request: q}
				order = append(order, q.ID)
				step(q)
			}
			for _, id := range order {
				q := requests[id]
				if q.out == 0 || driver.now < q.Deadline && rng.IntN(20) > 0 {
					continue
				}
				reason := Reason(rng.IntN(int(CorruptResponse) + 1))
				if driver.now >= q.Deadline {
					reason = TimedOut
				}
				q.out--
				q.ended = q.ended || reason == Succeeded
				q.risky = q.risky || reason == Errored || reason == TimedOut || reason == Reset || reason == Cancelled ||
					reason == CorruptResponse
				step(Outcome{ID: id, Attempt: q.sends - 1, Reason: reason, Took: 20 * ms, Ended: q.ended})
			}
			if n%500 == 499 {
				draining = fmt.Sprint("s", 1+rng.IntN(4))
				list := EndpointUpdate{Scope: FullUpdate, Servers: []Server{{ID: "o", Kind: "origin"}}}
				for i := 1; i <= 4; i++ {
					s := Server{ID: fmt.Sprint("s", i), Kind: "cache"}
					if s.ID == draining {
						s.State = Draining
					}
					list.Servers = append(list.Servers, s)
				}
				step(list)
			}
		}
		for _, id := range order {
			if q := requests[id]; !q.ended {
				t.Fatalf("seed %d: request %d never got a final answer: %+v", seed, id, q)
			}
		}
	}
}
