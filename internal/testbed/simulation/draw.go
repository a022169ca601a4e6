package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/scenario"
)

// part is one thing that a seed may switch on. It adds to the scenario or to the plan.
type part struct {
	name string
	odds float64
	on   func(r *rand.Rand, s *scenario.Scenario, p *Plan, at func() scenario.Span)
}

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

func net(name string, odds float64, change func(r *rand.Rand, n *Network)) part {
	return part{name, odds, func(r *rand.Rand, _ *scenario.Scenario, p *Plan, _ func() scenario.Span) { change(r, &p.Network) }}
}

func nodeFault(kind NodeFaultKind, odds float64) part {
	return part{kind.String(), odds, func(r *rand.Rand, _ *scenario.Scenario, p *Plan, at func() scenario.Span) {
		p.NodeFaults = append(p.NodeFaults, NodeFault{Kind: kind, Node: r.IntN(2), At: at().Least, Away: time.Duration(100+r.IntN(900)) * time.Millisecond})
	}}
}

// oneOrTwo is a range of one or two.
var oneOrTwo = scenario.Range{Least: 1, Most: 2}

// parts are all that can be switched on. A seed draws a subset of them (swarm testing): a run with everything on would hide in
// one fault what another needs quiet for.
var parts = []part{
	fault("deploy", 0.3, func(r *rand.Rand, f *scenario.Fault) {
		f.Count, f.Share, f.Batch = scenario.Range{}, scenario.Range{Least: 0.4, Most: 0.8}, scenario.Range{Least: 0.2, Most: 0.5}
		f.DrainFor, f.SameAddr = duration(time.Duration(300+r.IntN(1800))*time.Millisecond), scenario.Range{Least: 0, Most: 1}
	}),
	fault("drain", 0.25, func(r *rand.Rand, f *scenario.Fault) { f.Count = oneOrTwo }),
	fault("kill", 0.25, func(r *rand.Rand, f *scenario.Fault) { f.Count = oneOrTwo }),
	fault("freeze", 0.2, nil),
	fault("cut", 0.2, func(r *rand.Rand, f *scenario.Fault) {
		if r.IntN(2) == 0 {
			f.Nodes = []int{r.IntN(2)}
		}
	}),
	fault("slow", 0.2, func(r *rand.Rand, f *scenario.Fault) { f.Factor = scenario.Range{Least: 0.2, Most: 0.6} }),
	fault("stall", 0.15, nil),
	fault("flap", 0.15, func(r *rand.Rand, f *scenario.Fault) {
		f.Period = duration(time.Duration(100+r.IntN(500)) * time.Millisecond)
	}),
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
	net("segments", 0.5, func(r *rand.Rand, n *Network) {
		p := []float64{0.2, 0.6, 0.95}[r.IntN(3)]
		n.ToServer.cut, n.FromServer.cut, n.ToNode.cut, n.ToClient.cut, n.Discovery.cut = p, p, p, p, p
	}),
	net("slow-answers", 0.25, func(r *rand.Rand, n *Network) {
		n.FromServer.cut, n.FromServer.slow, n.FromServer.slowBy = 0.9, 0.1, time.Duration(20+r.IntN(300))*time.Millisecond
	}),
	net("slow-requests", 0.25, func(r *rand.Rand, n *Network) {
		n.ToNode.cut, n.ToNode.slow, n.ToNode.slowBy = 0.5, 0.05, 2*time.Millisecond
	}),
	net("lag", 0.5, func(r *rand.Rand, n *Network) { n.MaxLag = time.Duration(1+r.IntN(2000)) * time.Microsecond }),
	net("reset-before", 0.2, func(r *rand.Rand, n *Network) { n.ResetBefore = 0.01 + 0.04*r.Float64() }),
	net("reset-after", 0.25, func(r *rand.Rand, n *Network) { n.ResetAfter = 0.01 + 0.04*r.Float64() }),
	net("break-write", 0.25, func(r *rand.Rand, n *Network) { n.BreakWrite = 0.01 + 0.04*r.Float64() }),
	net("close-after", 0.25, func(r *rand.Rand, n *Network) { n.CloseAfter = 0.02 + 0.2*r.Float64() }),
	net("behind", 0.2, func(r *rand.Rand, n *Network) { n.TrailingBytes = 0.02 + 0.1*r.Float64() }),
	net("fall-silent", 0.15, func(r *rand.Rand, n *Network) { n.GoSilent = 0.02 + 0.05*r.Float64() }),
	net("watch-silent", 0.2, func(r *rand.Rand, n *Network) { n.WatchGoesSilent = 0.5 }),
	net("refuse-new", 0.15, func(r *rand.Rand, n *Network) { n.FailConnect = 0.02 + 0.1*r.Float64() }),
	net("slow-connect", 0.2, func(r *rand.Rand, n *Network) { n.SlowConnect = 0.05 + 0.2*r.Float64() }),
	net("datagrams", 0.5, func(r *rand.Rand, n *Network) {
		n.Dropped, n.Duplicated, n.Corrupted = 0.5*r.Float64(), 0.2*r.Float64(), 0.2*r.Float64()
	}),
	net("leave", 0.3, func(r *rand.Rand, n *Network) { n.ClientDisconnects = 0.02 + 0.1*r.Float64() }),
	net("pipeline", 0.35, func(r *rand.Rand, n *Network) { n.Pipeline = 0.1 + 0.5*r.Float64() }),
	net("share", 0.3, func(r *rand.Rand, n *Network) { n.PipelineWithin = 100 * time.Millisecond }),
	net("skew", 0.2, func(r *rand.Rand, n *Network) { n.MaxClockOffset = time.Duration(r.IntN(3000)) * time.Millisecond }),
	{"rude", 0.3, func(r *rand.Rand, _ *scenario.Scenario, p *Plan, at func() scenario.Span) {
		for range 1 + r.IntN(4) {
			p.AbusiveClients = append(p.AbusiveClients, at().Least)
		}
	}},
	{"agreements", 0.4, func(_ *rand.Rand, _ *scenario.Scenario, p *Plan, _ func() scenario.Span) { p.Agreements = true }},
	{"no-probes", 0.3, func(_ *rand.Rand, _ *scenario.Scenario, p *Plan, _ func() scenario.Span) { p.HealthChecks = false }},
	{"long-values", 0.15, func(r *rand.Rand, s *scenario.Scenario, _ *Plan, _ func() scenario.Span) {
		s.Origin.ValueBytes = 40_000 + r.IntN(260_000)
	}},
	{"tight", 0.3, func(r *rand.Rand, s *scenario.Scenario, p *Plan, _ func() scenario.Span) { scarceCapacity(r, s, p) }},
	{"streams-1", 0.2, func(_ *rand.Rand, s *scenario.Scenario, _ *Plan, _ func() scenario.Span) { s.Nodes.MaxStreams = 1 }},
	{"many-nodes", 0.06, func(r *rand.Rand, s *scenario.Scenario, p *Plan, at func() scenario.Span) {
		scarceCapacity(r, s, p) // each node's part of what a cold box bears is under one request
		s.Nodes.Count, s.Workload.Rate = scenario.Range{Least: 20, Most: 30}, scenario.Range{Least: 30, Most: 40}
		p.ManyNodes = true
		// Those that start again have forgotten what they sent.
		p.NodeFaults = append(p.NodeFaults, NodeFault{KillNode, r.IntN(10), at().Least, 100 * time.Millisecond, r.IntN(10)})
	}},
	{"no-messages", 0.1, func(_ *rand.Rand, _ *scenario.Scenario, p *Plan, _ func() scenario.Span) { p.NoGossip = true }},
}

