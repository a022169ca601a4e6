package policy

import "time"

const (
	connectRefusedWithin = 50 * time.Millisecond // a connect that fails sooner counts as refused: no process listens
	// maxCheckResets is the largest number of times that a health check is repeated because the connection broke
	// (Reset).
	maxCheckResets = 2
	// minRecheckInterval is the shortest wait before a router checks an unresponsive server again. The HealthChecker
	// waits less: assignedRecheckInterval.
	minRecheckInterval = time.Second

	// Mean time from one health check of an unresponsive server to the next, by whichever router. recheckSpacingAlone
	// applies without gossip, recheckSpacingShared if routers tell each other of recoveries by gossip.
	recheckSpacingAlone  = 10 * time.Millisecond
	recheckSpacingShared = 50 * time.Millisecond

	// delegatedRecheckFactor multiplies the wait of a router between two checks while another router is the
	// HealthChecker.
	delegatedRecheckFactor = 16
	// assignedRecheckInterval is the wait of the HealthChecker between two checks. It is less than upkeepInterval, so a
	// check is due in each upkeep.
	assignedRecheckInterval = upkeepInterval / 2
)

// checkHealth starts a health check of a server, unless one is in progress, the server has left the endpoint list, or
// health checks are not allowed.
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
	case reason == Reset && srv.checkResets < maxCheckResets: // an unreliable network also causes resets: check again
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

// markResponsive records that a server responds. If the server was unresponsive for longer than minRecheckInterval, it
// may have restarted, so its slow start begins.
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

// markUnresponsive removes a server from routing. Attempts in flight at the server are cancelled if they may be
// repeated at another server.
func (r *Router) markUnresponsive(srv *server) {
	srv.isUnresponsive, srv.unresponsiveSince, srv.connectRefused, srv.hitsToClear = true, r.now, false, 0
	r.logf("server %s is unresponsive: removed from routing", srv.ID)
	for _, attempt := range srv.gauge.inFlight {
		if r.isCancellable(attempt) {
			r.cancelAttempt(attempt)
		}
	}
}

// recheckInterval returns the least time between two of this router's health checks of an unresponsive server. All
// routers check such a server, so the interval grows with their number. If one router is the HealthChecker, the
// HealthChecker checks every upkeepInterval, and every other router checks delegatedRecheckFactor times less often. A
// router that finds the server responsive tells all others. So if only the HealthChecker can't reach a server, some
// other router soon finds that the server responds. In a large fleet this takes at most about delegatedRecheckFactor
// times recheckSpacing: 16 times 50 ms, which is 0.8 s.
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

// checkIfUnresponsive starts a health check of a server if one is due. For a server in use, a check is due if attempts
// wait for a response and the server has been silent for longer than maxWait. maxWait is the latency above which an
// answer of a cache server counts as very slow, or upkeepInterval, if that is longer. For an unresponsive server, a
// check is due after recheckInterval.
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
