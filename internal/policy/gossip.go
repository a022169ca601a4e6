package policy

import "shelfproxy/internal/fleet/gossip"

// gossipReceived counts what another router observed as if this router had observed it. The attempts of a single
// router are too few to judge most servers. A malformed datagram is ignored.
func (r *Router) gossipReceived(e GossipReceived) {
	message, _ := gossip.Decode(e.Data) // a malformed datagram yields an empty message
	for _, key := range message.Keys {
		r.keyCounts.Add(r.now, key, float64(len(r.servers)))
	}
	for _, observation := range message.Observations {
		if srv := r.serverByFingerprint[observation.Server]; srv != nil && srv != r.origin {
			r.applyObservation(e.From, srv, observation)
		}
	}
}

// applyObservation applies what another node observed of a server. The parameter from is the number of that node.
func (r *Router) applyObservation(from int, srv *server, seen gossip.Observation) {
	if srv.gauge.samples < 2*minLatencySamples { // with few samples, the reported ones help to judge the server
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

// showsResponse reports whether an observation shows that the server responds. If this router considers the server
// unresponsive, only a report of its recovery counts, and only if the server has been unresponsive for longer than
// minRecheckInterval.
func (r *Router) showsResponse(srv *server, seen gossip.Observation) bool {
	if srv.isUnresponsive {
		return seen.Recovered && r.now-srv.unresponsiveSince > minRecheckInterval
	}
	return seen.Attempts > seen.Failures
}

// believesUnresponsive reports whether this router accepts another node's report that a server does not respond. The
// parameter from is the number of that node. The report is accepted if this router's own health check failed. It is
// also accepted if a second node reports the same and the ejection budget, which bounds the capacity out of use, is
// not spent.
func (r *Router) believesUnresponsive(from int, srv *server) bool {
	if srv.isUnresponsive || r.now-srv.lastSeen <= minRecheckInterval/2 {
		return false
	}
	hasFailedCheck := srv.checkFailedAt > srv.lastSeen
	return srv.assessment.Corroborate(r.now, from, hasFailedCheck) && (hasFailedCheck || !r.isEjectionBudgetSpent())
}

// sendGossip sends pending observations to the other routers when the next datagram is due.
func (r *Router) sendGossip() {
	if datagram := r.gossipSender.NextDatagram(r.now, r.rng.Float64()); datagram != nil {
		r.emit(Gossip{datagram})
	}
}
