package config

import (
	"time"

	"shelfproxy/internal/policy/locality"
	"shelfproxy/internal/tomlfile"
)

// defaultOperator returns the values that keys have if the operators' file does not set them.
func defaultOperator() *Operator {
	operator := &Operator{
		Listener: Listener{
			DescriptorFraction:  0.5,
			MaxPipelined:        128,
			WriteTimeout:        tomlfile.Duration(10 * time.Second),
			FirstCommandTimeout: tomlfile.Duration(2500 * time.Millisecond),
			IdleTimeout:         tomlfile.Duration(time.Minute),
			CrowdedIdleTimeout:  tomlfile.Duration(50 * time.Millisecond),
		},
		Pools: Pools{CacheServerFraction: 0.3, OriginFraction: 0.1, MaxConnections: 64, MaxQueued: 512},
		Shutdown: Shutdown{
			Grace:        tomlfile.Duration(2200 * time.Millisecond),
			LastResponse: tomlfile.Duration(3400 * time.Millisecond),
		},
		Zones: Zones{AffinityBudget: locality.DefaultAffinityBudget},
		Rollout: Rollout{
			HeartbeatInterval: tomlfile.Duration(500 * time.Millisecond),
			UnresponsiveAfter: tomlfile.Duration(3 * time.Second),
			RequestTimeout:    tomlfile.Duration(5 * time.Second),
			ReturnTimeout:     tomlfile.Duration(time.Minute),
			WriteOffAfter:     tomlfile.Duration(10 * time.Minute),
			ObservationPeriod: tomlfile.Duration(10 * time.Second),
			MaxFailureRate:    0.2,
			MaxSlowRate:       0.5,
			MinSamples:        20,
			MaxClockDrift:     0.01,
		},
		Leases: Leases{LeaseDuration: tomlfile.Duration(3 * time.Second), MaxClockDrift: 0.01},
		Membership: Membership{
			ProbeInterval:   tomlfile.Duration(time.Second),
			ProbeTimeout:    tomlfile.Duration(200 * time.Millisecond),
			IndirectProbes:  3,
			SuspicionFactor: 2,
		},
	}
	operator.Limits.MemoryMB, operator.Limits.Sockets = 192, 1024
	operator.Log.Level, operator.Log.Format = "info", "auto"
	return operator
}

// defaultService returns the values that keys of a [service] table have if the table does not set them.
func defaultService() *Service {
	return &Service{
		Nodes:          1,
		Subscribe:      true,
		HealthChecks:   true,
		Cancel:         true,
		MaxAttempts:    6,
		MaxOpen:        defaultMaxOpenRequests,
		MaxStreams:     defaultMaxStreams,
		ConnectTimeout: tomlfile.Duration(defaultConnectTimeout),
		ConnectionIdle: tomlfile.Duration(defaultConnectionIdle),
		OriginKind:     "origin",
		Tick:           tomlfile.Duration(5 * time.Millisecond),
		SlowStart:      ServiceSlowStart{Floor: 0.13, Duration: tomlfile.Duration(23 * time.Second), OverloadFactor: 3},
	}
}
