package config

import (
	"fmt"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/tomlfile"
)

// Operator is the operators' own file, in TOML. The platform's configuration and the LB_ variables override the file. A
// key that the file does not set takes the default that this package defines.
type Operator struct {
	// Node holds values that the platform's configuration may set under the same names.
	Node struct {
		Name      string `toml:"name"`
		Listen    string `toml:"listen"`    // host and port for clients
		Discovery string `toml:"discovery"` // host and port of the discovery service
		Seed      string `toml:"seed"`      // 64 bits in hex
	} `toml:"node"`
	Limits struct {
		Cores    float64 `toml:"cores"`     // processor cores that the node may use; 0: all cores of the machine
		MemoryMB int     `toml:"memory_mb"` // memory limit in MB, 32 or more
		Sockets  int     `toml:"sockets"`   // descriptors that the node may use, 128 or more
	} `toml:"limits"`
	Log struct {
		Level  string `toml:"level"`  // debug, info, warn or error
		Format string `toml:"format"` // auto, text or json; auto is text on a terminal
	} `toml:"log"`
	Listener   Listener   `toml:"listener"`
	Pools      Pools      `toml:"pools"`
	Shutdown   Shutdown   `toml:"shutdown"`
	Zones      Zones      `toml:"zones"`
	Rollout    Rollout    `toml:"rollout"`
	Leases     Leases     `toml:"duties"`
	Membership Membership `toml:"members"`
	Service    *Service   `toml:"service"` // used if there is no platform configuration; nil if the file has no [service] table

	file *tomlfile.File // nil if there is no operators' file
}

// Listener bounds the resources that clients may use.
type Listener struct {
	DescriptorFraction  float64           `toml:"share"`        // fraction of the node's descriptors that client connections get at the start, 0.1 to 0.8
	MaxPipelined        int               `toml:"pipelined"`    // maximum number of commands of one connection that wait for responses, 1 to 4096
	WriteTimeout        tomlfile.Duration `toml:"write"`        // a client that takes longer than this to receive one write of responses is disconnected
	FirstCommandTimeout tomlfile.Duration `toml:"silent"`       // a new client that sends no complete command within this time is disconnected
	IdleTimeout         tomlfile.Duration `toml:"idle"`         // a client without an open request for this long is disconnected
	CrowdedIdleTimeout  tomlfile.Duration `toml:"idle_crowded"` // idle timeout instead of IdleTimeout while the number of connections is near its maximum
}

// Pools bounds the connections to cache servers and the origin.
type Pools struct {
	CacheServerFraction float64 `toml:"target_share"` // fraction of the node's descriptors that connections to all cache servers get at the start, 0.05 to 0.8
	OriginFraction      float64 `toml:"origin_share"` // fraction of the node's descriptors that connections to the origin get at the start, 0.02 to 0.5
	MaxConnections      int     `toml:"connections"`  // maximum number of connections to one cache server, 1 to 4096
	MaxQueued           int     `toml:"waiting"`      // maximum number of attempts that wait for a connection to one server, 1 to 65536
}

// Shutdown bounds the graceful shutdown.
type Shutdown struct {
	Grace        tomlfile.Duration `toml:"grace"` // new requests are accepted for this long after SIGTERM
	LastResponse tomlfile.Duration `toml:"last"`  // every response is given within this time after SIGTERM, even if its client would wait longer
}

// Zones configures how keys are placed over zones.
type Zones struct {
	AffinityBudget float64 `toml:"leave_owner"` // greatest fraction of reads, 0 to 1, that may go to a server in the node's own zone instead of the key's owner
}

// Rollout bounds how many nodes may be out of service at once. The nodes of the fleet agree on which nodes these are.
// Rollout takes effect only if the nodes may send each other messages.
type Rollout struct {
	NodesOut           int               `toml:"nodes_out"`    // nodes that may be out of service at once; 0: no bound, each node drains when it is told to terminate
	MaxEjectedFraction float64           `toml:"servers_out"`  // fraction of the cache servers' capacity that may be out of use at once; beyond it, further outliers keep their keys; 0: no bound
	ZoneOut            int               `toml:"zone_out"`     // nodes of one zone that may be out of service at once; 0: no separate bound for a zone
	Release            string            `toml:"release"`      // name of the software release that this node runs
	Control            string            `toml:"control"`      // path of the Unix socket for shelfproxy ctl
	HeartbeatInterval  tomlfile.Duration `toml:"beacon"`       // time between two heartbeats of a node
	UnresponsiveAfter  tomlfile.Duration `toml:"silent"`       // a node that sends no heartbeat for this long counts as out of service
	RequestTimeout     tomlfile.Duration `toml:"lease"`        // a node's request for a drain slot is valid for this long; a node grants no slot for this long after its own start
	ReturnTimeout      tomlfile.Duration `toml:"return"`       // if a node is not back this long after it was allowed to drain, the rollout of the release halts
	WriteOffAfter      tomlfile.Duration `toml:"lost"`         // a node that is not back this long after it was allowed to drain, and sends no heartbeats, loses its slot
	ObservationPeriod  tomlfile.Duration `toml:"watch"`        // how long a started node has to serve requests well before it counts as ready
	MaxFailureRate     float64           `toml:"max_failed"`   // by how much a started node's fraction of failed responses may exceed the other nodes' median; above this, the release halts
	MaxSlowRate        float64           `toml:"max_slow"`     // by how much a started node's fraction of responses past their latency objective may exceed the other nodes' median; above this, the release halts
	MinSamples         int               `toml:"least_judged"` // minimum number of responses of a node before MaxFailureRate and MaxSlowRate apply to it
	MaxClockDrift      float64           `toml:"drift"`        // greatest difference between the speeds of two nodes' clocks, as a fraction
}

