package upstream

import (
	"math"
	"time"
)

const (
	growthThreshold = 3 // number of recent demands, observed needs for a connection, that justify the cost of another one
	// demandDecay is the time after which a demand, one observed need for a connection, counts only 1/e. It is a third of the
	// time that idle connections stay open.
	demandDecay = 10 * time.Second
)

// growth decides whether a pool whose connections are all busy opens another one, or pipelines an attempt behind the one in
// flight. A connection costs the server work, and the service charges the fleet for it. At one node of many, most additional
// connections would be used only once. So the number of connections follows demand, and another one is opened only after several
// demands for it.
type growth struct {
	demand    float64 // number of observed needs for another connection; old ones count less
	updatedAt time.Time
}

// shouldGrow records a demand for another connection, and reports whether to open one.
func (g *growth) shouldGrow(now time.Time) bool {
	g.demand = 1 + g.demand*math.Exp(-float64(now.Sub(g.updatedAt))/float64(demandDecay))
	g.updatedAt = now
	if g.demand < growthThreshold-0.5 { // three demands within a few seconds count a little less than 3: the first ones have decayed
		return false
	}
	g.demand = 0
	return true
}
