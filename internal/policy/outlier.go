package policy

import (
	"slices"

	"shelfproxy/internal/policy/outlier"
)

// assess compares a server with all cache servers. A server that is slower or fails more often than the others gives up
// a part of its slots.
func (r *Router) assess(srv *server) {
	before := srv.assessment.EjectionFraction()
	srv.assessment.Update(srv.gauge.slowFraction(r.now), r.cacheGauge.slowFraction(r.now))
	if srv.assessment.EjectionFraction() != before { // otherwise the ejection budget for the other servers is unchanged
		r.limitEjections()
	}
}

// assessAll compares all cache servers with each other. Among thousands of servers most have no recent samples. Such a
// server is assumed to be as slow as the servers of this router's zone, if the server is there, or as all servers
// together.
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

// isEjectionCandidate reports whether the server's capacity is part of the total that the ejection budget refers to.
func (r *Router) isEjectionCandidate(srv *server) bool {
	return srv != r.origin && srv.isListed && !r.isOriginKind(srv)
}

// ejectionStates returns the capacity of each cache server and how much of it is out. The next call reuses the slice.
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

// isEjectionBudgetSpent reports whether so much capacity is out that a server that only other routers report as
// unresponsive stays in use.
func (r *Router) isEjectionBudgetSpent() bool {
	return r.ejectionBudget.IsBounded() && r.ejectionBudget.IsSpent(r.ejectionStates())
}

// limitEjections keeps the slots that outliers give up within the ejection budget, if the budget is bounded.
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
