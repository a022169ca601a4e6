package policy

import (
	"strconv"
	"time"
)

// request holds the state of a client's request that has not ended or still has attempts in flight.
type request struct {
	Request
	class          *Class
	bucket         bucket
	priorityWeight float64 // the class's PriorityWeight / the greatest of all classes; reduced if isOverQuota
	objectiveAt    Time    // time until which an answer earns the full PriorityWeight
	isOverQuota    bool    // the request is beyond its tenant's quota

	attempts         []*attempt
	inFlight         int      // number of attempts in flight
	possiblyExecuted *attempt // first attempt that may have been executed; nil if there is none
	hasMissed        bool     // the origin is asked next: a cache server did not hold the object or was too slow
	avoidedServer    *server  // the request must not go to this server, which failed or rejected it
	// avoidsSuspects is set after a rejection by a suspect server, one with clearly more slow or failed answers than
	// the others. From then on the request must not go to any suspect server.
	avoidsSuspects bool

	isWaiting bool // the request waits for another request's fetch, in the queue for the origin, or for its retry
	wakeAt    Time // time at which the wait ends
	isEnded   bool
}

// attempt is one try to have a request answered by a server.
type attempt struct {
	request    *request
	server     *server
	sentAt     Time
	isInFlight bool
}

// requestReceived registers a client's request. Then it rejects the request or takes the request's first step.
func (r *Router) requestReceived(e Request) {
	class := r.classByName[e.Class]
	if class == nil {
		class = &r.settings.Classes[0]
	}
	if e.Key == "" {
		e.Key = strconv.FormatUint(e.ID, 10) // no key, so any server can serve the request: its ID is used as key
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
	// A read is rejected if it has less time left than the fastest recent hits took: it would only fail later.
	switch {
	case r.shedsForLoad(req):
		r.reject(req, CauseNodeBehind)
	case !e.Write && e.Deadline-r.now < r.leastUsefulTime():
		r.reject(req, CauseNoTime)
	default:
		r.advance(req)
	}
}

// advance takes the next step of a request, unless the request has ended or has an attempt in flight.
func (r *Router) advance(req *request) {
	switch {
	case req.isEnded || req.inFlight > 0:
	case r.now >= req.Deadline:
		r.giveUp(req, CauseDeadline)
	case len(req.attempts) >= r.settings.MaxAttempts:
		r.giveUp(req, CauseMaxAttempts)
	case r.settings.OriginKind != "" && req.Write:
		r.sendOrQueueAtOrigin(req) // writes are never shed, however high the origin's utilisation is
	case r.settings.OriginKind != "" && r.flights[req.Key] != nil:
		r.joinFlight(req)
	case req.hasMissed:
		r.fetchFromOrigin(req)
	default:
		r.sendToCache(req)
	}
}

// sendToCache starts an attempt at the cache server of the request's key. If that server is overloaded and should shed
// the request, the key is fetched from the origin instead. If the origin has no capacity either, the request is
// rejected.
func (r *Router) sendToCache(req *request) {
	srv := r.chooseServer(req)
	switch {
	case srv == nil && r.settings.OriginKind != "":
		r.fetchFromOrigin(req)
	case srv != nil && r.isOverloadedFor(req, srv):
		if r.originHasCapacity(calmUtilisation) {
			r.fetchFromOrigin(req)
		} else {
			r.reject(req, CauseServerCrowded)
		}
	default:
		r.send(req, srv)
	}
}

// send starts an attempt at the server. If the server is nil, or an attempt at this server might repeat the effect of
// an earlier attempt, send gives up the request.
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

// responseStarted removes an attempt from those that wait for a response, because its response has begun to arrive.
func (r *Router) responseStarted(e ResponseStarted) {
	if started := r.openAttempt(e.ID, e.Attempt); started != nil {
		started.server.gauge.remove(started)
	}
}

// openAttempt returns the attempt with the given index, of the request with the given id. It returns nil if the attempt
// is not in flight.
func (r *Router) openAttempt(id uint64, index int) *attempt {
	req := r.requests[id]
	if req == nil || index < 0 || index >= len(req.attempts) || !req.attempts[index].isInFlight {
		return nil
	}
	return req.attempts[index]
}

// waitLimit returns the time until which it is worthwhile for a request to wait. This is the deadline if a late answer
// is worth something, and otherwise the latency objective.
func (r *Router) waitLimit(req *request) Time {
	if req.class.LateFraction > 0 {
		return req.Deadline
	}
	return req.objectiveAt
}

// waitUntil makes a request wait for its next step, until the given time at the latest.
func (r *Router) waitUntil(req *request, until Time) {
	// wakeAt is rounded up to whole microseconds: a request woken too early would have to wait again at once.
	req.isWaiting = true
	req.wakeAt = (min(until, r.waitLimit(req)) + time.Microsecond - 1).Truncate(time.Microsecond)
	r.emit(SetTimer{At: req.wakeAt, Token: req.ID})
}

// resume takes the next step of a request whose wait is over. The request is given up if it is still queued for the
// origin or has waited until its waitLimit.
func (r *Router) resume(req *request) {
	req.isWaiting = false
	if r.originQueue.Contains(req) || r.now >= r.waitLimit(req) {
		r.giveUp(req, CauseWait)
	} else {
		r.advance(req)
	}
}

// giveUp gives a final answer to a request for which nothing more can be done. Before the latency objective the
// request is rejected; afterwards the answer is Fail.
func (r *Router) giveUp(req *request, cause Cause) {
	if r.now >= req.objectiveAt {
		r.emit(Fail{ID: req.ID, Cause: cause})
		r.endRequest(req)
		return
	}
	r.reject(req, cause)
}

// reject ends a request without the wanted answer. It answers with Reject if the client can be told that a retry is
// harmless, and with Fail otherwise.
func (r *Router) reject(req *request, cause Cause) {
	if mayPromiseNoEffect(req) {
		r.emit(Reject{ID: req.ID, RetryAfter: r.settings.MaxRetryAfter, Cause: cause})
	} else {
		r.emit(Fail{ID: req.ID, Cause: cause})
	}
	r.endRequest(req)
}

// endRequest marks a request as ended. The router forgets the request once none of its attempts is in flight.
func (r *Router) endRequest(req *request) {
	req.isEnded, req.isWaiting = true, false
	if r.originQueue.Remove(req) { // the queued fetch will not be sent: requests that wait for it need another
		r.completeFlight(req, false)
	}
	if req.inFlight == 0 {
		delete(r.requests, req.ID)
	}
}
