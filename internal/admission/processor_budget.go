package admission

import "time"

// ProcessorBudget tracks whether a process keeps to its share of the processor: a token bucket of processor time. A process that
// uses up its share is stopped by its platform, and then answers nobody in time; so work that can wait should wait before.
type ProcessorBudget struct {
	Share float64       // processors that the process may use in the mean; 0 is no bound
	Burst time.Duration // processor time that an idle process saves up, and the most that it can be short of

	available  time.Duration
	observedAt Time
	used       time.Duration
	isStarted  bool
}

// Observe records the processor time that the process has used since its start.
func (b *ProcessorBudget) Observe(now Time, used time.Duration) {
	if !b.isStarted {
		b.observedAt, b.used, b.available, b.isStarted = now, used, b.Burst, true
		return
	}
	earned := time.Duration(b.Share * float64(now-b.observedAt))
	b.available = min(b.Burst, max(-b.Burst, b.available+earned-(used-b.used)))
	b.observedAt, b.used = now, used
}

// ObservedAt returns the time of the last observation.
func (b *ProcessorBudget) ObservedAt() Time { return b.observedAt }

// IsShort reports whether the process has used more than its share, as of the last observation.
func (b *ProcessorBudget) IsShort() bool { return b.Share > 0 && b.available < 0 }
