package policy

import "time"

const (
	connectRefusedWithin    = 50 * time.Millisecond // a connect that fails sooner counts as refused: no process listens
	maxCheckResets          = 2                     // resets in a row of health checks that do not count as failures
	minRecheckInterval      = time.Second           // shortest wait before a router checks an unresponsive server again
	recheckSpacingAlone     = 10 * time.Millisecond // time between two routers' checks of one unresponsive server
	recheckSpacingShared    = 50 * time.Millisecond // like recheckSpacingAlone, if gossip tells of recoveries
	delegatedRecheckFactor  = 16                    // multiplies the interval if another router is HealthChecker
	assignedRecheckInterval = upkeepInterval / 2    // interval of the HealthChecker: it checks at each upkeep
)

// checkHealth starts a health check of a server, unless one is in progress.
func (r *Router) checkHealth(srv *server) {
	if r.settings.MayHealthCheck && srv.isListed && !srv.isBeingChecked {
		srv.isBeingChecked, srv.checkedAt = true, r.now
		r.emit(HealthCheck{srv.ID})
	}
}

// isUnanswered reports whether a health check that ended for the given reason got no answer. A rejection is an answer.
func isUnanswered(reason Reason) bool {
	return reason == TimedOut || reason == NoConnection || reason == Reset
}

// healthChecked handles the result of a health check. After two checks in a row without an answer, the server counts as
// unresponsive.
func (r *Router) healthChecked(srv *server, reason Reason) {
	srv.isBeingChecked = false
	switch {
	case !isUnanswered(reason):
		if srv.isUnresponsive {
			r.gossipSender.Recovered(srv.assessment.Fingerprint)
		}
		r.markResponsive(srv)
	case reason == Reset && srv.checkResets < maxCheckResets: // unreliable networks cause resets: check again
		srv.checkResets++
		r.checkHealth(srv)
	case srv.isUnresponsive || srv.lastSeen >= srv.checkedAt:
	case srv.checkFailedAt > srv.lastSeen:
		r.gossipSender.Unresponsive(srv.assessment.Fingerprint)
		r.markUnresponsive(srv)
	default:
		srv.checkFailedAt = r.now
		r.checkHealth(srv)
	}
}

// markResponsive records that a server responds. A server that was unresponsive for longer than minRecheckInterval may
// have restarted.
func (r *Router) markResponsive(srv *server) {
	srv.lastSeen, srv.checkResets = r.now, 0
	srv.breaker.Succeeded(r.now)
	srv.zone.failedConnects = 0
	if !srv.isUnresponsive {
		return
	}
	srv.isUnresponsive = false
	if r.now-srv.unresponsiveSince > minRecheckInterval {
		r.suspectRestart(srv)
	}
	r.logf("server %s responds again", srv.ID)
}

// markUnresponsive removes a server from routing and cancels its attempts that may be repeated elsewhere.
func (r *Router) markUnresponsive(srv *server) {
	srv.isUnresponsive, srv.unresponsiveSince, srv.connectRefused, srv.hitsToClear = true, r.now, false, 0
	r.logf("server %s is unresponsive: removed from routing", srv.ID)
	for _, attempt := range srv.gauge.inFlight {
		if r.isCancellable(attempt) {
			r.cancelAttempt(attempt)
		}
	}
}

// recheckInterval returns the least time between two of this router's health checks of an unresponsive server. It grows
// with the number of routers, as all of them check. A router with the role of HealthChecker checks for all and reports
// at once. The other routers then check delegatedRecheckFactor times less often. Any router that finds the server
// responsive tells all others. So even a server that only the HealthChecker can't reach is found to respond, within
// delegatedRecheckFactor times the interval between the checks of the whole fleet.
func (r *Router) recheckInterval() time.Duration {
	shared := max(minRecheckInterval, r.recheckSpacing*time.Duration(r.settings.Nodes))
	switch r.responsibilities[HealthChecker] {
	case AssignedHere:
		return assignedRecheckInterval
	case AssignedElsewhere:
		return delegatedRecheckFactor * shared
	}
	return shared
}

// checkIfUnresponsive starts a health check of a server that has owed a response for longer than the maximum latency
// of the cache servers, or of an unresponsive server whose next check is due.
func (r *Router) checkIfUnresponsive(srv *server) {
	maxWait := max(r.cacheGauge.max, upkeepInterval)
	sinceCheck := r.now - srv.checkedAt
	needsCheck := false
	if srv.isUnresponsive {
		needsCheck = sinceCheck > r.recheckInterval()
	} else {
		unansweredFor := r.now - max(srv.gauge.oldestSentAt(r.now), srv.lastSeen)
		needsCheck = unansweredFor > maxWait && sinceCheck > maxWait
	}
	if needsCheck {
		r.checkHealth(srv)
	}
}
