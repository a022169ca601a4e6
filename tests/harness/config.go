package harness

import (
	"encoding/json"
	"testing"
)

// InitialVersion is the version of the endpoint list in the configuration of nodes.
const InitialVersion = 41

// Lifecycles and kinds of instances in a list.
const (
	Up       = "up"
	Draining = "draining"

	KindCacheServer = "box"
	KindOrigin      = "origin"
)

// Config is the configuration of a node.
type Config struct {
	Name       string    `json:"name"`
	Listen     string    `json:"listen"`
	Seed       string    `json:"seed"`
	Discovery  string    `json:"discovery"`
	Known      *List     `json:"known,omitempty"`
	Limits     Limits    `json:"limits"`
	Settings   *Settings `json:"settings,omitempty"`
	PeerListen string    `json:"peer_listen,omitempty"`
	Peers      []string  `json:"peers,omitempty"`
	PeersAll   string    `json:"peers_all,omitempty"`
}

// List is an endpoint list, or a change of one.
type List struct {
	Version   int        `json:"generation"`
	IsFull    bool       `json:"reset"`
	Instances []Instance `json:"instances"`
}

// Instance is an endpoint.
type Instance struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedAt int64   `json:"startedAtMs"`
}

// Limits are the resources that a node may use.
type Limits struct {
	Cores    float64 `json:"cores,omitempty"`
	MemoryMB int     `json:"memory_mb,omitempty"`
	Sockets  int     `json:"sockets"`
}

// Settings are the settings of the balancer. Times are in microseconds.
type Settings struct {
	Replicas     int             `json:"replicas_of_me"`
	Zone         string          `json:"az"`
	RegistryMode string          `json:"registry_mode"`
	Tick         int             `json:"tick"`
	Classes      []Class         `json:"lanes"`
	Kinds        []string        `json:"machine_types"`
	Family       Family          `json:"family_info"`
	Limits       BalancerLimits  `json:"limits"`
	Tolerances   Tolerances      `json:"rules"`
	Tenants      []TenantAccount `json:"accounts,omitempty"`
}

// Class is a class of requests.
type Class struct {
	Name             string  `json:"name"`
	Semantics        string  `json:"semantics"`
	KeyScope         string  `json:"key_scope"`
	PriorityWeight   float64 `json:"worth"`
	LatencyObjective int     `json:"goal_time"`
	Deadline         int     `json:"deadline"`
	LateFraction     float64 `json:"late_worth"`
	DedupWindow      int     `json:"window"`
}

// Family describes how the cache servers and the origin work together.
type Family struct {
	Mode       string `json:"mode"`
	OriginKind int    `json:"origin_kind"`
}

// BalancerLimits are the limits in the balancer's settings. Times are in microseconds.
type BalancerLimits struct {
	HealthChecks   bool `json:"probes"`
	Cancel         bool `json:"cancel"`
	MaxAttempts    int  `json:"max_attempts"`
	MaxOpen        int  `json:"max_open"`
	MaxStreams     int  `json:"streams_per_conn"`
	ConnectTimeout int  `json:"connect_timeout"`
	ConnectionIdle int  `json:"conn_idle"`
	MayGossip      bool `json:"may_tell,omitempty"`
	RetryAfter     bool `json:"retry_after,omitempty"`
	MaxRetryAfter  int  `json:"max_retry_after,omitempty"`
}

// Tolerances describe how much load cache servers can take. Times are in microseconds.
type Tolerances struct {
	SlowStartFloor    float64 `json:"cold_from"`
	SlowStartDuration int     `json:"warm_after"`
	OverloadFactor    float64 `json:"overload_factor"`
}

// TenantAccount is the quota of a tenant.
type TenantAccount struct {
	Name  string `json:"name"`
	Quota int    `json:"quota_per_s"` // requests a second
}

// NewList returns an endpoint list, or a change of one if isFull is false.
func NewList(version int, isFull bool, instances ...Instance) List {
	return List{Version: version, IsFull: isFull, Instances: instances}
}

// NewInstance returns an endpoint in zone a with weight 1.
func NewInstance(id, address, kind, lifecycle string) Instance {
	return Instance{ID: id, Address: address, Zone: "a", Kind: kind, Lifecycle: lifecycle, Weight: 1}
}

// FewDescriptors returns limits with so few descriptors that requests have to share the connections to a server.
func FewDescriptors() Limits { return Limits{Sockets: 128} }

// defaultConfig returns the configuration of a node with three classes: idempotent "read", deduplicated "put" and at-most-once
// "cert".
func defaultConfig() Config {
	class := func(name, semantics string, weight float64) Class {
		return Class{Name: name, Semantics: semantics, KeyScope: "all", PriorityWeight: weight, LatencyObjective: 1500000,
			Deadline: 3000000, LateFraction: 0.5, DedupWindow: 4000000}
	}
	return Config{Name: "n0", Listen: "127.0.0.1:0", Seed: "8c1f30d27a5be964",
		Limits: Limits{Cores: 1, MemoryMB: 192, Sockets: 1024},
		Settings: &Settings{Replicas: 1, Zone: "a", RegistryMode: "subscribe", Tick: 5000,
			Classes: []Class{class("read", "idempotent", 1), class("put", "deduplicated", 10), class("cert", "at_most_once", 3)},
			Kinds:   []string{KindCacheServer, KindOrigin}, Family: Family{Mode: "aside", OriginKind: 1},
			Limits: BalancerLimits{HealthChecks: true, Cancel: true, MaxAttempts: 6, MaxOpen: 20000, MaxStreams: 32,
				ConnectTimeout: 250000, ConnectionIdle: 30000000},
			Tolerances: Tolerances{SlowStartFloor: 0.13, SlowStartDuration: 23000000, OverloadFactor: 3}}}
}

// ConfigEdit changes the decoded JSON of a configuration. It allows for what Config cannot express: unknown fields and invalid
// values.
type ConfigEdit func(config map[string]any)

// encode returns the JSON of the configuration after the edits.
func (c Config) encode(t testing.TB, edits ...ConfigEdit) string {
	t.Helper()
	text := EncodeJSON(t, c)
	if len(edits) == 0 {
		return text
	}
	var edited map[string]any
	if err := json.Unmarshal([]byte(text), &edited); err != nil {
		t.Fatalf("decode the configuration: %v", err)
	}
	for _, edit := range edits {
		edit(edited)
	}
	return EncodeJSON(t, edited)
}

// EncodeJSON returns a value as JSON.
func EncodeJSON(t testing.TB, value any) string {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatalf("encode %T as JSON: %v", value, err)
	}
	return string(text)
}
