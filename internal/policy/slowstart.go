package policy

import "shelfproxy/internal/fleet/gossip"

const (
	slowStartSafety = 0.7 // a server in slow start gets at most this fraction of the load that would overload it
	// servedPrior is added to the counted numbers of hits and requests per server. So a router that has counted no hits
	// and requests yet sends some requests to servers in slow start too.
	servedPrior      = 0.1
	hitsProvingCache = 4 // number of hits without a miss that show that the server's cache survived
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

// admitsDuringSlowStart reports whether a server in slow start may take the request. A hot key or a surge at all
// routers together must not overload the server. So each router sends the server only a safe fraction of the requests
// that a fully started server of the same capacity answers for this router. This fraction grows as the slow start
// proceeds, but only about half as fast in a large fleet, where each router has few samples. Requests are admitted at
// random. The more popular a key is at all routers, the less likely its requests are admitted. If this router has not
// seen a key before, perhaps all routers begin to get requests for it at this moment. So if the safe number of requests
// is less than one, requests for a new key are admitted even less often.
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
// early if hits show that the server's cache survived. An entry of the endpoint list can correct the start of the slow
// start. A refused connect proves that the server's process was gone, so after a refused connect the hits are ignored.
func (r *Router) suspectRestart(srv *server) {
	srv.slowStartBefore, srv.slowStartFrom, srv.hitsToClear = srv.slowStartFrom, r.now, hitsProvingCache
	if srv.connectRefused {
		srv.hitsToClear = 0
	}
}

// countHitAfterRestart counts a hit after an outage as a sign that the server did not restart. Enough hits without a
// miss show that the server was only unreachable. Then the slow start that began after the outage is undone.
func countHitAfterRestart(srv *server) {
	if srv.hitsToClear == 1 {
		srv.slowStartFrom = srv.slowStartBefore
	}
	srv.hitsToClear = max(0, srv.hitsToClear-1)
}
