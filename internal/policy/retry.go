package policy

import (
	"time"

	"shelfproxy/internal/admission"
)

// Retries that a class may have: a ratio of its first attempts, some a second in any case, and so many saved up, past
// the first few no more than the last second earned: 300 routers of 18 requests a second would else have 9,000 of
// them saved when an overload begins, half of all requests of three seconds, and 900 more a second. Requests of the
// greatest weight may be retried more than once each; a partial failure of the others costs a third more.
const (
	retryRatio             = 0.34
	criticalRetryRatio     = 1.5
	minRetriesPerSecond    = 0.5
	retryBurst             = 3
	maxSavedRetries        = 30
	criticalWeightFraction = 0.7 // of the greatest weight, above which the critical ratio holds
)

const (
	maxImmediateAttempts = 3                     // up to which a rejected or failed read goes elsewhere at once
	spillUtilisation     = 0.05                  // origin utilisation up to which a full server's reads go elsewhere
	firstBackoff         = 25 * time.Millisecond // mean wait after a server was full
	maxBackoffDoublings  = 4                     // of that wait
	dedupMarginTicks     = 2                     // ticks before the end of a deduplication window
)

// newRetryBudget returns the retry budget of a class, where the greatest weight of all classes is given.
func newRetryBudget(class *Class, maxPriorityWeight float64) *admission.RetryBudget {
	budget := &admission.RetryBudget{
		Ratio: retryRatio, MinPerSecond: minRetriesPerSecond, MaxSaved: maxSavedRetries, Burst: retryBurst,
	}
	if class.PriorityWeight > criticalWeightFraction*maxPriorityWeight {
		budget.Ratio = criticalRetryRatio
	}
	return budget
}

// leavesExecutionOpen reports whether an attempt that ended for the reason was possibly executed, without its outcome
// being known.
func leavesExecutionOpen(reason Reason) bool {
	switch reason {
	case Errored, TimedOut, Reset, Cancelled, CorruptResponse:
		return true
	}
	return false
}

// mayRetryAt keeps the rule that no effect happens twice: it reports whether an attempt of the request, which may be
// its first, is allowed at the server.
func (r *Router) mayRetryAt(req *request, srv *server) bool {
	if req.possiblyExecuted == nil || req.class.Effect == Idempotent {
		return true
	}
	earlier, scope := req.possiblyExecuted.server, req.class.DedupScope
	isNear := srv.Zone == earlier.Zone && (scope == SameZone || srv.Cell == earlier.Cell)
	isInScope := isNear || scope == AllServers
	return req.class.Effect == Deduplicated && isInScope && r.now <= r.dedupDeadline(req)
}

// dedupDeadline is until when a retry of a deduplicated request that was possibly executed is recognised as a repeat:
// it has to be written by then. 0 is no bound.
func (r *Router) dedupDeadline(req *request) Time {
	if req.possiblyExecuted == nil || req.class.Effect != Deduplicated {
		return 0
	}
	return req.possiblyExecuted.sentAt + req.class.DedupWindow - dedupMarginTicks*r.settings.Tick
}

// mayPromiseNoEffect reports whether the client can be told that trying again is harmless.
func mayPromiseNoEffect(req *request) bool {
	if req.possiblyExecuted == nil || req.class.Effect == Idempotent {
		return true
	}
	return req.class.Effect == Deduplicated && req.class.DedupScope == AllServers
}

// continueAfter takes the next step of a request after an attempt that did not answer it. What is a retry is charged
// to the budget of its class.
func (r *Router) continueAfter(ended *attempt, reason Reason) {
	req := ended.request
	switch {
	case reason == Miss:
		req.hasMissed = true
		r.advance(req)
	case reason == Rejected && r.mayRedirect(ended):
		r.advance(req) // nothing was executed, so it is no retry
	case reason == TimedOut || reason == NeverSent || !r.retryBudgets[req.class].AllowRetry(r.now):
		r.giveUp(req, causeOfOutcome(reason))
	default:
		r.retry(ended, reason)
	}
}

// mayRedirect reports whether a request that a cache server rejected goes to another one: as the server left, or as
// it does worse than others that have capacity.
func (r *Router) mayRedirect(ended *attempt) bool {
	req, srv := ended.request, ended.server
	if srv == r.origin {
		return false
	}
	return !r.servesKeys(srv) || len(req.attempts) < maxImmediateAttempts && srv.assessment.IsSuspect() &&
		r.avoidSuspects(req, srv)
}

// retry has a request try again, at once or after a backoff, or rejects it.
func (r *Router) retry(ended *attempt, reason Reason) {
	req, srv := ended.request, ended.server
	isCache := srv != r.origin
	switch {
	case isCache && reason == CorruptResponse: // again where the object is: any server does so now and then
		if len(req.attempts) > 1 {
			req.avoidedServer = srv
		}
		r.advance(req)
	case isCache && r.mayRetryElsewhere(req, reason):
		req.avoidedServer = srv
		r.advance(req)
	case isCache && req.bucket == bulk:
		r.reject(req, CauseServerBusy)
	default:
		r.backOff(req)
	}
}

// mayRetryElsewhere reports whether a request goes on to another server at once after an attempt at a cache server.
func (r *Router) mayRetryElsewhere(req *request, reason Reason) bool {
	switch reason {
	case NoConnection, Reset, Cancelled:
		return true
	case Errored:
		return len(req.attempts) < maxImmediateAttempts && !req.Write
	case Rejected:
		return len(req.attempts) < maxImmediateAttempts && r.originHasCapacity(spillUtilisation)
	}
	return false
}

// backOff has a request wait for capacity: a full queue empties within a few services. The waits double.
func (r *Router) backOff(req *request) {
	wait := firstBackoff << min(len(req.attempts)-1, maxBackoffDoublings)
	r.waitUntil(req, r.now+wait/2+time.Duration(r.rng.Int64N(int64(wait))))
}
