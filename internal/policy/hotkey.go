package policy

import (
	"time"

	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/decay"
)

const (
	hotKeyFraction       = 0.5              // a key with more than this fraction of a server's fair share is spread
	minRequestsPerServer = 8.0              // with fewer counted requests per server, counts fade slowly
	sparseRequestWindow  = 30 * time.Second // time in which a count below minRequestsPerServer falls to 1/e
)

// countRequest counts a request and its key, and samples the key for gossip to the other routers. Each request counts
// with a greater weight than those before, so old requests matter less and less.
func (r *Router) countRequest(key string) {
	r.requestWeight = decay.Increment(r.requestTotal, r.requestWeight, r.now-r.requestTotalAt,
		latencyWindow, minRequestsPerServer*float64(len(r.servers)), sparseRequestWindow)
	r.requestTotal, r.requestTotalAt = r.requestTotal+r.requestWeight, r.now
	fingerprint := gossip.FingerprintOf(hash(key))
	r.keyCounts.Add(r.now, fingerprint, float64(len(r.servers)))
	r.gossipSender.KeyRequested(fingerprint, r.keyPopularity(key)/max(1, r.activeServers), r.rng.Float64())
	r.sendGossip()
}

// keyPopularity returns how many requests for a key all routers have, not counting the current one, as a multiple of
// the requests that an average server gets.
func (r *Router) keyPopularity(key string) float64 {
	return r.keyCounts.Popularity(gossip.FingerprintOf(hash(key)), r.activeServers)
}

// chooseServer returns the cache server for a request, or nil if there is none. Usually this is the owner of the key's
// slot. A key whose requests alone exceed hotKeyFraction of the owner's fair share would overload the owner. Such a key
// is spread over the owner and just enough of the next servers to bring each of them below that fraction. The request
// goes to the server with the fewest attempts in flight among these.
func (r *Router) chooseServer(req *request) *server {
	order := r.orderOf(slotOf(req.Key), req)
	var best *server
	excess := r.keyPopularity(req.Key) / hotKeyFraction
	part := r.requestWeight / float64(1+int(excess))
	candidates := 0
	for srv := order.next(); srv != nil; srv = order.next() {
		if r.isWarmingUp(srv) { // a draw decides: by its few attempts in flight, this server would always win
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

// isBetterChoice reports whether a candidate has fewer attempts in flight than the best server so far. Ties are broken
// at random, so that each of the tied candidates is equally likely.
func (r *Router) isBetterChoice(candidate, best *server, candidates int) bool {
	if best == nil {
		return true
	}
	inFlight, fewest := len(candidate.gauge.inFlight), len(best.gauge.inFlight)
	return inFlight < fewest || inFlight == fewest && r.rng.IntN(candidates) == 0
}

// pruneKeyCounts drops keys that are no longer requested. Once in each sparseRequestWindow it also divides all counts
// by the present weight of a request, which would otherwise grow without bound.
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
