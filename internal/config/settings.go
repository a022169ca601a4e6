package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/policy/locality"
)

// Settings are what the deployment tells every node, in the simulator and on sockets.
type Settings struct {
	Policy policy.Settings
	Node   Node
}

// Node holds the settings that the sockets need and the module does not.
type Node struct {
	MaxOpenRequests int
	MaxStreams      int // forwards on one connection
	ConnectTimeout  time.Duration
	ConnectionIdle  time.Duration
	MaxDeadline     time.Duration // longest deadline of a class
}

// setup holds the settings that the module and the node use; all others are skipped.
type setup struct {
	Replicas int    `json:"replicas_of_me"`
	Zone     string `json:"az"`
	Lanes    []struct {
		Name      string  `json:"name"`
		Deadline  int64   `json:"deadline"`
		Worth     float64 `json:"worth"`
		GoalTime  int64   `json:"goal_time"`
		LateWorth float64 `json:"late_worth"`
		Semantics string  `json:"semantics"`
		KeyScope  string  `json:"key_scope"`
		Window    int64   `json:"window"`
	} `json:"lanes"`
	Accounts []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"accounts"`
	OverShare float64  `json:"over_share_worth"`
	Machines  []string `json:"machine_types"`
	Family    struct {
		Mode       string `json:"mode"`
		OriginKind int    `json:"origin_kind"`
	} `json:"family_info"`
	Weights  string `json:"weights"`
	Registry string `json:"registry_mode"`
	Limits   struct {
		Peers         bool   `json:"may_tell"`
		Probes        bool   `json:"probes"`
		Cancel        bool   `json:"cancel"`
		RetryAfter    bool   `json:"retry_after"`
		MaxAttempts   int    `json:"max_attempts"`
		MaxRetryAfter int64  `json:"max_retry_after"`
		MaxOpen       *int   `json:"max_open"`
		Streams       *int   `json:"streams_per_conn"`
		Connect       *int64 `json:"connect_timeout"`
		Idle          *int64 `json:"conn_idle"`
	} `json:"limits"`
	Rules struct {
		ColdFrom  float64 `json:"cold_from"`
		WarmAfter int64   `json:"warm_after"`
		Overload  float64 `json:"overload_factor"`
		MustAskIn int64   `json:"must_ask_in"`
		Drain     int64   `json:"drain_grace"`
	} `json:"rules"`
	Prices struct {
		Connection float64 `json:"connection"`
		Handshake  float64 `json:"handshake"`
		Cross      float64 `json:"cross_zone"`
	} `json:"deductions"`
	Tick int64 `json:"tick"`
}

var effects = map[string]policy.Effect{"": policy.Idempotent, "idempotent": policy.Idempotent, "deduplicated": policy.Deduplicated,
	"at_most_once": policy.AtMostOnce}

var groups = map[string]policy.DedupScope{"": policy.AllServers, "all": policy.AllServers, "zone": policy.SameZone,
	"cell": policy.SameCell}

// ParseSettings reads the settings: those of a node's configuration and those of the simulator's first message
// are the same object.
func ParseSettings(raw []byte) (Settings, error) {
	var in setup
	if err := json.Unmarshal(raw, &in); err != nil {
		return Settings{}, err
	}
	module, err := in.module()
	if err != nil {
		return Settings{}, err
	}
	node, err := in.node()
	return Settings{Policy: module, Node: node}, err
}

func (in *setup) module() (policy.Settings, error) {
	set := policy.Settings{
		Nodes: in.Replicas, Zone: in.Zone, OverQuotaFraction: in.OverShare,
		WeightByCapacity: in.Weights == "nominal" || in.Weights == "rough",
		MustPoll:         in.Registry == "subscribe",
		MayGossip:        in.Limits.Peers, MayHealthCheck: in.Limits.Probes, MayCancel: in.Limits.Cancel,
		MaxAttempts: in.Limits.MaxAttempts, Tick: micros(in.Tick),
		SlowStartFloor: in.Rules.ColdFrom, SlowStartDuration: micros(in.Rules.WarmAfter),
		OverloadFactor:  in.Rules.Overload,
		MaxPollInterval: micros(in.Rules.MustAskIn), DrainGrace: micros(in.Rules.Drain),
		ConnectionCost: in.Prices.Connection, HandshakeCost: in.Prices.Handshake, CrossZoneCost: in.Prices.Cross, AffinityBudget: locality.DefaultAffinityBudget,
	}
	if in.Limits.RetryAfter {
		set.MaxRetryAfter = micros(in.Limits.MaxRetryAfter)
	}
	if in.Family.Mode == "aside" {
		if in.Family.OriginKind < 0 || in.Family.OriginKind >= len(in.Machines) {
			return set, fmt.Errorf("field family_info.origin_kind: no machine type %d",
				in.Family.OriginKind)
		}
		set.OriginKind = in.Machines[in.Family.OriginKind]
	}
	for _, l := range in.Lanes {
		effect, err := ParseEnum(effects, "lanes.semantics", l.Semantics)
		if err != nil {
			return set, err
		}
		group, err := ParseEnum(groups, "lanes.key_scope", l.KeyScope)
		if err != nil {
			return set, err
		}
		set.Classes = append(set.Classes, policy.Class{Name: l.Name, PriorityWeight: l.Worth, LatencyObjective: micros(l.GoalTime),
			LateFraction: l.LateWorth, Effect: effect, DedupScope: group, DedupWindow: micros(l.Window)})
	}
	for _, a := range in.Accounts {
		set.Tenants = append(set.Tenants, policy.Tenant{Name: a.Name, Quota: a.Quota})
	}
	return set, nil
}

func (in *setup) node() (Node, error) {
	n := Node{MaxOpenRequests: 20000, MaxStreams: 1, ConnectTimeout: 250 * time.Millisecond, ConnectionIdle: 30 * time.Second}
	for _, l := range in.Lanes {
		n.MaxDeadline = max(n.MaxDeadline, micros(l.Deadline))
	}
	if v := in.Limits.MaxOpen; v != nil {
		n.MaxOpenRequests = *v
	}
	if v := in.Limits.Streams; v != nil {
		n.MaxStreams = *v
	}
	if v := in.Limits.Connect; v != nil {
		n.ConnectTimeout = micros(*v)
	}
	if v := in.Limits.Idle; v != nil {
		n.ConnectionIdle = micros(*v)
	}
	switch {
	case n.MaxOpenRequests < 1:
		return n, errors.New("field limits.max_open: must be at least 1")
	case n.MaxStreams < 1:
		return n, errors.New("field limits.streams_per_conn: must be at least 1")
	case n.ConnectTimeout <= 0:
		return n, errors.New("field limits.connect_timeout: must be above 0")
	case n.ConnectionIdle <= 0:
		return n, errors.New("field limits.conn_idle: must be above 0")
	}
	return n, nil
}

// ParseEnum looks up a word of the settings and names the field where it is not one.
func ParseEnum[T any](words map[string]T, field, w string) (T, error) {
	v, ok := words[w]
	if !ok {
		return v, fmt.Errorf("field %s: unknown value %q", field, w)
	}
	return v, nil
}

func micros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
