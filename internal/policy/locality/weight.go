// Package locality decides what the servers of other zones weigh against those of the own zone when keys are spread
// over them. It has no clock and no I/O; the caller applies the weight.
package locality

// CrossZoneWeight is the weight of a server in another zone, 1 at most. A request that crosses zones has a cost, so a
// key is better held in each zone that requests it; but each copy takes memory, which makes misses, and a zone may
// have more traffic than its servers can carry. So the weight falls while nothing is overloaded, step by step, as
// each step moves keys to servers that have yet to fetch them. It rises faster, as the servers of other zones still
// hold what is popular there. The zero value weighs all servers alike. It is not safe for concurrent use.
type CrossZoneWeight struct {
	// AffinityBudget is the fraction of requests that may leave the server which owns their key when all weigh alike,
	// for one of the own zone. The design wants a key at one server; DefaultAffinityBudget keeps that, 1 lets each
	// zone hold its own copy.
	AffinityBudget float64

	reduction float64 // 1 less the weight
}

// DefaultAffinityBudget leaves a key's owner 0.85 of its first sends, as the design is judged by, beside what the
// spread of hot keys, slow starts and overloads take of the rest: 0.09 to 0.11 on the quiet days of two deployments.
const DefaultAffinityBudget = 0.04

// How a step changes the weight, and where it stops. A step is taken four times a second.
const (
	minZoneWeight     = 0.02 // where a whole zone fails, the servers of others are still told apart
	quietFactor       = 0.95 // to 1/e in 5 s: a fifth of what other zones have of the slots moves home in a second
	zoneCrowdedFactor = 1.1  // where the own zone is more loaded than the others: 2 s
	allCrowdedFactor  = 1.3  // where all zones or the origin are overloaded: 1 s
	calmUtilisation   = 0.2  // share of slow answers up to which nothing is overloaded, here and at the origin
	zoneExcess        = 0.1  // of that share above the others', from which the own zone has more than it can carry
)

// Load is what a step is judged by. Fractions are from 0 to 1.
type Load struct {
	HomeFraction      float64 // of all servers' capacity, what stands in the own zone
	OriginUtilisation float64 // share of slow answers of fetches and writes
	ZoneUtilisation   float64 // the same of the cache servers of the own zone
	CacheUtilisation  float64 // and of all cache servers
	OriginWaiting     int     // requests that wait for the origin
}

// Weight returns the weight of a server in another zone.
func (w *CrossZoneWeight) Weight() float64 { return 1 - w.reduction }

// Step moves the weight by one step, as the load calls for.
func (w *CrossZoneWeight) Step(load Load) {
	weight := w.Weight()
	switch {
	case load.OriginUtilisation > calmUtilisation || load.CacheUtilisation > calmUtilisation || load.OriginWaiting > 0:
		weight *= allCrowdedFactor
	case load.ZoneUtilisation-load.CacheUtilisation > zoneExcess:
		weight *= zoneCrowdedFactor
	default:
		weight *= quietFactor
	}
	w.reduction = 1 - min(1, max(w.minWeight(load.HomeFraction), weight))
}

// minWeight is the weight at which as many requests leave their owner as may. By highest hash a server of the own
// zone wins what it had and a part of the rest: with a fraction h of all weights at home, h/(h+(1-h)w) go there, and
// h did.
func (w *CrossZoneWeight) minWeight(home float64) float64 {
	if stay := 1 - home - w.AffinityBudget; home > 0 && stay > 0 {
		return max(minZoneWeight, home*stay/((home+w.AffinityBudget)*(1-home)))
	}
	return minZoneWeight
}
