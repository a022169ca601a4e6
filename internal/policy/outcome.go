package policy

import (
	"time"

	"shelfproxy/internal/admission"
)

const (
	fastestHitHalfLife = time.Second
	maxHalvings        = 62 // halves any duration to 0
)

// idleCostUnit is the number of idle connections at each server that together cost Settings.ConnectionCost.
const idleCostUnit = 100

// attemptEnded handles the outcome of an attempt. It updates the state of the server, and the request takes its next
// step if it has not ended. Outcomes of attempts that are not in flight are ignored.
func (r *Router) attemptEnded(e Outcome) {
	ended := r.openAttempt(e.ID, e.Attempt)
	if ended == nil {
		return
	}
	req := ended.request
	r.closeAttempt(ended)
	if e.Ended || req.isEnded {
		r.endRequest(req)
	}
	r.recordOutcome(ended, e)
	if req.possiblyExecuted == nil && leavesExecutionOpen(e.Reason) {
		req.possiblyExecuted = ended
	}
	if ended.server == r.origin {
		r.recordAtOrigin(ended, e)
	}
	if r.isOriginKind(ended.server) { // also one that has left the endpoint list since
		r.completeFlight(req, e.Reason == Succeeded)
	}
	if req.isEnded || req.inFlight > 0 {
		return
	}
	r.continueAfter(ended, e.Reason)
}

// closeAttempt removes an attempt from those in flight.
func (r *Router) closeAttempt(ended *attempt) {
	srv := ended.server
	ended.isInFlight = false
	ended.request.inFlight--
	srv.gauge.remove(ended)
	if r.isIdleCostly() && srv != r.origin && len(srv.gauge.inFlight) == 0 {
		r.emit(CloseIdle{srv.ID})
	}
}

// isIdleCostly reports whether the idle connections of all routers cost more than opening new ones. If so, only
// connections to the origin are kept open.
func (r *Router) isIdleCostly() bool {
	return r.settings.ConnectionCost*float64(r.settings.Nodes)/idleCostUnit > r.settings.HandshakeCost
}

// recordOutcome updates the latency samples and the liveness of the attempt's server.
func (r *Router) recordOutcome(ended *attempt, e Outcome) {
	srv := ended.server
	switch e.Reason {
	case Cancelled:
		if !ended.request.isEnded { // the router cancelled the attempt because the server was slow
			r.observeLatency(srv, e.Took, true)
		}
	case TimedOut, NoConnection, Reset:
		r.recordNoResponse(srv, e)
	case Succeeded, Errored, Rejected:
		r.observeLatency(srv, e.Took, e.Reason != Succeeded)
		if e.Reason == Succeeded && srv != r.origin {
			r.recordHit(srv, e)
		}
		r.markResponsive(srv)
	case Miss: // no latency sample: the latency of a miss says nothing about the load
		r.markResponsive(srv)
		srv.hitsToClear = 0 // the server may have lost its cache, so hits no longer end its slow start
	case CorruptResponse:
		r.markResponsive(srv)
	}
}

// recordNoResponse records an attempt without a response. One such attempt does not show that the server is down, so a
// health check follows. Where health checks are not allowed, the server counts as down after several failures in a row.
// A timeout during an overload of all cache servers does not count as such a failure.
func (r *Router) recordNoResponse(srv *server, e Outcome) {
	if e.Reason == NoConnection {
		srv.zone.failedConnects++
		srv.connectRefused = srv.connectRefused || e.Took < connectRefusedWithin
	}
	r.observeLatency(srv, e.Took, true)
	isOverload := e.Reason == TimedOut && r.cacheGauge.slowFraction(r.now) > calmUtilisation
	switch {
	case srv == r.origin:
	case r.settings.MayHealthCheck && !srv.isUnresponsive:
		r.checkHealth(srv)
	case !r.settings.MayHealthCheck && !isOverload && srv.breaker.Failed(r.now) && !srv.isUnresponsive:
		r.markUnresponsive(srv)
	}
}

// recordHit records a hit, a read that a cache server answered: its latency in fastestHit, and its weight in
// servedTotal.
func (r *Router) recordHit(srv *server, e Outcome) {
	r.fastestHit += r.fastestHit / riseDivisor
	if r.fastestHit == 0 || e.Took < r.fastestHit {
		r.fastestHit = e.Took
	}
	r.lastHitAt = r.now
	r.servedTotal += r.requestWeight / max(1, r.activeServers)
	countHitAfterRestart(srv)
}

// leastUsefulTime returns the time that a read needs at least to be answered by a cache server. It is the latency of
// the fastest recent hits, halved for each fastestHitHalfLife since the last hit. If it kept back all reads, no hit
// could ever show that the cache servers are faster again.
func (r *Router) leastUsefulTime() time.Duration {
	return r.fastestHit >> min((r.now-r.lastHitAt)/fastestHitHalfLife, maxHalvings)
}

// recordAtOrigin records the outcome of a fetch or a write. The outcome adjusts the limit on attempts in flight at the
// origin.
func (r *Router) recordAtOrigin(ended *attempt, e Outcome) {
	if e.Reason != NeverSent {
		sample := admission.LatencySample{
			IsWrite:    ended.request.Write,
			Latency:    e.Took,
			IsRejected: e.Reason == Rejected,
			IsTimedOut: e.Reason == TimedOut,
		}
		gauge := &r.origin.gauge
		r.originLimiter.Observe(r.now, sample, gauge.target, len(gauge.inFlight)+1)
	}
}

// observeLatency records a latency sample of a server and compares the server with the others again. If the server has
// clearly more slow or failed answers than the others, gossip may send the sample to the other routers.
func (r *Router) observeLatency(srv *server, latency time.Duration, hasFailed bool) {
	srv.gauge.observe(r.now, latency, hasFailed)
	if srv != r.origin {
		isBad := hasFailed || latency > srv.gauge.target
		r.gossipSender.AttemptEnded(&srv.assessment, srv.gauge.samples, isBad, r.rng.Float64())
	}
	r.assess(srv)
}
