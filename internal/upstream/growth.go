package upstream

import (
	"math"
	"time"
)

// growth decides whether a pool whose connections are all at work opens another one, or lets a forward be written
// behind the one that is out. A connection costs the server work and the fleet its price, and at a node of many most
// are wanted once: so the number of connections follows use, and one more has to be wanted several times first.
type growth struct {
	wanted float64
	at     time.Time
}

const (
	pays  = 3                // waits behind another forward that make a connection worth its price
	fades = 10 * time.Second // a want weighs 1/e after this long: a third of the time that idle connections are kept
)

// want counts that a connection would have been of use and tells whether to open it.
func (g *growth) want(now time.Time) bool {
	g.wanted = 1 + g.wanted*math.Exp(-float64(now.Sub(g.at))/float64(fades))
	g.at = now
	if g.wanted < pays-0.5 { // three within a few seconds are not quite three
		return false
	}
	g.wanted = 0
	return true
}
