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
			b := newBench(t, testSettings(), "s1")
			b.others(20)
			s := b.r.byID["s1"]
			b.ask("high", "lost", func(q *Request) { q.Deadline += time.Minute })
			lost := b.nextID - 1
			var actions []Action
			for b.now += 2 * time.Second; len(find[HealthCheck](actions)) == 0; b.now += upkeepEvery {
				actions = b.do(TimerFired{housekeep})
			}
			for range 2 {
				b.now += 300 * ms
				b.do(HealthChecked{Server: "s1", Reason: TimedOut})
			}
			if !s.silent {
				t.Fatal("not silent")
			}
			b.now += 2 * time.Second
			b.do(Outcome{ID: lost, Attempt: 0, Reason: test.meanwhile, Took: test.took})
			b.now += time.Second
			b.do(HealthChecked{Server: "s1", Reason: Succeeded})
			if s.silent || b.r.warmth(s) > 0.3 {
				t.Fatal("it is not back, or not taken to be cold at first")
			}
			for i, reason := range test.answers {
				id, actions := b.ask("high", fmt.Sprint("k", i), nil)
				for b.sentTo(actions) != "s1" { // for a cold server lots are drawn; the others go to the origin
					b.end(id, Succeeded, 5*ms)
					id, actions = b.ask("high", fmt.Sprint("k", i, b.nextID), nil)
				}
				b.do(Outcome{ID: id, Attempt: 0, Server: "s1", Reason: reason, Took: 5 * ms, Ended: reason == Succeeded})
			}
			if cold := b.r.warmth(s) < 1; cold != test.cold {
				t.Errorf("counts as cold: %v, want %v", cold, test.cold)
			}
		})
	}
}

// While the node is behind with its own work a share of what may be refused is, the lowest worth first; writes and
// critical reads never are.
func TestStrainRefusesTheLowestWorth(t *testing.T) {
	b := learnt(t)
	refused := func(class string, change func(*Request)) (n int) {
		for range 100 {
			id, actions := b.ask(class, fmt.Sprint("s", b.nextID), change)
			if len(find[Reject](actions)) > 0 {
				n++
				continue
			}
			b.now += ms
			b.end(id, Succeeded, ms)
		}
		return n
	}
	b.do(LoadLevel{Level: 0.25})
	low, middle, high, writes := refused("low", nil), refused("middle", nil), refused("high", nil), refused("low", write)
	if low < 60 || middle < 15 || middle > 35 || high != 0 || writes != 0 {
		t.Errorf("refused of 100: low %d, middle %d, high %d, writes %d", low, middle, high, writes)
	}
	b.do(LoadLevel{})
	if n := refused("low", nil); n != 0 {
		t.Errorf("%d refused when it is no longer behind", n)
	}
}

// When much fails at once, attempts do not multiply: past the budget a request ends instead of being tried again.
func TestSecondAttemptsHaveABudget(t *testing.T) {
	b := newBench(t, testSettings(), "s1", "s2", "s3")
	b.others(50)
	sends := 0
	for range 400 {
		id, _ := b.ask("low", fmt.Sprint("b", b.nextID), nil)
		for b.r.requests[id] != nil && b.r.requests[id].open > 0 {
			b.end(id, Reset, ms)
		}
		sends += b.sent[id]
		b.now += ms
	}
	if sends < 450 || sends > 400*14/10 {
		t.Errorf("%d attempts for 400 requests that all fail", sends)
	}
}

// A read with less time left than the quickest answers of late took is refused at once; one with a little more is not,
// and a pause of the servers does not lift the bar for long.
func TestNoTimeLeftIsRefusedAtTheDoor(t *testing.T) {
	b := newBench(t, testSettings(), "s1", "s2")
	left := func(d time.Duration) bool {
		id, actions := b.ask("low", fmt.Sprint("d", b.nextID), func(q *Request) { q.Deadline = b.now + d })
		refused := len(find[Reject](actions)) > 0
		if !refused {
			b.end(id, Miss, ms)
			b.end(id, Succeeded, ms)
		}
		return refused
	}
	if left(2 * ms) {
		t.Error("refused before anything is known")
	}
	for range 30 {
		id, _ := b.ask("high", fmt.Sprint("o", b.nextID), nil)
		b.now += 20 * ms
		b.end(id, Succeeded, 20*ms)
	}
	if !left(10*ms) || left(60*ms) {
		t.Error("10 ms left must be refused, 60 ms not, where the quickest answers take 20 ms")
	}
	for range 3 {
		id, _ := b.ask("high", fmt.Sprint("o", b.nextID), nil)
		b.end(id, Succeeded, 500*ms)
	}
	if left(60 * ms) {
		t.Error("a few slow answers count as the quickest")
	}
}
