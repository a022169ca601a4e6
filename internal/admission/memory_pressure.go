package admission

import "time"

// MemoryPressure derives the fraction of the sheddable load to shed, from 0 to 1, from the memory use of the whole node.
// It extrapolates a rise of the use, to react before the memory is full. The fraction falls slowly, as the garbage
// collector frees memory late.
type MemoryPressure struct {
	Limit int64 // bytes of memory past which the node is killed; 0 means no limit
	// CollectorLimit is the use, in bytes, below which the garbage collector keeps the node. Up to there a rise of the use
	// shows only that garbage has not been collected yet, so it is not extrapolated.
	CollectorLimit int64

	isStarted bool
	lastUsed  int64 // bytes in use at the last call of Observe
	updatedAt Time
	level     float64
}

const (
	// memoryLow is the fraction of the limit up to which nothing is shed. The garbage collector works to keep the use below
	// 0.6 of the limit, but the use exceeds that for moments.
	memoryLow = 0.72
	// memoryHigh is the fraction of the limit from which on the whole sheddable load is shed.
	memoryHigh = 0.90
	// memoryLookAhead is how far ahead a rise of the memory use is extrapolated. maxMemoryLookAhead is the largest
	// fraction of the limit that the extrapolation may add, because the use rises fast when a node starts, and then
	// stops.
	memoryLookAhead    = 500 * time.Millisecond
	maxMemoryLookAhead = 0.15
	// pressureFall is how much the level, the fraction of the sheddable load to shed, may fall per second.
	pressureFall = 0.5
)

// Observe takes the bytes in use now and returns the fraction of the sheddable load to shed.
func (m *MemoryPressure) Observe(now Time, used int64) float64 {
	if m.Limit <= 0 {
		return 0
	}
	expected, elapsed := float64(used), now-m.updatedAt
	if base := max(m.lastUsed, m.CollectorLimit); m.isStarted && elapsed > 0 && used > base {
		rise := float64(used-base) * float64(memoryLookAhead) / float64(elapsed)
		expected += min(rise, maxMemoryLookAhead*float64(m.Limit))
	}
	level := min(1, max(0, (expected/float64(m.Limit)-memoryLow)/(memoryHigh-memoryLow)))
	if m.isStarted {
		level = max(level, m.level-pressureFall*elapsed.Seconds())
	}
	m.isStarted, m.lastUsed, m.updatedAt, m.level = true, used, now, max(0, level)
	return m.level
}
