// Package circuitbreaker decides whether a server responds, using only the outcomes of regular attempts. It is for
// deployments where health checks are not allowed. The package has no clock and no I/O; the caller acts on the result.
package circuitbreaker

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

// Breaker is the circuit breaker of one server, or of one zone. It opens after several failures in a row without a
// response in between. While it is open, it lets a single trial attempt through after a wait; the trial replaces a
// health check. The waits double, up to maxBackoff. The zero value is closed. A Breaker is not safe for concurrent use.
type Breaker struct {
	consecutiveFailures int
	lastSeen            Time          // time of the last response
	trialAt             Time          // when the next trial attempt may go through
	backoff             time.Duration // wait before the next trial; 0 while the breaker is closed
	isTrialInFlight     bool          // the last trial attempt has not ended
}

const (
	// failuresToOpen is the number of failures in a row that open a breaker. A single failure may come from a busy
	// moment. If two failures were enough, at any time some node in a fleet of hundreds would have a breaker open by
	// mistake.
	failuresToOpen = 3
	// minQuietTime is the least time without a response before a breaker opens. Without it, a server that is merely
	// overloaded, and still answers some requests, would be excluded.
	minQuietTime = 500 * time.Millisecond

	firstBackoff = time.Second
	maxBackoff   = 8 * time.Second // bounds how long a recovered server stays without its keys
)

// Failed counts an attempt that could not connect or got no answer. It returns true if the breaker is open now.
func (b *Breaker) Failed(now Time) bool {
	b.consecutiveFailures++
	if b.consecutiveFailures < failuresToOpen || now-b.lastSeen < minQuietTime {
		return false
	}
	if b.backoff == 0 || b.isTrialInFlight { // otherwise the failed attempt was sent before the breaker opened
		b.backoff = min(max(firstBackoff, 2*b.backoff), maxBackoff)
		b.trialAt, b.isTrialInFlight = now+b.backoff, false
	}
	return true
}

// Succeeded closes the breaker, because the server responded.
func (b *Breaker) Succeeded(now Time) { *b = Breaker{lastSeen: now} }

// IsOpen reports whether no attempt may go through now.
func (b *Breaker) IsOpen(now Time) bool { return b.backoff > 0 && now < b.trialAt }

// AttemptStarted records the start of an attempt. If a trial is due, the attempt is that trial. No other attempt may go
// through until the backoff has passed again or the server responds.
func (b *Breaker) AttemptStarted(now Time) {
	if b.backoff > 0 && now >= b.trialAt {
		b.trialAt, b.isTrialInFlight = now+b.backoff, true
	}
}
