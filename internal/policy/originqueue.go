package policy

const (
	maxOriginInFlight = 64 // limit on attempts in flight at the origin; originLimiter may lower it
	// writePrecedence is added to the weight of a queued write that is within its tenant's quota. As the sum far
	// exceeds the weight of a read, such writes are sent before reads.
	writePrecedence  = 1e6
	minOriginSamples = minLatencySamples / 2 // originHasCapacity needs more latency samples than this
)

// originHasCapacity reports whether recent latency samples show that the origin can take more load. There must be more
// than minOriginSamples samples, and the origin's utilisation (the fraction of slow answers) must be less than
// utilisationLimit.
func (r *Router) originHasCapacity(utilisationLimit float64) bool {
	return r.origin != nil && r.origin.gauge.slowFraction(r.now) < utilisationLimit &&
		r.origin.gauge.samples > minOriginSamples
}

// isOriginBelowLimit reports whether one more attempt may be in flight at the origin. r.origin must not be nil.
func (r *Router) isOriginBelowLimit() bool {
	return len(r.origin.gauge.inFlight) < r.originLimiter.Limit()
}

// fetchFromOrigin fetches the key of a request from the origin, unless the request is shed because the origin is
// overloaded.
func (r *Router) fetchFromOrigin(req *request) {
	if r.origin != nil && r.shouldShed(req.bucket, &r.origin.gauge) {
		r.reject(req, CauseOriginSlow)
		return
	}
	r.flights[req.Key] = &flight{leader: req}
	r.sendOrQueueAtOrigin(req)
}

// sendOrQueueAtOrigin sends a request to the origin if the limit on attempts in flight at the origin allows one more.
// Otherwise the request waits in the queue for as long as an answer could still arrive in time.
func (r *Router) sendOrQueueAtOrigin(req *request) {
	if r.origin == nil || r.isOriginBelowLimit() {
		r.sendToOrigin(req)
		return
	}
	until, weight := req.objectiveAt-r.origin.gauge.target, req.priorityWeight
	if req.Write {
		// A write is given up if it is still queued at its latency objective, or after half of the time to its
		// deadline.
		until = min(req.objectiveAt, (r.now+req.Deadline)/2)
		if !req.isOverQuota {
			weight += writePrecedence
		}
	}
	r.waitUntil(req, max(r.now, until))
	r.originQueue.Add(req, weight)
}

// sendToOrigin sends a request to the origin. If the request is given up instead, those that wait for its fetch go on
// by themselves.
func (r *Router) sendToOrigin(req *request) {
	r.send(req, r.origin)
	if req.isEnded {
		r.completeFlight(req, false)
	}
}

// dequeueForOrigin sends queued requests to the origin until the limit on attempts in flight at the origin is reached.
// Requests of the highest weight are sent first.
func (r *Router) dequeueForOrigin() {
	for r.origin != nil && r.originQueue.Len() > 0 && r.isOriginBelowLimit() {
		next, _ := r.originQueue.Next()
		next.isWaiting = false
		r.sendToOrigin(next)
	}
	if r.origin != nil {
		r.origin.gauge.hasQueue = r.originQueue.Len() > 0
	}
}
