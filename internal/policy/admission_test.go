package policy

import (
	"fmt"
	"testing"
	"time"
)

// A server that was silent and answers again counts as cold, as it may have restarted. That it was only cut off shows
// by what it still holds; that it restarted by a connect that was refused meanwhile, a miss or the list.
func TestCutIsToldFromARestart(t *testing.T) {
	for name, test := range map[string]struct {
		meanwhile Reason // how an attempt ended while it was silent
		took      time.Duration
		answers   []Reason
		cold      bool
	}{
		"nothing shown yet":            {TimedOut, time.Second, nil, true},
		"it still holds its copies":    {TimedOut, time.Second, []Reason{Succeeded, Succeeded, Succeeded, Succeeded}, false},
		"it holds some and lacks some": {TimedOut, time.Second, []Reason{Succeeded, Miss, Succeeded, Succeeded, Succeeded, Succeeded}, true},
		"it refused a connect":         {NoConnection, 2 * ms, []Reason{Succeeded, Succeeded, Succeeded, Succeeded}, true},
		"a connect never came up":      {NoConnection, 250 * ms, []Reason{Succeeded, Succeeded, Succeeded, Succeeded}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newDriver(t, testSettings(), "s1")
			b.readOtherKeys(20)
			s := b.router.serverByID["s1"]
			b.request("high", "lost", func(q *Request) { q.Deadline += time.Minute })
			lost := b.nextID - 1
			var actions []Action
			for b.now += 2 * time.Second; len(actionsOf[HealthCheck](actions)) == 0; b.now += upkeepInterval {
				actions = b.handle(TimerFired{upkeepToken})
			}
			for range 2 {
				b.now += 300 * ms
				b.handle(HealthChecked{Server: "s1", Reason: TimedOut})
			}
			if !s.isUnresponsive {
				t.Fatal("not silent")
			}
			b.now += 2 * time.Second
			b.handle(Outcome{ID: lost, Attempt: 0, Reason: test.meanwhile, Took: test.took})
			b.now += time.Second
			b.handle(HealthChecked{Server: "s1", Reason: Succeeded})
			if s.isUnresponsive || b.router.slowStartWeight(s) > 0.3 {
				t.Fatal("it is not back, or not taken to be cold at first")
			}
			for i, reason := range test.answers {
				id, actions := b.request("high", fmt.Sprint("k", i), nil)
				for b.sentTo(actions) != "s1" { // for a cold server lots are drawn; the others go to the origin
					b.endAttempt(id, Succeeded, 5*ms)
					id, actions = b.request("high", fmt.Sprint("k", i, b.nextID), nil)
				}
				b.handle(Outcome{ID: id, Attempt: 0, Server: "s1", Reason: reason, Took: 5 * ms, Ended: reason == Succeeded})
			}
			if cold := b.router.slowStartWeight(s) < 1; cold != test.cold {
				t.Errorf("counts as cold: %v, want %v", cold, test.cold)
			}
		})
	}
}

// While the node is behind with its own work a share of what may be refused is, the lowest worth first; writes and
// critical reads never are.
func TestStrainRefusesTheLowestWorth(t *testing.T) {
	b := newTrainedDriver(t)
	refused := func(class string, change func(*Request)) (n int) {
		for range 100 {
			id, actions := b.request(class, fmt.Sprint("s", b.nextID), change)
			if len(actionsOf[Reject](actions)) > 0 {
				n++
				continue
			}
			b.now += ms
			b.endAttempt(id, Succeeded, ms)
		}
		return n
	}
	b.handle(LoadLevel{Level: 0.25})
	low, middle, high, writes := refused("low", nil), refused("middle", nil), refused("high", nil), refused("low", asWrite)
	if low < 60 || middle < 15 || middle > 35 || high != 0 || writes != 0 {
		t.Errorf("refused of 100: low %d, middle %d, high %d, writes %d", low, middle, high, writes)
	}
	b.handle(LoadLevel{})
	if n := refused("low", nil); n != 0 {
		t.Errorf("%d refused when it is no longer behind", n)
	}
}

// When much fails at once, attempts do not multiply: past the budget a request ends instead of being tried again.
func TestSecondAttemptsHaveABudget(t *testing.T) {
	b := newDriver(t, testSettings(), "s1", "s2", "s3")
	b.readOtherKeys(50)
	sends := 0
	for range 400 {
		id, _ := b.request("low", fmt.Sprint("b", b.nextID), nil)
		for b.router.requests[id] != nil && b.router.requests[id].inFlight > 0 {
			b.endAttempt(id, Reset, ms)
		}
		sends += b.sendCount[id]
		b.now += ms
	}
	if sends < 450 || sends > 400*14/10 {
		t.Errorf("%d attempts for 400 requests that all fail", sends)
	}
}

// A read with less time left than the quickest answers of late took is refused at once; one with a little more is not,
// and a pause of the servers does not lift the bar for long.
func TestNoTimeLeftIsRefusedAtTheDoor(t *testing.T) {
	b := newDriver(t, testSettings(), "s1", "s2")
	left := func(d time.Duration) bool {
		id, actions := b.request("low", fmt.Sprint("d", b.nextID), func(q *Request) { q.Deadline = b.now + d })
		refused := len(actionsOf[Reject](actions)) > 0
		if !refused {
			b.endAttempt(id, Miss, ms)
			b.endAttempt(id, Succeeded, ms)
		}
		return refused
	}
	if left(2 * ms) {
		t.Error("refused before anything is known")
	}
	for range 30 {
		id, _ := b.request("high", fmt.Sprint("o", b.nextID), nil)
		b.now += 20 * ms
		b.endAttempt(id, Succeeded, 20*ms)
	}
	if !left(10*ms) || left(60*ms) {
		t.Error("10 ms left must be refused, 60 ms not, where the quickest answers take 20 ms")
	}
	for range 3 {
		id, _ := b.request("high", fmt.Sprint("o", b.nextID), nil)
		b.endAttempt(id, Succeeded, 500*ms)
	}
	if left(60 * ms) {
		t.Error("a few slow answers count as the quickest")
	}
}
