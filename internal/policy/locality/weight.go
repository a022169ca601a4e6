// Package locality decides how much the servers of other zones weigh against those of the own zone when keys are
// distributed over servers. It has no clock and no I/O; the caller applies the weight.
package locality

// CrossZoneWeight is the weight of a server in another zone, 1 at most. A request that crosses zones has a cost, so it
// is cheaper to hold a key in each zone that requests it. But each copy takes memory, which causes misses, and a zone
// may have more traffic than its servers can carry. So the weight falls only while nothing is overloaded. It falls in
// small steps, because each step moves keys to servers that have yet to fetch them. It rises faster, because the
// servers of other zones still hold their popular keys. The zero value weighs all servers alike. A CrossZoneWeight is
// not safe for concurrent use.
type CrossZoneWeight struct {
	// AffinityBudget is the fraction of requests that may go to a server of the own zone instead of the server that
	// owns their key when all servers weigh alike. The design wants each key at one server: DefaultAffinityBudget
	// keeps to that, while 1 lets each zone hold its own copy.
	AffinityBudget float64

	reduction float64 // 1 minus the weight, so that the zero value means a weight of 1
}

// DefaultAffinityBudget keeps 0.85 of the first sends of a key at its owner, which is the goal of the design. Hot keys,
// slow starts and overloads take part of the rest: 0.09 to 0.11 on the quiet days of two deployments.
const DefaultAffinityBudget = 0.04

// Factors by which a step changes the weight, and bounds on it. Four steps are taken each second.
const (
	minZoneWeight      = 0.02 // above 0, so that other zones' servers keep their order if the own zone fails
	quietFactor        = 0.95 // without overload: 1/e in 5 s, so other zones lose a fifth of their slots each second
	zoneOverloadFactor = 1.1  // raises the weight within about 2 s if the own zone is more loaded than the others
	allOverloadFactor  = 1.3  // raises the weight within about 1 s if all zones or the origin are overloaded
	calmUtilisation    = 0.2  // up to this share of slow answers, cache servers and origin are not overloaded
	zoneExcess         = 0.1  // the own zone is overloaded if its share of slow answers exceeds all zones' by more
)

// Load holds the measurements that a step depends on. Fractions are from 0 to 1.
type Load struct {
	HomeFraction      float64 // fraction of all servers' capacity that is in the own zone
	OriginUtilisation float64 // share of slow answers of the origin
	ZoneUtilisation   float64 // share of slow answers of the cache servers in the own zone
	CacheUtilisation  float64 // share of slow answers of all cache servers
	OriginWaiting     int     // number of requests that wait for the origin
}

// Weight returns the weight of a server in another zone.
func (w *CrossZoneWeight) Weight() float64 { return 1 - w.reduction }

// Step moves the weight by one step, up or down depending on the load.
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

// minWeight returns the lowest weight at which no more requests leave their owner than AffinityBudget allows. In
// weighted rendezvous hashing the own zone keeps its slots and gains a part of the others. With a fraction h of all
// weights in the own zone and a weight w, a fraction h/(h+(1-h)w) of the requests goes there; with w=1 it is h.
func (w *CrossZoneWeight) minWeight(home float64) float64 {
	if stay := 1 - home - w.AffinityBudget; home > 0 && stay > 0 {
		return max(minZoneWeight, home*stay/((home+w.AffinityBudget)*(1-home)))
	}
	return minZoneWeight
}
