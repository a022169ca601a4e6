// Package scenario reads the files that describe what the testbed plays: the emulated system, the nodes, the load and
// the faults. A file states only what differs from Default. Numbers and durations may be ranges, of which a seed draws
// a value; Scenario.Draw makes the plan of a seed, which the emulator plays. Nothing here has a clock or any I/O but
// reading the file.
package scenario

import "shelfproxy/internal/tomlfile"

// Scenario is a scenario file as it was read, with the defaults for what it leaves out.
type Scenario struct {
	Name         string            `toml:"name"`
	About        string            `toml:"about"`
	Length       tomlfile.Duration `toml:"length"` // of the load
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

	file *tomlfile.File // for the lines of error messages
}

// Nodes are the nodes that the scenario is for, and the limits in their configurations.
type Nodes struct {
	Count          Range             `toml:"count"`
	Cores          float64           `toml:"cores"`
	CPUShare       float64           `toml:"cpu_share"` // of a processor that each process may use; 0: as much as there is
	MemoryMB       int               `toml:"memory_mb"`
	Sockets        int               `toml:"sockets"`
	MaxOpen        int               `toml:"max_open"`
	MaxAttempts    int               `toml:"max_attempts"`
	MaxStreams     int               `toml:"streams_per_connection"`
	ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
	ConnectionIdle tomlfile.Duration `toml:"connection_idle"`
	RetryAfter     tomlfile.Duration `toml:"max_retry_after"` // 0: clients do not honour Retry-After
	HealthChecks   bool              `toml:"probes"`
	Cancel         bool              `toml:"cancel"`
}

// Zones are the zones, and how the load and the cache servers are distributed over them.
type Zones struct {
	Names        []string  `toml:"names"`
	Traffic      []float64 `toml:"traffic"` // weights of the load; evenly if empty
	CacheServers []float64 `toml:"boxes"`   // weights of the cache servers; evenly if empty
}

// CacheServers is the number of cache servers, and of those that share a cell.
type CacheServers struct {
	Count    Range `toml:"count"`
	CellSize Range `toml:"cell_size"`
}

// CacheServerKind is a kind of cache server. Work and rates are those of model.CacheServerKind.
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
	Eviction          string  `toml:"eviction"` // lru or fifo
	Connections       Range   `toml:"connections"`
	ConnectionWork    Span    `toml:"connection_work"`
	HealthCheckWork   Span    `toml:"probe_work"`
	MissWork          Range   `toml:"miss_work"`
	ChokeAt           Range   `toml:"choke_at"`
	Choke             Range   `toml:"choke"`
	Cancel            string  `toml:"cancel"` // none, queued or all
	DropExpired       bool    `toml:"drop_expired"`
	ErrorRate         Range   `toml:"error_rate"`
}

// Origin is the origin, the database of record.
type Origin struct {
	Zone             string `toml:"zone"` // the first one if empty
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

// Discovery is the discovery service.
type Discovery struct {
	Lag       Span              `toml:"lag"`
	Call      tomlfile.Duration `toml:"call"`
	PerEntry  tomlfile.Duration `toml:"line"`
	Timeout   tomlfile.Duration `toml:"timeout"`
	Heartbeat tomlfile.Duration `toml:"beat"`
	Batch     tomlfile.Duration `toml:"batch"` // changes are published together at each multiple of this; 0: each at once
}

// Link is the network between the nodes and the servers.
type Link struct {
	Same       Span              `toml:"same"`
	Cross      Span              `toml:"cross"`
	Loss       Range             `toml:"loss"`
	Retransmit tomlfile.Duration `toml:"retransmit"`
}

// Invariants are the tolerances of the invariants that the emulator checks.
type Invariants struct {
	DrainWithin    tomlfile.Duration `toml:"drain_within"` // from the notification of a node
	NotifyWithin   tomlfile.Duration `toml:"told_within"`  // a node counts as notified of a change after this time
	Grace          tomlfile.Duration `toml:"grace"`        // added to every limit
	OverloadFactor float64           `toml:"fall_factor"`
	OverloadWindow tomlfile.Duration `toml:"fall_after"`
}
