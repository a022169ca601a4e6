package policy

import "shelfproxy/internal/fleet/gossip"

const (
	slowStartSafety  = 0.7 // a server in slow start gets up to this fraction of the load that would overload it
	servedPrior      = 0.1 // hits assumed per server, so that a router without samples also uses servers in slow start
	hitsProvingCache = 4   // hits without a miss that show that the server's cache survived
)

// isWarmingUp reports whether the server is in slow start and has fewer than all of its slots.
func (r *Router) isWarmingUp(srv *server) bool { return r.slowStartWeight(srv) < 1 }

// slowStartWeight returns the fraction of its slots that a server has. After a restart the fraction grows linearly from
// SlowStartFloor and reaches 1 after SlowStartDuration, when the server's cache is certain to be warm.
func (r *Router) slowStartWeight(srv *server) float64 {
	if srv.slowStartFrom == 0 || r.now >= srv.slowStartFrom+r.settings.SlowStartDuration {
		return 1
	}
	progress := max(0, float64(r.now-srv.slowStartFrom)/float64(r.settings.SlowStartDuration))
	return r.settings.SlowStartFloor + (1-r.settings.SlowStartFloor)*progress
}

// admitsDuringSlowStart reports whether a server in slow start may take the request. All routers together must not
// overload the server by a hot key or a surge. So each router sends the server a safe fraction of the requests that a
// server of the same capacity answers for this router. In a large fleet, where each router has few samples, that
// fraction grows at half the rate. A random draw decides: the more popular the key is at all routers, the fewer of its
// requests are admitted. A key that this router has not seen before may be one that all routers begin to get at this
// moment, so its requests may be admitted less often.
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

// suspectRestart starts a slow start for a server that responds again, as if it had restarted. The slow start ends
// early if hits show that its cache survived, and the endpoint list may correct the time of the restart. A refused
// connect proves that the server's process was gone, so after a refused connect the hits are ignored.
func (r *Router) suspectRestart(srv *server) {
	srv.slowStartBefore, srv.slowStartFrom, srv.hitsToClear = srv.slowStartFrom, r.now, hitsProvingCache
	if srv.connectRefused {
		srv.hitsToClear = 0
	}
}

// countHitAfterRestart counts a hit as a sign that the server did not restart. After enough hits without a miss, the
// server was only unreachable, and its slow start is undone.
func countHitAfterRestart(srv *server) {
	if srv.hitsToClear == 1 {
		srv.slowStartFrom = srv.slowStartBefore
	}
	srv.hitsToClear = max(0, srv.hitsToClear-1)
}
