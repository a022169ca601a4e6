package admission

import (
	"math"
	"time"
)

// RetryBudget bounds second attempts as a share of first ones, so that attempts never multiply when much fails at once.
// First attempts earn a share of a second one each; a second one costs a whole. Some are granted by time alone, as a
// node with few requests would never earn one.
type RetryBudget struct {
	Ratio        float64 // of the first attempts
	MinPerSecond float64 // second attempts a second that are granted in any case
	MaxSaved     float64 // that can be saved up
	Burst        float64 // that can be saved up in any case; past it no more than the last second earned

	earned float64 // of late: what was earned weighs 1/e after a second
	tokens float64
	at     Time
	begun  bool
}

func (b *RetryBudget) pass(now Time) {
	if !b.begun {
		b.begun, b.tokens = true, b.MaxSaved
	} else if dt := time.Duration(now - b.at).Seconds(); dt > 0 {
		b.earned = b.earned*math.Exp(-dt) + b.MinPerSecond*dt
		b.tokens += b.MinPerSecond * dt
	}
	if b.Burst > 0 {
		b.tokens = min(b.tokens, max(b.Burst, b.earned))
	}
	b.tokens = min(b.MaxSaved, b.tokens)
	b.at = max(b.at, now)
}

// RecordAttempt counts a first attempt.
func (b *RetryBudget) RecordAttempt(now Time) {
	b.pass(now)
	b.earned += b.Ratio
	b.tokens = min(b.MaxSaved, b.tokens+b.Ratio)
}

// AllowRetry tells whether a second attempt may be made, and counts it if so.
func (b *RetryBudget) AllowRetry(now Time) bool {
	b.pass(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
