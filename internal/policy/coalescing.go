package policy

// flight is the fetch of one key from the origin; later misses of the key wait for it.
type flight struct {
	leader  *request
	waiters []*request
}

// joinFlight has a request wait for the fetch of its key that is in flight: after a flush every reader of a popular
// key misses at once.
func (r *Router) joinFlight(req *request) {
	joined := r.flights[req.Key]
	joined.waiters = append(joined.waiters, req)
	if r.originQueue.Contains(joined.leader) { // what many wait for goes first
		r.originQueue.Add(joined.leader, req.priorityWeight)
	}
	r.waitUntil(req, r.waitLimit(req))
}

// completeFlight ends the flight that the request leads, if there is one. Those who waited go on to the cache, where
// the object now is if the fetch succeeded.
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
