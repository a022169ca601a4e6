package policy

import "slices"

const (
	maxHedgesPerServer = 4 // maximum number of reads of one cache server that are hedged per upkeepInterval
	slowServerFactor   = 2 // multiplies the wait before a read is hedged, if many answers of its server are slow
)

// isCancellable reports whether an attempt may be cancelled and replaced by an attempt at another server.
func (r *Router) isCancellable(attempt *attempt) bool {
	return r.settings.MayCancel && !attempt.request.isEnded && attempt.request.class.Effect == Idempotent
}

// cancelAttempt requests that an attempt be cancelled. The attempt's Outcome event follows later.
func (r *Router) cancelAttempt(attempt *attempt) {
	index := slices.Index(attempt.request.attempts, attempt)
	r.emit(Cancel{ID: attempt.request.ID, Attempt: index})
}

// mayHedge reports whether slow reads may be moved to the origin. This is so while few answers of the cache servers
// and of the origin are slow. During a general overload, hedging would only add load.
func (r *Router) mayHedge() bool {
	return r.cacheGauge.slowFraction(r.now) <= calmUtilisation && r.originHasCapacity(calmUtilisation)
}

// hedgeSlowReads moves slow reads of a cache server to the origin, at most maxHedgesPerServer at a time. A read is
// slow once it has been in flight for longer than gauge.max, the latency above which the server's answers count as
// very slow. If many of the server's answers are slow, slowServerFactor times that latency applies.
func (r *Router) hedgeSlowReads(srv *server) {
	if len(srv.gauge.inFlight) == 0 {
		return
	}
	threshold := srv.gauge.max
	if srv.gauge.overTarget > calmUtilisation*srv.gauge.samples {
		threshold *= slowServerFactor
	}
	for _, attempt := range srv.gauge.inFlight[:min(len(srv.gauge.inFlight), maxHedgesPerServer)] {
		req := attempt.request
		if r.isCancellable(attempt) && !req.Write && r.now-attempt.sentAt > threshold &&
			r.retryBudgets[req.class].AllowRetry(r.now) {
			req.hasMissed = true
			r.cancelAttempt(attempt)
		}
	}
}
