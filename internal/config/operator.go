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
	Service    *Service   `toml:"service"` // used if there is no platform configuration; nil without the table

	file *tomlfile.File // nil if there is no operators' file
}

// Listener bounds the resources that clients may use.
type Listener struct {
	DescriptorFraction  float64           `toml:"share"`        // fraction of the descriptors for client connections, 0.1 to 0.8
	MaxPipelined        int               `toml:"pipelined"`    // commands of one connection that may wait for responses, 1 to 4096
	WriteTimeout        tomlfile.Duration `toml:"write"`        // a client that reads nothing for this long is disconnected
	FirstCommandTimeout tomlfile.Duration `toml:"silent"`       // a client that sends no complete command for this long is disconnected
	IdleTimeout         tomlfile.Duration `toml:"idle"`         // a client without an open request for this long is disconnected
	CrowdedIdleTimeout  tomlfile.Duration `toml:"idle_crowded"` // replaces IdleTimeout while the connection table is crowded
}

// Pools bounds the connections to cache servers and the origin.
type Pools struct {
	CacheServerFraction float64 `toml:"target_share"` // fraction of the descriptors for connections to all cache servers, 0.05 to 0.8
	OriginFraction      float64 `toml:"origin_share"` // fraction of the descriptors for connections to the origin, 0.02 to 0.5
	MaxConnections      int     `toml:"connections"`  // connections to one cache server, 1 to 4096
	MaxQueued           int     `toml:"waiting"`      // attempts that wait for a connection to one server, 1 to 65536
}

// Shutdown bounds the graceful shutdown.
type Shutdown struct {
	Grace        tomlfile.Duration `toml:"grace"` // new requests are accepted for this long after SIGTERM
	LastResponse tomlfile.Duration `toml:"last"`  // every response is given within this time after SIGTERM, even if its client would wait longer
}

// Zones configures how keys are placed over zones.
type Zones struct {
	AffinityBudget float64 `toml:"leave_owner"` // fraction of reads, 0 to 1, that may go to a server of the node's zone in place of their key's owner
}

// Rollout bounds how many nodes may be out of service at once. The nodes of the fleet agree on which ones may be.
// Rollout takes effect where nodes may send each other messages.
type Rollout struct {
	NodesOut           int               `toml:"nodes_out"`    // nodes that may be out of service at once; 0: each node drains when it is told to
	MaxEjectedFraction float64           `toml:"servers_out"`  // fraction of cache servers that may be out at once; past it outliers keep their keys; 0: no bound
	ZoneOut            int               `toml:"zone_out"`     // nodes of one zone that may be out of service at once; 0: no separate bound for a zone
	Release            string            `toml:"release"`      // release that this node runs
	Control            string            `toml:"control"`      // path of the Unix socket for shelfproxy ctl
	HeartbeatInterval  tomlfile.Duration `toml:"beacon"`       // time between two heartbeats of a node
	UnresponsiveAfter  tomlfile.Duration `toml:"silent"`       // a node without a heartbeat for this long is out of service
	RequestTimeout     tomlfile.Duration `toml:"lease"`        // a slot request is valid for this long, and a started node grants nothing for this long
	ReturnTimeout      tomlfile.Duration `toml:"return"`       // a node that is out of service for longer halts the rollout of the release
	WriteOffAfter      tomlfile.Duration `toml:"lost"`         // a node that is out of service for longer loses its slot
	ObservationPeriod  tomlfile.Duration `toml:"watch"`        // a started node is ready after it has done well for this long
	MaxFailureRate     float64           `toml:"max_failed"`   // fraction of a node's responses that may fail in ObservationPeriod, above the other nodes' fraction
	MaxSlowRate        float64           `toml:"max_slow"`     // fraction of a node's responses that may miss their latency objective, above the other nodes' fraction
	MinSamples         int               `toml:"least_judged"` // minimum number of responses for MaxFailureRate and MaxSlowRate to apply
	MaxClockDrift      float64           `toml:"drift"`        // greatest difference in the rates of two nodes' clocks, as a fraction
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

// Leases configures the leases that one node holds on behalf of the whole fleet. They take effect where nodes may send
// each other messages.
type Leases struct {
	Resources     []string          `toml:"hold"`  // leases that may be taken: prober, caller or both; none: each node does both tasks for itself
	LeaseDuration tomlfile.Duration `toml:"lease"` // a lease holder that is not heard from for this long is replaced
	MaxClockDrift float64           `toml:"drift"` // greatest difference in the rates of two nodes' clocks, as a fraction
	PeerListName  string            `toml:"list"`  // name of the list of peers: the same at all nodes, and a new one for each change of the list
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

// Membership configures the failure detection among the nodes. It takes effect where nodes may send each other messages.
type Membership struct {
	Enabled         bool              `toml:"on"`
	ProbeInterval   tomlfile.Duration `toml:"period"`    // time between two probes that this node sends
	ProbeTimeout    tomlfile.Duration `toml:"wait"`      // time to wait for an acknowledgement before indirect probes are sent
	IndirectProbes  int               `toml:"ask"`       // number of nodes that are asked to probe on behalf of this one
	SuspicionFactor float64           `toml:"suspicion"` // a suspect is dead after this many probe intervals times the logarithm of the fleet's size
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
	if file.Line("service") == 0 { // without a [service] table the defaults must not be taken for one
		operator.Service = nil
	}
	operator.file = file
	return operator, operator.validate()
}
