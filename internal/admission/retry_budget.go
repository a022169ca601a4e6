package admission

import "math"

// RetryBudget bounds retries as a fraction of first attempts, so that retries never multiply the load when many attempts
// fail at once. It is a token bucket: each first attempt earns a fraction of a token, and a retry costs one token. Some
// tokens are earned by time alone, as a node with few requests would otherwise never earn one.
type RetryBudget struct {
	Ratio        float64 // tokens that each first attempt earns
	MinPerSecond float64 // tokens earned per second, even without attempts
	MaxSaved     float64 // maximum number of saved tokens
	// Burst is the number of tokens that may always be saved. More tokens may be saved only if they were earned in
	// about the last second. 0 means that MaxSaved is the only bound.
	Burst float64

	recentlyEarned float64 // tokens earned recently; a token earned a second ago counts 1/e
	tokens         float64
	updatedAt      Time
	isStarted      bool
}

// RecordAttempt counts a first attempt.
func (b *RetryBudget) RecordAttempt(now Time) {
	b.refill(now)
	b.recentlyEarned += b.Ratio
	b.tokens = min(b.MaxSaved, b.tokens+b.Ratio)
}

// AllowRetry reports whether a retry may be sent, and counts it if so.
func (b *RetryBudget) AllowRetry(now Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last call, and applies the bounds. A budget starts full.
func (b *RetryBudget) refill(now Time) {
	if !b.isStarted {
		b.isStarted, b.tokens = true, b.MaxSaved
	} else if seconds := (now - b.updatedAt).Seconds(); seconds > 0 {
		b.recentlyEarned = b.recentlyEarned*math.Exp(-seconds) + b.MinPerSecond*seconds
		b.tokens += b.MinPerSecond * seconds
	}
	if b.Burst > 0 {
		b.tokens = min(b.tokens, max(b.Burst, b.recentlyEarned))
	}
	b.tokens = min(b.MaxSaved, b.tokens)
	b.updatedAt = max(b.updatedAt, now)
}
