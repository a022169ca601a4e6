package policy

import "time"

const (
	connectRefusedWithin    = 50 * time.Millisecond // a connect that fails sooner was refused: nobody listens
	maxCheckResets          = 2                     // health checks in a row that may break without counting as failed
	minRecheckInterval      = time.Second           // first wait before an unresponsive server is checked again
	recheckPaceAlone        = 10 * time.Millisecond // between two routers' health checks of an unresponsive server
	recheckPaceShared       = 50 * time.Millisecond // the same where the one that finds it responsive tells the others
	delegatedRecheckFactor  = 16                    // times the interval where health checks are another router's role
	assignedRecheckInterval = upkeepInterval / 2    // where they are this router's role: at each round of upkeep
)

// checkHealth starts a health check of a server, unless one is under way.
func (r *Router) checkHealth(srv *server) {
	if r.settings.MayHealthCheck && srv.isListed && !srv.isBeingChecked {
		srv.isBeingChecked, srv.checkedAt = true, r.now
		r.emit(HealthCheck{srv.ID})
	}
}

// isUnanswered reports whether a health check that ended for the reason got no answer. A rejection is an answer.
func isUnanswered(reason Reason) bool {
	return reason == TimedOut || reason == NoConnection || reason == Reset
}

// healthChecked takes the result of a health check. The second one in a row without an answer takes the server out.
func (r *Router) healthChecked(srv *server, reason Reason) {
	srv.isBeingChecked = false
	switch {
	case !isUnanswered(reason):
		if srv.isUnresponsive {
			r.gossipSender.Recovered(srv.assessment.Fingerprint)
		}
		r.markResponsive(srv)
	case reason == Reset && srv.checkResets < maxCheckResets: // bad networks break connections too: check on another
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

// markResponsive takes a sign of life of a server. One that was unresponsive for long may have restarted.
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
	r.logf("server %s answers again", srv.ID)
}

// markUnresponsive takes a server out of the map of keys and cancels what may be tried elsewhere.
func (r *Router) markUnresponsive(srv *server) {
	srv.isUnresponsive, srv.unresponsiveSince, srv.connectRefused, srv.hitsToClear = true, r.now, false, 0
	r.logf("server %s is silent: out of the map", srv.ID)
	for _, attempt := range srv.gauge.inFlight {
		if r.isCancellable(attempt) {
			r.cancelAttempt(attempt)
		}
	}
}

// recheckInterval is the least time between two health checks of an unresponsive server by this router. The pace is
// that of all routers together. The router with the role of HealthChecker checks for all of them and tells at once;
// whoever finds the server responsive tells all, so that one that the role's holder alone can't reach is found within
// delegatedRecheckFactor times the pace of the whole fleet.
func (r *Router) recheckInterval() time.Duration {
	shared := max(minRecheckInterval, r.recheckPace*time.Duration(r.settings.Nodes))
	switch r.responsibilities[HealthChecker] {
	case AssignedHere:
		return assignedRecheckInterval
	case AssignedElsewhere:
		return delegatedRecheckFactor * shared
	}
	return shared
}

// checkIfQuiet starts a health check of a server that has not responded for longer than the cache servers' maximum,
// or of an unresponsive one that is due for one.
func (r *Router) checkIfQuiet(srv *server) {
	patience := max(r.cacheGauge.max, upkeepInterval)
	sinceCheck := r.now - srv.checkedAt
	needsCheck := false
	if srv.isUnresponsive {
		needsCheck = sinceCheck > r.recheckInterval()
	} else {
		quiet := r.now - max(srv.gauge.oldestSentAt(r.now), srv.lastSeen)
		needsCheck = quiet > patience && sinceCheck > patience
	}
	if needsCheck {
		r.checkHealth(srv)
	}
}
