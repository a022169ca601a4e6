package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
)

// NodeConfig describes a node: its name and zone, its number in the plan, the address at which it listens, and the path of
// its configuration file, whose format is that of LB_CONFIG.
type NodeConfig struct {
	Name, Zone, Listen, Path string
	Number                   int
}

// errEnded is the error of calls after the emulator was closed.
var errEnded = errors.New("the emulator has ended")

// WriteConfigs writes a configuration file for each node into a folder. It must be called after Start. The initial list
// in the files is the current endpoint list. The error is a *PortTakenError if a fixed port is in use.
func (e *Emulator) WriteConfigs(dir string) ([]NodeConfig, error) {
	var configs []NodeConfig
	for i, node := range e.plan.Spec.Nodes {
		listen, err := e.freeAddress(i)
		if err != nil {
			return nil, err
		}
		config := NodeConfig{Name: node.Name, Zone: node.Zone, Listen: listen, Path: filepath.Join(dir, node.Name+".json"), Number: i}
		if err := e.WriteConfig(config); err != nil {
			return nil, err
		}
		configs = append(configs, config)
	}
	return configs, nil
}

// freeAddress returns a free address at which a node can listen. With a base port the address has the node's fixed port.
// Otherwise it has a free port of a random loopback address. No connection is dialed from that address, so none can take
// the port.
func (e *Emulator) freeAddress(node int) (address string, err error) {
	port, host := 0, fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
	if e.options.BasePort > 0 {
		port, host = e.options.BasePort+node, "127.0.0.1"
	}
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", fmt.Sprintf("%s:%d", host, port))
	if err != nil {
		if port != 0 {
			return "", &PortTakenError{port}
		}
		return "", err
	}
	defer func() { err = errors.Join(err, listener.Close()) }()
	return listener.Addr().String(), nil
}

// WriteConfig writes the configuration file of one node, with the current endpoint list and a new seed. It is also used
// before a restart of the node.
func (e *Emulator) WriteConfig(c NodeConfig) error {
	var initialList json.RawMessage
	if !e.Do(func(_ time.Duration, system *model.System, checker *invariants.Checker) {
		list := system.List()
		for _, entry := range list.Entries {
			checker.NodeKnowsStart(c.Number, entry.ID, entry.Started)
		}
		initialList = e.encodeList(list, c.Number)
	}) {
		return errEnded
	}
	text, err := json.MarshalIndent(e.nodeConfig(c, initialList), "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(c.Path, text, 0o600)
}

// The configuration of a node in the format of LB_CONFIG. The fields are in the alphabetical order of their keys.
type (
	nodeConfig struct {
		Discovery   string          `json:"discovery"`
		InitialList json.RawMessage `json:"known"`
		Limits      machineLimits   `json:"limits"`
		Listen      string          `json:"listen"`
		Name        string          `json:"name"`
		*gossipConfig
		Seed     string       `json:"seed"`
		Settings nodeSettings `json:"settings"`
	}

	machineLimits struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	}

	// gossipConfig holds the addresses for gossip. It is omitted for nodes that may not gossip.
	gossipConfig struct {
		Listen string   `json:"peer_listen"`
		Peers  []string `json:"peers"`
		All    string   `json:"peers_all"`
	}

	nodeSettings struct {
		Zone             string        `json:"az"`
		Zones            []string      `json:"failure_domains"`
		Cache            cacheSettings `json:"family_info"`
		Classes          []classConfig `json:"lanes"`
		Limits           requestLimits `json:"limits"`
		Kinds            []string      `json:"machine_types"`
		Rank             int           `json:"rank"`
		DiscoveryMode    string        `json:"registry_mode"`
		Nodes            int           `json:"replicas_of_me"`
		Rules            slowStart     `json:"rules"`
		TickMicroseconds int           `json:"tick"`
		Weights          string        `json:"weights"`
	}

	cacheSettings struct {
		Mode       string `json:"mode"`
		OriginKind int    `json:"origin_kind"` // index in machine_types
	}

	// classConfig configures a class of requests. Times are in microseconds.
	classConfig struct {
		Deadline         int64   `json:"deadline"`
		LatencyObjective int64   `json:"goal_time"`
		KeyScope         string  `json:"key_scope"`
		LateFraction     float64 `json:"late_worth"`
		Name             string  `json:"name"`
		Effect           string  `json:"semantics"`
		DedupWindow      int64   `json:"window"`
		PriorityWeight   float64 `json:"worth"`
	}

	// requestLimits bound what a node may do. Times are in microseconds.
	requestLimits struct {
		Cancel           bool  `json:"cancel"`
		ConnectionIdle   int64 `json:"conn_idle"`
		ConnectTimeout   int64 `json:"connect_timeout"`
		MaxAttempts      int   `json:"max_attempts"`
		MaxOpen          int   `json:"max_open"`
		MaxRetryAfter    int64 `json:"max_retry_after"`
		Gossip           bool  `json:"may_tell"`
		HealthChecks     bool  `json:"probes"`
		RetryAfter       bool  `json:"retry_after"`
		StreamsPerSocket int   `json:"streams_per_conn"`
	}

	// slowStart describes the slow start of the slowest kind of cache server. The duration is in microseconds.
	slowStart struct {
		Floor          float64 `json:"cold_from"`
		OverloadFactor float64 `json:"overload_factor"`
		Duration       int64   `json:"warm_after"`
	}
)

