package config

import (
	"fmt"
	"strconv"
	"strings"

	"shelfproxy/internal/policy"
)

// Setting is one value in force and its source: a file (with the line, if it is the operators' file), a variable, or
// "default".
type Setting struct{ Field, Value, From string }

// defaultSource is the source of a value that neither a file nor a variable sets.
const defaultSource = "default"

var effectNames = map[policy.Effect]string{
	policy.Idempotent:   "idempotent",
	policy.Deduplicated: "deduplicated",
	policy.AtMostOnce:   "at_most_once",
}

// Show returns the values in force, always in the same order: first the values that each node needs of its own, such
// as its name and limits, then those that only the operators' file sets, then the settings of the deployment.
func (c *Config) Show() []Setting {
	var shown listing
	c.showStart(&shown)
	c.Operator.show(&shown)
	c.showPolicy(&shown)
	return shown
}

// listing collects the settings for Show.
type listing []Setting

func (l *listing) add(field string, value any, source string) {
	if source == "" {
		source = defaultSource
	}
	*l = append(*l, Setting{Field: field, Value: fmt.Sprint(value), From: source})
}

func (c *Config) showStart(shown *listing) {
	add := func(field string, value any) { shown.add(field, value, c.sources[field]) }
	add("name", c.Name)
	add("listen", c.Listen)
	add("discovery", c.Discovery)
	add("seed", strconv.FormatUint(c.Seed, 16))
	add("limits.cores", c.Cores)
	add("limits.memory_mb", c.MemoryMB)
	add("limits.sockets", c.Sockets)
	add("peers", strings.Join(c.Peers.Peers, " "))
	add("known", fmt.Sprintf("%d servers at version %d", len(c.InitialList.Servers), c.InitialList.Version))
}

func (o *Operator) show(shown *listing) {
	add := func(field string, value any) {
		source := defaultSource
		if o.file.Has(field) {
			source = o.source(field)
		}
		shown.add(field, value, source)
	}
	add("log.level", o.Log.Level)
	add("log.format", o.Log.Format)
	add("listener.share", o.Listener.DescriptorFraction)
	add("listener.pipelined", o.Listener.MaxPipelined)
	add("listener.write", o.Listener.WriteTimeout)
	add("listener.silent", o.Listener.FirstCommandTimeout)
	add("listener.idle", o.Listener.IdleTimeout)
	add("listener.idle_crowded", o.Listener.CrowdedIdleTimeout)
	add("pools.target_share", o.Pools.CacheServerFraction)
	add("pools.origin_share", o.Pools.OriginFraction)
	add("pools.connections", o.Pools.MaxConnections)
	add("pools.waiting", o.Pools.MaxQueued)
	add("shutdown.grace", o.Shutdown.Grace)
	add("shutdown.last", o.Shutdown.LastResponse)
	add("zones.leave_owner", o.Zones.AffinityBudget)
	add("rollout.nodes_out", o.Rollout.NodesOut)
	add("rollout.zone_out", o.Rollout.ZoneOut)
	add("rollout.servers_out", o.Rollout.MaxEjectedFraction)
	add("rollout.release", o.Rollout.Release)
	add("rollout.control", o.Rollout.Control)
	add("rollout.max_failed", o.Rollout.MaxFailureRate)
	add("rollout.max_slow", o.Rollout.MaxSlowRate)
	add("duties.hold", strings.Join(o.Leases.Resources, " "))
	add("duties.lease", o.Leases.LeaseDuration)
	add("duties.drift", o.Leases.MaxClockDrift)
	add("duties.list", o.Leases.PeerListName)
}

func (c *Config) showPolicy(shown *listing) {
	add := func(field string, value any) { shown.add("settings."+field, value, c.sources["settings"]) }
	add("nodes", c.Policy.Nodes)
	add("zone", c.Policy.Zone)
	add("subscribe", c.Policy.MustPoll)
	add("probes", c.Policy.MayHealthCheck)
	add("cancel", c.Policy.MayCancel)
	add("max_attempts", c.Policy.MaxAttempts)
	add("max_retry_after", c.Policy.MaxRetryAfter)
	add("max_open", c.Node.MaxOpenRequests)
	add("streams_per_connection", c.Node.MaxStreams)
	add("connect_timeout", c.Node.ConnectTimeout)
	add("connection_idle", c.Node.ConnectionIdle)
	add("longest_wait", c.Node.MaxDeadline)
	add("origin_kind", c.Policy.OriginKind)
	add("sized_weights", c.Policy.WeightByCapacity)
	add("tick", c.Policy.Tick)
	add("cold", fmt.Sprintf("from %v, warm after %v, falls over past %v",
		c.Policy.SlowStartFloor, c.Policy.SlowStartDuration, c.Policy.OverloadFactor))
	add("prices", fmt.Sprintf("connection %v, handshake %v, crossing %v",
		c.Policy.ConnectionCost, c.Policy.HandshakeCost, c.Policy.CrossZoneCost))
	for _, class := range c.Policy.Classes {
		add("class."+class.Name, fmt.Sprintf("worth %v, aim %v, late %v, %s, window %v, group %v",
			class.PriorityWeight, class.LatencyObjective, class.LateFraction,
			effectNames[class.Effect], class.DedupWindow, class.DedupScope))
	}
	for _, tenant := range c.Policy.Tenants {
		add("tenant."+tenant.Name, fmt.Sprintf("%v a second", tenant.Quota))
	}
}
