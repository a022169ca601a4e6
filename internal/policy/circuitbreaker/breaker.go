// Package circuitbreaker decides whether a server responds, using only the outcomes of regular attempts. It is for
// deployments where health checks are not allowed. The package has no clock and no I/O; the caller acts on the result.
package circuitbreaker

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

// Breaker is the circuit breaker of one server, or of one zone. It opens after several failures in a row without a
// response in between. While it is open, no attempts go through, except one trial attempt after a wait. The trial takes
// the place of a health check. Each failed trial doubles the wait, up to maxBackoff. The zero value is a closed
// breaker, which lets all attempts through. A Breaker is not safe for concurrent use.
type Breaker struct {
	consecutiveFailures int
	lastSeen            Time          // time of the last response of the server or zone
	trialAt             Time          // from this time on, a trial attempt may go through
	backoff             time.Duration // wait before the next trial; 0 while the breaker is closed
	isTrialInFlight     bool          // the last trial attempt has not ended
}

const (
	// failuresToOpen is the number of failures in a row after which a breaker opens. A single failure may come from a
	// busy moment of the server. If two failures were enough, then at any time some node in a fleet of hundreds would
	// have a breaker open by mistake.
	failuresToOpen = 3
	// minQuietTime is how long there must have been no response before a breaker opens. Otherwise a server would be
	// excluded that is merely overloaded and still answers some requests.
	minQuietTime = 500 * time.Millisecond

	firstBackoff = time.Second
	maxBackoff   = 8 * time.Second // so that a server that has recovered gets requests again within 8 s
)

// Failed counts an attempt that could not connect or got no answer. It returns true if the breaker is open now.
func (b *Breaker) Failed(now Time) bool {
	b.consecutiveFailures++
	if b.consecutiveFailures < failuresToOpen || now-b.lastSeen < minQuietTime {
		return false
	}
	// The condition holds if the breaker opens now, or if its trial failed. Otherwise the failed attempt was sent
	// before the breaker opened, so the wait stays as it is.
	if b.backoff == 0 || b.isTrialInFlight {
		b.backoff = min(max(firstBackoff, 2*b.backoff), maxBackoff)
		b.trialAt, b.isTrialInFlight = now+b.backoff, false
	}
	return true
}

// Succeeded closes the breaker, because the server responded.
func (b *Breaker) Succeeded(now Time) { *b = Breaker{lastSeen: now} }

// IsOpen reports whether no attempt may go through now.
func (b *Breaker) IsOpen(now Time) bool { return b.backoff > 0 && now < b.trialAt }

// AttemptStarted records the start of an attempt. If the breaker is open and its wait is over, this attempt is the
// trial. No other attempt may go through until the same wait has passed again or the server responds.
func (b *Breaker) AttemptStarted(now Time) {
	if b.backoff > 0 && now >= b.trialAt {
		b.trialAt, b.isTrialInFlight = now+b.backoff, true
	}
}
