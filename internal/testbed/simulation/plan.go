package simulation

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/policy/locality"
	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
	"shelfproxy/internal/tomlfile"
)

// Net is what the network, the machines' schedulers and the clients do.
type Net struct {
	ToServer, FromServer, ToNode, ToClient, Discovery link

	Lag   time.Duration // that a goroutine may take to run
	Skew  time.Duration // of a node's date, either way
	Share time.Duration // see forward.Limits

	ResetBefore float64 // of the segments to a server: its connection is reset before the request has come whole
	ResetAfter  float64 // of the requests: the same right after
	BreakWrite  float64 // of the writes: they fail half way
	CloseAfter  float64 // of the answers: the server closes behind them
	Behind      float64 // of the answers: a copy or noise comes behind them
	FallSilent  float64 // of the connections: they go silent some time
	WatchSilent float64 // of the watches
	RefuseNew   float64 // of the connects
	SlowConnect float64 // of the connects: they come up late, or not in time

	Lost, Twice, Garbled float64 // of the datagrams
	Leave                float64 // of the requests: their client leaves before the answer
	Pipeline             float64 // of the requests: behind another one
}

// Plan is one run: what a seed has drawn.
type Plan struct {
	*scenario.Plan
	Net        Net
	NodeFaults []NodeFault
	Rude       []Time // when a client comes that makes no sense
	Probes     bool
	Tight      bool // boxes have next to nothing to spare
	Many       bool // nodes, each with little of the traffic
	Mute       bool // nodes tell each other nothing
	Agree      bool // duties and membership run beside the requests
	Well       Time // from when on all is served again
	End        Time
	words      []string
	on         []int // numbers of the parts that are switched on
}

// Words name what the seed has switched on.
func (p *Plan) Words() []string { return p.words }

func (p *Plan) longestWait() (d time.Duration) {
	for _, c := range p.Classes {
		d = max(d, c.Deadline.D())
	}
	return d
}

// toldWithin is when what discovery has to tell counts as told, whether it was or not, once it can be reached. One that gives
// empty lists tells nothing.
func (p *Plan) toldWithin() time.Duration {
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
		MaxPollInterval: 10 * time.Second, DrainGrace: p.Invariants.DrainWithin.D(), MayHealthCheck: p.Probes, MayGossip: !p.Mute, MayCancel: p.Nodes.Cancel,
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
	faultsFrom = 700 * time.Millisecond
	faultsTo   = 4 * time.Second
	faultsOver = 6 * time.Second // of the network
	wellFrom   = 9500 * time.Millisecond
	length     = 11 * time.Second
	runsTo     = 15 * time.Second
)

// part is one thing that a seed may switch on. It adds to the scenario or to the plan.
type part struct {
	name string
	odds float64
	on   func(r *rand.Rand, s *scenario.Scenario, p *Plan, at func() scenario.Span)
}

func d(t time.Duration) tomlfile.Duration { return tomlfile.Duration(t) }

func flat(t time.Duration) scenario.Span { return scenario.Span{Least: t, Most: t} }

// fault makes a part of one of the model's faults.
func fault(kind string, odds float64, change func(r *rand.Rand, f *scenario.Fault)) part {
	return part{kind, odds, func(r *rand.Rand, s *scenario.Scenario, _ *Plan, at func() scenario.Span) {
		f := scenario.Fault{Kind: kind, At: at(), For: flat(time.Duration(200+r.IntN(1500)) * time.Millisecond), Count: scenario.Range{Least: 1, Most: 1}}
		if change != nil {
			change(r, &f)
		}
		s.Fault = append(s.Fault, f)
	}}
}

func net(name string, odds float64, change func(r *rand.Rand, n *Net)) part {
	return part{name, odds, func(r *rand.Rand, _ *scenario.Scenario, p *Plan, _ func() scenario.Span) { change(r, &p.Net) }}
}

func nodeFault(kind NodeFaultKind, odds float64) part {
	return part{kind.String(), odds, func(r *rand.Rand, _ *scenario.Scenario, p *Plan, at func() scenario.Span) {
		p.NodeFaults = append(p.NodeFaults, NodeFault{Kind: kind, Node: r.IntN(2), At: at().Least, Away: time.Duration(100+r.IntN(900)) * time.Millisecond})
	}}
}

// two is a range of one or two.
var two = scenario.Range{Least: 1, Most: 2}

