package config

import (
	"net"
	"slices"
	"strings"
	"time"

	"shelfproxy/internal/logs"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/tomlfile"
)

// validate checks the operators' file except its [service] table, which is used only if there is no platform
// configuration. It returns an *Error for the first field that cannot be used.
func (o *Operator) validate() error {
	for _, check := range []func() error{
		o.validateAddresses,
		o.validateLog,
		o.validateNumbers,
		o.validateDurations,
		o.validateFleet,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	if shutdown := o.Shutdown; shutdown.LastResponse < shutdown.Grace {
		return o.invalid("shutdown.last", "%s is before the end of shutdown.grace, %s", shutdown.LastResponse, shutdown.Grace)
	}
	return nil
}

func (o *Operator) validateAddresses() error {
	for _, address := range []struct{ field, hostPort string }{
		{"node.listen", o.Node.Listen},
		{"node.discovery", o.Node.Discovery},
	} {
		if _, _, err := net.SplitHostPort(address.hostPort); o.file.Has(address.field) && err != nil {
			return o.invalid(address.field, "%q is no host and port", address.hostPort)
		}
	}
	return nil
}

func (o *Operator) validateLog() error {
	if _, err := logs.Level(o.Log.Level); err != nil {
		return o.invalid("log.level", "%w", err)
	}
	if !slices.Contains(logs.Formats, o.Log.Format) {
		return o.invalid("log.format", "%q is none of %s", o.Log.Format, strings.Join(logs.Formats, ", "))
	}
	return nil
}

func (o *Operator) validateNumbers() error {
	for _, number := range []struct {
		field                   string
		value, minimum, maximum float64
	}{
		{"limits.cores", o.Limits.Cores, 0, 1024},
		{"limits.memory_mb", float64(o.Limits.MemoryMB), minMemoryMB, 1 << 20},
		{"limits.sockets", float64(o.Limits.Sockets), minSockets, 1 << 20},
		{"listener.share", o.Listener.DescriptorFraction, 0.1, 0.8},
		{"listener.pipelined", float64(o.Listener.MaxPipelined), 1, 4096},
		{"pools.target_share", o.Pools.CacheServerFraction, 0.05, 0.8},
		{"pools.origin_share", o.Pools.OriginFraction, 0.02, 0.5},
		{"pools.connections", float64(o.Pools.MaxConnections), 1, 4096},
		{"rollout.servers_out", o.Rollout.MaxEjectedFraction, 0, 1},
		{"zones.leave_owner", o.Zones.AffinityBudget, 0, 1},
		{"pools.waiting", float64(o.Pools.MaxQueued), 1, 65536},
	} {
		if !isBetween(number.value, number.minimum, number.maximum) {
			return o.invalid(number.field, "%v is not from %v to %v", number.value, number.minimum, number.maximum)
		}
	}
	if sum := o.Listener.DescriptorFraction + o.Pools.CacheServerFraction + o.Pools.OriginFraction; sum > 1 {
		return o.invalid("listener.share", "with pools.target_share and pools.origin_share it makes %.2f, more than 1", sum)
	}
	return nil
}

// isBetween reports whether value is from minimum to maximum. It returns false for NaN, which TOML can express.
func isBetween(value, minimum, maximum float64) bool { return value >= minimum && value <= maximum }

func (o *Operator) validateDurations() error {
	for _, duration := range []struct {
		field            string
		value            tomlfile.Duration
		minimum, maximum time.Duration
	}{
		{"listener.write", o.Listener.WriteTimeout, 100 * time.Millisecond, time.Hour},
		{"listener.silent", o.Listener.FirstCommandTimeout, 100 * time.Millisecond, time.Hour},
		{"listener.idle", o.Listener.IdleTimeout, 100 * time.Millisecond, 24 * time.Hour},
		{"listener.idle_crowded", o.Listener.CrowdedIdleTimeout, 10 * time.Millisecond, 24 * time.Hour},
		{"shutdown.grace", o.Shutdown.Grace, 0, time.Minute},
		{"shutdown.last", o.Shutdown.LastResponse, 100 * time.Millisecond, 10 * time.Minute},
	} {
		if value := duration.value.D(); value < duration.minimum || value > duration.maximum {
			return o.invalid(duration.field, "%s is not from %s to %s", value, duration.minimum, duration.maximum)
		}
	}
	return nil
}

// validateFleet checks the values that the cores of the rollout, the leases and the membership would reject. The node's
// index and the number of nodes are not known yet, so valid ones are made up for the check.
func (o *Operator) validateFleet() error {
	if o.Rollout.NodesOut != 0 {
		if err := o.Rollout.CoreConfig(0, 1, "", 0, 0).Validate(); err != nil {
			return o.invalid("rollout", "%w", err)
		}
	}
	for _, name := range o.Leases.Resources {
		if !slices.Contains(policy.RoleNames[:], name) {
			return o.invalid("duties.hold", "%q is none of %s", name, strings.Join(policy.RoleNames[:], ", "))
		}
	}
	if len(o.Leases.Resources) > 0 {
		if err := o.Leases.CoreConfig(0, 1, 0, 0).Validate(); err != nil {
			return o.invalid("duties", "%w", err)
		}
	}
	if err := o.Membership.CoreConfig(0, 2, 0, 0, 0).Validate(); err != nil {
		return o.invalid("members", "%w", err)
	}
	return nil
}
