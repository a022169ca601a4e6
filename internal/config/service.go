package config

import (
	"fmt"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/tomlfile"
)

// Service is the [service] table: the settings that all nodes of a deployment share. It is used if there is no platform
// configuration.
type Service struct {
	Nodes          int               `toml:"nodes"` // number of nodes that share the traffic
	Zone           string            `toml:"zone"`  // zone of this node
	Subscribe      bool              `toml:"subscribe"`
	HealthChecks   bool              `toml:"probes"`
	Cancel         bool              `toml:"cancel"`
	MaxAttempts    int               `toml:"max_attempts"`
	MaxOpen        int               `toml:"max_open"`
	MaxStreams     int               `toml:"streams_per_connection"`
	ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
	ConnectionIdle tomlfile.Duration `toml:"connection_idle"`
	MaxRetryAfter  tomlfile.Duration `toml:"max_retry_after"` // longest Retry-After that clients follow; 0: they follow none
	OriginKind     string            `toml:"origin_kind"`
	SizedWeights   bool              `toml:"sized_weights"`
	Tick           tomlfile.Duration `toml:"tick"`
	SlowStart      ServiceSlowStart  `toml:"cold"`
	Classes        []ServiceClass    `toml:"class"`
}

// ServiceSlowStart describes the slow start of a cache server after a restart.
type ServiceSlowStart struct {
	Floor          float64           `toml:"from"`       // fraction of its full capacity that a server has at its start, 0 to 1
	Duration       tomlfile.Duration `toml:"warm_after"` // time after its start until a server has its full capacity
	OverloadFactor float64           `toml:"overload"`   // multiple of its current capacity at which a server in slow start is overloaded
}

// ServiceClass describes one class of requests.
type ServiceClass struct {
	Name             string            `toml:"name"`
	PriorityWeight   float64           `toml:"worth"`
	LatencyObjective tomlfile.Duration `toml:"aim"`
	LateFraction     float64           `toml:"late_worth"`
	Deadline         tomlfile.Duration `toml:"deadline"`
	Effect           string            `toml:"effect"` // idempotent, deduplicated or at_most_once
	DedupScope       string            `toml:"group"`  // which servers recognise a repeated request: all, or those of the same zone or cell
	DedupWindow      tomlfile.Duration `toml:"window"`
}

// settings checks the [service] table and converts it to the same type as the platform's settings.
func (o *Operator) settings() (Settings, error) {
	if err := o.validateService(); err != nil {
		return Settings{}, err
	}
	settings := o.Service.settings()
	for i := range o.Service.Classes {
		class, err := o.class(i)
		if err != nil {
			return Settings{}, err
		}
		settings.Policy.Classes = append(settings.Policy.Classes, class)
		settings.Node.MaxDeadline = max(settings.Node.MaxDeadline, o.Service.Classes[i].Deadline.D())
	}
	if _, err := policy.New(settings.Policy, 0); err != nil {
		return Settings{}, o.invalid("service", "%w", err)
	}
	return settings, nil
}

// settings converts the [service] table, except its classes.
func (s *Service) settings() Settings {
	return Settings{
		Policy: policy.Settings{
			Nodes:             s.Nodes,
			Zone:              s.Zone,
			MustPoll:          s.Subscribe,
			MayHealthCheck:    s.HealthChecks,
			MayCancel:         s.Cancel,
			MaxAttempts:       s.MaxAttempts,
			MaxRetryAfter:     s.MaxRetryAfter.D(),
			Tick:              s.Tick.D(),
			OriginKind:        s.OriginKind,
			WeightByCapacity:  s.SizedWeights,
			SlowStartFloor:    s.SlowStart.Floor,
			SlowStartDuration: s.SlowStart.Duration.D(),
			OverloadFactor:    s.SlowStart.OverloadFactor,
		},
		Node: Node{
			MaxOpenRequests: s.MaxOpen,
			MaxStreams:      s.MaxStreams,
			ConnectTimeout:  s.ConnectTimeout.D(),
			ConnectionIdle:  s.ConnectionIdle.D(),
		},
	}
}

// validateService checks the [service] table, except its classes.
func (o *Operator) validateService() error {
	service := o.Service
	for _, check := range []struct {
		field     string
		isInvalid bool
		reason    string
	}{
		{"nodes", service.Nodes < 1, "must be at least 1"},
		{"max_attempts", service.MaxAttempts < 1, "must be at least 1"},
		{"max_open", service.MaxOpen < 1, "must be at least 1"},
		{"streams_per_connection", service.MaxStreams < 1, "must be at least 1"},
		{"connect_timeout", service.ConnectTimeout <= 0, "must be above 0"},
		{"connection_idle", service.ConnectionIdle <= 0, "must be above 0"},
		{"cold.from", !isBetween(service.SlowStart.Floor, 0, 1), "must be from 0 to 1"},
		{"cold.overload", !(service.SlowStart.OverloadFactor > 0), "must be above 0"},
		{"class", len(service.Classes) == 0, "there must be at least one"},
	} {
		if check.isInvalid {
			return o.invalid("service."+check.field, "%s", check.reason)
		}
	}
	return nil
}

// class checks and converts the class at index in the [service] table.
func (o *Operator) class(index int) (policy.Class, error) {
	class := o.Service.Classes[index]
	invalidClass := func(field, format string, args ...any) (policy.Class, error) {
		return policy.Class{}, o.invalid(fmt.Sprintf("service.class[%d].%s", index, field), format, args...)
	}
	effect, isEffect := effects[class.Effect]
	scope, isScope := dedupScopes[class.DedupScope]
	switch {
	case class.Name == "":
		return invalidClass("name", "missing")
	case !isEffect:
		return invalidClass("effect", "%q is none of idempotent, deduplicated, at_most_once", class.Effect)
	case !isScope:
		return invalidClass("group", "%q is none of all, zone, cell", class.DedupScope)
	case class.LatencyObjective <= 0:
		return invalidClass("aim", "must be above 0")
	case class.Deadline < class.LatencyObjective:
		return invalidClass("deadline", "must not be before aim")
	case !(class.PriorityWeight >= 0):
		return invalidClass("worth", "must not be negative")
	}
	return policy.Class{
		Name:             class.Name,
		PriorityWeight:   class.PriorityWeight,
		LatencyObjective: class.LatencyObjective.D(),
		LateFraction:     class.LateFraction,
		Effect:           effect,
		DedupScope:       scope,
		DedupWindow:      class.DedupWindow.D(),
	}, nil
}
