package policy

// flight is a fetch of one key from the origin. Requests that need the same key meanwhile wait for the fetch.
type flight struct {
	leader  *request
	waiters []*request
}

// joinFlight makes a request wait for the fetch of its key that is already in flight. After a flush of the caches, all
// readers of a popular key miss at once, and one fetch has to serve them all.
func (r *Router) joinFlight(req *request) {
	joined := r.flights[req.Key]
	joined.waiters = append(joined.waiters, req)
	// While the fetch is queued, each waiter adds its weight, so that a fetch for many requests is sent early.
	if r.originQueue.Contains(joined.leader) {
		r.originQueue.Add(joined.leader, req.priorityWeight)
	}
	r.waitUntil(req, r.waitLimit(req))
}

// completeFlight ends the flight whose leader is the request, if there is one. If the fetch succeeded, the waiting
// requests are sent to the cache server, which now holds the object. Otherwise they need another fetch.
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
