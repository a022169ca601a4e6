package circuitbreaker

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBreakerOpensAfterThreeFailuresInARow: and not on a server that responded a moment ago; then it lets one attempt
// through after each of growing waits, and an answer closes it.
func TestBreakerOpensAfterThreeFailuresInARow(t *testing.T) {
	var breaker Breaker
	breaker.Succeeded(10 * time.Second)
	now := 10*time.Second + 400*time.Millisecond
	for range 10 {
		if breaker.Failed(now) {
			t.Fatal("it opened on a server that responded a moment ago")
		}
	}
	breaker.Succeeded(now)
	now += time.Second
	for failures := 1; failures <= 2; failures++ {
		if breaker.Failed(now) {
			t.Fatalf("it opened on failure %d, want 3", failures)
		}
	}
	if breaker.IsOpen(now) {
		t.Fatal("it is open after two failures")
	}
	if !breaker.Failed(now) || !breaker.IsOpen(now) {
		t.Fatal("it did not open on the third failure in a row")
	}
	for _, seconds := range []time.Duration{1, 2, 4, 8, 8} {
		backoff := seconds * time.Second
		if !breaker.IsOpen(now+backoff-1) || breaker.IsOpen(now+backoff) {
			t.Fatalf("it does not let an attempt through after %v", backoff)
		}
		now += backoff
		breaker.AttemptStarted(now)
		if !breaker.IsOpen(now) {
			t.Fatal("it lets a second attempt through")
		}
		now += 100 * time.Millisecond
		breaker.Failed(now)
		breaker.Failed(now) // of an earlier attempt
	}
	breaker.Succeeded(now)
	if breaker.IsOpen(now) {
		t.Fatal("it is open though the server answered")
	}
}

// TestBreakerLetsFewAttemptsThrough: whatever comes in whatever order, so few go through while nothing answers that a
// server which is down costs little, and one that is back is tried again in time.
func TestBreakerLetsFewAttemptsThrough(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var breaker Breaker
		now, attempts := Time(0), 0
		for range rapid.IntRange(0, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond
			if !breaker.IsOpen(now) {
				attempts++
				breaker.AttemptStarted(now)
			}
			if rapid.Bool().Draw(t, "failed") {
				breaker.Failed(now)
			}
		}
		if most := 40 + int(now/firstBackoff); attempts > most { // until the third failure all go through
			t.Fatalf("got %d attempts in %v, want at most %d", attempts, now, most)
		}
		if breaker.IsOpen(now + maxBackoff + 1) {
			t.Fatalf("it is open for longer than %v", maxBackoff)
		}
	})
}
