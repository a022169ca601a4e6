package config

import (
	"fmt"
	"strconv"
	"strings"

	"shelfproxy/internal/policy"
)

// Setting is one value in force and where it came from: a file (with its line for the operator's), a variable, or
// "default".
type Setting struct{ Field, Value, From string }

var effectWords = map[policy.Effect]string{policy.Idempotent: "idempotent", policy.Deduplicated: "deduplicated", policy.AtMostOnce: "at_most_once"}

// Show lists every value in force, in a fixed order.
func (c *Config) Show() []Setting {
	var out []Setting
	add := func(field string, v any, from string) {
		if from == "" {
			from = "default"
		}
		out = append(out, Setting{field, fmt.Sprint(v), from})
	}
	own := func(field string, v any) { add(field, v, c.from[field]) }
	own("name", c.Name)
	own("listen", c.Listen)
	own("discovery", c.Discovery)
	own("seed", strconv.FormatUint(c.Seed, 16))
	own("limits.cores", c.Cores)
	own("limits.memory_mb", c.MemoryMB)
	own("limits.sockets", c.Sockets)
	own("peers", strings.Join(c.Peers.Peers, " "))
	own("known", fmt.Sprintf("%d servers at version %d", len(c.InitialList.Servers), c.InitialList.Version))

	o := c.Operator
	file := func(field string, v any) {
		from := ""
		if o.file.Has(field) {
			from = c.place(field)
		}
		add(field, v, from)
	}
	file("log.level", o.Log.Level)
	file("log.format", o.Log.Format)
	file("listener.share", o.Listener.Share)
	file("listener.pipelined", o.Listener.Pipelined)
	file("listener.write", o.Listener.Write)
	file("listener.silent", o.Listener.Silent)
	file("listener.idle", o.Listener.Idle)
	file("listener.idle_crowded", o.Listener.IdleCrowded)
	file("pools.target_share", o.Pools.TargetShare)
	file("pools.origin_share", o.Pools.OriginShare)
	file("pools.connections", o.Pools.Connections)
	file("pools.waiting", o.Pools.Waiting)
	file("shutdown.grace", o.Shutdown.Grace)
	file("shutdown.last", o.Shutdown.Last)
	file("zones.leave_owner", o.Zones.Leave)
	file("rollout.nodes_out", o.Rollout.NodesOut)
	file("rollout.zone_out", o.Rollout.ZoneOut)
	file("rollout.servers_out", o.Rollout.ServersOut)
	file("rollout.release", o.Rollout.Release)
	file("rollout.control", o.Rollout.Control)
	file("rollout.max_failed", o.Rollout.MaxFailed)
	file("rollout.max_slow", o.Rollout.MaxSlow)
	file("duties.hold", strings.Join(o.Leases.Hold, " "))
	file("duties.lease", o.Leases.Lease)
	file("duties.drift", o.Leases.Drift)
	file("duties.list", o.Leases.List)

	m, n := c.Policy, c.Node
	set := func(field string, v any) { add("settings."+field, v, c.from["settings"]) }
	set("nodes", m.Nodes)
	set("zone", m.Zone)
	set("subscribe", m.MustPoll)
	set("probes", m.MayHealthCheck)
	set("cancel", m.MayCancel)
	set("max_attempts", m.MaxAttempts)
	set("max_retry_after", m.MaxRetryAfter)
	set("max_open", n.MaxOpenRequests)
	set("streams_per_connection", n.MaxStreams)
	set("connect_timeout", n.ConnectTimeout)
	set("connection_idle", n.ConnectionIdle)
	set("longest_wait", n.MaxDeadline)
	set("origin_kind", m.OriginKind)
	set("sized_weights", m.WeightByCapacity)
	set("tick", m.Tick)
	set("cold", fmt.Sprintf("from %v, warm after %v, falls over past %v", m.SlowStartFloor, m.SlowStartDuration, m.OverloadFactor))
	set("prices", fmt.Sprintf("connection %v, handshake %v, crossing %v", m.ConnectionCost, m.HandshakeCost, m.CrossZoneCost))
	for _, cl := range m.Classes {
		set("class."+cl.Name, fmt.Sprintf("worth %v, aim %v, late %v, %s, window %v, group %v", cl.PriorityWeight, cl.LatencyObjective, cl.LateFraction,
			effectWords[cl.Effect], cl.DedupWindow, cl.DedupScope))
	}
	for _, t := range m.Tenants {
		set("tenant."+t.Name, fmt.Sprintf("%v a second", t.Quota))
	}
	return out
}
