package policy

import "shelfproxy/internal/fleet/gossip"

const (
	slowStartSafety  = 0.7 // part of the load that would overload a server that warms up
	servedPrior      = 0.1 // answers a server assumed, so that a new router uses servers that warm up
	hitsProvingCache = 4   // hits without a miss that show a cache which survived
)

// isWarmingUp reports whether the server has less than all of its slots.
func (r *Router) isWarmingUp(srv *server) bool { return r.slowStartWeight(srv) < 1 }

// slowStartWeight is the share of its slots that a server has: one that restarted takes them back until it is sure to
// be warm.
func (r *Router) slowStartWeight(srv *server) float64 {
	if srv.slowStartFrom == 0 || r.now >= srv.slowStartFrom+r.settings.SlowStartDuration {
		return 1
	}
	progress := max(0, float64(r.now-srv.slowStartFrom)/float64(r.settings.SlowStartDuration))
	return r.settings.SlowStartFloor + (1-r.settings.SlowStartFloor)*progress
}

// admitsDuringSlowStart keeps a server that warms up from being overloaded by a hot key or a surge, by all routers
// together. It gets a safe part of what one of its size answers here, and grows at half the pace for a router with
// few samples. Chance decides, weighted by what all routers know of the key; one not seen before may just now begin
// to come to all of them.
func (r *Router) admitsDuringSlowStart(srv *server, req *request) bool {
	weight := r.slowStartWeight(srv)
	meanServed := (r.servedTotal + servedPrior*r.requestWeight) * r.relativeCapacity(srv)
	demand := max(srv.offered-r.requestWeight,
		r.keyPopularity(req.Key)*(r.requestTotal/r.activeServers+servedPrior*r.requestWeight)) + weight*meanServed
	lag := (weight - r.settings.SlowStartFloor) / 2 * (1 - min(1, minLatencySamples/float64(r.settings.Nodes)))
	safe, draw := slowStartSafety*r.settings.OverloadFactor*(weight-lag)*meanServed, r.rng.Float64()
	if !r.keyCounts.WasSeen(gossip.FingerprintOf(hash(req.Key))) && safe < r.requestWeight {
		draw /= max(weight, safe/r.requestWeight)
	}
	return draw*demand < safe
}

// suspectRestart has a server that responds again warm up as if it had restarted, until the list tells when it did or
// it shows a cache that survived. A refused connect proves that its process was gone.
func (r *Router) suspectRestart(srv *server) {
	srv.slowStartBefore, srv.slowStartFrom, srv.hitsToClear = srv.slowStartFrom, r.now, hitsProvingCache
	if srv.connectRefused {
		srv.hitsToClear = 0
	}
}

// countHitAfterRestart takes a hit as a sign that the server did not restart. After enough of them, and no miss, it
// was only unreachable, and its warm-up is taken back.
func countHitAfterRestart(srv *server) {
	if srv.hitsToClear == 1 {
		srv.slowStartFrom = srv.slowStartBefore
	}
	srv.hitsToClear = max(0, srv.hitsToClear-1)
}
