package policy

import (
	"slices"

	"shelfproxy/internal/policy/outlier"
)

// assess compares a server with all cache servers together, by the fraction of their answers that were slow or failed.
// A server with a clearly larger fraction gives up a part of its slots.
func (r *Router) assess(srv *server) {
	before := srv.assessment.EjectionFraction()
	srv.assessment.Update(srv.gauge.slowFraction(r.now), r.cacheGauge.slowFraction(r.now))
	// All outliers share the ejection budget, the capacity that may be out of use. If this server is to give up more or
	// fewer slots than before, the rest of the budget, which is left for the other outliers, has changed.
	if srv.assessment.EjectionFraction() != before {
		r.limitEjections()
	}
}

// assessAll compares each cache server with all cache servers together. Among thousands of servers most have no recent
// samples. Such a server is assumed to be as slow as all servers together. If it is in this router's zone, it is
// assumed to be as slow as the servers of the zone instead.
func (r *Router) assessAll() {
	ofAll, ofZone := r.cacheGauge.slowFraction(r.now), r.zoneGauge.slowFraction(r.now)
	for _, listed := range r.keyServers {
		srv, slowFraction := listed.server, ofAll
		switch {
		case !srv.gauge.isUnused():
			slowFraction = srv.gauge.slowFraction(r.now)
		case srv.gauge.aggregate == &r.zoneGauge:
			slowFraction = ofZone
		}
		srv.assessment.Update(slowFraction, ofAll)
	}
	r.limitEjections()
}

// isEjectionCandidate reports whether the server is a cache server in the endpoint list. The ejection budget is a
// fraction of the total capacity of these servers.
func (r *Router) isEjectionCandidate(srv *server) bool {
	return srv != r.origin && srv.isListed && !r.isOriginKind(srv)
}

// ejectionStates returns, for each cache server, its capacity, the fraction of the capacity that is unavailable, and
// the fraction that the server is to give up as an outlier. The next call reuses the slice.
func (r *Router) ejectionStates() []outlier.Server {
	r.ejectionCandidates = r.ejectionCandidates[:0]
	for _, srv := range r.servers {
		if !r.isEjectionCandidate(srv) {
			continue
		}
		state := outlier.Server{
			Capacity:            r.relativeCapacity(srv),
			UnavailableFraction: 1 - r.slowStartWeight(srv),
			EjectionFraction:    srv.assessment.EjectionFraction(),
			TieBreaker:          srv.hash,
		}
		if srv.isUnresponsive || srv.State != Live {
			state.UnavailableFraction = 1
		}
		r.ejectionCandidates = append(r.ejectionCandidates, state)
	}
	return r.ejectionCandidates
}

// isEjectionBudgetSpent reports whether no more capacity of the cache servers may be taken out of use. If so, a server
// stays in use when only other routers report the server as unresponsive.
func (r *Router) isEjectionBudgetSpent() bool {
	return r.ejectionBudget.IsBounded() && r.ejectionBudget.IsSpent(r.ejectionStates())
}

// limitEjections bounds the fraction of its slots that each outlier gives up. So the capacity out of use stays within
// the ejection budget. If the settings set no bound, limitEjections does nothing.
func (r *Router) limitEjections() {
	if !r.ejectionBudget.IsBounded() {
		return
	}
	states := r.ejectionStates()
	r.ejectionGrants = slices.Grow(r.ejectionGrants[:0], len(states))[:len(states)]
	isLimited := r.ejectionBudget.Grant(states, r.ejectionGrants)
	next := 0
	for _, srv := range r.servers {
		if next < len(states) && states[next].TieBreaker == srv.hash {
			srv.assessment.LimitEjection(r.ejectionGrants[next])
			next++
		}
	}
	r.logEjectionLimit(isLimited)
}

// logEjectionLimit logs when the ejection budget becomes too small for the outliers, and when it suffices again.
func (r *Router) logEjectionLimit(isLimited bool) {
	if isLimited == r.isEjectionLimited {
		return
	}
	r.isEjectionLimited = isLimited
	if isLimited {
		r.logf("the ejection budget is exhausted: further outliers keep their keys")
	} else {
		r.logf("the ejection budget suffices for all outliers again")
	}
}
