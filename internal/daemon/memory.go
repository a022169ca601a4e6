package daemon

import (
	"runtime/metrics"
	"sync/atomic"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/config"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/logs"
)

// memoryMonitor observes how close the process is to its memory limit, and publishes what holds the memory.
type memoryMonitor struct {
	pressure  admission.MemoryPressure
	lastLevel float64 // the memory pressure that the node was last told
	responses *admission.ResponseMemory

	// The counters below are gauges, in bytes, as of the last observation: what the Go runtime uses, the largest such value since
	// the start, the memory that is reserved for responses, and the responses that wait to be written to clients.
	inUse, peak, reserved, unsent *atomic.Int64
	// waited counts the reservations for responses that have had to wait.
	waited *atomic.Int64
}

func newMemoryMonitor(cfg *config.Config, count *counters.Counters) memoryMonitor {
	return memoryMonitor{
		pressure:  admission.MemoryPressure{Limit: int64(megabytes(cfg.MemoryMB)), CollectorLimit: collectorLimit(cfg)},
		responses: newResponseMemory(cfg),
		inUse:     count.Register("memory_in_use_bytes"),
		peak:      count.Register("memory_peak_bytes"),
		reserved:  count.Register("memory_responses_reserved_bytes"),
		unsent:    count.Register("memory_responses_unsent_bytes"),
		waited:    count.Register("memory_responses_waited"),
	}
}

// publish sets the gauges.
func (m *memoryMonitor) publish(inUse int64, unsent int) {
	m.inUse.Store(inUse)
	m.peak.Store(max(inUse, m.peak.Load()))
	m.reserved.Store(int64(m.responses.Used()))
	m.unsent.Store(int64(unsent))
	m.waited.Store(int64(m.responses.Waits()))
}

// observeMemory measures the memory in use and tells the node if the memory pressure has changed. The argument now is the time since
// the start.
func (d *Daemon) observeMemory(now time.Duration) {
	inUse := memoryInUse()
	d.memory.publish(inUse, d.listener.UnsentBytes())
	level := d.memory.pressure.Observe(now, inUse)
	if level == d.memory.lastLevel {
		return
	}
	if d.memory.lastLevel == 0 {
		d.log.Warn("memory is short: requests of the lowest priority weight are rejected", logs.Event, "memory_short",
			"limit_mb", d.cfg.MemoryMB, "in_use_bytes", inUse, "reserved_bytes", d.memory.reserved.Load(),
			"queued_bytes", d.node.QueuedResponseBytes(), "unsent_bytes", d.memory.unsent.Load())
	}
	d.memory.lastLevel = level
	d.node.SetMemoryPressure(level)
}

// memoryInUse returns the number of bytes that the Go runtime has obtained from the operating system and not released.
func memoryInUse() int64 {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(samples)
	total, released := samples[0].Value.Uint64(), samples[1].Value.Uint64()
	return int64(total - released)
}
