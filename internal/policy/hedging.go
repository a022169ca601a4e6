package policy

import "slices"

const (
	maxHedgesPerServer    = 4 // reads that are hedged at a cache server at a time
	crowdedPatienceFactor = 2 // times the maximum, where the server has many slow answers
)

// isCancellable reports whether an attempt may be cancelled for another one.
func (r *Router) isCancellable(attempt *attempt) bool {
	return r.settings.MayCancel && !attempt.request.isEnded && attempt.request.class.Effect == Idempotent
}

// cancelAttempt stops the wait for an attempt; its outcome follows.
func (r *Router) cancelAttempt(attempt *attempt) {
	index := slices.Index(attempt.request.attempts, attempt)
	r.emit(Cancel{ID: attempt.request.ID, Attempt: index})
}

// mayHedge reports whether slow reads are moved to the origin: under a general overload it would only add to the work.
func (r *Router) mayHedge() bool {
	return r.cacheGauge.slowFraction(r.now) <= calmUtilisation && r.originHasCapacity(calmUtilisation)
}

// hedgeSlowReads moves reads that have been in flight at a cache server for longer than its maximum to the origin,
// twice that where many of its answers are slow, a few at a time.
func (r *Router) hedgeSlowReads(srv *server) {
	if len(srv.gauge.inFlight) == 0 {
		return
	}
	patience := srv.gauge.max
	if srv.gauge.overTarget > calmUtilisation*srv.gauge.samples {
		patience *= crowdedPatienceFactor
	}
	for _, attempt := range srv.gauge.inFlight[:min(len(srv.gauge.inFlight), maxHedgesPerServer)] {
		req := attempt.request
		if r.isCancellable(attempt) && !req.Write && r.now-attempt.sentAt > patience &&
			r.retryBudgets[req.class].AllowRetry(r.now) {
			req.hasMissed = true
			r.cancelAttempt(attempt)
		}
	}
}
