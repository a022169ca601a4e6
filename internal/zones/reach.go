// Package zones decides how far a node reaches: what the servers of other zones weigh against those of its own when keys
// are spread over them. It has no clock and no I/O; the module applies the weight.
package zones

// Reach is the weight of a server in another zone, from Least to 1. A request that crosses zones has its price, so a key
// is better held in each zone that asks for it; but each copy of its own takes memory, which makes misses, and a zone may
// have more traffic than its servers can carry. So the weight falls while nothing is crowded, step by step, as each step
// moves keys to servers that have yet to fetch them. It rises faster, as the servers of other zones still hold what is
// popular there. The zero value weighs all alike.
type Reach struct {
	far float64 // 1 less the weight
}

// What a step changes, and where it stops. A step is taken four times a second.
const (
	Least  = 0.02 // where a whole zone fails, others are still told apart
	closer = 0.95 // the weight falls to 1/e in 5 s: a fifth of what other zones have of the slots moves home in a second
	wider  = 1.1  // where the own zone is more crowded than the others: 2 s
	away   = 1.3  // where all are crowded or the origin is: 1 s
	calm   = 0.2  // share of slow answers up to which nothing is crowded, here and at the origin
	uneven = 0.1  // of that share above the others' from which the own zone has more than it can carry
)

// Load is what a step is judged by: shares of slow answers, from 0 to 1.
type Load struct {
	Origin  float64 // fetches and writes
	Near    float64 // the cache servers of the own zone
	All     float64 // all of them
	Waiting int     // requests that wait for a place at the origin
}

// Weight is that of a server in another zone.
func (r *Reach) Weight() float64 { return 1 - r.far }

// Step follows the load.
func (r *Reach) Step(l Load) {
	weight := r.Weight()
	switch {
	case l.Origin > calm || l.All > calm || l.Waiting > 0:
		weight *= away
	case l.Near-l.All > uneven:
		weight *= wider
	default:
		weight *= closer
	}
	r.far = 1 - min(1, max(Least, weight))
}
