package simulation

import (
	"time"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/policy/locality"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/tomlfile"
)

// Network holds the parameters of the simulated network, and of the schedulers and clients in a run.
type Network struct {
	ToServer, FromServer, ToNode, ToClient, Discovery link

	MaxLag         time.Duration // longest delay until a goroutine that is ready to run gets to run
	MaxClockOffset time.Duration // largest offset of a node's clock from the run's clock, in either direction
	PipelineWithin time.Duration // a pool pipelines an attempt behind one that was sent less than this long ago; see upstream.Limits

	ResetBefore     float64 // probability, for each segment that arrives at a server, that the connection is reset before the server reads the segment
	ResetAfter      float64 // probability, for each request to a server, that the connection is reset right after the request has arrived
	BreakWrite      float64 // probability, for each write to a server, that the write fails after a part of its bytes
	CloseAfter      float64 // probability, for each response, that the server closes the connection after the response
	TrailingBytes   float64 // probability, for each response, that the server sends the same bytes once more after the response
	GoSilent        float64 // probability that a connection to a server goes silent: from some time on, nothing sent on the connection arrives
	WatchGoesSilent float64 // probability that the connection of a watch goes silent: from some time on, nothing sent on the connection arrives
	FailConnect     float64 // probability that a connection attempt to a server fails
	SlowConnect     float64 // probability that a connection attempt to a server takes a random time of up to 1.5 times the connect timeout

	Dropped, Duplicated, Corrupted float64 // probabilities that a datagram is lost, duplicated or corrupted
	ClientDisconnects              float64 // probability, for each request, that the client disconnects before the response arrives
	Pipeline                       float64 // probability, for each request, that the client sends it on a connection with unanswered requests
	ShortTimeouts                  float64 // probability, for each request, that its client waits for some milliseconds only
	DropsOverdue                   bool    // cache servers send no response to a request that has little time left by then; see isDropped
	SecondCopies                   bool    // pools may leave an abandoned attempt out while its request is sent elsewhere; see upstream.Limits
}

// Plan is the plan of one run, drawn from a seed: the scenario, the parameters of the network, and the faults.
type Plan struct {
	*scenario.Plan
	Network        Network
	NodeFaults     []NodeFault
	AbusiveClients []Time // times at which abusive clients connect
	HealthChecks   bool
	ScarceCapacity bool // cache servers have almost no spare capacity, as scarceCapacity describes
	ManyNodes      bool // the run has 20 to 30 nodes, each with a small share of the traffic
	NoGossip       bool
	Agreements     bool // nodes also run the lease and membership protocols while they handle requests
	HealthyFrom    Time // from this time on, after the faults, requests have to be served again
	End            Time
	drawnNames     []string
	drawn          []int // numbers of the parts that are switched on; they are indexes of the variable parts
}

// PartNames returns the names of the parts that the seed has switched on.
func (p *Plan) PartNames() []string { return p.drawnNames }

// maxDeadline returns the longest of the deadlines of all classes.
func (p *Plan) maxDeadline() (longest time.Duration) {
	for _, class := range p.Classes {
		longest = max(longest, class.Deadline.D())
	}
	return longest
}

// notifyWithin returns the time after which a node counts as notified of a change of the endpoint list, even if it was not. The
// time counts only while discovery is reachable. If discovery sends empty lists in this plan, nodes cannot be notified in time:
// the result is 0, and only real notifications count.
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

// Times in a run, counted from its start.
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
