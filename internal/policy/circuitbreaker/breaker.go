// Package health judges whether a server is there from nothing but the attempts that are made at it, for deployments where
// it may not be asked. It has no clock and no I/O; what follows from its word is the module's affair.
package circuitbreaker

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

// Breaker follows one server, or one zone. It opens after failures in a row with no sign of life between, and then lets one
// attempt through now and then, at growing waits: the attempt is the question. The zero value is closed.
type Breaker struct {
	failed int           // in a row
	heard  Time          // last sign of life
	next   Time          // when one may go through
	wait   time.Duration // 0 while it is closed
	trial  bool          // the one that went through has not ended
}

const (
	// Failures in a row that open it. One is a busy moment; with two, one node in a fleet of hundreds is always wrong.
	enough = 3
	// Without a sign of life for so long, or a server that is merely crowded, and answers the others, would be left out.
	quiet   = 500 * time.Millisecond
	first   = time.Second
	longest = 8 * time.Second // a server that is back gives its share of the keys up for no longer
)

// Failed counts an attempt that found nobody, or got no answer, and tells whether the breaker is open.
func (b *Breaker) Failed(now Time) bool {
	b.failed++
	if b.failed < enough || now-b.heard < quiet {
		return false
	}
	if b.wait == 0 || b.trial { // else it was under way as it opened
		b.wait = min(max(first, 2*b.wait), longest)
		b.next, b.trial = now+b.wait, false
	}
	return true
}

// Answered closes it.
func (b *Breaker) Answered(now Time) { *b = Breaker{heard: now} }

// Open tells whether it is open: nothing goes through until it is due.
func (b *Breaker) Open(now Time) bool { return b.wait > 0 && now < b.next }

// Try takes the one attempt that is due, where one is.
func (b *Breaker) Try(now Time) {
	if b.wait > 0 && now >= b.next {
		b.next, b.trial = now+b.wait, true
	}
}
