package admission

import "time"

// RequestMemory bounds the bytes of the requests that a node has taken and not yet answered: what each came with, and what is
// kept for it. Values come with writes, which are worth most and never shed; so the last part is for them alone, and
// past the bound a request is turned away at the door, before anything of it has run.
type RequestMemory struct {
	Limit int // bytes; 0 is no bound

	used int
}

// perRequest is what the node keeps for a request beside its value: the flow, its forwards, timers and map entries, and
// its part of the buffers that it was read from and is written to.
const perRequest = 2 << 10

// forWrites is one over the part of the bound that reads leave to writes.
const forWrites = 4

// Reserve counts a request with a value of so many bytes, if there is room for it.
func (h *RequestMemory) Reserve(value int, write bool) bool {
	limit := h.Limit
	if !write {
		limit -= limit / forWrites
	}
	if h.Limit > 0 && h.used+perRequest+value > limit {
		return false
	}
	h.used += perRequest + value
	return true
}

// Release takes back a request that was counted.
func (h *RequestMemory) Release(value int) { h.used -= perRequest + value }

// MemoryPressure turns what the whole node uses of its limit into a share of the refusable work to refuse, from 0 to 1. It looks
// a moment ahead, since what fills memory does so at a rate, and lets go slowly, as the collector gives back late.
type MemoryPressure struct {
	Limit int64 // bytes, past which the node is killed

	begun bool
	last  int64
	at    Time
	level float64
}

const (
	memoryFine  = 0.72 // of the limit: the collector works to keep under 0.6, which is passed for moments
	memoryFull  = 0.90 // nothing that may be refused is taken
	memoryAhead = 500 * time.Millisecond
	memoryMost  = 0.15 // of the limit that the look ahead may add
	memoryEase  = 0.5  // of the level a second, at most, while use falls
)

// Observe takes what is used now and returns the level.
func (m *MemoryPressure) Observe(now Time, used int64) float64 {
	if m.Limit <= 0 {
		return 0
	}
	ahead, dt := float64(used), now-m.at
	if m.begun && dt > 0 && used > m.last {
		rise := float64(used-m.last) * float64(memoryAhead) / float64(dt)
		ahead += min(rise, memoryMost*float64(m.Limit)) // a start fills memory fast, and then stops
	}
	level := min(1, max(0, (ahead/float64(m.Limit)-memoryFine)/(memoryFull-memoryFine)))
	if m.begun {
		level = max(level, m.level-memoryEase*dt.Seconds())
	}
	m.begun, m.last, m.at, m.level = true, used, now, max(0, level)
	return m.level
}
