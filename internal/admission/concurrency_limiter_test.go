package admission

import (
	"math/rand/v2"
	"testing"
	"time"
)

// queueServer models a server that serves a number of requests at a time, in the order of their arrival.
type queueServer struct {
	work   time.Duration // average time that a request takes
	freeAt []Time        // when each place becomes free; a place serves one request at a time
}

// serve accepts a request and returns the time of its response.
func (s *queueServer) serve(now Time, work time.Duration) (done Time) {
	earliest := 0
	for i := range s.freeAt {
		if s.freeAt[i] < s.freeAt[earliest] {
			earliest = i
		}
	}
	s.freeAt[earliest] = max(now, s.freeAt[earliest]) + work
	return s.freeAt[earliest]
}

// drive keeps as many requests in flight as the limit allows. It returns the mean latency and the responses per second.
func drive(limiter *ConcurrencyLimiter, server *queueServer, from, span Time, rng *rand.Rand) (mean time.Duration, rate float64) {
	type request struct{ sentAt, doneAt Time }
	var inFlight []request
	var total time.Duration
	responses := 0
	for now := from; now < from+span; now += time.Millisecond {
		remaining := inFlight[:0]
		for _, r := range inFlight {
			if r.doneAt > now {
				remaining = append(remaining, r)
				continue
			}
			responses++
			total += r.doneAt - r.sentAt
			limiter.Observe(now, LatencySample{Latency: r.doneAt - r.sentAt}, 0, len(inFlight))
		}
		inFlight = remaining
		for len(inFlight) < limiter.Limit() {
			work := time.Duration(float64(server.work) * (0.5 + rng.Float64()))
			inFlight = append(inFlight, request{now, server.serve(now, work)})
		}
	}
	return total / time.Duration(max(responses, 1)), float64(responses) / span.Seconds()
}

// TestLimitFollowsTheServer checks that the limit keeps a server busy that serves four requests at a time, with
// latencies near the time that the work itself takes. The same holds after the server has become four times as slow,
// and as fast as before again.
func TestLimitFollowsTheServer(t *testing.T) {
	const span = 20 * time.Second
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 1))
		server := &queueServer{freeAt: make([]Time, 4)}
		limiter := &ConcurrencyLimiter{Max: 64}
		now := time.Second
		for _, work := range []time.Duration{40, 160, 40} {
			server.work = work * time.Millisecond
			drive(limiter, server, now, span, rng)
			now += span
			mean, rate := drive(limiter, server, now, span, rng)
			now += span
			if capacity := 4 / server.work.Seconds(); rate < 0.6*capacity {
				t.Errorf("seed %d, work of %v: got %.0f responses a second, want 0.6 of %.0f at least; limit %d", seed, server.work, rate, capacity, limiter.Limit())
			}
			if mean > 5*server.work {
				t.Errorf("seed %d, work of %v: got a mean latency of %v, want 5 times the work at most; limit %d", seed, server.work, mean, limiter.Limit())
			}
		}
	}
}

func TestLimitIsCutOncePerRound(t *testing.T) {
	limiter := &ConcurrencyLimiter{Max: 64}
	limiter.Observe(0, LatencySample{Latency: 50 * time.Millisecond}, 0, 1)
	limiter.Observe(time.Second, LatencySample{IsRejected: true}, 0, 20)
	if got := limiter.Limit(); got != 10 {
		t.Fatalf("got the limit %d after a cut with 20 in flight, want 10", got)
	}
	for range 30 { // these requests were sent before the cut
		limiter.Observe(1100*time.Millisecond, LatencySample{Latency: time.Second}, 0, 20)
	}
	if got := limiter.Limit(); got != 10 {
		t.Errorf("got the limit %d after samples that were sent before the cut, want 10", got)
	}
	for range 2000 { // the limit never falls below one request in flight
		limiter.Observe(limiter.cutAt+10*time.Second, LatencySample{IsRejected: true}, 0, 1)
	}
	if got := limiter.Limit(); got != 1 {
		t.Errorf("got the limit %d after 2000 rejections, want 1", got)
	}
}

func TestLimitStaysWhileLatenciesAreAcceptable(t *testing.T) {
	limiter := &ConcurrencyLimiter{Max: 64}
	for i := range 1000 { // latencies differ widely, but none exceeds the acceptable 250 ms
		latency := time.Duration(10+i%7*30) * time.Millisecond
		limiter.Observe(Time(i)*100*time.Millisecond, LatencySample{IsWrite: i%5 == 0, Latency: latency}, 250*time.Millisecond, 3)
	}
	if got := limiter.Limit(); got != 64 {
		t.Errorf("got the limit %d, want 64", got)
	}
}

// TestFewLongLatenciesDoNotCutTheLimit guards against a cut of the limit although the server is not congested. One sample
// in eight is of a request that was lost, or that takes long because it needs much work: it must not cut the limit. If
// all samples are like that, the limit must be cut within 12 samples.
func TestFewLongLatenciesDoNotCutTheLimit(t *testing.T) {
	const interval = 300 * time.Millisecond // time between two samples
	timedOut := LatencySample{Latency: 236 * time.Millisecond, IsTimedOut: true}
	long := LatencySample{Latency: 1300 * time.Millisecond}
	for _, test := range []struct {
		acceptable time.Duration
		bad        LatencySample
	}{
		{0, timedOut},
		{30 * time.Millisecond, timedOut},
		{0, long},
		{100 * time.Millisecond, long},
	} {
		limiter := &ConcurrencyLimiter{Max: 64}
		now := time.Second
		observe := func(isBad func(i int) bool) {
			for i := 0; i < 200 && limiter.Limit() == 64; i++ {
				sample := LatencySample{Latency: 10 * time.Millisecond}
				if isBad(i) {
					sample = test.bad
				}
				now += interval
				limiter.Observe(now, sample, test.acceptable, 20)
			}
		}
		observe(func(i int) bool { return i%8 == 7 })
		if got := limiter.Limit(); got != 64 {
			t.Errorf("acceptable %v: got the limit %d with one sample in eight like %+v, want 64", test.acceptable, got, test.bad)
		}
		start := now
		observe(func(int) bool { return true })
		if got := limiter.Limit(); got == 64 || now-start > 12*interval {
			t.Errorf("acceptable %v: got the limit %d, %v after all samples are like %+v, want a cut within 12 samples", test.acceptable, got, now-start, test.bad)
		}
	}
}
