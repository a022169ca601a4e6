package policy

import (
	"slices"

	"shelfproxy/internal/policy/outlier"
)

// assess compares a server with the others anew: one that does worse gives up a part of its slots.
func (r *Router) assess(srv *server) {
	before := srv.assessment.EjectionFraction()
	srv.assessment.Update(srv.gauge.slowFraction(r.now), r.cacheGauge.slowFraction(r.now))
	if srv.assessment.EjectionFraction() != before { // else the others' budget is as it was
		r.limitEjections()
	}
}

// assessAll compares all servers with each other. Most of thousands have no recent samples: these do as well as those
// that are measured together with them.
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

// isEjectionCandidate reports whether the ejection budget counts the server.
func (r *Router) isEjectionCandidate(srv *server) bool {
	return srv != r.origin && srv.isListed && !r.isOriginKind(srv)
}

// ejectionStates returns the cache servers as the ejection budget sees them. The slice is reused by the next call.
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

// isEjectionBudgetSpent reports whether so many cache servers are out that none is taken out on gossip alone.
func (r *Router) isEjectionBudgetSpent() bool {
	return r.ejectionBudget.IsBounded() && r.ejectionBudget.IsSpent(r.ejectionStates())
}

// limitEjections keeps what cache servers give up within the budget, where there is one.
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

// logEjectionLimit logs when the budget begins and ceases to be too small for the outliers.
func (r *Router) logEjectionLimit(isLimited bool) {
	if isLimited == r.isEjectionLimited {
		return
	}
	r.isEjectionLimited = isLimited
	if isLimited {
		r.logf("too many cache servers are out: outliers keep their keys")
	} else {
		r.logf("the cache servers that are out are within the ejection budget again")
	}
}
