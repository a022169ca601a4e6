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
	budgets   memoryBudgets

	// The counters below are gauges, in bytes, as of the last observation: what the Go runtime uses, the largest such value since
	// the start, the memory that is reserved for requests and for responses, and the responses that wait to be written to clients.
	inUse, peak, requests, responses, unsent *atomic.Int64
	// The counters below count the reservations for requests and for responses that have had to wait.
	requestsWaited, responsesWaited *atomic.Int64
}

func newMemoryMonitor(cfg *config.Config, count *counters.Counters) memoryMonitor {
	return memoryMonitor{
		pressure:        admission.MemoryPressure{Limit: int64(megabytes(cfg.MemoryMB)), CollectorLimit: collectorLimit(cfg)},
		budgets:         newMemoryBudgets(cfg),
		inUse:           count.Register("memory_in_use_bytes"),
		peak:            count.Register("memory_peak_bytes"),
		requests:        count.Register("memory_requests_reserved_bytes"),
		responses:       count.Register("memory_responses_reserved_bytes"),
		unsent:          count.Register("memory_responses_unsent_bytes"),
		requestsWaited:  count.Register("memory_requests_waited"),
		responsesWaited: count.Register("memory_responses_waited"),
	}
}

// publish sets the gauges.
func (m *memoryMonitor) publish(inUse int64, unsent int) {
	m.inUse.Store(inUse)
	m.peak.Store(max(inUse, m.peak.Load()))
	m.requests.Store(int64(m.budgets.requests.Used()))
	m.responses.Store(int64(m.budgets.responses.Used()))
	m.unsent.Store(int64(unsent))
	m.requestsWaited.Store(int64(m.budgets.requests.Waits()))
	m.responsesWaited.Store(int64(m.budgets.responses.Waits()))
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
			"limit_mb", d.cfg.MemoryMB, "in_use_bytes", inUse, "requests_bytes", d.memory.requests.Load(),
			"responses_bytes", d.memory.responses.Load(), "queued_bytes", d.node.QueuedResponseBytes(), "unsent_bytes", d.memory.unsent.Load())
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
