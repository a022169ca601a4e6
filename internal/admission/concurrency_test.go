package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// server is a server with so many places that serves in order, in front of which a limit stands.
type queueServer struct {
	places int
	work   time.Duration
	free   []Time // when each place is free
}

func (s *queueServer) serve(now Time, work time.Duration) (done Time) {
	best := 0
	for i := range s.free {
		if s.free[i] < s.free[best] {
			best = i
		}
	}
	s.free[best] = max(now, s.free[best]) + work
	return s.free[best]
}

// drive keeps as much out as the limit allows for a time and tells the mean answer time and the answers a second.
func drive(c *ConcurrencyLimiter, s *queueServer, from, span Time, rng *rand.Rand) (mean time.Duration, rate float64) {
	type out struct{ sent, done Time }
	var outs []out
	var sum time.Duration
	n := 0
	for now := from; now < from+span; now += time.Millisecond {
		kept := outs[:0]
		for _, o := range outs {
			if o.done > now {
				kept = append(kept, o)
				continue
			}
			n++
			sum += o.done - o.sent
			c.Observe(now, LatencySample{Latency: o.done - o.sent}, 0, len(outs))
		}
		outs = kept
		for len(outs) < c.Limit() {
			work := time.Duration(float64(s.work) * (0.5 + rng.Float64()))
			outs = append(outs, out{now, s.serve(now, work)})
		}
	}
	return sum / time.Duration(max(n, 1)), float64(n) / span.Seconds()
}

// TestLimitFollowsTheServer: in front of a server of some places the limit keeps answers near the time that the work
// takes and the server busy, also after the server became four times as slow and as quick again.
func TestLimitFollowsTheServer(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := &queueServer{places: 4, free: make([]Time, 4)}
		c := &ConcurrencyLimiter{Max: 64}
		now := time.Second
		for _, work := range []time.Duration{40, 160, 40} {
			s.work = work * time.Millisecond
			drive(c, s, now, 20*time.Second, rng)
			now += 20 * time.Second
			mean, rate := drive(c, s, now, 20*time.Second, rng)
			now += 20 * time.Second
			if full := 4 / s.work.Seconds(); rate < 0.6*full {
				t.Errorf("seed %d, work of %v: %.0f answers a second of %.0f, limit %d", seed, s.work, rate, full, c.Limit())
			}
			if mean > 5*s.work {
				t.Errorf("seed %d, work of %v: answers take %v, limit %d", seed, s.work, mean, c.Limit())
			}
		}
	}
}

func TestLimitIsCutOnceForARound(t *testing.T) {
	c := &ConcurrencyLimiter{Max: 64}
	c.Observe(0, LatencySample{Latency: 50 * time.Millisecond}, 0, 1)
	c.Observe(time.Second, LatencySample{IsRejected: true}, 0, 20) // turned away with 20 out
	if got := c.Limit(); got != 10 {
		t.Fatalf("limit %d after a cut with 20 out, want 10", got)
	}
	for range 30 { // sent before it was cut
		c.Observe(1100*time.Millisecond, LatencySample{Latency: time.Second}, 0, 20)
	}
	if got := c.Limit(); got != 10 {
		t.Errorf("limit %d: what was sent before the cut counted", got)
	}
	for range 2000 { // however bad it gets, one may be out
		c.Observe(now(&c.cutAt), LatencySample{IsRejected: true}, 0, 1)
	}
	if got := c.Limit(); got != 1 {
		t.Errorf("limit %d, want 1", got)
	}
}

func now(last *Time) Time { return *last + 10*time.Second }

func TestLimitLeavesCalmAlone(t *testing.T) {
	c := &ConcurrencyLimiter{Max: 64}
	for i := range 1000 { // times differ widely, but none of it is over what is calm
		took := time.Duration(10+i%7*30) * time.Millisecond
		c.Observe(Time(i)*100*time.Millisecond, LatencySample{IsWrite: i%5 == 0, Latency: took}, 250*time.Millisecond, 3)
	}
	if got := c.Limit(); got != 64 {
		t.Errorf("limit %d though answers were calm", got)
	}
}

func TestLineGivesWhatIsWorthMost(t *testing.T) {
	var l PriorityQueue[string]
	l.Add("a", 1)
	l.Add("b", 2)
	l.Add("c", 1)
	l.Add("d", 1)
	l.Add("a", 1.5) // more wait for it
	if !l.Remove("d") || l.Remove("d") || l.Contains("d") || !l.Contains("c") {
		t.Error("what left still waits, or what waits does not")
	}
	for _, want := range []string{"a", "b", "c"} {
		if got, ok := l.Next(); !ok || got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
	if _, ok := l.Next(); ok || l.Len() != 0 {
		t.Error("an empty line gave something out")
	}
	l.Add("old", 1)
	l.Add("new", 1)
	if got, _ := l.Next(); got != "new" {
		t.Errorf("of equals %q went first: the one that waits for long is the first to be too late", got)
	}
}

// TestFewAnswersAreNoCrowd: one answer in eight that never comes, or that takes long as it is long itself, does not cut the limit of
// a server that is well, and a server of which all answers are such is known as crowded within a dozen.
func TestFewAnswersAreNoCrowd(t *testing.T) {
	for _, test := range []struct {
		calm time.Duration
		bad  LatencySample
	}{
		{0, LatencySample{Latency: 236 * time.Millisecond, IsTimedOut: true}}, {30 * time.Millisecond, LatencySample{Latency: 236 * time.Millisecond, IsTimedOut: true}},
		{0, LatencySample{Latency: 1300 * time.Millisecond}}, {100 * time.Millisecond, LatencySample{Latency: 1300 * time.Millisecond}},
	} {
		calm := test.calm
		c := &ConcurrencyLimiter{Max: 64}
		now := time.Second
		play := func(bad func(i int) bool) {
			for i := range 200 {
				timing := LatencySample{Latency: 10 * time.Millisecond}
				if bad(i) {
					timing = test.bad
				}
				now += 300 * time.Millisecond
				if c.Observe(now, timing, calm, 20); c.Limit() < 64 {
					return
				}
			}
		}
		if play(func(i int) bool { return i%8 == 7 }); c.Limit() != 64 {
			t.Errorf("calm %v: the limit is %d with one answer in eight like %+v", calm, c.Limit(), test.bad)
		}
		began := now
		if play(func(int) bool { return true }); c.Limit() == 64 || now-began > 12*300*time.Millisecond {
			t.Errorf("calm %v: the limit is %d, %v after all are like %+v", calm, c.Limit(), now-began, test.bad)
		}
	}
}