// scarceCapacity has a cold box bear less than its part of the load, of which much goes to one key or two.
func scarceCapacity(r *rand.Rand, s *scenario.Scenario, p *Plan) {
	p.ScarceCapacity = true
	for i := range s.Kinds {
		s.Kinds[i].Cores, s.Kinds[i].Speed, s.Kinds[i].SlowStartFloor = 1, scenario.Range{Least: 1, Most: 1}, scenario.Range{Least: 0.13, Most: 0.13}
		s.Kinds[i].SlotsPerCore, s.Kinds[i].SlowStartDuration = scenario.Range{Least: 8, Most: 24}, scenario.Span{Least: 6 * time.Second, Most: 7 * time.Second}
	}
	s.Classes[0].Work = scenario.Span{Least: 25 * time.Millisecond, Most: 50 * time.Millisecond}
	s.Workload.Rate, s.Keys.Count = scenario.Range{Least: 70, Most: 90}, scenario.Range{Least: 30, Most: 60}
	s.Invariants.OverloadFactor, s.Invariants.OverloadWindow = 2, duration(700*time.Millisecond)
	s.Workload.PopularKeys = []scenario.PopularKeys{{Share: scenario.Range{Least: 0.3, Most: 0.7}, Keys: 1 + r.IntN(2),
		At: scenario.Span{Least: 500 * time.Millisecond, Most: 3 * time.Second}, For: scenario.Span{Least: 3 * time.Second, Most: 5 * time.Second}}}
}

