package policy

import (
	"time"

	"shelfproxy/internal/admission"
)

// Constants of the retry budgets. Each class has a budget of tokens, and a retry takes a token from the budget of its
// class.
const (
	// retryRatio is the number of tokens that each request of most classes adds to the budget of its class. So in a
	// partial failure, the retries of these classes add at most about a third to the load.
	retryRatio = 0.34
	// criticalRetryRatio replaces retryRatio for classes of great PriorityWeight. As each of their requests adds more
	// than one token, a request may be retried more than once.
	criticalRetryRatio = 1.5
	// minRetriesPerSecond is the number of tokens that a budget gets each second, even without requests. With 3
	// instead of 0.5, the budgets of 300 routers would get 900 tokens a second for each class.
	minRetriesPerSecond = 0.5
	// retryBurst is the number of unused tokens that a budget may keep for any length of time. Further tokens expire
	// about a second after they were added. Without this rule, 300 routers would have saved 300 * maxSavedRetries =
	// 9,000 retries of each class when an overload begins. That is more than half of the 300 * 18 * 3 = 16,200
	// requests that they get in three seconds at 18 requests a second each.
	retryBurst             = 3
	maxSavedRetries        = 30  // maximum number of unused tokens that a budget keeps
	criticalWeightFraction = 0.7 // above this fraction of the greatest PriorityWeight, criticalRetryRatio applies
)

const (
	// maxImmediateAttempts is the maximum number of attempts that follow each other without a wait, if live cache
	// servers reject the request or answer with errors.
	maxImmediateAttempts = 3

	// spillUtilisation bounds the fraction of the origin's answers that are slow. Below this bound, a request that a
	// cache server rejected goes to another cache server at once. That server may not hold the object, so the origin
	// must have capacity for another fetch.
	spillUtilisation    = 0.05
	firstBackoff        = 25 * time.Millisecond // mean wait before the first retry at a server whose queue is full
	maxBackoffDoublings = 4                     // maximum number of times that firstBackoff is doubled

	// dedupMarginTicks is a safety margin, in multiples of Settings.Tick. A retry must be written at least this long
	// before the DedupWindow of the request ends.
	dedupMarginTicks = 2
)

// newRetryBudget returns the retry budget of a class. maxPriorityWeight is the greatest PriorityWeight of all classes.
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
	case Errored, TimedOut, Reset, Cancelled, CorruptResponse, Displaced:
		return true
	}
	return false
}

// mayRetryAt reports whether the server may get an attempt of the request. If an earlier attempt was possibly
// executed, another one is allowed only if the effect can't happen twice. A first attempt is always allowed.
func (r *Router) mayRetryAt(req *request, srv *server) bool {
	if req.possiblyExecuted == nil || req.class.Effect == Idempotent {
		return true
	}
	earlier, scope := req.possiblyExecuted.server, req.class.DedupScope
	isNear := srv.Zone == earlier.Zone && (scope == SameZone || srv.Cell == earlier.Cell)
	isInScope := isNear || scope == AllServers
	return req.class.Effect == Deduplicated && isInScope && r.now <= r.dedupDeadline(req)
}

// dedupDeadline returns the time by which a retry of a possibly executed Deduplicated request must be written. After
// that, servers no longer recognise that they have already executed the request. 0 means no bound.
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

// continueAfter takes the next step of a request after an attempt that did not succeed. A retry is charged to the retry
// budget of the request's class.
func (r *Router) continueAfter(ended *attempt, reason Reason) {
	req := ended.request
	switch {
	case reason == Miss:
		req.hasMissed = true
		r.advance(req)
	case reason == Rejected && r.mayRedirect(ended):
		r.advance(req) // a rejected attempt was not executed, so the retry budget is not charged for the next one
	case reason == Displaced && len(req.attempts) < maxImmediateAttempts:
		r.advance(req) // the server that holds the object is not to blame, so it is asked again
	case reason == TimedOut || reason == NeverSent || !r.retryBudgets[req.class].AllowRetry(r.now):
		r.giveUp(req, causeOfOutcome(reason))
	default:
		r.retry(ended, reason)
	}
}

// mayRedirect reports whether a request that a cache server rejected goes to another server at once, without a charge
// to the retry budget. This is so if the rejecting server is no longer live. It is also so if three conditions hold:
// the rejecting server is suspect (it has clearly more slow or failed answers than the others), a server that is not
// suspect remains, and the request has had fewer than maxImmediateAttempts attempts.
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
	// Any server sends a corrupt response now and then. So the first retry goes to the same server, which holds the
	// object. A displaced attempt was no fault of the server at all.
	case isCache && (reason == CorruptResponse || reason == Displaced):
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

// backOff makes a request wait before its retry. The wait gives a server's full queue time to empty, which takes a few
// service times. The mean wait doubles with each attempt, at most maxBackoffDoublings times.
func (r *Router) backOff(req *request) {
	wait := firstBackoff << min(len(req.attempts)-1, maxBackoffDoublings)
	r.waitUntil(req, r.now+wait/2+time.Duration(r.rng.Int64N(int64(wait))))
}
