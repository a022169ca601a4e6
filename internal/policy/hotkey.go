package policy

import (
	"time"

	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/decay"
)

const (
	// hotKeyFraction says when a key is hot: if it gets more than this fraction of the requests that an average server
	// gets for all its keys.
	hotKeyFraction       = 0.5
	minRequestsPerServer = 8.0              // with fewer counted requests per server, the counts fade more slowly
	sparseRequestWindow  = 30 * time.Second // time in which a count below minRequestsPerServer falls to 1/e
)

// countRequest counts a request and its key. Some keys are reported to the other routers by gossip. Each request
// counts with a greater weight than those before, so old requests matter less and less.
func (r *Router) countRequest(key string) {
	r.requestWeight = decay.Increment(r.requestTotal, r.requestWeight, r.now-r.requestTotalAt,
		latencyWindow, minRequestsPerServer*float64(len(r.servers)), sparseRequestWindow)
	r.requestTotal, r.requestTotalAt = r.requestTotal+r.requestWeight, r.now
	fingerprint := gossip.FingerprintOf(hash(key))
	r.keyCounts.Add(r.now, fingerprint, float64(len(r.servers)))
	r.gossipSender.KeyRequested(fingerprint, r.keyPopularity(key)/max(1, r.activeServers), r.rng.Float64())
	r.sendGossip()
}

// keyPopularity returns the number of requests for a key at all routers, as a multiple of the requests that an average
// server gets. The current request is not counted.
func (r *Router) keyPopularity(key string) float64 {
	return r.keyCounts.Popularity(gossip.FingerprintOf(hash(key)), r.activeServers)
}

// chooseServer returns the cache server for a request, or nil if there is none. Usually this is the owner of the key's
// slot, the first server in the slot's order. A hot key would overload its owner: it gets more than hotKeyFraction of
// the requests that an average server gets for all its keys. So the requests for a hot key are spread over the owner
// and the next servers in the order. Just enough servers are used that none gets more than hotKeyFraction of its usual
// load from this key. Of these servers, the one with the fewest attempts in flight gets the request.
func (r *Router) chooseServer(req *request) *server {
	order := r.orderOf(slotOf(req.Key), req)
	var best *server
	excess := r.keyPopularity(req.Key) / hotKeyFraction
	part := r.requestWeight / float64(1+int(excess))
	candidates := 0
	for srv := order.next(); srv != nil; srv = order.next() {
		// A server in slow start usually has the fewest attempts in flight and would get every request. So it is not
		// compared with the other servers, but gets some of the requests at random.
		if r.isWarmingUp(srv) {
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

// isBetterChoice reports whether a candidate has fewer attempts in flight than the best server so far. If both have the
// same number, the candidate is preferred with probability 1/candidates, where candidates is the number of servers
// compared so far. So if all of these are tied, each is equally likely.
func (r *Router) isBetterChoice(candidate, best *server, candidates int) bool {
	if best == nil {
		return true
	}
	inFlight, fewest := len(candidate.gauge.inFlight), len(best.gauge.inFlight)
	return inFlight < fewest || inFlight == fewest && r.rng.IntN(candidates) == 0
}

// pruneKeyCounts drops keys that are no longer requested. It also keeps requestWeight, which grows with each request,
// from becoming too large: once in each sparseRequestWindow, the sums of weights are divided by requestWeight, which
// then is set to 1.
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