// parts are all that can be switched on. A seed draws a subset of them (swarm testing): a run with everything on would hide in
// one fault what another needs quiet for.
var parts = []part{
	fault("deploy", 0.3, func(r *rand.Rand, f *scenario.Fault) {
		f.Count, f.Share, f.Batch = scenario.Range{}, scenario.Range{Least: 0.4, Most: 0.8}, scenario.Range{Least: 0.2, Most: 0.5}
		f.DrainFor, f.SameAddr = d(time.Duration(300+r.IntN(1800))*time.Millisecond), scenario.Range{Least: 0, Most: 1}
	}),
	fault("drain", 0.25, func(r *rand.Rand, f *scenario.Fault) { f.Count = two }),
	fault("kill", 0.25, func(r *rand.Rand, f *scenario.Fault) { f.Count = two }),
	fault("freeze", 0.2, nil),
	fault("cut", 0.2, func(r *rand.Rand, f *scenario.Fault) {
		if r.IntN(2) == 0 {
			f.Nodes = []int{r.IntN(2)}
		}
	}),
	fault("slow", 0.2, func(r *rand.Rand, f *scenario.Fault) { f.Factor = scenario.Range{Least: 0.2, Most: 0.6} }),
	fault("stall", 0.15, nil),
	fault("flap", 0.15, func(r *rand.Rand, f *scenario.Fault) { f.Period = d(time.Duration(100+r.IntN(500)) * time.Millisecond) }),
	fault("spoilt", 0.25, func(r *rand.Rand, f *scenario.Fault) {
		f.Count, f.Answers = scenario.Range{}, scenario.Range{Least: 0.05, Most: 0.4}
	}),
	fault("lossy", 0.2, func(r *rand.Rand, f *scenario.Fault) {
		f.Count, f.Messages = scenario.Range{}, scenario.Range{Least: 0.02, Most: 0.2}
	}),
	fault("roster-lag", 0.2, func(r *rand.Rand, f *scenario.Fault) {
		f.Count, f.Lag = scenario.Range{}, scenario.Span{Least: 0, Most: time.Second}
	}),
	fault("roster-down", 0.15, func(r *rand.Rand, f *scenario.Fault) { f.Count = scenario.Range{} }),
	fault("roster-empty", 0.1, func(r *rand.Rand, f *scenario.Fault) { f.Count = scenario.Range{} }),
	fault("origin-slow", 0.2, func(r *rand.Rand, f *scenario.Fault) {
		f.Count, f.Factor = scenario.Range{}, scenario.Range{Least: 2, Most: 6}
	}),
	fault("origin-fall", 0.1, func(r *rand.Rand, f *scenario.Fault) { f.Count = scenario.Range{} }),
	nodeFault(KillNode, 0.25),
	nodeFault(TermNode, 0.3),
	nodeFault(TermNode, 0.1),
	nodeFault(ReloadNode, 0.25),
	net("segments", 0.5, func(r *rand.Rand, n *Net) {
		p := []float64{0.2, 0.6, 0.95}[r.IntN(3)]
		n.ToServer.cut, n.FromServer.cut, n.ToNode.cut, n.ToClient.cut, n.Discovery.cut = p, p, p, p, p
	}),
	net("slow-answers", 0.25, func(r *rand.Rand, n *Net) {
		n.FromServer.cut, n.FromServer.slow, n.FromServer.slowBy = 0.9, 0.1, time.Duration(20+r.IntN(300))*time.Millisecond
	}),
	net("slow-requests", 0.25, func(r *rand.Rand, n *Net) {
		n.ToNode.cut, n.ToNode.slow, n.ToNode.slowBy = 0.5, 0.05, 2*time.Millisecond
	}),
	net("lag", 0.5, func(r *rand.Rand, n *Net) { n.Lag = time.Duration(1+r.IntN(2000)) * time.Microsecond }),
	net("reset-before", 0.2, func(r *rand.Rand, n *Net) { n.ResetBefore = 0.01 + 0.04*r.Float64() }),
	net("reset-after", 0.25, func(r *rand.Rand, n *Net) { n.ResetAfter = 0.01 + 0.04*r.Float64() }),
	net("break-write", 0.25, func(r *rand.Rand, n *Net) { n.BreakWrite = 0.01 + 0.04*r.Float64() }),
	net("close-after", 0.25, func(r *rand.Rand, n *Net) { n.CloseAfter = 0.02 + 0.2*r.Float64() }),
	net("behind", 0.2, func(r *rand.Rand, n *Net) { n.Behind = 0.02 + 0.1*r.Float64() }),
	net("fall-silent", 0.15, func(r *rand.Rand, n *Net) { n.FallSilent = 0.02 + 0.05*r.Float64() }),
	net("watch-silent", 0.2, func(r *rand.Rand, n *Net) { n.WatchSilent = 0.5 }),
	net("refuse-new", 0.15, func(r *rand.Rand, n *Net) { n.RefuseNew = 0.02 + 0.1*r.Float64() }),
	net("slow-connect", 0.2, func(r *rand.Rand, n *Net) { n.SlowConnect = 0.05 + 0.2*r.Float64() }),
	net("datagrams", 0.5, func(r *rand.Rand, n *Net) {
		n.Lost, n.Twice, n.Garbled = 0.5*r.Float64(), 0.2*r.Float64(), 0.2*r.Float64()
	}),
	net("leave", 0.3, func(r *rand.Rand, n *Net) { n.Leave = 0.02 + 0.1*r.Float64() }),
	net("pipeline", 0.35, func(r *rand.Rand, n *Net) { n.Pipeline = 0.1 + 0.5*r.Float64() }),
	net("share", 0.3, func(r *rand.Rand, n *Net) { n.Share = 100 * time.Millisecond }),
	net("skew", 0.2, func(r *rand.Rand, n *Net) { n.Skew = time.Duration(r.IntN(3000)) * time.Millisecond }),
	{"rude", 0.3, func(r *rand.Rand, _ *scenario.Scenario, p *Plan, at func() scenario.Span) {
		for range 1 + r.IntN(4) {
			p.Rude = append(p.Rude, at().Least)
		}
	}},
	{"agreements", 0.4, func(_ *rand.Rand, _ *scenario.Scenario, p *Plan, _ func() scenario.Span) { p.Agree = true }},
	{"no-probes", 0.3, func(_ *rand.Rand, _ *scenario.Scenario, p *Plan, _ func() scenario.Span) { p.Probes = false }},
	{"long-values", 0.15, func(r *rand.Rand, s *scenario.Scenario, _ *Plan, _ func() scenario.Span) {
		s.Origin.ValueBytes = 40_000 + r.IntN(260_000)
	}},
	{"tight", 0.3, func(r *rand.Rand, s *scenario.Scenario, p *Plan, _ func() scenario.Span) { tight(r, s, p) }},
	{"streams-1", 0.2, func(_ *rand.Rand, s *scenario.Scenario, _ *Plan, _ func() scenario.Span) { s.Nodes.MaxStreams = 1 }},
	{"many-nodes", 0.06, func(r *rand.Rand, s *scenario.Scenario, p *Plan, at func() scenario.Span) {
		tight(r, s, p) // each node's part of what a cold box bears is under one request
		s.Nodes.Count, s.Workload.Rate = scenario.Range{Least: 20, Most: 30}, scenario.Range{Least: 30, Most: 40}
		p.Many = true
		// Those that start again have forgotten what they sent.
		p.NodeFaults = append(p.NodeFaults, NodeFault{KillNode, r.IntN(10), at().Least, 100 * time.Millisecond, r.IntN(10)})
	}},
	{"no-messages", 0.1, func(_ *rand.Rand, _ *scenario.Scenario, p *Plan, _ func() scenario.Span) { p.Mute = true }},
}

