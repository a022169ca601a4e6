package policy

const (
	maxOriginInFlight = 64                    // attempts in flight at the origin, before anything is known of it
	writePrecedence   = 1e6                   // priority weight of a queued write on top of that of any read
	minOriginSamples  = minLatencySamples / 2 // the origin is judged to have capacity from more than that
)

// originHasCapacity reports whether recent fetches show that the origin could do more: its utilisation is below the
// one given.
func (r *Router) originHasCapacity(below float64) bool {
	return r.origin != nil && r.origin.gauge.slowFraction(r.now) < below &&
		r.origin.gauge.samples > minOriginSamples
}

// hasOriginSlot reports whether one more attempt may be in flight at the origin, which must be there.
func (r *Router) hasOriginSlot() bool { return len(r.origin.gauge.inFlight) < r.originLimiter.Limit() }

// fetchFromOrigin gets a missed key from the origin, unless its bucket is being shed.
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

// sendOrQueueAtOrigin sends to the origin if it has a slot; else the request waits in the queue while an answer may
// be in time.
func (r *Router) sendOrQueueAtOrigin(req *request) {
	if r.origin == nil || r.hasOriginSlot() {
		r.send(req, r.origin)
		return
	}
	until, weight := req.objectiveAt-r.origin.gauge.target, req.priorityWeight
	if req.Write {
		until = min(req.objectiveAt, (r.now+req.Deadline)/2) // what was never sent is not rejected late
		if !req.isOverQuota {
			weight += writePrecedence
		}
	}
	r.waitUntil(req, max(r.now, until))
	r.originQueue.Add(req, weight)
}

// dequeueForOrigin sends the queued requests of the highest weight to the origin, as far as it has slots.
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
