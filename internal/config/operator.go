package config

import (
	"fmt"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/tomlfile"
)

// Operator is the operators' own file, in TOML. The platform's configuration and the LB_ variables go before it; a key
// that it does not set has the default of this package.
type Operator struct {
	// Node holds what the platform's configuration may set under the same names.
	Node struct {
		Name      string `toml:"name"`
		Listen    string `toml:"listen"`    // host and port for clients
		Discovery string `toml:"discovery"` // host and port of the discovery service
		Seed      string `toml:"seed"`      // 64 bits in hex
	} `toml:"node"`
	Limits struct {
		Cores    float64 `toml:"cores"`     // of the processor; 0: all that there are
		MemoryMB int     `toml:"memory_mb"` // 32 or more
		Sockets  int     `toml:"sockets"`   // descriptors, 128 or more
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
	Service    *Service   `toml:"service"` // in place of the platform's settings; nil without the table

	file *tomlfile.File // nil where there is none
}

// Listener bounds what clients may use.
type Listener struct {
	DescriptorFraction  float64           `toml:"share"`        // fraction of the descriptors, 0.1 to 0.8
	MaxPipelined        int               `toml:"pipelined"`    // commands of a connection that wait for responses, 1 to 4096
	WriteTimeout        tomlfile.Duration `toml:"write"`        // a client that reads nothing for this long is disconnected
	FirstCommandTimeout tomlfile.Duration `toml:"silent"`       // and so is one that sent nothing, or part of a command
	IdleTimeout         tomlfile.Duration `toml:"idle"`         // and one without an open request
	CrowdedIdleTimeout  tomlfile.Duration `toml:"idle_crowded"` // the same in a crowded connection table
}

// Pools bounds the connections to cache servers and the origin.
type Pools struct {
	CacheServerFraction float64 `toml:"target_share"` // fraction of the descriptors, for all cache servers together, 0.05 to 0.8
	OriginFraction      float64 `toml:"origin_share"` // and for the origin, 0.02 to 0.5
	MaxConnections      int     `toml:"connections"`  // to one cache server, 1 to 4096
	MaxQueued           int     `toml:"waiting"`      // attempts that wait for a connection to one server, 1 to 65536
}

// Shutdown bounds the graceful shutdown.
type Shutdown struct {
	Grace        tomlfile.Duration `toml:"grace"` // new requests are accepted for this long after SIGTERM
	LastResponse tomlfile.Duration `toml:"last"`  // every response is given by then, whatever deadline its client has
}

// Zones says how keys are placed over zones.
type Zones struct {
	AffinityBudget float64 `toml:"leave_owner"` // fraction of reads that may go to a server of the node's zone in place of their key's owner, 0 to 1
}

// Rollout bounds how many nodes may be out of service at once, by agreement of the fleet. It takes effect where nodes
// may send each other messages.
type Rollout struct {
	NodesOut           int               `toml:"nodes_out"`    // at once; 0: each node drains when it is told to
	MaxEjectedFraction float64           `toml:"servers_out"`  // of the cache servers; past it outliers keep their keys; 0: no bound
	ZoneOut            int               `toml:"zone_out"`     // nodes of one zone; 0: no bound of its own
	Release            string            `toml:"release"`      // that this node runs
	Control            string            `toml:"control"`      // path of the Unix socket for shelfproxy ctl
	HeartbeatInterval  tomlfile.Duration `toml:"beacon"`       // between two heartbeats of a node
	UnresponsiveAfter  tomlfile.Duration `toml:"silent"`       // a node without a heartbeat for this long is out of service
	RequestTimeout     tomlfile.Duration `toml:"lease"`        // a slot request is valid for this long, and a node grants nothing before it ran for this long
	ReturnTimeout      tomlfile.Duration `toml:"return"`       // a node that is out of service for longer halts the release
	WriteOffAfter      tomlfile.Duration `toml:"lost"`         // and after this its slot is released
	ObservationPeriod  tomlfile.Duration `toml:"watch"`        // a node is ready after it did well for this long
	MaxFailureRate     float64           `toml:"max_failed"`   // fraction of its responses that may fail meanwhile, past that of the other nodes
	MaxSlowRate        float64           `toml:"max_slow"`     // and fraction that may come after the latency objective of their class
	MinSamples         int               `toml:"least_judged"` // responses from which on these rates count
	MaxClockDrift      float64           `toml:"drift"`        // of two nodes' clocks against each other, as a fraction
}

// CoreConfig returns the configuration of the agreement's core for node self of nodes.
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

// Leases are those that one node holds for the whole fleet. They take effect where nodes may send each other messages.
type Leases struct {
	Resources     []string          `toml:"hold"`  // of prober and caller; none: each node does both for itself
	LeaseDuration tomlfile.Duration `toml:"lease"` // a lease holder that is not heard for this long is replaced
	MaxClockDrift float64           `toml:"drift"` // of two nodes' clocks against each other, as a fraction
	PeerListName  string            `toml:"list"`  // a name for the list of peers, the same at all nodes, another with each change
}

// CoreConfig returns the configuration of the lease core for node self of nodes.
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

// PeerListID returns the number that stands for a list of peers. It does not cover their addresses: each node may reach
// the others under addresses of its own.
func (l Leases) PeerListID(nodes int) uint32 {
	return lease.HashName(fmt.Sprintf("%d/%s", nodes, l.PeerListName))
}

// Membership configures the failure detection among the nodes. It takes effect where nodes may send each other messages.
type Membership struct {
	Enabled         bool              `toml:"on"`
	ProbeInterval   tomlfile.Duration `toml:"period"`    // between two probes that this node sends
	ProbeTimeout    tomlfile.Duration `toml:"wait"`      // for an acknowledgement, before indirect probes are sent
	IndirectProbes  int               `toml:"ask"`       // nodes that are asked to probe for this one
	SuspicionFactor float64           `toml:"suspicion"` // probe intervals, times the logarithm of the fleet's size, after which a suspect is dead
}

// CoreConfig returns the configuration of the membership core for node self of nodes.
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

// readOperator reads the operators' file at path; without a path it returns the defaults.
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
	if file.Line("service") == 0 { // without the table its defaults are no service
		operator.Service = nil
	}
	operator.file = file
	return operator, operator.validate()
}
