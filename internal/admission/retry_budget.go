package admission

import "math"

// RetryBudget bounds retries as a fraction of first attempts, so that attempts never multiply when much fails at once.
// It is a token bucket: each first attempt earns a fraction of a token, and a retry costs a whole one. Some tokens are
// earned by time alone, as a node with few requests would never earn one.
type RetryBudget struct {
	Ratio        float64 // tokens that a first attempt earns
	MinPerSecond float64 // tokens that each second earns
	MaxSaved     float64 // tokens that can be saved up
	Burst        float64 // up to which tokens are saved in any case; past it no more than the last second earned; 0 is no such bound

	recentlyEarned float64 // tokens; what was earned a second ago weighs 1/e
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

// refill adds what the time since the last call earned, and applies the bounds. A budget starts full.
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
