// Package zones decides how far a node reaches: what the servers of other zones weigh against those of its own when keys
// are spread over them. It has no clock and no I/O; the module applies the weight.
package locality

// CrossZoneWeight is the weight of a server in another zone, 1 at most. A request that crosses zones has its price, so a key is
// better held in each zone that asks for it; but each copy of its own takes memory, which makes misses, and a zone may have
// more traffic than its servers can carry. So the weight falls while nothing is crowded, step by step, as each step moves
// keys to servers that have yet to fetch them. It rises faster, as the servers of other zones still hold what is popular
// there. The zero value weighs all alike.
type CrossZoneWeight struct {
	// AffinityBudget is the share of requests that may leave the server which their key has when all weigh alike, for one of the
	// own zone. The design wants a key at one server; DefaultLeave keeps that, 1 lets each zone hold its own.
	AffinityBudget float64

	far float64 // 1 less the weight
}

// DefaultAffinityBudget leaves a key's server 0.85 of its first sends, as the design is judged by, beside what spread of hot keys,
// cold servers and crowds take of the rest: 0.09 to 0.11 on the quiet days of two deployments.
const DefaultAffinityBudget = 0.04

// What a step changes, and where it stops. A step is taken four times a second.
const (
	least  = 0.02 // where a whole zone fails, others are still told apart
	closer = 0.95 // the weight falls to 1/e in 5 s: a fifth of what other zones have of the slots moves home in a second
	wider  = 1.1  // where the own zone is more crowded than the others: 2 s
	away   = 1.3  // where all are crowded or the origin is: 1 s
	calm   = 0.2  // share of slow answers up to which nothing is crowded, here and at the origin
	uneven = 0.1  // of that share above the others' from which the own zone has more than it can carry
)

// Load is what a step is judged by. Shares are from 0 to 1.
type Load struct {
	Home    float64 // share of the servers' sizes that stands in the own zone
	Origin  float64 // share of slow answers of fetches and writes
	Near    float64 // the same of the cache servers of the own zone
	All     float64 // and of all of them
	Waiting int     // requests that wait for a place at the origin
}

// Weight is that of a server in another zone.
func (r *CrossZoneWeight) Weight() float64 { return 1 - r.far }

// Step follows the load.
func (r *CrossZoneWeight) Step(l Load) {
	weight := r.Weight()
	switch {
	case l.Origin > calm || l.All > calm || l.Waiting > 0:
		weight *= away
	case l.Near-l.All > uneven:
		weight *= wider
	default:
		weight *= closer
	}
	r.far = 1 - min(1, max(r.floor(l.Home), weight))
}

// floor is the weight at which so many requests leave as may. By highest hash a server of the own zone wins what it had
// and a part of the rest: with a share h of all weights at home, h/(h+(1-h)w) go there, and h did.
func (r *CrossZoneWeight) floor(h float64) float64 {
	if stay := 1 - h - r.AffinityBudget; h > 0 && stay > 0 {
		return max(least, h*stay/((h+r.AffinityBudget)*(1-h)))
	}
	return least
}
