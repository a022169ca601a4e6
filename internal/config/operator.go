package config

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/policy/locality"
	"shelfproxy/internal/tomlfile"
)

// Operator is the operator's own file, in TOML. Whatever LB_CONFIG and the LB_ variables say goes before it; what
// neither says has the default given here.
type Operator struct {
	// Node is what LB_CONFIG says under the same names.
	Node struct {
		Name      string `toml:"name"`
		Listen    string `toml:"listen"`    // host and port for clients
		Discovery string `toml:"discovery"` // host and port of the service that knows the list
		Seed      string `toml:"seed"`      // 64 bits in hex
	} `toml:"node"`
	Limits struct {
		Cores    float64 `toml:"cores"`     // of processor; 0: all there are
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
	Service    *Service   `toml:"service"` // in place of LB_CONFIG's settings

	file *tomlfile.File
}

// Listener bounds what clients may hold.
type Listener struct {
	Share       float64           `toml:"share"`        // of the descriptors, 0.1 to 0.8
	Pipelined   int               `toml:"pipelined"`    // commands of a connection that wait for answers, 1 to 4096
	Write       tomlfile.Duration `toml:"write"`        // a client that takes no bytes for so long is closed
	Silent      tomlfile.Duration `toml:"silent"`       // and one that said nothing, or half a command
	Idle        tomlfile.Duration `toml:"idle"`         // and one without an open request
	IdleCrowded tomlfile.Duration `toml:"idle_crowded"` // the same with over half of the table in use
}

// Pools bounds the connections to cache servers and the origin.
type Pools struct {
	TargetShare float64 `toml:"target_share"` // of the descriptors, for all cache servers together, 0.05 to 0.8
	OriginShare float64 `toml:"origin_share"` // and for the origin, 0.02 to 0.5
	Connections int     `toml:"connections"`  // to one cache server, 1 to 4096
	Waiting     int     `toml:"waiting"`      // forwards that wait for a connection to one server, 1 to 65536
}

// Shutdown says how a node ends.
type Shutdown struct {
	Grace tomlfile.Duration `toml:"grace"` // taking goes on for so long after SIGTERM
	Last  tomlfile.Duration `toml:"last"`  // every answer is given by then, however long its client would wait
}

// Zones says how keys are placed over zones.
type Zones struct {
	Leave float64 `toml:"leave_owner"` // share of reads that may go to a server of the own zone in place of their key's, 0 to 1
}

// Rollout says how many nodes may be out of service at once, by agreement of the fleet. It takes effect where nodes may
// send each other messages.
type Rollout struct {
	NodesOut    int               `toml:"nodes_out"`    // at once; 0: each node goes when it is told
	ServersOut  float64           `toml:"servers_out"`  // share of the cache servers out at once past which bad ones keep their keys; 0: no bound
	ZoneOut     int               `toml:"zone_out"`     // of one zone; 0: no bound of its own
	Release     string            `toml:"release"`      // that this node runs
	Control     string            `toml:"control"`      // path of the Unix socket for shelfproxy ctl
	Beacon      tomlfile.Duration `toml:"beacon"`       // between two words of a node
	Silent      tomlfile.Duration `toml:"silent"`       // a node unheard for so long is out
	Lease       tomlfile.Duration `toml:"lease"`        // an ask counts for so long, and a start grants nothing before
	Return      tomlfile.Duration `toml:"return"`       // a node that is out for longer halts the release
	Lost        tomlfile.Duration `toml:"lost"`         // and gives its slot up after this
	Watch       tomlfile.Duration `toml:"watch"`        // a node is fit after it did well for so long
	MaxFailed   float64           `toml:"max_failed"`   // share of its answers that may fail meanwhile, past the others'
	MaxSlow     float64           `toml:"max_slow"`     // and share of those that may come after their class's aim
	LeastJudged int               `toml:"least_judged"` // answers from which that is judged
	Drift       float64           `toml:"drift"`        // of two nodes' clocks against each other, at most
}

// CoreConfig is what the agreement's core is told, as node self of so many.
func (r Rollout) CoreConfig(self, nodes int, zone string, start, seed uint64) rollout.Config {
	return rollout.Config{Self: self, Nodes: nodes, Zone: zone, Budget: r.NodesOut, ZoneBudget: r.ZoneOut, HeartbeatInterval: r.Beacon.D(),
		UnresponsiveAfter: r.Silent.D(), RequestTimeout: r.Lease.D(), ReturnTimeout: r.Return.D(), WriteOffAfter: r.Lost.D(), ObservationPeriod: r.Watch.D(), MaxClockDrift: r.Drift,
		Release: r.Release, MaxFailureRate: r.MaxFailed, MaxSlowRate: r.MaxSlow, MinSamples: r.LeastJudged, Incarnation: start, Seed: seed}
}

// Leases are those that one node holds for all. They take effect where nodes may send each other messages.
type Leases struct {
	Hold  []string          `toml:"hold"`  // of prober and caller; none: each node does for itself
	Lease tomlfile.Duration `toml:"lease"` // a holder that is not heard for so long has a successor
	Drift float64           `toml:"drift"` // of two nodes' clocks against each other, at most
	List  string            `toml:"list"`  // a name for the list of peers, the same at all nodes, another with each change
}

// CoreConfig is what the core of duties is told, as node self of so many.
func (d Leases) CoreConfig(self, nodes int, epoch, seed uint64) lease.Config {
	return lease.Config{Self: self, Nodes: nodes, PeerListID: d.PeerListID(nodes), Resources: d.Hold, LeaseDuration: d.Lease.D(), MaxClockDrift: d.Drift, Epoch: epoch, Seed: seed}
}

// PeerListID is the number of a list of peers. Their addresses are not in it: each node may know the others under its own.
func (d Leases) PeerListID(nodes int) uint32 {
	return lease.HashName(fmt.Sprintf("%d/%s", nodes, d.List))
}

// Membership says whether this node keeps track of which of its peers are there. It takes effect where nodes may send each other
// messages.
type Membership struct {
	On        bool              `toml:"on"`
	Period    tomlfile.Duration `toml:"period"`    // between two probes of this node
	Wait      tomlfile.Duration `toml:"wait"`      // for an answer, before others are asked to ask
	Ask       int               `toml:"ask"`       // others that are asked
	Suspicion float64           `toml:"suspicion"` // periods, times the logarithm of the fleet, after which a suspect is dead
}

// CoreConfig is what the core of membership is told, as node self of so many.
func (m Membership) CoreConfig(self, nodes int, fleet uint32, life, seed uint64) membership.Config {
	return membership.Config{Self: self, Nodes: nodes, PeerListID: fleet, Incarnation: life, ProbeInterval: m.Period.D(), ProbeTimeout: m.Wait.D(), IndirectProbes: m.Ask, SuspicionFactor: m.Suspicion, Seed: seed}
}

// Service is what the nodes of a deployment have in common.
type Service struct {
	Nodes          int               `toml:"nodes"` // that share the traffic
	Zone           string            `toml:"zone"`  // of this node
	Subscribe      bool              `toml:"subscribe"`
	Probes         bool              `toml:"probes"`
	Cancel         bool              `toml:"cancel"`
	MaxAttempts    int               `toml:"max_attempts"`
	MaxOpen        int               `toml:"max_open"`
	Streams        int               `toml:"streams_per_connection"`
	ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
	ConnectionIdle tomlfile.Duration `toml:"connection_idle"`
	RetryAfter     tomlfile.Duration `toml:"max_retry_after"` // 0: clients follow no advice
	OriginKind     string            `toml:"origin_kind"`
	SizedWeights   bool              `toml:"sized_weights"`
	Tick           tomlfile.Duration `toml:"tick"`
	Cold           struct {
		From      float64           `toml:"from"`
		WarmAfter tomlfile.Duration `toml:"warm_after"`
		Overload  float64           `toml:"overload"`
	} `toml:"cold"`
	Class []ServiceClass `toml:"class"`
}

// ServiceClass is one class of requests.
type ServiceClass struct {
	Name     string            `toml:"name"`
	Worth    float64           `toml:"worth"`
	Aim      tomlfile.Duration `toml:"aim"`
	Late     float64           `toml:"late_worth"`
	Deadline tomlfile.Duration `toml:"deadline"`
	Effect   string            `toml:"effect"` // idempotent, deduplicated or at_most_once
	Group    string            `toml:"group"`  // all, zone or cell: who drops a repeat
	Window   tomlfile.Duration `toml:"window"`
}

// defaults are those that every installation starts from.
func defaults() *Operator {
	o := &Operator{
		Listener: Listener{Share: 0.5, Pipelined: 128, Write: tomlfile.Duration(10 * time.Second),
			Silent: tomlfile.Duration(2500 * time.Millisecond), Idle: tomlfile.Duration(time.Minute),
			IdleCrowded: tomlfile.Duration(50 * time.Millisecond)},
		Pools: Pools{TargetShare: 0.3, OriginShare: 0.1, Connections: 64, Waiting: 512},
		Shutdown: Shutdown{Grace: tomlfile.Duration(2200 * time.Millisecond),
			Last: tomlfile.Duration(3400 * time.Millisecond)},
	}
	o.Zones.Leave = locality.DefaultAffinityBudget
	o.Rollout = Rollout{Beacon: tomlfile.Duration(500 * time.Millisecond), Silent: tomlfile.Duration(3 * time.Second),
		Lease: tomlfile.Duration(5 * time.Second), Return: tomlfile.Duration(time.Minute), Lost: tomlfile.Duration(10 * time.Minute),
		Watch: tomlfile.Duration(10 * time.Second), MaxFailed: 0.2, MaxSlow: 0.5, LeastJudged: 20, Drift: 0.01}
	o.Leases = Leases{Lease: tomlfile.Duration(3 * time.Second), Drift: 0.01}
	o.Membership = Membership{Period: tomlfile.Duration(time.Second), Wait: tomlfile.Duration(200 * time.Millisecond), Ask: 3, Suspicion: 2}
	o.Limits.MemoryMB, o.Limits.Sockets = 192, 1024
	o.Log.Level, o.Log.Format = "info", "auto"
	return o
}

// readOperator reads the file; without a path there are the defaults.
func readOperator(path string) (*Operator, error) {
	o := defaults()
	if path == "" {
		return o, nil
	}
	o.Service = serviceDefaults()
	file, err := tomlfile.Read(path, o)
	if err != nil {
		return nil, err
	}
	if file.Line("service") == 0 { // the defaults alone are no service
		o.Service = nil
	}
	o.file = file
	return o, o.validate()
}

func (o *Operator) validate() error {
	for _, a := range []struct{ field, addr string }{{"node.listen", o.Node.Listen}, {"node.discovery", o.Node.Discovery}} {
		if _, _, err := net.SplitHostPort(a.addr); o.file.Has(a.field) && err != nil {
			return o.file.Errorf(a.field, "%q is no host and port", a.addr)
		}
	}
	if _, err := logs.Level(o.Log.Level); err != nil {
		return o.file.Errorf("log.level", "%v", err)
	}
	if !slices.Contains(logs.Formats, o.Log.Format) {
		return o.file.Errorf("log.format", "%q is none of %s", o.Log.Format, strings.Join(logs.Formats, ", "))
	}
	l, p, s := o.Listener, o.Pools, o.Shutdown
	for _, r := range []struct {
		field          string
		v, least, most float64
	}{
		{field: "limits.cores", v: o.Limits.Cores, least: 0, most: 1024},
		{field: "limits.memory_mb", v: float64(o.Limits.MemoryMB), least: 32, most: 1 << 20},
		{field: "limits.sockets", v: float64(o.Limits.Sockets), least: 128, most: 1 << 20},
		{field: "listener.share", v: l.Share, least: 0.1, most: 0.8},
		{field: "listener.pipelined", v: float64(l.Pipelined), least: 1, most: 4096},
		{field: "pools.target_share", v: p.TargetShare, least: 0.05, most: 0.8},
		{field: "pools.origin_share", v: p.OriginShare, least: 0.02, most: 0.5},
		{field: "pools.connections", v: float64(p.Connections), least: 1, most: 4096},
		{field: "rollout.servers_out", v: o.Rollout.ServersOut, least: 0, most: 1},
		{field: "zones.leave_owner", v: o.Zones.Leave, least: 0, most: 1},
		{field: "pools.waiting", v: float64(p.Waiting), least: 1, most: 65536},
	} {
		if !(r.v >= r.least && r.v <= r.most) {
			return o.file.Errorf(r.field, "%v is not from %v to %v", r.v, r.least, r.most)
		}
	}
	if sum := l.Share + p.TargetShare + p.OriginShare; sum > 1 {
		return o.file.Errorf("listener.share", "with pools.target_share and pools.origin_share it makes %.2f, more than 1", sum)
	}
	for _, r := range []struct {
		field       string
		v           tomlfile.Duration
		least, most time.Duration
	}{
		{"listener.write", l.Write, 100 * time.Millisecond, time.Hour},
		{"listener.silent", l.Silent, 100 * time.Millisecond, time.Hour},
		{"listener.idle", l.Idle, 100 * time.Millisecond, 24 * time.Hour},
		{"listener.idle_crowded", l.IdleCrowded, 10 * time.Millisecond, 24 * time.Hour},
		{"shutdown.grace", s.Grace, 0, time.Minute},
		{"shutdown.last", s.Last, 100 * time.Millisecond, 10 * time.Minute},
	} {
		if d := r.v.D(); d < r.least || d > r.most {
			return o.file.Errorf(r.field, "%s is not from %s to %s", r.v, r.least, r.most)
		}
	}
	if o.Rollout.NodesOut != 0 {
		if err := o.Rollout.CoreConfig(0, 1, "", 0, 0).Validate(); err != nil {
			return o.file.Errorf("rollout", "%v", err)
		}
	}
	for _, name := range o.Leases.Hold {
		if !slices.Contains(policy.RoleNames[:], name) {
			return o.file.Errorf("duties.hold", "%q is none of %s", name, strings.Join(policy.RoleNames[:], ", "))
		}
	}
	if len(o.Leases.Hold) > 0 {
		if err := o.Leases.CoreConfig(0, 1, 0, 0).Validate(); err != nil {
			return o.file.Errorf("duties", "%v", err)
		}
	}
	if err := o.Membership.CoreConfig(0, 2, 0, 0, 0).Validate(); err != nil {
		return o.file.Errorf("members", "%v", err)
	}
	if s.Last < s.Grace {
		return o.file.Errorf("shutdown.last", "%s is before the end of shutdown.grace, %s", s.Last, s.Grace)
	}
	return nil
}

// settings makes of the service what LB_CONFIG's settings make.
func (o *Operator) settings() (Settings, error) {
	in := o.Service
	at := func(field string) string { return "service." + field }
	set := Settings{
		Policy: policy.Settings{Nodes: in.Nodes, Zone: in.Zone, MustPoll: in.Subscribe, MayHealthCheck: in.Probes,
			MayCancel: in.Cancel, MaxAttempts: in.MaxAttempts, MaxRetryAfter: in.RetryAfter.D(), Tick: in.Tick.D(),
			OriginKind: in.OriginKind, WeightByCapacity: in.SizedWeights, SlowStartFloor: in.Cold.From,
			SlowStartDuration: in.Cold.WarmAfter.D(), OverloadFactor: in.Cold.Overload},
		Node: Node{MaxOpenRequests: in.MaxOpen, MaxStreams: in.Streams, ConnectTimeout: in.ConnectTimeout.D(),
			ConnectionIdle: in.ConnectionIdle.D()},
	}
	for _, f := range []struct {
		field string
		bad   bool
		text  string
	}{
		{"nodes", in.Nodes < 1, "must be at least 1"},
		{"max_attempts", in.MaxAttempts < 1, "must be at least 1"},
		{"max_open", in.MaxOpen < 1, "must be at least 1"},
		{"streams_per_connection", in.Streams < 1, "must be at least 1"},
		{"connect_timeout", in.ConnectTimeout <= 0, "must be above 0"},
		{"connection_idle", in.ConnectionIdle <= 0, "must be above 0"},
		{"cold.from", !(in.Cold.From >= 0 && in.Cold.From <= 1), "must be from 0 to 1"},
		{"cold.overload", !(in.Cold.Overload > 0), "must be above 0"},
		{"class", len(in.Class) == 0, "there must be one at least"},
	} {
		if f.bad {
			return set, o.file.Errorf(at(f.field), "%s", f.text)
		}
	}
	for i, c := range in.Class {
		field := func(name string) string { return fmt.Sprintf("service.class[%d].%s", i, name) }
		effect, ok := effects[c.Effect]
		group, known := groups[c.Group]
		switch {
		case c.Name == "":
			return set, o.file.Errorf(field("name"), "missing")
		case !ok:
			return set, o.file.Errorf(field("effect"), "%q is none of idempotent, deduplicated, at_most_once", c.Effect)
		case !known:
			return set, o.file.Errorf(field("group"), "%q is none of all, zone, cell", c.Group)
		case c.Aim <= 0:
			return set, o.file.Errorf(field("aim"), "must be above 0")
		case c.Deadline < c.Aim:
			return set, o.file.Errorf(field("deadline"), "must not be before aim")
		case !(c.Worth >= 0):
			return set, o.file.Errorf(field("worth"), "must not be negative")
		}
		set.Policy.Classes = append(set.Policy.Classes, policy.Class{Name: c.Name, PriorityWeight: c.Worth, LatencyObjective: c.Aim.D(),
			LateFraction: c.Late, Effect: effect, DedupScope: group, DedupWindow: c.Window.D()})
		set.Node.MaxDeadline = max(set.Node.MaxDeadline, c.Deadline.D())
	}
	if _, err := policy.New(set.Policy, 0); err != nil {
		return set, o.file.Errorf("service", "%v", err)
	}
	return set, nil
}

// serviceDefaults are what a [service] starts from. Without the table there is none.
func serviceDefaults() *Service {
	s := &Service{Nodes: 1, Subscribe: true, Probes: true, Cancel: true, MaxAttempts: 6, MaxOpen: 20000, Streams: 1,
		ConnectTimeout: tomlfile.Duration(250 * time.Millisecond), ConnectionIdle: tomlfile.Duration(30 * time.Second),
		OriginKind: "origin", Tick: tomlfile.Duration(5 * time.Millisecond)}
	s.Cold.From, s.Cold.WarmAfter, s.Cold.Overload = 0.13, tomlfile.Duration(23*time.Second), 3
	return s
}
