package simulation

import (
	"time"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/policy/locality"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/tomlfile"
)

// Network is what the network, the machines' schedulers and the clients do.
type Network struct {
	ToServer, FromServer, ToNode, ToClient, Discovery link

	MaxLag         time.Duration // that a goroutine may take to run
	MaxClockOffset time.Duration // of a node's date, either way
	PipelineWithin time.Duration // see forward.Limits

	ResetBefore     float64 // of the segments to a server: its connection is reset before the request has come whole
	ResetAfter      float64 // of the requests: the same right after
	BreakWrite      float64 // of the writes: they fail half way
	CloseAfter      float64 // of the answers: the server closes behind them
	TrailingBytes   float64 // of the answers: a copy or noise comes behind them
	GoSilent        float64 // of the connections: they go silent some time
	WatchGoesSilent float64 // of the watches
	FailConnect     float64 // of the connects
	SlowConnect     float64 // of the connects: they come up late, or not in time

	Dropped, Duplicated, Corrupted float64 // of the datagrams
	ClientDisconnects              float64 // of the requests: their client leaves before the answer
	Pipeline                       float64 // of the requests: behind another one
}

// Plan is one run: what a seed has drawn.
type Plan struct {
	*scenario.Plan
	Network        Network
	NodeFaults     []NodeFault
	AbusiveClients []Time // when a client comes that makes no sense
	HealthChecks   bool
	ScarceCapacity bool // boxes have next to nothing to spare
	ManyNodes      bool // nodes, each with little of the traffic
	NoGossip       bool // nodes tell each other nothing
	Agreements     bool // duties and membership run beside the requests
	HealthyFrom    Time // from when on all is served again
	End            Time
	drawnNames     []string
	drawn          []int // numbers of the parts that are switched on
}

// Words name what the seed has switched on.
func (p *Plan) Words() []string { return p.drawnNames }

func (p *Plan) maxDeadline() (d time.Duration) {
	for _, c := range p.Classes {
		d = max(d, c.Deadline.D())
	}
	return d
}

// notifyWithin is when what discovery has to tell counts as told, whether it was or not, once it can be reached. One that gives
// empty lists tells nothing.
func (p *Plan) notifyWithin() time.Duration {
	for _, f := range p.Spec.Faults {
		if f.Kind == model.DiscoveryEmpty {
			return 0
		}
	}
	return p.Invariants.NotifyWithin.D()
}

// Module is what the decision module of a node is told.
func (p *Plan) Module(node int) policy.Settings {
	set := policy.Settings{Nodes: len(p.Spec.Nodes), Zone: p.Spec.Nodes[node].Zone, OriginKind: model.OriginID, MustPoll: true,
		MaxPollInterval: 10 * time.Second, DrainGrace: p.Invariants.DrainWithin.D(), MayHealthCheck: p.HealthChecks, MayGossip: !p.NoGossip, MayCancel: p.Nodes.Cancel,
		AffinityBudget: locality.DefaultAffinityBudget, MaxAttempts: p.Nodes.MaxAttempts, MaxRetryAfter: p.Nodes.RetryAfter.D(), Tick: 5 * time.Millisecond,
		SlowStartFloor: 1, OverloadFactor: p.Invariants.OverloadFactor}
	for _, b := range p.Spec.CacheServers {
		set.SlowStartFloor, set.SlowStartDuration = min(set.SlowStartFloor, b.Kind.SlowStartFloor), max(set.SlowStartDuration, b.Kind.SlowStartDuration)
	}
	effects := map[string]policy.Effect{"idempotent": policy.Idempotent, "deduplicated": policy.Deduplicated, "at_most_once": policy.AtMostOnce}
	for _, c := range p.Classes {
		set.Classes = append(set.Classes, policy.Class{Name: c.Name, PriorityWeight: c.PriorityWeight, LatencyObjective: c.LatencyObjective.D(), LateFraction: c.LateFraction, Effect: effects[c.Effect], DedupWindow: c.DedupWindow.D()})
	}
	return set
}

// Times of a run: faults begin and end between these, and some time later all has to be well again.
const (
	faultsFrom       = 700 * time.Millisecond
	faultsTo         = 4 * time.Second
	networkFaultsEnd = 6 * time.Second // of the network
	healthyFrom      = 9500 * time.Millisecond
	length           = 11 * time.Second
	runEnd           = 15 * time.Second
)

func duration(t time.Duration) tomlfile.Duration { return tomlfile.Duration(t) }

func flat(t time.Duration) scenario.Span { return scenario.Span{Least: t, Most: t} }