// tight has a cold box bear less than its part of the load, of which much goes to one key or two.
func tight(r *rand.Rand, s *scenario.Scenario, p *Plan) {
	p.Tight = true
	for i := range s.Kinds {
		s.Kinds[i].Cores, s.Kinds[i].Speed, s.Kinds[i].SlowStartFloor = 1, scenario.Range{Least: 1, Most: 1}, scenario.Range{Least: 0.13, Most: 0.13}
		s.Kinds[i].SlotsPerCore, s.Kinds[i].SlowStartDuration = scenario.Range{Least: 8, Most: 24}, scenario.Span{Least: 6 * time.Second, Most: 7 * time.Second}
	}
	s.Classes[0].Work = scenario.Span{Least: 25 * time.Millisecond, Most: 50 * time.Millisecond}
	s.Workload.Rate, s.Keys.Count = scenario.Range{Least: 70, Most: 90}, scenario.Range{Least: 30, Most: 60}
	s.Invariants.OverloadFactor, s.Invariants.OverloadWindow = 2, d(700*time.Millisecond)
	s.Workload.PopularKeys = []scenario.PopularKeys{{Share: scenario.Range{Least: 0.3, Most: 0.7}, Keys: 1 + r.IntN(2),
		At: scenario.Span{Least: 500 * time.Millisecond, Most: 3 * time.Second}, For: scenario.Span{Least: 3 * time.Second, Most: 5 * time.Second}}}
}

