package scenario

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/workload"
)

// Plan is a scenario of which a seed has drawn every figure.
type Plan struct {
	Name       string
	Seed       uint64
	Length     time.Duration
	Spec       model.Spec
	Nodes      Nodes
	Invariants Invariants
	Classes    []Class
	Zones      []string
	Workload   workload.Spec
}

// Draw draws the figures. Each part has a stream of its own, so adding a fault does not move the boxes.
func (s *Scenario) Draw(seed uint64) *Plan {
	stream := func(part string) *rand.Rand { return model.RandomStream(seed, "scenario/"+part) }
	p := &Plan{Name: s.Name, Seed: seed, Length: s.Length.D(), Nodes: s.Nodes, Invariants: s.Invariants, Classes: s.Classes, Zones: s.Zones.Names}
	s.drawLoad(p, stream)

	p.Spec = model.Spec{Seed: seed, OriginZone: s.Origin.Zone,
		Discovery: model.DiscoverySpec{MinLag: s.Discovery.Lag.Least, MaxLag: s.Discovery.Lag.Most, Call: s.Discovery.Call.D(),
			PerEntry: s.Discovery.PerEntry.D(), Timeout: s.Discovery.Timeout.D(), Heartbeat: s.Discovery.Heartbeat.D()},
		Link: model.LinkSpec{SameLeast: s.Link.Same.Least, SameMost: s.Link.Same.Most, CrossLeast: s.Link.Cross.Least,
			CrossMost: s.Link.Cross.Most, Loss: s.Link.Loss.Draw(stream("link")), Retransmit: s.Link.Retransmit.D()}}
	if p.Spec.OriginZone == "" {
		p.Spec.OriginZone = s.Zones.Names[0]
	}
	o := stream("origin")
	p.Spec.Origin = model.OriginSpec{Median: s.Origin.Median.Draw(o), Sigma: s.Origin.Sigma.Draw(o),
		Parallel: s.Origin.Parallel.Int(o), Queue: s.Origin.Queue.Int(o), OverloadMultiple: s.Origin.OverloadMultiple.Draw(o),
		OverloadWindow: s.Origin.OverloadWindow.Draw(o), OverloadStall: s.Origin.OverloadStall.Draw(o), ValueSize: s.Origin.ValueBytes,
		CancelOnDisconnect: s.Origin.Cancel}
	for _, c := range s.Classes {
		p.Spec.Classes = append(p.Spec.Classes, model.ClassSpec{Name: c.Name, WorkLeast: c.Work.Least, WorkMost: c.Work.Most})
		p.Spec.Origin.Window = max(p.Spec.Origin.Window, c.DedupWindow.D())
	}

	// Nodes go to the zones in turn; a zone's traffic is divided among its nodes, and that of a zone without one
	// among all.
	n := s.Nodes.Count.Int(stream("nodes"))
	in := map[string]int{}
	for i := range n {
		zone := s.Zones.Names[i%len(s.Zones.Names)]
		p.Spec.Nodes = append(p.Spec.Nodes, model.NodeSpec{Name: fmt.Sprintf("n%d", i), Zone: zone})
		in[zone]++
	}
	p.Workload.NodeWeights = make([]float64, n)
	for z, zone := range s.Zones.Names {
		share := 1 / float64(len(s.Zones.Names))
		if len(s.Zones.Traffic) > 0 {
			share = s.Zones.Traffic[z] / sum(s.Zones.Traffic)
		}
		for i, node := range p.Spec.Nodes {
			if in[zone] == 0 {
				p.Workload.NodeWeights[i] += share / float64(n)
			} else if node.Zone == zone {
				p.Workload.NodeWeights[i] += share / float64(in[zone])
			}
		}
	}
	s.drawBoxes(p, stream)
	for i, f := range s.Fault {
		p.Spec.Faults = append(p.Spec.Faults, f.draw(stream(fmt.Sprintf("fault/%d", i))))
	}
	return p
}

// drawLoad draws what clients ask for.
func (s *Scenario) drawLoad(p *Plan, stream func(string) *rand.Rand) {
	r := stream("load")
	p.Workload = workload.Spec{Seed: p.Seed, Length: p.Length, Uniform: s.Workload.Uniform,
		Processes: []workload.ArrivalProcess{{Kind: workload.Steady, Rate: s.Workload.Rate.Draw(r)}}, Keys: s.Keys.Count.Int(r), Skew: s.Keys.Skew.Draw(r),
		Offset: s.Keys.Offset.Draw(r), Drift: s.Keys.Drift.D()}
	for i, sh := range s.Workload.Processes {
		r := stream(fmt.Sprintf("load/shape/%d", i))
		kind, _ := workload.ParseProcess(sh.Kind) // checked as it was read
		p.Workload.Processes = append(p.Workload.Processes, workload.ArrivalProcess{Kind: kind, Rate: sh.Rate.Draw(r), At: sh.At.Draw(r), For: sh.For.Draw(r),
			Period: sh.Period.D(), Class: sh.Class})
	}
	for i, h := range s.Workload.PopularKeys {
		r := stream(fmt.Sprintf("load/heat/%d", i))
		p.Workload.PopularKeys = append(p.Workload.PopularKeys, workload.PopularKeys{Share: h.Share.Draw(r), Keys: h.Keys, At: h.At.Draw(r), For: h.For.Draw(r),
			Move: h.Move.D()})
	}
	for _, c := range s.Classes {
		p.Workload.Classes = append(p.Workload.Classes, workload.Class{Name: c.Name, Share: c.Share, HasIdempotencyKey: c.Effect == "deduplicated",
			BytesLeast: int(c.Bytes.Least), BytesMost: int(c.Bytes.Most)})
	}
}

