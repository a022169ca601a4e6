package simulation

import (
	"time"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/policy/locality"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/tomlfile"
)

// Network holds the parameters of the network, the machines' schedulers and the clients in a run.
type Network struct {
	ToServer, FromServer, ToNode, ToClient, Discovery link

	MaxLag         time.Duration // longest time until a runnable goroutine runs
	MaxClockOffset time.Duration // largest offset of a node's clock from the run's clock, in either direction
	PipelineWithin time.Duration // passed to the pools as upstream.Limits.PipelineWithin

	ResetBefore     float64 // probability per segment to a server that the connection is reset before the request has arrived completely
	ResetAfter      float64 // probability per request to a server that the connection is reset right after the request has arrived
	BreakWrite      float64 // probability per write to a server that the write fails after a part of its bytes
	CloseAfter      float64 // probability per response that the server closes the connection after the response
	TrailingBytes   float64 // probability per response that a copy of the response follows it
	GoSilent        float64 // probability per connection to a server that from some time on nothing sent on it arrives
	WatchGoesSilent float64 // probability per watch that from some time on nothing sent on its connection arrives
	FailConnect     float64 // probability that a connection attempt to a server fails
	SlowConnect     float64 // probability that a connection attempt to a server takes long, perhaps longer than its timeout

	Dropped, Duplicated, Corrupted float64 // probabilities that a datagram is lost, duplicated or corrupted
	ClientDisconnects              float64 // probability per request that the client disconnects before the response
	Pipeline                       float64 // probability per request that it is sent on a connection with unanswered requests
}

// Plan is what a seed draws for one run.
type Plan struct {
	*scenario.Plan
	Network        Network
	NodeFaults     []NodeFault
	AbusiveClients []Time // times at which abusive clients connect
	HealthChecks   bool
	ScarceCapacity bool // cache servers have next to no spare capacity
	ManyNodes      bool // the fleet has many nodes, each with a small share of the traffic
	NoGossip       bool
	Agreements     bool // leases and membership run beside the requests
	HealthyFrom    Time // time from which requests have to be served again
	End            Time
	drawnNames     []string
	drawn          []int // numbers of the parts that are switched on
}

// PartNames returns the names of the parts that the seed has switched on.
func (p *Plan) PartNames() []string { return p.drawnNames }

// maxDeadline returns the longest deadline of all classes.
func (p *Plan) maxDeadline() (longest time.Duration) {
	for _, class := range p.Classes {
		longest = max(longest, class.Deadline.D())
	}
	return longest
}

// notifyWithin returns the time after which a node counts as notified of discovery's list, whether it was notified or not. The
// time counts only while discovery is reachable. The result 0 means that there is no such time, because discovery sends empty
// lists.
func (p *Plan) notifyWithin() time.Duration {
	for _, f := range p.Spec.Faults {
		if f.Kind == model.DiscoveryEmpty {
			return 0
		}
	}
	return p.Invariants.NotifyWithin.D()
}

// effects maps the names of effects in scenario files to the policy's effects.
var effects = map[string]policy.Effect{"idempotent": policy.Idempotent, "deduplicated": policy.Deduplicated, "at_most_once": policy.AtMostOnce}

// PolicySettings returns the settings of a node's policy.
func (p *Plan) PolicySettings(node int) policy.Settings {
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
	healthyFrom      = 9500 * time.Millisecond // requests have to be served again from this time on
	workloadLength   = 11 * time.Second        // no request is scheduled after this time
	runEnd           = 15 * time.Second
)

func duration(t time.Duration) tomlfile.Duration { return tomlfile.Duration(t) }

func fixedSpan(t time.Duration) scenario.Span { return scenario.Span{Least: t, Most: t} }
