package scenario

import (
	"fmt"
	"math/rand/v2"
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/testbed/workload"
)

// Plan is a scenario with one value drawn from each of its ranges, as determined by a seed.
type Plan struct {
	Name       string
	Seed       uint64
	Length     time.Duration // duration of the load
	Spec       model.Spec
	Nodes      Nodes
	Invariants Invariants
	Classes    []Class
	Zones      []string
	Workload   workload.Spec
}

// SetLength sets the duration of the load.
func (p *Plan) SetLength(length time.Duration) { p.Length, p.Workload.Length = length, length }

// Peak returns an upper bound of the rate of the load, in requests per second: the sum of the peak rates of its arrival
// processes.
func (p *Plan) Peak() (rate float64) {
	for _, process := range p.Workload.Processes {
		rate += process.Rate
	}
	return rate
}

// streams returns the random number generator of a part of a plan. Each part has its own generator, so that adding a fault, for
// example, does not change which cache servers are drawn. The order in which a part draws its values must not change, because
// this would change the plans of all seeds.
type streams func(part string) *rand.Rand

// Draw draws the plan of a seed. The same seed always gives the same plan.
func (s *Scenario) Draw(seed uint64) *Plan {
	stream := streams(func(part string) *rand.Rand { return model.RandomStream(seed, "scenario/"+part) })
	plan := &Plan{Name: s.Name, Seed: seed, Length: s.Length.D(), Nodes: s.Nodes, Invariants: s.Invariants, Classes: s.Classes,
		Zones: s.Zones.Names}
	plan.Workload = s.drawWorkload(seed, stream)
	plan.Spec = model.Spec{
		Seed:         seed,
		Nodes:        s.drawNodes(stream("nodes")),
		CacheServers: s.drawCacheServers(stream),
		Origin:       s.drawOrigin(stream("origin")),
		OriginZone:   s.Origin.Zone,
		Discovery: model.DiscoverySpec{MinLag: s.Discovery.Lag.Least, MaxLag: s.Discovery.Lag.Most, Call: s.Discovery.Call.D(),
			PerEntry: s.Discovery.PerEntry.D(), Timeout: s.Discovery.Timeout.D(), Heartbeat: s.Discovery.Heartbeat.D(),
			Batch: s.Discovery.Batch.D()},
		Link: model.LinkSpec{SameLeast: s.Link.Same.Least, SameMost: s.Link.Same.Most, CrossLeast: s.Link.Cross.Least,
			CrossMost: s.Link.Cross.Most, Loss: s.Link.Loss.Draw(stream("link")), Retransmit: s.Link.Retransmit.D()},
	}
	if plan.Spec.OriginZone == "" {
		plan.Spec.OriginZone = s.Zones.Names[0]
	}
	for _, class := range s.Classes {
		plan.Spec.Classes = append(plan.Spec.Classes, model.ClassSpec{Name: class.Name, WorkLeast: class.Work.Least, WorkMost: class.Work.Most})
	}
	plan.Workload.NodeWeights = s.nodeWeights(plan.Spec.Nodes)
	for i, fault := range s.Fault {
		plan.Spec.Faults = append(plan.Spec.Faults, fault.draw(stream(fmt.Sprintf("fault/%d", i))))
	}
	return plan
}

// drawOrigin draws the properties of the origin. The origin recognises repeated writes for the longest DedupWindow of all
// classes.
func (s *Scenario) drawOrigin(random *rand.Rand) model.OriginSpec {
	spec := model.OriginSpec{
		Median:             s.Origin.Median.Draw(random),
		Sigma:              s.Origin.Sigma.Draw(random),
		Parallel:           s.Origin.Parallel.Int(random),
		Queue:              s.Origin.Queue.Int(random),
		OverloadMultiple:   s.Origin.OverloadMultiple.Draw(random),
		OverloadWindow:     s.Origin.OverloadWindow.Draw(random),
		OverloadStall:      s.Origin.OverloadStall.Draw(random),
		ValueSize:          s.Origin.ValueBytes,
		CancelOnDisconnect: s.Origin.Cancel,
	}
	for _, class := range s.Classes {
		spec.Window = max(spec.Window, class.DedupWindow.D())
	}
	return spec
}

// drawNodes draws the number of nodes and distributes the nodes evenly over the zones.
func (s *Scenario) drawNodes(random *rand.Rand) []model.NodeSpec {
	nodes := make([]model.NodeSpec, s.Nodes.Count.Int(random))
	for i := range nodes {
		nodes[i] = model.NodeSpec{Name: fmt.Sprintf("n%d", i), Zone: s.Zones.Names[i%len(s.Zones.Names)]}
	}
	return nodes
}

// nodeWeights returns the fraction of the load that each node gets. The load of a zone is divided evenly among the nodes
// of the zone. The load of a zone without nodes is divided evenly among all nodes.
func (s *Scenario) nodeWeights(nodes []model.NodeSpec) []float64 {
	nodesInZone := map[string]int{}
	for _, node := range nodes {
		nodesInZone[node.Zone]++
	}
	weights := make([]float64, len(nodes))
	for z, zone := range s.Zones.Names {
		zoneWeight := 1 / float64(len(s.Zones.Names))
		if len(s.Zones.Traffic) > 0 {
			zoneWeight = s.Zones.Traffic[z] / sum(s.Zones.Traffic)
		}
		for i, node := range nodes {
			if nodesInZone[zone] == 0 {
				weights[i] += zoneWeight / float64(len(nodes))
			} else if node.Zone == zone {
				weights[i] += zoneWeight / float64(nodesInZone[zone])
			}
		}
	}
	return weights
}

// drawWorkload draws the parameters of the load. The first arrival process is the load's steady rate.
func (s *Scenario) drawWorkload(seed uint64, stream streams) workload.Spec {
	random := stream("load")
	steady := workload.ArrivalProcess{Kind: workload.Steady, Rate: s.Workload.Rate.Draw(random)}
	spec := workload.Spec{
		Seed:      seed,
		Length:    s.Length.D(),
		Uniform:   s.Workload.Uniform,
		Processes: []workload.ArrivalProcess{steady},
		Keys:      s.Keys.Count.Int(random),
		Skew:      s.Keys.Skew.Draw(random),
		Offset:    s.Keys.Offset.Draw(random),
		Drift:     s.Keys.Drift.D(),
	}
	for i, process := range s.Workload.Processes {
		spec.Processes = append(spec.Processes, process.draw(stream(fmt.Sprintf("load/shape/%d", i))))
	}
	for i, popular := range s.Workload.PopularKeys {
		random := stream(fmt.Sprintf("load/heat/%d", i))
		spec.PopularKeys = append(spec.PopularKeys, workload.PopularKeys{Fraction: popular.Share.Draw(random), Keys: popular.Keys,
			At: popular.At.Draw(random), For: popular.For.Draw(random), RotateEvery: popular.ChangeEvery.D()})
	}
	for _, class := range s.Classes {
		spec.Classes = append(spec.Classes, workload.Class{Name: class.Name, Weight: class.Share,
			HasIdempotencyKey: class.Effect == effectDeduplicated, BytesLeast: int(class.Bytes.Least), BytesMost: int(class.Bytes.Most)})
	}
	return spec
}

func (a ArrivalProcess) draw(random *rand.Rand) workload.ArrivalProcess {
	kind, _ := workload.ParseProcess(a.Kind) // never fails: Parse has validated the kind
	return workload.ArrivalProcess{Kind: kind, Rate: a.Rate.Draw(random), At: a.At.Draw(random), For: a.For.Draw(random),
		Period: a.Period.D(), Class: a.Class}
}
