// Package scenario reads scenario files, which describe a test run: the emulated system, the nodes, the load and the
// faults. A file states only what differs from Default. Numbers and durations may be ranges, from which a seed draws a
// value. Scenario.Draw makes the plan of a seed, which the emulator runs. The package uses no clock, and no I/O except
// to read the file.
package scenario

import "shelfproxy/internal/tomlfile"

// Scenario is the content of a scenario file, with default values for the fields that the file leaves out.
type Scenario struct {
	Name         string            `toml:"name"`
	About        string            `toml:"about"`
	Length       tomlfile.Duration `toml:"length"` // duration of the load
	Nodes        Nodes             `toml:"nodes"`
	Zones        Zones             `toml:"zones"`
	CacheServers CacheServers      `toml:"boxes"`
	Kinds        []CacheServerKind `toml:"kind"`
	Origin       Origin            `toml:"origin"`
	Discovery    Discovery         `toml:"roster"`
	Link         Link              `toml:"link"`
	Invariants   Invariants        `toml:"rules"`
	Classes      []Class           `toml:"class"`
	Keys         Keys              `toml:"keys"`
	Workload     Load              `toml:"load"`
	Fault        []Fault           `toml:"fault"`

	file *tomlfile.File // parsed file, which provides the line numbers in errors
}

// Nodes describes the nodes under test and the limits in their configurations.
type Nodes struct {
	Count          Range             `toml:"count"`
	Cores          float64           `toml:"cores"`
	CPUShare       float64           `toml:"cpu_share"` // fraction of a processor that each node process may use; 0 is no limit
	MemoryMB       int               `toml:"memory_mb"`
	Sockets        int               `toml:"sockets"`
	MaxOpen        int               `toml:"max_open"`
	MaxAttempts    int               `toml:"max_attempts"`
	MaxStreams     int               `toml:"streams_per_connection"`
	ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
	ConnectionIdle tomlfile.Duration `toml:"connection_idle"`
	RetryAfter     tomlfile.Duration `toml:"max_retry_after"` // longest Retry-After that clients follow; 0 means that they follow none
	HealthChecks   bool              `toml:"probes"`
	Cancel         bool              `toml:"cancel"`
}

// Zones lists the zones and how the load and the cache servers are distributed over them.
type Zones struct {
	Names        []string  `toml:"names"`
	Traffic      []float64 `toml:"traffic"` // weight of each zone in the load; if empty, all zones have the same weight
	CacheServers []float64 `toml:"boxes"`   // weight of each zone for the cache servers; if empty, all zones have the same weight
}

// CacheServers holds the number of cache servers in all, and the number of cache servers in each cell of the endpoint list.
type CacheServers struct {
	Count    Range `toml:"count"`
	CellSize Range `toml:"cell_size"`
}

// CacheServerKind describes a kind of cache server. Work and rates are defined as in model.CacheServerKind.
type CacheServerKind struct {
	Name              string  `toml:"name"`
	Share             float64 `toml:"share"`
	Cores             int     `toml:"cores"`
	Speed             Range   `toml:"speed"`
	SlotsPerCore      Range   `toml:"slots_per_core"`
	QueuePerCore      Range   `toml:"queue_per_core"`
	SlowStartFloor    Range   `toml:"cold_from"`
	SlowStartDuration Span    `toml:"warm_after"`
	MemoryMB          Range   `toml:"memory_mb"`
	Eviction          string  `toml:"eviction"` // which value is evicted from a full cache: "lru" or "fifo"
	Connections       Range   `toml:"connections"`
	ConnectionWork    Span    `toml:"connection_work"`
	HealthCheckWork   Span    `toml:"probe_work"`
	MissWork          Range   `toml:"miss_work"`
	ChokeAt           Range   `toml:"choke_at"`
	Choke             Range   `toml:"choke"`
	Cancel            string  `toml:"cancel"` // requests dropped when their connection ends: "none", "queued" or "all"
	DropExpired       bool    `toml:"drop_expired"`
	ErrorRate         Range   `toml:"error_rate"`
}

// Origin describes the origin, which is the database of record.
type Origin struct {
	Zone             string `toml:"zone"` // zone of the origin; the first of Zones.Names if empty
	Median           Span   `toml:"median"`
	Sigma            Range  `toml:"sigma"`
	Parallel         Range  `toml:"parallel"`
	Queue            Range  `toml:"queue"`
	OverloadMultiple Range  `toml:"fall_multiple"`
	OverloadWindow   Span   `toml:"fall_after"`
	OverloadStall    Span   `toml:"fall_for"`
	ValueBytes       int    `toml:"value_bytes"`
	Cancel           bool   `toml:"cancel"`
}

// Discovery describes the discovery service.
type Discovery struct {
	Lag       Span              `toml:"lag"`
	Call      tomlfile.Duration `toml:"call"`
	PerEntry  tomlfile.Duration `toml:"line"`
	Timeout   tomlfile.Duration `toml:"timeout"`
	Heartbeat tomlfile.Duration `toml:"beat"`
	Batch     tomlfile.Duration `toml:"batch"` // changes are published together at multiples of this interval; 0 publishes each change at once
}

// Link describes the network between the nodes and the servers.
type Link struct {
	Same       Span              `toml:"same"`
	Cross      Span              `toml:"cross"`
	Loss       Range             `toml:"loss"`
	Retransmit tomlfile.Duration `toml:"retransmit"`
}

// Invariants holds the tolerances of the invariants that the emulator checks.
type Invariants struct {
	DrainWithin    tomlfile.Duration `toml:"drain_within"` // time for which a node notified of a drain may still send new requests
	NotifyWithin   tomlfile.Duration `toml:"told_within"`  // time after which a node counts as notified of a change, even if it was not
	Grace          tomlfile.Duration `toml:"grace"`        // tolerance that is added to every time limit
	OverloadFactor float64           `toml:"fall_factor"`
	OverloadWindow tomlfile.Duration `toml:"fall_after"`
}
