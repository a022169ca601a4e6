package daemon

import (
	"runtime/metrics"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/config"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/upstream"
)

// supervisionInterval is the time between two checks of memory and descriptors, and between two reports to the supervisor.
const supervisionInterval = 250 * time.Millisecond

// descriptors divides the process's file descriptors among clients, cache servers and the origin.
type descriptors struct {
	split        *admission.DescriptorSplit // used only by the goroutine that calls Run
	cacheServers *upstream.DescriptorBudget
	origin       *upstream.DescriptorBudget
}

func newDescriptors(cfg *config.Config) *descriptors {
	split := descriptorSplitPolicy(cfg)
	return &descriptors{
		split:        admission.NewDescriptorSplit(split),
		cacheServers: upstream.NewDescriptorBudget(split.Start[admission.CacheServers]),
		origin:       upstream.NewDescriptorBudget(split.Start[admission.Origin]),
	}
}

// rebalanceDescriptors moves descriptors to the side that needs them: clients, cache servers or the origin. The argument now is the
// time since the start.
func (d *Daemon) rebalanceDescriptors(now time.Duration) {
	var usage [admission.NumSides]admission.SideUsage
	usage[admission.Clients].InUse, usage[admission.Clients].Exhausted = d.listener.Usage()
	usage[admission.CacheServers].InUse, usage[admission.CacheServers].Exhausted = d.descriptors.cacheServers.Usage()
	usage[admission.Origin].InUse, usage[admission.Origin].Exhausted = d.descriptors.origin.Usage()
	if !d.descriptors.split.Rebalance(now, usage) {
		return
	}
	limits := d.descriptors.split.Limits()
	d.counters.DescriptorRebalances.Add(1)
	d.listener.SetMaxConnections(limits[admission.Clients])
	upstream.ResizeDescriptors(d.descriptors.cacheServers, limits[admission.CacheServers])
	upstream.ResizeDescriptors(d.descriptors.origin, limits[admission.Origin])
	d.log.Debug("descriptors were rebalanced", logs.Event, "descriptors_moved", "clients", limits[admission.Clients],
		"targets", limits[admission.CacheServers], "origin", limits[admission.Origin])
}

// memoryMonitor observes how close the process is to its memory limit.
type memoryMonitor struct {
	pressure  admission.MemoryPressure
	lastLevel float64 // the memory pressure that the node was last told
}

func newMemoryMonitor(cfg *config.Config) memoryMonitor {
	return memoryMonitor{pressure: admission.MemoryPressure{Limit: int64(megabytes(cfg.MemoryMB))}}
}

// observeMemory measures the memory in use and tells the node if the memory pressure has changed. The argument now is the time since
// the start.
func (d *Daemon) observeMemory(now time.Duration) {
	level := d.memory.pressure.Observe(now, memoryInUse())
	if level == d.memory.lastLevel {
		return
	}
	if d.memory.lastLevel == 0 {
		d.log.Warn("memory is short: requests of the lowest priority weight are rejected", logs.Event, "memory_short",
			"limit_mb", d.cfg.MemoryMB)
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
