package policy

const (
	maxOriginInFlight = 64                    // bound on attempts in flight at the origin, and the limit at the start
	writePrecedence   = 1e6                   // added to a queued write's priority weight, so that writes precede reads
	minOriginSamples  = minLatencySamples / 2 // up to this number of samples, originHasCapacity returns false
)

// originHasCapacity reports whether recent samples show that the origin can take more load. For that, there must be
// enough samples, and the origin's utilisation must be less than the parameter below.
func (r *Router) originHasCapacity(below float64) bool {
	return r.origin != nil && r.origin.gauge.slowFraction(r.now) < below &&
		r.origin.gauge.samples > minOriginSamples
}

// hasOriginSlot reports whether one more attempt may be in flight at the origin. r.origin must not be nil.
func (r *Router) hasOriginSlot() bool { return len(r.origin.gauge.inFlight) < r.originLimiter.Limit() }

// fetchFromOrigin fetches the key of a request from the origin, unless the request is shed there.
func (r *Router) fetchFromOrigin(req *request) {
	if r.origin != nil && r.shouldShed(req.bucket, &r.origin.gauge) {
		r.reject(req, CauseOriginSlow)
		return
	}
	r.flights[req.Key] = &flight{leader: req}
	r.sendOrQueueAtOrigin(req)
	if req.isEnded {
		r.completeFlight(req, false)
	}
}

// sendOrQueueAtOrigin sends a request to the origin if the origin has a free slot. Otherwise the request waits in the
// queue for as long as an answer may still be in time.
func (r *Router) sendOrQueueAtOrigin(req *request) {
	if r.origin == nil || r.hasOriginSlot() {
		r.send(req, r.origin)
		return
	}
	until, weight := req.objectiveAt-r.origin.gauge.target, req.priorityWeight
	if req.Write {
		until = min(req.objectiveAt, (r.now+req.Deadline)/2) // reject an unsent write well before its deadline
		if !req.isOverQuota {
			weight += writePrecedence
		}
	}
	r.waitUntil(req, max(r.now, until))
	r.originQueue.Add(req, weight)
}

// dequeueForOrigin sends queued requests to the origin, those of the highest weight first, while it has free slots.
func (r *Router) dequeueForOrigin() {
	for r.origin != nil && r.originQueue.Len() > 0 && r.hasOriginSlot() {
		next, _ := r.originQueue.Next()
		next.isWaiting = false
		r.send(next, r.origin)
	}
	if r.origin != nil {
		r.origin.gauge.hasQueue = r.originQueue.Len() > 0
	}
}
