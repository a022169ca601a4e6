package policy

import (
	"strconv"
	"time"
)

// request is one that the router has taken and that has not ended.
type request struct {
	Request
	class          *Class
	bucket         bucket
	priorityWeight float64 // over the greatest of all classes
	objectiveAt    Time    // until when an answer earns the full weight
	isOverQuota    bool    // beyond its tenant's quota

	attempts         []*attempt
	inFlight         int      // attempts
	possiblyExecuted *attempt // the first such attempt
	hasMissed        bool     // at a cache server; the next step is the origin
	avoidedServer    *server  // it failed this request
	avoidsSuspects   bool     // a server that does worse than the others rejected it: no such server will do

	isWaiting bool // for a flight, the origin or a retry
	wakeAt    Time // until when
	isEnded   bool
}

// attempt is one try to have a request answered by one server.
type attempt struct {
	request    *request
	server     *server
	sentAt     Time
	isInFlight bool
}

// requestReceived takes a client's request.
func (r *Router) requestReceived(e Request) {
	class := r.classByName[e.Class]
	if class == nil {
		class = &r.settings.Classes[0]
	}
	if e.Key == "" {
		e.Key = strconv.FormatUint(e.ID, 10) // nothing to keep together
	}
	req := &request{Request: e, class: class, objectiveAt: min(r.now+class.LatencyObjective, e.Deadline)}
	r.requests[e.ID] = req
	r.countRequest(e.Key)
	req.priorityWeight = class.PriorityWeight / r.maxPriorityWeight
	req.isOverQuota = !r.quotas.IsWithin(r.now, e.Tenant)
	if req.isOverQuota {
		req.priorityWeight *= r.settings.OverQuotaFraction
	}
	req.bucket = bucketOf(req)
	r.retryBudgets[class].RecordAttempt(r.now)
	// A read with less time left than the fastest recent answers took would only fail later.
	switch {
	case r.shedsForLoad(req):
		r.reject(req, CauseNodeBehind)
	case !e.Write && e.Deadline-r.now < r.fastestHit:
		r.reject(req, CauseNoTime)
	default:
		r.advance(req)
	}
}

// advance takes the next step of a request that has nothing in flight.
func (r *Router) advance(req *request) {
	switch {
	case req.isEnded || req.inFlight > 0:
	case r.now >= req.Deadline:
		r.giveUp(req, CauseDeadline)
	case len(req.attempts) >= r.settings.MaxAttempts:
		r.giveUp(req, CauseMaxAttempts)
	case r.settings.OriginKind != "" && req.Write:
		r.sendOrQueueAtOrigin(req) // writes are never shed
	case r.settings.OriginKind != "" && r.flights[req.Key] != nil:
		r.joinFlight(req)
	case req.hasMissed:
		r.fetchFromOrigin(req)
	default:
		r.sendToCache(req)
	}
}

// sendToCache starts an attempt at the cache server of the request's key. Past one that is crowded, a request that
// would be shed there goes to an origin that is quiet, or else is rejected.
func (r *Router) sendToCache(req *request) {
	srv := r.chooseServer(req)
	switch {
	case srv == nil && r.settings.OriginKind != "":
		r.fetchFromOrigin(req)
	case srv != nil && r.isCrowdedFor(req, srv):
		if r.originHasCapacity(calmUtilisation) {
			r.fetchFromOrigin(req)
		} else {
			r.reject(req, CauseServerCrowded)
		}
	default:
		r.send(req, srv)
	}
}

// send starts an attempt if there is a server and the class allows one there; else it gives the request up.
func (r *Router) send(req *request, srv *server) {
	switch {
	case srv == nil:
		r.giveUp(req, CauseNoServer)
		return
	case !r.mayRetryAt(req, srv):
		r.giveUp(req, CauseRetryNotAllowed)
		return
	}
	srv.breaker.AttemptStarted(r.now)
	started := &attempt{request: req, server: srv, sentAt: r.now, isInFlight: true}
	req.attempts = append(req.attempts, started)
	req.inFlight++
	srv.gauge.inFlight = append(srv.gauge.inFlight, started)
	r.emit(Send{ID: req.ID, Server: srv.ID, WriteBy: r.dedupDeadline(req)})
}

// responseStarted takes an attempt out of those waited for: its answer is on the way.
func (r *Router) responseStarted(e ResponseStarted) {
	if started := r.openAttempt(e.ID, e.Attempt); started != nil {
		started.server.gauge.remove(started)
	}
}

// openAttempt finds an attempt that is in flight; nil where there is none.
func (r *Router) openAttempt(id uint64, index int) *attempt {
	req := r.requests[id]
	if req == nil || index < 0 || index >= len(req.attempts) || !req.attempts[index].isInFlight {
		return nil
	}
	return req.attempts[index]
}

// waitLimit is when a request is no longer worth waiting with.
func (r *Router) waitLimit(req *request) Time {
	if req.class.LateFraction > 0 {
		return req.Deadline
	}
	return req.objectiveAt
}

// waitUntil has a request wait for its next step, until the given time at the latest.
func (r *Router) waitUntil(req *request, until Time) {
	// Whole microseconds, rounded up: what is woken before its time would wait again at once.
	req.isWaiting = true
	req.wakeAt = (min(until, r.waitLimit(req)) + time.Microsecond - 1).Truncate(time.Microsecond)
	r.emit(SetTimer{At: req.wakeAt, Token: req.ID})
}

// resume takes the next step of a request whose wait is over.
func (r *Router) resume(req *request) {
	req.isWaiting = false
	if r.originQueue.Contains(req) || r.now >= r.waitLimit(req) {
		r.giveUp(req, CauseWait)
	} else {
		r.advance(req)
	}
}

// giveUp answers a request for which there is no further step.
func (r *Router) giveUp(req *request, cause Cause) {
	if r.now >= req.objectiveAt {
		r.emit(Fail{ID: req.ID, Cause: cause})
		r.endRequest(req)
		return
	}
	r.reject(req, cause)
}

// reject answers a request, with Reject where the class allows to promise that trying again is harmless.
func (r *Router) reject(req *request, cause Cause) {
	if mayPromiseNoEffect(req) {
		r.emit(Reject{ID: req.ID, RetryAfter: r.settings.MaxRetryAfter, Cause: cause})
	} else {
		r.emit(Fail{ID: req.ID, Cause: cause})
	}
	r.endRequest(req)
}

// endRequest forgets a request once it has ended and nothing of it is in flight.
func (r *Router) endRequest(req *request) {
	req.isEnded, req.isWaiting = true, false
	if r.originQueue.Remove(req) { // those that wait for its fetch need another one
		r.completeFlight(req, false)
	}
	if req.inFlight == 0 {
		delete(r.requests, req.ID)
	}
}
