package policy

import (
	"time"

	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/decay"
)

const (
	hotKeyFraction       = 0.5              // fraction of a server's fair share past which a single key is spread
	minRequestsPerServer = 8.0              // minimum number of requests per server from which shares are estimated
	sparseRequestWindow  = 30 * time.Second // time until a request weighs 1/e below minRequestsPerServer
)

// countRequest counts a request and its key, and samples the key for gossip to the other routers. Old counts fade
// because later requests weigh more.
func (r *Router) countRequest(key string) {
	r.requestWeight = decay.Increment(r.requestTotal, r.requestWeight, r.now-r.requestTotalAt,
		latencyWindow, minRequestsPerServer*float64(len(r.servers)), sparseRequestWindow)
	r.requestTotal, r.requestTotalAt = r.requestTotal+r.requestWeight, r.now
	fingerprint := gossip.FingerprintOf(hash(key))
	r.keyCounts.Add(r.now, fingerprint, float64(len(r.servers)))
	r.gossipSender.KeyRequested(fingerprint, r.keyPopularity(key)/max(1, r.activeServers), r.rng.Float64())
	r.sendGossip()
}

// keyPopularity returns the requests for a key at all routers, without the current one, as a multiple of the requests
// of an average server.
func (r *Router) keyPopularity(key string) float64 {
	return r.keyCounts.Popularity(gossip.FingerprintOf(hash(key)), r.activeServers)
}

// chooseServer returns the cache server for a request, or nil if there is none. Usually this is the owner of the key's
// slot. A key that alone brings more than hotKeyFraction of its owner's fair share would overload the owner. Such a key
// is spread over as many of the next servers as bring it below that fraction at each of them. The request goes to the
// one of these with the fewest attempts in flight.
func (r *Router) chooseServer(req *request) *server {
	order := r.orderOf(slotOf(req.Key), req)
	var best *server
	excess := r.keyPopularity(req.Key) / hotKeyFraction
	part := r.requestWeight / float64(1+int(excess))
	candidates := 0
	for srv := order.next(); srv != nil; srv = order.next() {
		if r.isWarmingUp(srv) { // chosen by the draw alone: with few attempts in flight it would always win
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
// by the weight of a request, which would otherwise grow without bound.
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
