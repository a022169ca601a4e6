package circuitbreaker

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBreakerOpensAfterThreeFailuresInARow guards against a breaker that opens too early: after fewer than three
// failures, or for a server that responded a moment ago. An open breaker must let one attempt through after each wait.
// The waits must grow from 1 s to 8 s. An answer must close the breaker.
func TestBreakerOpensAfterThreeFailuresInARow(t *testing.T) {
	var breaker Breaker
	breaker.Succeeded(10 * time.Second)
	now := 10*time.Second + 400*time.Millisecond
	for range 10 {
		if breaker.Failed(now) {
			t.Fatal("the breaker opened though the server responded a moment ago")
		}
	}
	breaker.Succeeded(now)
	now += time.Second
	for failures := 1; failures <= 2; failures++ {
		if breaker.Failed(now) {
			t.Fatalf("the breaker opened on failure %d, want 3", failures)
		}
	}
	if breaker.IsOpen(now) {
		t.Fatal("the breaker is open after two failures")
	}
	if !breaker.Failed(now) || !breaker.IsOpen(now) {
		t.Fatal("the breaker did not open on the third failure in a row")
	}
	for _, seconds := range []time.Duration{1, 2, 4, 8, 8} {
		backoff := seconds * time.Second
		if !breaker.IsOpen(now+backoff-1) || breaker.IsOpen(now+backoff) {
			t.Fatalf("the breaker does not let an attempt through after exactly %v", backoff)
		}
		now += backoff
		breaker.AttemptStarted(now)
		if !breaker.IsOpen(now) {
			t.Fatal("the breaker lets a second attempt through during a trial")
		}
		now += 100 * time.Millisecond
		breaker.Failed(now)
		breaker.Failed(now) // this failed attempt was sent before the breaker opened, so the wait must not grow
	}
	breaker.Succeeded(now)
	if breaker.IsOpen(now) {
		t.Fatal("the breaker is open though the server answered")
	}
}

// TestBreakerLetsFewAttemptsThrough checks a server that answers no attempt, with attempts and failures in random
// order. Few attempts may go to the server. A trial attempt must be allowed again after at most maxBackoff, so that a
// recovery is noticed.
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
		// Before the third failure the breaker is closed; 40 attempts are allowed for this time. After that, the waits
		// between trial attempts are firstBackoff or longer.
		if most := 40 + int(now/firstBackoff); attempts > most {
			t.Fatalf("got %d attempts in %v, want at most %d", attempts, now, most)
		}
		if breaker.IsOpen(now + maxBackoff + 1) {
			t.Fatalf("the breaker stays open for longer than %v", maxBackoff)
		}
	})
}
