package policy

import (
	"time"

	"shelfproxy/internal/admission"
)

// Bounds on the retries of a class. The retry budget grows by retryRatio retries with each request of the class, and by
// some with each second in any case. It holds at most maxSavedRetries. Above retryBurst, it holds no more than what the
// last second added. Without this last bound, 300 routers with 18 requests a second each would hold 9,000 retries when
// an overload begins. That is as many as half of all requests of three seconds, and 900 more would come each second.
// Classes of great weight use criticalRetryRatio, so that each of their requests may be retried more than once. For the
// other classes, a partial failure adds at most a third to the load.
const (
	retryRatio             = 0.34
	criticalRetryRatio     = 1.5
	minRetriesPerSecond    = 0.5
	retryBurst             = 3
	maxSavedRetries        = 30
	criticalWeightFraction = 0.7 // fraction of the greatest PriorityWeight above which criticalRetryRatio applies
)

const (
	maxImmediateAttempts = 3                     // after so many attempts, no read goes to another server at once
	spillUtilisation     = 0.05                  // below this origin utilisation, rejected reads go elsewhere at once
	firstBackoff         = 25 * time.Millisecond // mean wait before the first retry at a full server
	maxBackoffDoublings  = 4                     // how often the mean wait doubles at most
	dedupMarginTicks     = 2                     // a retry is written so many ticks before its DedupWindow ends
)

// newRetryBudget returns the retry budget of a class. maxPriorityWeight is the greatest weight of all classes.
func newRetryBudget(class *Class, maxPriorityWeight float64) *admission.RetryBudget {
	budget := &admission.RetryBudget{
		Ratio: retryRatio, MinPerSecond: minRetriesPerSecond, MaxSaved: maxSavedRetries, Burst: retryBurst,
	}
	if class.PriorityWeight > criticalWeightFraction*maxPriorityWeight {
		budget.Ratio = criticalRetryRatio
	}
	return budget
}

// leavesExecutionOpen reports whether an attempt that ended for the given reason was possibly executed, although it
// brought no usable answer.
func leavesExecutionOpen(reason Reason) bool {
	switch reason {
	case Errored, TimedOut, Reset, Cancelled, CorruptResponse:
		return true
	}
	return false
}

// mayRetryAt reports whether an attempt of the request is allowed at the server. It enforces the rule that no effect
// happens twice. A first attempt is always allowed.
func (r *Router) mayRetryAt(req *request, srv *server) bool {
	if req.possiblyExecuted == nil || req.class.Effect == Idempotent {
		return true
	}
	earlier, scope := req.possiblyExecuted.server, req.class.DedupScope
	isNear := srv.Zone == earlier.Zone && (scope == SameZone || srv.Cell == earlier.Cell)
	isInScope := isNear || scope == AllServers
	return req.class.Effect == Deduplicated && isInScope && r.now <= r.dedupDeadline(req)
}

// dedupDeadline returns the time by which a retry of a possibly executed Deduplicated request must be written. Servers
// recognise the retry as a repeat only until then. 0 means no bound.
func (r *Router) dedupDeadline(req *request) Time {
	if req.possiblyExecuted == nil || req.class.Effect != Deduplicated {
		return 0
	}
	return req.possiblyExecuted.sentAt + req.class.DedupWindow - dedupMarginTicks*r.settings.Tick
}

// mayPromiseNoEffect reports whether the client can be told that a retry is harmless.
func mayPromiseNoEffect(req *request) bool {
	if req.possiblyExecuted == nil || req.class.Effect == Idempotent {
		return true
	}
	return req.class.Effect == Deduplicated && req.class.DedupScope == AllServers
}

// continueAfter takes the next step of a request after an attempt that did not answer it. A retry is charged to the
// retry budget of the request's class.
func (r *Router) continueAfter(ended *attempt, reason Reason) {
	req := ended.request
	switch {
	case reason == Miss:
		req.hasMissed = true
		r.advance(req)
	case reason == Rejected && r.mayRedirect(ended):
		r.advance(req) // nothing was executed, so this does not count as a retry
	case reason == TimedOut || reason == NeverSent || !r.retryBudgets[req.class].AllowRetry(r.now):
		r.giveUp(req, causeOfOutcome(reason))
	default:
		r.retry(ended, reason)
	}
}

// mayRedirect reports whether a request that a cache server rejected goes to another server. This is so if the server
// no longer serves keys, or if it is suspect and there is a server that is not.
func (r *Router) mayRedirect(ended *attempt) bool {
	req, srv := ended.request, ended.server
	if srv == r.origin {
		return false
	}
	return !r.servesKeys(srv) || len(req.attempts) < maxImmediateAttempts && srv.assessment.IsSuspect() &&
		r.avoidSuspects(req, srv)
}

// retry makes a request try again, at once or after a backoff, or rejects the request.
func (r *Router) retry(ended *attempt, reason Reason) {
	req, srv := ended.request, ended.server
	isCache := srv != r.origin
	switch {
	case isCache && reason == CorruptResponse: // this happens at any server now and then: retry where the object is
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

// mayRetryElsewhere reports whether a request goes to another server at once after an attempt at a cache server failed.
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

// backOff makes a request wait before its retry, because a server's full queue empties within a few service times. The
// mean wait doubles with each attempt.
func (r *Router) backOff(req *request) {
	wait := firstBackoff << min(len(req.attempts)-1, maxBackoffDoublings)
	r.waitUntil(req, r.now+wait/2+time.Duration(r.rng.Int64N(int64(wait))))
}
