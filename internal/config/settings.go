package config

import (
	"encoding/json"
	"fmt"
	"time"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/policy/locality"
)

// Settings is the part of the configuration that all nodes of a deployment share. The simulator passes the same settings.
type Settings struct {
	Policy policy.Settings
	Node   Node
}

// Node holds the settings that the code that handles requests needs, but the policy does not.
type Node struct {
	MaxOpenRequests int
	MaxStreams      int // maximum number of attempts in flight on one connection
	ConnectTimeout  time.Duration
	ConnectionIdle  time.Duration // time after which a cache server or the origin closes an idle connection
	MaxDeadline     time.Duration // longest deadline of all classes
	SecondCopies    bool          // two attempts for a request may be in flight at the same time
}

// Values of the fields of Node for which the settings contain no value.
const (
	defaultMaxOpenRequests = 20000
	defaultMaxStreams      = 1
	defaultConnectTimeout  = 250 * time.Millisecond
	defaultConnectionIdle  = 30 * time.Second
)

// setup is the JSON form of the settings. Keys that neither the policy nor the node uses are skipped. This type keeps
// its name, and its parts are aliases of unnamed types, because the errors of encoding/json contain type names and
// their texts are sent to the simulator.
type setup struct {
	Nodes             int       `json:"replicas_of_me"`
	Zone              string    `json:"az"`
	Classes           []class   `json:"lanes"`
	Tenants           []tenant  `json:"accounts"`
	OverQuotaFraction float64   `json:"over_share_worth"`
	Kinds             []string  `json:"machine_types"`
	Family            family    `json:"family_info"`
	Weights           string    `json:"weights"`
	Discovery         string    `json:"registry_mode"`
	Limits            limits    `json:"limits"`
	Behaviour         behaviour `json:"rules"`
	Costs             costs     `json:"deductions"`
	Tick              int64     `json:"tick"` // in microseconds, as are all times in this JSON
}

type class = struct {
	Name             string  `json:"name"`
	Deadline         int64   `json:"deadline"`
	PriorityWeight   float64 `json:"worth"`
	LatencyObjective int64   `json:"goal_time"`
	LateFraction     float64 `json:"late_worth"`
	Effect           string  `json:"semantics"`
	DedupScope       string  `json:"key_scope"`
	DedupWindow      int64   `json:"window"`
}

type tenant = struct {
	Name  string  `json:"name"`
	Quota float64 `json:"quota_per_s"`
}

type family = struct {
	Mode       string `json:"mode"`
	OriginKind int    `json:"origin_kind"` // index into setup.Kinds
}

type limits = struct {
	MayGossip      bool   `json:"may_tell"`
	MayHealthCheck bool   `json:"probes"`
	MayCancel      bool   `json:"cancel"`
	SecondCopies   bool   `json:"second_copies"`
	HasRetryAfter  bool   `json:"retry_after"`
	MaxAttempts    int    `json:"max_attempts"`
	MaxRetryAfter  int64  `json:"max_retry_after"`
	MaxOpen        *int   `json:"max_open"`
	MaxStreams     *int   `json:"streams_per_conn"`
	ConnectTimeout *int64 `json:"connect_timeout"`
	ConnectionIdle *int64 `json:"conn_idle"`
}

type behaviour = struct {
	SlowStartFloor    float64 `json:"cold_from"`
	SlowStartDuration int64   `json:"warm_after"`
	OverloadFactor    float64 `json:"overload_factor"`
	MaxPollInterval   int64   `json:"must_ask_in"`
	DrainGrace        int64   `json:"drain_grace"`
}

type costs = struct {
	Connection float64 `json:"connection"`
	Handshake  float64 `json:"handshake"`
	CrossZone  float64 `json:"cross_zone"`
}

var effects = map[string]policy.Effect{
	"":             policy.Idempotent,
	"idempotent":   policy.Idempotent,
	"deduplicated": policy.Deduplicated,
	"at_most_once": policy.AtMostOnce,
}

var dedupScopes = map[string]policy.DedupScope{
	"":     policy.AllServers,
	"all":  policy.AllServers,
	"zone": policy.SameZone,
	"cell": policy.SameCell,
}

// ParseSettings reads the settings from JSON. A node's configuration and the simulator's first message contain a JSON
// object of the same form. ParseSettings returns a *FieldError for a value that is unknown or out of range, and the
// errors of encoding/json.
func ParseSettings(raw []byte) (Settings, error) {
	var given setup
	if err := json.Unmarshal(raw, &given); err != nil {
		return Settings{}, err
	}
	policySettings, err := given.policy()
	if err != nil {
		return Settings{}, err
	}
	node, err := given.node()
	return Settings{Policy: policySettings, Node: node}, err
}

