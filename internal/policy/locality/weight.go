// Package locality decides how much the servers of other zones weigh against those of the own zone when keys are
// distributed over servers. It has no clock and no I/O; the caller applies the weight.
package locality

// CrossZoneWeight is the weight of a server in another zone, 1 at most, when keys are distributed over servers. A
// server in the own zone weighs 1. The lower the weight, the more keys are held in the own zone. A request that crosses
// zones has a cost, so it is cheaper to hold a copy of a key's object in each zone that requests the key. But each copy
// takes memory, which causes misses, and a zone may have more traffic than its servers can carry. So the weight falls
// only while nothing is overloaded. It falls in small steps, because each step moves keys to servers that have yet to
// fetch their objects. The weight rises faster, because the servers of other zones still hold the popular objects of
// the keys that they get back. The zero value weighs all servers alike. A CrossZoneWeight is not safe for concurrent
// use.
type CrossZoneWeight struct {
	// AffinityBudget is the largest fraction of requests that may go to a server of the own zone instead of the owner
	// of their key. The owner is the server that a key's requests go to when all servers weigh alike. The design wants
	// each key at one server: DefaultAffinityBudget nearly achieves that, while 1 lets each zone hold its own copy.
	AffinityBudget float64

	reduction float64 // 1 minus the weight, so that the zero value means a weight of 1
}

// DefaultAffinityBudget lets 0.85 of the first attempts for a key go to its owner, which is the goal of the design. Of
// the other 0.15, up to 0.11 went to other servers because of hot keys, slow starts and overloads: 0.09 to 0.11 on days
// with low load in two deployments. That leaves 0.04 for the servers of the own zone.
const DefaultAffinityBudget = 0.04

// The weight of the servers in other zones changes in steps, four a second. Each step multiplies the weight by one of
// the factors. The bounds calmUtilisation and zoneExcess select the factor.
const (
	minZoneWeight = 0.02 // least weight; above 0, so that keys still have owners if the own zone fails
	// quietFactor multiplies the weight in a step without overload: the weight falls by a fifth in a second (four
	// steps), and to 1/e in 5 s.
	quietFactor = 0.95
	// zoneOverloadFactor multiplies the weight in a step in which only the own zone is overloaded: the weight doubles
	// in about 2 s (eight steps).
	zoneOverloadFactor = 1.1
	// allOverloadFactor multiplies the weight in a step in which all zones together or the origin are overloaded: the
	// weight almost triples in a second (four steps).
	allOverloadFactor = 1.3
	// calmUtilisation is the largest fraction of slow answers at which the origin, or all cache servers taken together,
	// count as not overloaded.
	calmUtilisation = 0.2
	// zoneExcess is the largest allowed difference between the own zone's fraction of slow answers and that of all
	// cache servers. If the difference is larger, the own zone is overloaded.
	zoneExcess = 0.1
)

// Load holds the measurements from which Step decides whether the weight of the other zones' servers rises or falls.
// Fractions are from 0 to 1.
type Load struct {
	HomeFraction      float64 // fraction of all servers' capacity that is in the own zone
	OriginUtilisation float64 // fraction of the origin's answers that were slow
	ZoneUtilisation   float64 // fraction of slow answers from the cache servers in the own zone
	CacheUtilisation  float64 // fraction of slow answers from all cache servers
	OriginWaiting     int     // number of requests that wait for the origin
}

// Weight returns the weight of a server in another zone.
func (w *CrossZoneWeight) Weight() float64 { return 1 - w.reduction }

// Step multiplies the weight by one of the three factors, which the load selects. The result stays between minWeight
// and 1. The caller calls Step four times a second.
func (w *CrossZoneWeight) Step(load Load) {
	weight := w.Weight()
	switch {
	case load.OriginUtilisation > calmUtilisation || load.CacheUtilisation > calmUtilisation || load.OriginWaiting > 0:
		weight *= allOverloadFactor
	case load.ZoneUtilisation-load.CacheUtilisation > zoneExcess:
		weight *= zoneOverloadFactor
	default:
		weight *= quietFactor
	}
	w.reduction = 1 - min(1, max(w.minWeight(load.HomeFraction), weight))
}

// minWeight returns the lowest weight at which AffinityBudget is kept: no larger fraction of requests goes to the own
// zone instead of the owner of their key. When the weight w of the other zones' servers falls below 1, the own zone's
// servers keep their keys and gain some of the others'. If the own zone has the fraction home of all capacity, it gets
// the fraction home/(home+(1-home)*w) of the requests. At w=1 this fraction is home. Below w=1 it must not exceed
// home+AffinityBudget.
func (w *CrossZoneWeight) minWeight(home float64) float64 {
	if stay := 1 - home - w.AffinityBudget; home > 0 && stay > 0 {
		return max(minZoneWeight, home*stay/((home+w.AffinityBudget)*(1-home)))
	}
	return minZoneWeight
}
