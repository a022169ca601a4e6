package upstream

import (
	"math"
	"time"
)

const (
	growthThreshold = 3                // recent demands that justify the cost of a connection
	demandDecay     = 10 * time.Second // a demand counts 1/e after this long: a third of the time that idle connections stay open
)

// growth decides whether a pool whose connections are all busy opens another one, or pipelines an attempt behind the one in
// flight. A connection costs the server work and the fleet a fee, and at one node of many most are needed once only: so the number of
// connections follows demand, and one more has to be demanded several times first.
type growth struct {
	demand    float64 // decaying count
	updatedAt time.Time
}

// shouldGrow records that another connection would have been of use, and reports whether to open it.
func (g *growth) shouldGrow(now time.Time) bool {
	g.demand = 1 + g.demand*math.Exp(-float64(now.Sub(g.updatedAt))/float64(demandDecay))
	g.updatedAt = now
	if g.demand < growthThreshold-0.5 { // three within a few seconds have decayed to a little less than three
		return false
	}
	g.demand = 0
	return true
}