// SetLength gives the load another length.
func (p *Plan) SetLength(d time.Duration) { p.Length, p.Workload.Length = d, d }

// Peak is the highest rate that there may be, in requests a second.
func (p *Plan) Peak() (rate float64) {
	for _, s := range p.Workload.Processes {
		rate += s.Rate
	}
	return rate
}

// drawBoxes draws the kinds, then the boxes: as many of each kind and in each zone as their shares say.
func (s *Scenario) drawBoxes(p *Plan, stream func(string) *rand.Rand) {
	kinds := make([]*model.CacheServerKind, len(s.Kinds))
	shares := make([]float64, len(s.Kinds))
	for i, k := range s.Kinds {
		r := stream("kind/" + k.Name)
		shares[i] = k.Share
		kinds[i] = &model.CacheServerKind{Name: k.Name, Cores: k.Cores, Slots: int(k.SlotsPerCore.Draw(r) * float64(k.Cores)),
			Queue: int(k.QueuePerCore.Draw(r) * float64(k.Cores)), SlowStartFloor: k.SlowStartFloor.Draw(r), SlowStartDuration: k.SlowStartDuration.Draw(r),
			Memory: int64(k.MemoryMB.Draw(r) * (1 << 20)), FIFO: k.Eviction == "fifo", MaxConnections: k.Connections.Int(r),
			ConnectionWork: k.ConnectionWork.Draw(r), HealthCheckWork: k.HealthCheckWork.Draw(r), MissWork: k.MissWork.Draw(r),
			ChokeAt: k.ChokeAt.Draw(r), Choke: k.Choke.Draw(r), Cancel: cancels[k.Cancel], DropExpired: k.DropExpired,
			ErrorRate: k.ErrorRate.Draw(r), OverloadFactor: s.Invariants.OverloadFactor, OverloadWindow: s.Invariants.OverloadWindow.D()}
	}
	r := stream("boxes")
	n := s.CacheServers.Count.Int(r)
	size := s.CacheServers.CellSize.Int(r)
	zones := s.Zones.Boxes
	if len(zones) == 0 {
		zones = slices.Repeat([]float64{1}, len(s.Zones.Names))
	}
	byKind, byZone := apportion(n, shares), apportion(n, zones)
	r.Shuffle(n, func(i, j int) { byKind[i], byKind[j] = byKind[j], byKind[i] })
	for i := range n {
		k := byKind[i]
		p.Spec.CacheServers = append(p.Spec.CacheServers, model.CacheServerSpec{Kind: kinds[k], Zone: s.Zones.Names[byZone[i]], Cell: i / size,
			Speed: s.Kinds[k].Speed.Draw(r)})
	}
}

// apportion gives each of n places to one of the shares, as near to them as whole numbers come (largest remainder).
func apportion(n int, shares []float64) []int {
	total := sum(shares)
	type part struct {
		index, whole int
		rest         float64
	}
	parts := make([]part, len(shares))
	left := n
	for i, s := range shares {
		exact := float64(n) * s / total
		if total <= 0 {
			exact = float64(n) / float64(len(shares))
		}
		parts[i] = part{i, int(exact), exact - math.Floor(exact)}
		left -= parts[i].whole
	}
	order := slices.Clone(parts)
	slices.SortStableFunc(order, func(a, b part) int {
		switch {
		case a.rest > b.rest:
			return -1
		case a.rest < b.rest:
			return 1
		}
		return 0
	})
	for i := range left {
		parts[order[i%len(order)].index].whole++
	}
	var out []int
	for _, p := range parts {
		out = append(out, slices.Repeat([]int{p.index}, p.whole)...)
	}
	return out
}

func sum(v []float64) (t float64) {
	for _, x := range v {
		t += x
	}
	return t
}

func (f Fault) draw(r *rand.Rand) model.Fault {
	out := model.Fault{Kind: model.FaultKind(slices.Index(model.FaultKinds[:], f.Kind)), At: f.At.Draw(r), For: f.For.Draw(r),
		Select: model.Selector{IDs: f.CacheServers, Kind: f.Of, Zone: f.Zone, Count: f.Count.Int(r), Share: f.Share.Draw(r)},
		Nodes:  f.Nodes, Factor: f.Factor.Draw(r), Batch: f.Batch.Draw(r), DrainFor: f.DrainFor.D(), SameSlot: f.SameAddr.Draw(r),
		Period: f.Period.D(), Lag: f.Lag.Draw(r)}
	out.Share = max(f.Answers.Draw(r), f.Messages.Draw(r))
	return out
}
