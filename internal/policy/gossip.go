package policy

import "shelfproxy/internal/fleet/gossip"

// gossipReceived takes what another router observed as if this one had: alone it meets most servers too seldom. A
// malformed datagram counts for nothing.
func (r *Router) gossipReceived(e GossipReceived) {
	message, _ := gossip.Decode(e.Data) // what can't be decoded is an empty message
	for _, key := range message.Keys {
		r.keyCounts.Add(r.now, key, float64(len(r.servers)))
	}
	for _, observation := range message.Observations {
		if srv := r.serverByFingerprint[observation.Server]; srv != nil && srv != r.origin {
			r.applyObservation(e.From, srv, observation)
		}
	}
}

// applyObservation takes what the node with the number observed of a server.
func (r *Router) applyObservation(from int, srv *server, seen gossip.Observation) {
	if srv.gauge.samples < 2*minLatencySamples { // else this router knows enough itself
		srv.gauge.addReported(r.now, float64(seen.Attempts), float64(seen.Failures))
	}
	r.assess(srv)
	switch {
	case r.showsResponse(srv, seen):
		r.markResponsive(srv)
	case seen.Unresponsive && r.believesUnresponsive(from, srv):
		r.markUnresponsive(srv)
	}
}

// showsResponse reports whether an observation is a sign of life. One that is unresponsive here has to have
// recovered, and not at the time when it became so.
func (r *Router) showsResponse(srv *server, seen gossip.Observation) bool {
	if srv.isUnresponsive {
		return seen.Recovered && r.now-srv.unresponsiveSince > minRecheckInterval
	}
	return seen.Attempts > seen.Failures
}

// believesUnresponsive reports whether this router takes a server out as the node with the number says that it does
// not respond: where its own health check failed, or where a second node says so and the ejection budget allows.
func (r *Router) believesUnresponsive(from int, srv *server) bool {
	if srv.isUnresponsive || r.now-srv.lastSeen <= minRecheckInterval/2 {
		return false
	}
	hasFailedCheck := srv.checkFailedAt > srv.lastSeen
	return srv.assessment.Corroborate(r.now, from, hasFailedCheck) && (hasFailedCheck || !r.isEjectionBudgetSpent())
}

// sendGossip sends the other routers what there is to tell, when it is time.
func (r *Router) sendGossip() {
	if datagram := r.gossipSender.NextDatagram(r.now, r.rng.Float64()); datagram != nil {
		r.emit(Gossip{datagram})
	}
}
