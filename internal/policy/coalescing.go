package policy

// flight is a fetch of one key from the origin. Requests that need the same key meanwhile wait for the fetch.
type flight struct {
	leader  *request
	waiters []*request
}

// joinFlight makes a request wait for the fetch of its key that another request has already started. After a flush of
// the caches, all readers of a popular key miss at once, and one fetch has to serve them all.
func (r *Router) joinFlight(req *request) {
	joined := r.flights[req.Key]
	joined.waiters = append(joined.waiters, req)
	// While the fetch waits in the queue for the origin, the priority weight of each request that waits for the fetch
	// is added to the weight of the fetch. So a fetch that serves many requests is sent early.
	if r.originQueue.Contains(joined.leader) {
		r.originQueue.Add(joined.leader, req.priorityWeight)
	}
	r.waitUntil(req, r.waitLimit(req))
}

// completeFlight ends the fetch that the leader (the request that is passed) started, if there is one. If the fetch
// succeeded, the requests that waited for it are sent to the cache server, which now holds the object. Otherwise the
// key must be fetched again.
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