// CoreConfig returns the configuration of the rollout core. self is the index of this node, and nodes is the number of
// nodes.
func (r Rollout) CoreConfig(self, nodes int, zone string, incarnation, seed uint64) rollout.Config {
	return rollout.Config{
		Self:              self,
		Nodes:             nodes,
		Zone:              zone,
		Budget:            r.NodesOut,
		ZoneBudget:        r.ZoneOut,
		HeartbeatInterval: r.HeartbeatInterval.D(),
		UnresponsiveAfter: r.UnresponsiveAfter.D(),
		RequestTimeout:    r.RequestTimeout.D(),
		ReturnTimeout:     r.ReturnTimeout.D(),
		WriteOffAfter:     r.WriteOffAfter.D(),
		ObservationPeriod: r.ObservationPeriod.D(),
		MaxClockDrift:     r.MaxClockDrift,
		Release:           r.Release,
		MaxFailureRate:    r.MaxFailureRate,
		MaxSlowRate:       r.MaxSlowRate,
		MinSamples:        r.MinSamples,
		Incarnation:       incarnation,
		Seed:              seed,
	}
}

// Leases configures the leases of tasks that one node does on behalf of the whole fleet. They take effect only if the
// nodes may send each other messages.
type Leases struct {
	Resources     []string          `toml:"hold"`  // tasks that have a lease: prober, caller or both; empty: each node does both tasks for itself
	LeaseDuration tomlfile.Duration `toml:"lease"` // a node that holds a lease and is not heard from for this long is replaced by another node
	MaxClockDrift float64           `toml:"drift"` // greatest difference between the speeds of two nodes' clocks, as a fraction
	PeerListName  string            `toml:"list"`  // name of the list of peers, the same at all nodes; each change of the list needs a new name
}

// CoreConfig returns the configuration of the lease core. self is the index of this node, and nodes is the number of
// nodes.
func (l Leases) CoreConfig(self, nodes int, epoch, seed uint64) lease.Config {
	return lease.Config{
		Self:          self,
		Nodes:         nodes,
		PeerListID:    l.PeerListID(nodes),
		Resources:     l.Resources,
		LeaseDuration: l.LeaseDuration.D(),
		MaxClockDrift: l.MaxClockDrift,
		Epoch:         epoch,
		Seed:          seed,
	}
}

// PeerListID returns the number that identifies a list of peers. The number does not depend on the peers' addresses,
// because each node may reach the others at addresses of its own.
func (l Leases) PeerListID(nodes int) uint32 {
	return lease.HashName(fmt.Sprintf("%d/%s", nodes, l.PeerListName))
}

// Membership configures how the nodes detect which nodes have failed. It takes effect only if the nodes may send each
// other messages.
type Membership struct {
	Enabled         bool              `toml:"on"`
	ProbeInterval   tomlfile.Duration `toml:"period"`    // time between two probes that this node sends
	ProbeTimeout    tomlfile.Duration `toml:"wait"`      // time to wait for the answer to a probe before other nodes are asked to probe the silent node
	IndirectProbes  int               `toml:"ask"`       // number of other nodes that are asked to probe a silent node on behalf of this node
	SuspicionFactor float64           `toml:"suspicion"` // a node suspected to have failed is declared dead after this many probe intervals times log2(nodes+1)
}

// CoreConfig returns the configuration of the membership core. self is the index of this node, and nodes is the number
// of nodes.
func (m Membership) CoreConfig(self, nodes int, peerListID uint32, incarnation, seed uint64) membership.Config {
	return membership.Config{
		Self:            self,
		Nodes:           nodes,
		PeerListID:      peerListID,
		Incarnation:     incarnation,
		ProbeInterval:   m.ProbeInterval.D(),
		ProbeTimeout:    m.ProbeTimeout.D(),
		IndirectProbes:  m.IndirectProbes,
		SuspicionFactor: m.SuspicionFactor,
		Seed:            seed,
	}
}

// readOperator reads the operators' file at path. If path is empty, it returns the defaults.
func readOperator(path string) (*Operator, error) {
	operator := defaultOperator()
	if path == "" {
		return operator, nil
	}
	operator.Service = defaultService()
	file, err := tomlfile.Read(path, operator)
	if err != nil {
		return nil, fileError(err)
	}
	if file.Line("service") == 0 { // the file has no [service] table, so the defaults of defaultService are dropped again
		operator.Service = nil
	}
	operator.file = file
	return operator, operator.validate()
}