// policy converts the settings that the policy needs.
func (s *setup) policy() (policy.Settings, error) {
	settings := policy.Settings{
		Nodes:             s.Nodes,
		Zone:              s.Zone,
		OverQuotaFraction: s.OverQuotaFraction,
		WeightByCapacity:  s.Weights == "nominal" || s.Weights == "rough",
		MustPoll:          s.Discovery == "subscribe",
		MayGossip:         s.Limits.MayGossip,
		MayHealthCheck:    s.Limits.MayHealthCheck,
		MayCancel:         s.Limits.MayCancel,
		MaxAttempts:       s.Limits.MaxAttempts,
		Tick:              micros(s.Tick),
		SlowStartFloor:    s.Behaviour.SlowStartFloor,
		SlowStartDuration: micros(s.Behaviour.SlowStartDuration),
		OverloadFactor:    s.Behaviour.OverloadFactor,
		MaxPollInterval:   micros(s.Behaviour.MaxPollInterval),
		DrainGrace:        micros(s.Behaviour.DrainGrace),
		ConnectionCost:    s.Costs.Connection,
		HandshakeCost:     s.Costs.Handshake,
		CrossZoneCost:     s.Costs.CrossZone,
		AffinityBudget:    locality.DefaultAffinityBudget,
	}
	if s.Limits.HasRetryAfter {
		settings.MaxRetryAfter = micros(s.Limits.MaxRetryAfter)
	}
	if s.Family.Mode == "aside" {
		if s.Family.OriginKind < 0 || s.Family.OriginKind >= len(s.Kinds) {
			return settings, &FieldError{Field: "family_info.origin_kind", Reason: fmt.Sprintf("no machine type %d", s.Family.OriginKind)}
		}
		settings.OriginKind = s.Kinds[s.Family.OriginKind]
	}
	for i := range s.Classes {
		class, err := policyClass(&s.Classes[i])
		if err != nil {
			return settings, err
		}
		settings.Classes = append(settings.Classes, class)
	}
	for _, tenant := range s.Tenants {
		settings.Tenants = append(settings.Tenants, policy.Tenant{Name: tenant.Name, Quota: tenant.Quota})
	}
	return settings, nil
}

// policyClass converts one class of requests.
func policyClass(given *class) (policy.Class, error) {
	effect, err := ParseEnum(effects, "lanes.semantics", given.Effect)
	if err != nil {
		return policy.Class{}, err
	}
	scope, err := ParseEnum(dedupScopes, "lanes.key_scope", given.DedupScope)
	if err != nil {
		return policy.Class{}, err
	}
	return policy.Class{
		Name:             given.Name,
		PriorityWeight:   given.PriorityWeight,
		LatencyObjective: micros(given.LatencyObjective),
		LateFraction:     given.LateFraction,
		Effect:           effect,
		DedupScope:       scope,
		DedupWindow:      micros(given.DedupWindow),
	}, nil
}

// node converts the settings that the request path needs, and checks them.
func (s *setup) node() (Node, error) {
	node := Node{
		MaxOpenRequests: valueOr(s.Limits.MaxOpen, defaultMaxOpenRequests),
		MaxStreams:      valueOr(s.Limits.MaxStreams, defaultMaxStreams),
		ConnectTimeout:  microsOr(s.Limits.ConnectTimeout, defaultConnectTimeout),
		ConnectionIdle:  microsOr(s.Limits.ConnectionIdle, defaultConnectionIdle),
		SecondCopies:    s.Limits.SecondCopies,
	}
	for i := range s.Classes {
		node.MaxDeadline = max(node.MaxDeadline, micros(s.Classes[i].Deadline))
	}
	switch {
	case node.MaxOpenRequests < 1:
		return node, &FieldError{Field: "limits.max_open", Reason: "must be at least 1"}
	case node.MaxStreams < 1:
		return node, &FieldError{Field: "limits.streams_per_conn", Reason: "must be at least 1"}
	case node.ConnectTimeout <= 0:
		return node, &FieldError{Field: "limits.connect_timeout", Reason: "must be above 0"}
	case node.ConnectionIdle <= 0:
		return node, &FieldError{Field: "limits.conn_idle", Reason: "must be above 0"}
	}
	return node, nil
}

// ParseEnum returns the value with this name. If there is none, it returns a *FieldError about the JSON field.
func ParseEnum[T any](values map[string]T, field, name string) (T, error) {
	value, ok := values[name]
	if !ok {
		return value, &FieldError{Field: field, Reason: fmt.Sprintf("unknown value %q", name)}
	}
	return value, nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

func valueOr(given *int, defaultValue int) int {
	if given == nil {
		return defaultValue
	}
	return *given
}

func microsOr(given *int64, defaultValue time.Duration) time.Duration {
	if given == nil {
		return defaultValue
	}
	return micros(*given)
}
