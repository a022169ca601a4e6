package policy

import "slices"

const (
	maxHedgesPerServer = 4 // maximum number of reads at one cache server that are hedged in one upkeep
	slowServerFactor   = 2 // if many answers of a server are slow, multiplies the time until its reads are hedged
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

// mayHedge reports whether slow reads may be moved to the origin. During a general overload, hedging would only add
// load.
func (r *Router) mayHedge() bool {
	return r.cacheGauge.slowFraction(r.now) <= calmUtilisation && r.originHasCapacity(calmUtilisation)
}

// hedgeSlowReads moves slow reads of a cache server to the origin, at most maxHedgesPerServer at a time. A read is slow
// once it has been in flight for longer than the server's maximum latency. If many of the server's answers are slow,
// slowServerFactor times that latency applies.
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