// nodeTick is the interval of a node's periodic work, in microseconds.
const nodeTick = 5000

func (e *Emulator) nodeConfig(c NodeConfig, initialList json.RawMessage) nodeConfig {
	plan := e.plan
	kinds := e.cacheServerKinds()
	config := nodeConfig{
		Discovery:   e.discovery[c.Number].listener.Addr().String(),
		InitialList: initialList,
		Limits:      machineLimits{Cores: plan.Nodes.Cores, MemoryMB: plan.Nodes.MemoryMB, Sockets: plan.Nodes.Sockets},
		Listen:      c.Listen,
		Name:        c.Name,
		Seed:        fmt.Sprintf("%016x", rand.Uint64()),
		Settings: nodeSettings{
			Zone:             c.Zone,
			Zones:            plan.Zones,
			Cache:            cacheSettings{Mode: "aside", OriginKind: len(kinds)},
			Classes:          e.classConfigs(),
			Limits:           e.requestLimits(),
			Kinds:            append(kinds, model.OriginID),
			Rank:             c.Number,
			DiscoveryMode:    "subscribe",
			Nodes:            len(plan.Spec.Nodes),
			Rules:            e.slowStart(),
			TickMicroseconds: nodeTick,
			Weights:          "none",
		},
	}
	if e.options.Peers != nil {
		listen, peers, all := e.options.Peers(c.Number)
		config.gossipConfig = &gossipConfig{Listen: listen, Peers: peers, All: all}
	}
	return config
}

// cacheServerKinds returns the names of the kinds, each once, in the order in which they first occur among the cache
// servers.
func (e *Emulator) cacheServerKinds() []string {
	var kinds []string
	seen := map[string]bool{}
	for _, server := range e.plan.Spec.CacheServers {
		if name := server.Kind.Name; !seen[name] {
			seen[name] = true
			kinds = append(kinds, name)
		}
	}
	return kinds
}

func (e *Emulator) classConfigs() []classConfig {
	var configs []classConfig
	for _, class := range e.plan.Classes {
		configs = append(configs, classConfig{
			Deadline:         class.Deadline.D().Microseconds(),
			LatencyObjective: class.LatencyObjective.D().Microseconds(),
			KeyScope:         "all",
			LateFraction:     class.LateFraction,
			Name:             class.Name,
			Effect:           class.Effect,
			DedupWindow:      class.DedupWindow.D().Microseconds(),
			PriorityWeight:   class.PriorityWeight,
		})
	}
	return configs
}

func (e *Emulator) requestLimits() requestLimits {
	nodes := e.plan.Nodes
	return requestLimits{
		Cancel:           nodes.Cancel,
		ConnectionIdle:   nodes.ConnectionIdle.D().Microseconds(),
		ConnectTimeout:   nodes.ConnectTimeout.D().Microseconds(),
		MaxAttempts:      nodes.MaxAttempts,
		MaxOpen:          nodes.MaxOpen,
		MaxRetryAfter:    nodes.RetryAfter.D().Microseconds(),
		Gossip:           e.options.Peers != nil,
		HealthChecks:     nodes.HealthChecks,
		RetryAfter:       nodes.RetryAfter > 0,
		StreamsPerSocket: nodes.MaxStreams,
	}
}

// slowStart returns the lowest floor and the longest duration of slow start among all cache servers.
func (e *Emulator) slowStart() slowStart {
	floor, duration := 1.0, time.Duration(0)
	for _, server := range e.plan.Spec.CacheServers {
		floor, duration = min(floor, server.Kind.SlowStartFloor), max(duration, server.Kind.SlowStartDuration)
	}
	return slowStart{Floor: floor, OverloadFactor: e.plan.Invariants.OverloadFactor, Duration: duration.Microseconds()}
}
