package simulation

import (
	"time"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/policy/locality"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/tomlfile"
)

// Network is what the network, the machines' schedulers and the clients do in a run. Figures without a unit are probabilities.
type Network struct {
	ToServer, FromServer, ToNode, ToClient, Discovery link

	MaxLag         time.Duration // until a runnable goroutine runs
	MaxClockOffset time.Duration // of a node's clock, either way
	PipelineWithin time.Duration // see upstream.Limits

	ResetBefore     float64 // of a segment to a server: its connection is reset before the request has arrived completely
	ResetAfter      float64 // of a request to a server: its connection is reset right after it has arrived
	BreakWrite      float64 // of a write: it fails half way
	CloseAfter      float64 // of a response: the server closes the connection behind it
	TrailingBytes   float64 // of a response: a copy of it comes behind it
	GoSilent        float64 // of a connection: it goes silent at some time
	WatchGoesSilent float64 // of a watch
	FailConnect     float64 // of a connect
	SlowConnect     float64 // of a connect: it comes up late, or not in time

	Dropped, Duplicated, Corrupted float64 // of a datagram
	ClientDisconnects              float64 // of a request: its client disconnects before the response
	Pipeline                       float64 // of a request: it is sent behind another one
}

// Plan is what a seed draws for one run.
type Plan struct {
	*scenario.Plan
	Network        Network
	NodeFaults     []NodeFault
	AbusiveClients []Time // when an abusive client connects
	HealthChecks   bool
	ScarceCapacity bool // cache servers have next to no spare capacity
	ManyNodes      bool // each with a small part of the traffic
	NoGossip       bool
	Agreements     bool // leases and membership run beside the requests
	HealthyFrom    Time // from then on requests have to be served again
	End            Time
	drawnNames     []string
	drawn          []int // numbers of the parts that are switched on
}

// Words are the names of the parts that the seed has switched on.
func (p *Plan) Words() []string { return p.drawnNames }

// maxDeadline is the longest deadline of a class.
func (p *Plan) maxDeadline() (longest time.Duration) {
	for _, class := range p.Classes {
		longest = max(longest, class.Deadline.D())
	}
	return longest
}

// notifyWithin is how long after discovery can be reached a node counts as notified of what it has, whether it was or not; 0 is no
// bound, for a discovery that sends empty lists.
func (p *Plan) notifyWithin() time.Duration {
	for _, f := range p.Spec.Faults {
		if f.Kind == model.DiscoveryEmpty {
			return 0
		}
	}
	return p.Invariants.NotifyWithin.D()
}

// effects are the effects of classes by the words of scenario files.
var effects = map[string]policy.Effect{"idempotent": policy.Idempotent, "deduplicated": policy.Deduplicated, "at_most_once": policy.AtMostOnce}

// Module is the settings of a node's policy.
func (p *Plan) Module(node int) policy.Settings {
	settings := policy.Settings{
		Nodes:           len(p.Spec.Nodes),
		Zone:            p.Spec.Nodes[node].Zone,
		OriginKind:      model.OriginID,
		MustPoll:        true,
		MaxPollInterval: 10 * time.Second,
		DrainGrace:      p.Invariants.DrainWithin.D(),
		MayHealthCheck:  p.HealthChecks,
		MayGossip:       !p.NoGossip,
		MayCancel:       p.Nodes.Cancel,
		AffinityBudget:  locality.DefaultAffinityBudget,
		MaxAttempts:     p.Nodes.MaxAttempts,
		MaxRetryAfter:   p.Nodes.RetryAfter.D(),
		Tick:            5 * time.Millisecond,
		SlowStartFloor:  1,
		OverloadFactor:  p.Invariants.OverloadFactor,
	}
	for _, server := range p.Spec.CacheServers {
		settings.SlowStartFloor = min(settings.SlowStartFloor, server.Kind.SlowStartFloor)
		settings.SlowStartDuration = max(settings.SlowStartDuration, server.Kind.SlowStartDuration)
	}
	for _, class := range p.Classes {
		settings.Classes = append(settings.Classes, policy.Class{
			Name:             class.Name,
			PriorityWeight:   class.PriorityWeight,
			LatencyObjective: class.LatencyObjective.D(),
			LateFraction:     class.LateFraction,
			Effect:           effects[class.Effect],
			DedupWindow:      class.DedupWindow.D(),
		})
	}
	return settings
}

// Times of a run.
const (
	faultsFrom       = 700 * time.Millisecond
	faultsTo         = 4 * time.Second
	networkFaultsEnd = 6 * time.Second
	healthyFrom      = 9500 * time.Millisecond // requests have to be served again
	length           = 11 * time.Second        // of the workload
	runEnd           = 15 * time.Second
)

func duration(t time.Duration) tomlfile.Duration { return tomlfile.Duration(t) }

func flat(t time.Duration) scenario.Span { return scenario.Span{Least: t, Most: t} }
