package policy

// flight is a fetch of one key from the origin. Later misses of the same key wait for the fetch.
type flight struct {
	leader  *request
	waiters []*request
}

// joinFlight makes a request wait for the fetch of its key that is already in flight. After a flush all readers of a
// popular key miss at once, and one fetch has to serve them all.
func (r *Router) joinFlight(req *request) {
	joined := r.flights[req.Key]
	joined.waiters = append(joined.waiters, req)
	if r.originQueue.Contains(joined.leader) { // waiters add their weights: fetches for many requests go first
		r.originQueue.Add(joined.leader, req.priorityWeight)
	}
	r.waitUntil(req, r.waitLimit(req))
}

// completeFlight ends the flight whose leader is the request, if there is one. If the fetch succeeded, the waiting
// requests go on to the cache, which now holds the object.
func (r *Router) completeFlight(leader *request, hasSucceeded bool) {
	ended := r.flights[leader.Key]
	if ended == nil || ended.leader != leader {
		return
	}
	delete(r.flights, leader.Key)
	for _, waiter := range ended.waiters {
		if !waiter.isWaiting {
			continue
		}
		waiter.hasMissed, waiter.isWaiting = waiter.hasMissed && !hasSucceeded, false
		r.advance(waiter)
	}
}
