package scenario

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"shelfproxy/internal/testbed/model"
)

// drawCacheServers draws the properties of the kinds, and then the cache servers. The numbers of cache servers of each kind and
// in each zone are proportional to the weights of the kinds and zones.
func (s *Scenario) drawCacheServers(stream streams) []model.CacheServerSpec {
	kinds := make([]*model.CacheServerKind, len(s.Kinds))
	kindWeights := make([]float64, len(s.Kinds))
	for i, kind := range s.Kinds {
		kinds[i], kindWeights[i] = s.drawKind(kind, stream("kind/"+kind.Name)), kind.Share
	}
	zoneWeights := s.Zones.CacheServers
	if len(zoneWeights) == 0 {
		zoneWeights = slices.Repeat([]float64{1}, len(s.Zones.Names))
	}
	random := stream("boxes")
	count := s.CacheServers.Count.Int(random)
	cellSize := s.CacheServers.CellSize.Int(random)
	kindOf, zoneOf := apportion(count, kindWeights), apportion(count, zoneWeights)
	random.Shuffle(count, func(i, j int) { kindOf[i], kindOf[j] = kindOf[j], kindOf[i] })
	servers := make([]model.CacheServerSpec, count)
	for i := range servers {
		kind := kindOf[i]
		servers[i] = model.CacheServerSpec{Kind: kinds[kind], Zone: s.Zones.Names[zoneOf[i]], Cell: i / cellSize,
			Speed: s.Kinds[kind].Speed.Draw(random)}
	}
	return servers
}

// drawKind draws the properties that all cache servers of a kind share.
func (s *Scenario) drawKind(kind CacheServerKind, random *rand.Rand) *model.CacheServerKind {
	cores := float64(kind.Cores)
	return &model.CacheServerKind{
		Name:              kind.Name,
		Cores:             kind.Cores,
		Slots:             int(kind.SlotsPerCore.Draw(random) * cores),
		Queue:             int(kind.QueuePerCore.Draw(random) * cores),
		SlowStartFloor:    kind.SlowStartFloor.Draw(random),
		SlowStartDuration: kind.SlowStartDuration.Draw(random),
		Memory:            int64(kind.MemoryMB.Draw(random) * (1 << 20)),
		FIFO:              kind.Eviction == evictFIFO,
		MaxConnections:    kind.Connections.Int(random),
		ConnectionWork:    kind.ConnectionWork.Draw(random),
		HealthCheckWork:   kind.HealthCheckWork.Draw(random),
		MissWork:          kind.MissWork.Draw(random),
		ChokeAt:           kind.ChokeAt.Draw(random),
		Choke:             kind.Choke.Draw(random),
		Cancel:            cancelModes[kind.Cancel],
		DropExpired:       kind.DropExpired,
		ErrorRate:         kind.ErrorRate.Draw(random),
		OverloadFactor:    s.Invariants.OverloadFactor,
		OverloadWindow:    s.Invariants.OverloadWindow.D(),
	}
}

// apportion distributes places in proportion to weights by the largest remainder method. It returns the index of a
// weight for each place, in ascending order. If all weights are 0, the places are distributed evenly.
func apportion(places int, weights []float64) []int {
	total := sum(weights)
	counts := make([]int, len(weights))
	remainders := make([]float64, len(weights))
	order := make([]int, len(weights)) // indices of the weights, by descending remainder
	remaining := places
	for i, weight := range weights {
		exact := float64(places) * weight / total
		if total <= 0 {
			exact = float64(places) / float64(len(weights))
		}
		counts[i], remainders[i], order[i] = int(exact), exact-math.Floor(exact), i
		remaining -= counts[i]
	}
	slices.SortStableFunc(order, func(i, j int) int { return cmp.Compare(remainders[j], remainders[i]) })
	for i := range remaining {
		counts[order[i%len(order)]]++
	}
	var indices []int
	for i, count := range counts {
		indices = append(indices, slices.Repeat([]int{i}, count)...)
	}
	return indices
}

func sum(values []float64) (total float64) {
	for _, value := range values {
		total += value
	}
	return total
}