// base is the portal without anything switched on: small, and quick enough that thousands of runs take minutes.
func base() *scenario.Scenario {
	s := scenario.Default()
	ms := func(least, most float64) scenario.Span {
		return scenario.Span{Least: time.Duration(least * float64(time.Millisecond)), Most: time.Duration(most * float64(time.Millisecond))}
	}
	s.Name, s.Length = "simulated", duration(length)
	s.Nodes.Count, s.Nodes.MemoryMB, s.Nodes.Sockets, s.Nodes.RetryAfter = scenario.Range{Least: 2, Most: 3}, 48, 256, duration(600*time.Millisecond)
	s.Nodes.ConnectTimeout, s.Nodes.ConnectionIdle = duration(150*time.Millisecond), duration(3*time.Second)
	s.Zones.Names = []string{"a", "b"}
	s.CacheServers.Count = scenario.Range{Least: 4, Most: 6}
	for i := range s.Kinds {
		s.Kinds[i].SlowStartDuration = scenario.Span{Least: time.Second, Most: 2 * time.Second}
	}
	s.Origin.Median = ms(10, 25)
	s.Discovery.Lag = ms(50, 400)
	s.Invariants.DrainWithin = duration(time.Second)
	s.Invariants.OverloadWindow = duration(time.Second)
	s.Classes[0].Work, s.Classes[0].LatencyObjective, s.Classes[0].Deadline = ms(5, 20), duration(400*time.Millisecond), duration(1500*time.Millisecond)
	s.Classes[1].Work, s.Classes[1].LatencyObjective, s.Classes[1].Deadline, s.Classes[1].Share, s.Classes[1].DedupWindow = ms(10, 30), duration(600*time.Millisecond), duration(2*time.Second), 0.08, duration(time.Second)
	s.Classes[2].Work, s.Classes[2].LatencyObjective, s.Classes[2].Deadline, s.Classes[2].Share = ms(10, 30), duration(400*time.Millisecond), duration(1200*time.Millisecond), 0.06
	s.Classes[0].Share = 0.86
	s.Keys.Count = scenario.Range{Least: 60, Most: 200}
	s.Workload.Rate = scenario.Range{Least: 25, Most: 50}
	return s
}

// Draw makes the plan of a seed. Parts whose number is in skip are left out: what the others draw does not change.
func Draw(seed uint64, skip map[int]bool) *Plan {
	r := model.RandomStream(seed, "sim/plan")
	quick := link{least: 50 * time.Microsecond, most: 400 * time.Microsecond}
	p := &Plan{HealthChecks: true, HealthyFrom: healthyFrom, End: runEnd, Network: Network{ToServer: quick, FromServer: quick, ToNode: quick, ToClient: quick, Discovery: quick,
		MaxLag: 50 * time.Microsecond}}
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
			p.drawnNames, p.drawn = append(p.drawnNames, part.name), append(p.drawn, i)
		}
	}
	p.Plan = s.Draw(seed)
	return p
}

// Parts are the numbers of the parts that a seed switches on.
func Parts(seed uint64) []int { return Draw(seed, nil).drawn }