// base is the portal without anything switched on: small, and quick enough that thousands of runs take minutes.
func base() *scenario.Scenario {
	s := scenario.Default()
	ms := func(least, most float64) scenario.Span {
		return scenario.Span{Least: time.Duration(least * float64(time.Millisecond)), Most: time.Duration(most * float64(time.Millisecond))}
	}
	s.Name, s.Length = "simulated", d(length)
	s.Nodes.Count, s.Nodes.MemoryMB, s.Nodes.Sockets, s.Nodes.RetryAfter = scenario.Range{Least: 2, Most: 3}, 48, 256, d(600*time.Millisecond)
	s.Nodes.ConnectTimeout, s.Nodes.ConnectionIdle = d(150*time.Millisecond), d(3*time.Second)
	s.Zones.Names = []string{"a", "b"}
	s.CacheServers.Count = scenario.Range{Least: 4, Most: 6}
	for i := range s.Kinds {
		s.Kinds[i].SlowStartDuration = scenario.Span{Least: time.Second, Most: 2 * time.Second}
	}
	s.Origin.Median = ms(10, 25)
	s.Discovery.Lag = ms(50, 400)
	s.Invariants.DrainWithin = d(time.Second)
	s.Invariants.OverloadWindow = d(time.Second)
	s.Classes[0].Work, s.Classes[0].LatencyObjective, s.Classes[0].Deadline = ms(5, 20), d(400*time.Millisecond), d(1500*time.Millisecond)
	s.Classes[1].Work, s.Classes[1].LatencyObjective, s.Classes[1].Deadline, s.Classes[1].Share, s.Classes[1].DedupWindow = ms(10, 30), d(600*time.Millisecond), d(2*time.Second), 0.08, d(time.Second)
	s.Classes[2].Work, s.Classes[2].LatencyObjective, s.Classes[2].Deadline, s.Classes[2].Share = ms(10, 30), d(400*time.Millisecond), d(1200*time.Millisecond), 0.06
	s.Classes[0].Share = 0.86
	s.Keys.Count = scenario.Range{Least: 60, Most: 200}
	s.Workload.Rate = scenario.Range{Least: 25, Most: 50}
	return s
}

// Draw makes the plan of a seed. Parts whose number is in skip are left out: what the others draw does not change.
func Draw(seed uint64, skip map[int]bool) *Plan {
	r := model.RandomStream(seed, "sim/plan")
	quick := link{least: 50 * time.Microsecond, most: 400 * time.Microsecond}
	p := &Plan{Probes: true, Well: wellFrom, End: runsTo, Net: Net{ToServer: quick, FromServer: quick, ToNode: quick, ToClient: quick, Discovery: quick,
		Lag: 50 * time.Microsecond}}
	s := base()
	// Half of what happens does so within a moment of something else: overlaps are what nobody has rehearsed.
	centre := faultsFrom + time.Duration(r.Int64N(int64(faultsTo-faultsFrom)))
	together := r.Float64()
	heat := 0.4 + 1.2*r.Float64() // some seeds are calmer than others
	for i, part := range parts {
		own := model.RandomStream(seed, fmt.Sprintf("sim/part/%d", i))
		on := r.Float64() < part.odds*heat
		at := func() scenario.Span {
			t := faultsFrom + time.Duration(own.Int64N(int64(faultsTo-faultsFrom)))
			if own.Float64() < together {
				t = max(faultsFrom, centre+time.Duration(own.Int64N(int64(120*time.Millisecond)))-60*time.Millisecond)
			}
			return flat(t)
		}
		if on && !skip[i] {
			part.on(own, s, p, at)
			p.words, p.on = append(p.words, part.name), append(p.on, i)
		}
	}
	p.Plan = s.Draw(seed)
	return p
}

// Parts are the numbers of the parts that a seed switches on.
func Parts(seed uint64) []int { return Draw(seed, nil).on }

// Shrink leaves out one part after another of a seed's plan for as long as the same rule stays broken, and returns what is left
// out, with the report of that run.
func Shrink(seed uint64, rule string) (skip map[int]bool, report *Report) {
	return shrink(Parts(seed), rule, func(skip map[int]bool) *Report { return Run(Draw(seed, skip), Options{}) })
}

func shrink(on []int, rule string, run func(skip map[int]bool) *Report) (skip map[int]bool, report *Report) {
	skip = map[int]bool{}
	report = run(skip)
	for again := true; again; {
		again = false
		for _, i := range on {
			if skip[i] {
				continue
			}
			skip[i] = true
			if r := run(skip); slices.ContainsFunc(r.Broken, func(b Broken) bool { return b.Rule == rule }) {
				report, again = r, true
				continue
			}
			delete(skip, i)
		}
	}
	return skip, report
}

// SkipWords are the words of a mask, for a command line: the numbers of the parts left out.
func SkipWords(skip map[int]bool) string {
	var out []string
	for _, i := range slices.Sorted(maps.Keys(skip)) {
		out = append(out, fmt.Sprint(i))
	}
	return strings.Join(out, ",")
}
