package daemon

import (
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
