package admission

import "time"

// MemoryPressure turns what the whole node uses of its limit on memory into the fraction of the sheddable load to shed,
// from 0 to 1. It extrapolates, since memory fills at a rate, and falls slowly, as the garbage collector gives back late.
type MemoryPressure struct {
	Limit int64 // bytes, past which the node is killed; 0 is no limit

	isStarted bool
	lastUsed  int64 // bytes
	updatedAt Time
	level     float64
}

const (
	// memoryLow is the fraction of the limit up to which nothing is shed. The collector works to stay below 0.6, which is
	// passed for moments.
	memoryLow = 0.72
	// memoryHigh is the fraction of the limit from which on all that may be shed is.
	memoryHigh = 0.90
	// memoryLookAhead is how far a rise is extrapolated, and maxMemoryLookAhead the fraction of the limit that this may add:
	// a start fills memory fast, and then stops.
	memoryLookAhead    = 500 * time.Millisecond
	maxMemoryLookAhead = 0.15
	// pressureFall is how much the level may fall in a second.
	pressureFall = 0.5
)

// Observe takes the bytes in use now and returns the level.
func (m *MemoryPressure) Observe(now Time, used int64) float64 {
	if m.Limit <= 0 {
		return 0
	}
	expected, elapsed := float64(used), now-m.updatedAt
	if m.isStarted && elapsed > 0 && used > m.lastUsed {
		rise := float64(used-m.lastUsed) * float64(memoryLookAhead) / float64(elapsed)
		expected += min(rise, maxMemoryLookAhead*float64(m.Limit))
	}
	level := min(1, max(0, (expected/float64(m.Limit)-memoryLow)/(memoryHigh-memoryLow)))
	if m.isStarted {
		level = max(level, m.level-pressureFall*elapsed.Seconds())
	}
	m.isStarted, m.lastUsed, m.updatedAt, m.level = true, used, now, max(0, level)
	return m.level
}
