// Package circuitbreaker judges whether a server responds from nothing but the attempts that are made at it, for
// deployments where health checks are not allowed. It has no clock and no I/O, and acts on nothing itself.
package circuitbreaker

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

// Breaker follows one server, or one zone. It opens after failures in a row without a sign of life between them, and
// then lets a single attempt through now and then, after growing waits: the attempt is the health check. The zero
// value is closed. A Breaker is not safe for concurrent use.
type Breaker struct {
	consecutiveFailures int
	lastSeen            Time          // last sign of life
	trialAt             Time          // when an attempt may go through
	backoff             time.Duration // 0 while it is closed
	isTrialInFlight     bool          // the attempt that went through has not ended
}

const (
	// failuresToOpen is how many failures in a row open a breaker. One is a busy moment; with two, one node in a
	// fleet of hundreds is always wrong.
	failuresToOpen = 3
	// minQuietTime is how long there has to be no sign of life before a breaker opens. Otherwise a server that is
	// merely overloaded, and answers others, would be left out.
	minQuietTime = 500 * time.Millisecond

	firstBackoff = time.Second
	maxBackoff   = 8 * time.Second // a server that responds again goes without its keys for no longer
)

// Failed counts an attempt that could not connect or got no answer, and reports whether the breaker is open.
func (b *Breaker) Failed(now Time) bool {
	b.consecutiveFailures++
	if b.consecutiveFailures < failuresToOpen || now-b.lastSeen < minQuietTime {
		return false
	}
	if b.backoff == 0 || b.isTrialInFlight { // else the attempt was in flight when it opened
		b.backoff = min(max(firstBackoff, 2*b.backoff), maxBackoff)
		b.trialAt, b.isTrialInFlight = now+b.backoff, false
	}
	return true
}

// Succeeded closes the breaker: the server responded.
func (b *Breaker) Succeeded(now Time) { *b = Breaker{lastSeen: now} }

// IsOpen reports whether no attempt may go through now.
func (b *Breaker) IsOpen(now Time) bool { return b.backoff > 0 && now < b.trialAt }

// AttemptStarted counts an attempt. Where the breaker let it through as a trial, no other one goes through meanwhile.
func (b *Breaker) AttemptStarted(now Time) {
	if b.backoff > 0 && now >= b.trialAt {
		b.trialAt, b.isTrialInFlight = now+b.backoff, true
	}
}
