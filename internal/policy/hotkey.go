package policy

import (
	"time"

	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/decay"
)

const (
	hotKeyFraction       = 0.5              // of a server's fair share, past which a single key is spread
	minRequestsPerServer = 8.0              // the part of a server is judged from at least as many requests
	sparseRequestWindow  = 30 * time.Second // requests weigh 1/e after this long where there are fewer
)

// countRequest counts a request, and its key for all routers. Counts fade by making later ones weigh more.
func (r *Router) countRequest(key string) {
	r.requestWeight = decay.Increment(r.requestTotal, r.requestWeight, r.now-r.requestTotalAt,
		latencyWindow, minRequestsPerServer*float64(len(r.servers)), sparseRequestWindow)
	r.requestTotal, r.requestTotalAt = r.requestTotal+r.requestWeight, r.now
	fingerprint := gossip.FingerprintOf(hash(key))
	r.keyCounts.Add(r.now, fingerprint, float64(len(r.servers)))
	r.gossipSender.KeyRequested(fingerprint, r.keyPopularity(key)/max(1, r.activeServers), r.rng.Float64())
	r.sendGossip()
}

// keyPopularity is the part of an average server's requests that other requests for the key bring, at all routers.
func (r *Router) keyPopularity(key string) float64 {
	return r.keyCounts.Popularity(gossip.FingerprintOf(hash(key)), r.activeServers)
}

// chooseServer returns the cache server for a request, or nil: the owner of its key's slot. A key that alone brings
// more than a part of its owner's fair share would overload it: it is spread over as many of the next servers as
// bring it under that part of each, and goes to the one of them with the fewest attempts in flight.
func (r *Router) chooseServer(req *request) *server {
	order := r.orderOf(slotOf(req.Key), req)
	var best *server
	excess := r.keyPopularity(req.Key) / hotKeyFraction
	part := r.requestWeight / float64(1+int(excess))
	candidates := 0
	for srv := order.next(); srv != nil; srv = order.next() {
		if r.isWarmingUp(srv) { // the draw alone decides: with little in flight it would always be chosen
			srv.offered += r.requestWeight
			if r.admitsDuringSlowStart(srv, req) {
				return srv
			}
			continue
		}
		srv.offered += part
		candidates++
		if r.isBetterChoice(srv, best, candidates) {
			best = srv
		}
		excess -= r.relativeCapacity(srv)
		if excess < 0 {
			break
		}
	}
	return best
}

// isBetterChoice reports whether a candidate has fewer attempts in flight than the best one so far. Among equal ones,
// chance decides such that each of the candidates is as likely.
func (r *Router) isBetterChoice(candidate, best *server, candidates int) bool {
	if best == nil {
		return true
	}
	inFlight, fewest := len(candidate.gauge.inFlight), len(best.gauge.inFlight)
	return inFlight < fewest || inFlight == fewest && r.rng.IntN(candidates) == 0
}

// pruneKeyCounts drops keys that are no longer requested and scales the counts back, now and then.
func (r *Router) pruneKeyCounts() {
	r.keyCounts.Prune(r.now)
	if r.now < r.rescaleAt {
		return
	}
	r.rescaleAt = r.now + sparseRequestWindow
	for _, srv := range r.servers {
		srv.offered /= r.requestWeight
	}
	r.requestTotal, r.servedTotal = r.requestTotal/r.requestWeight, r.servedTotal/r.requestWeight
	r.requestWeight = 1
}
