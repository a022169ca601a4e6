package policy

const (
	slotCount          = 4096 // keys move between servers by slot
	zoneCutOffFailures = 4    // connects that fail in a row before a zone counts as unreachable
)

// slotOf maps a key to its slot, spread over 64 bits.
func slotOf(key string) uint64 { return mix(hash(key)%slotCount + 1) }

// keepsSlot reports whether the server keeps the slot as an outlier: it keeps a part of its slots, the same ones at
// every router.
func keepsSlot(srv *server, slot uint64) bool {
	if fraction := srv.assessment.KeptFraction; fraction < 1 {
		return unitInterval(mix(slot+srv.hash)) < fraction
	}
	return true
}

// isExcluded reports whether the server, or its zone, is believed to be unreachable.
func (r *Router) isExcluded(srv *server) bool { return r.isOut(srv) || r.isZoneCutOff(srv) }

// isOut reports whether the server gets no keys as it does not respond. Where no health checks are allowed its
// circuit breaker lets single requests through.
func (r *Router) isOut(srv *server) bool {
	return srv.isUnresponsive && (r.settings.MayHealthCheck || srv.breaker.IsOpen(r.now))
}

// isZoneCutOff reports whether the server's zone is another one that can't be reached. That must not be found out
// server by server: each costs a connect that fails.
func (r *Router) isZoneCutOff(srv *server) bool {
	return r.settings.MayHealthCheck && srv.zone != r.ownZone && srv.zone.failedConnects >= zoneCutOffFailures
}

// rendezvousWeight is the server's weight in the spread of keys. One that warms up weighs less.
func (r *Router) rendezvousWeight(srv *server) float64 {
	weight := r.slowStartWeight(srv)
	weight *= r.capacityWeight(srv)
	if srv.zone != r.ownZone {
		weight *= r.crossZoneWeight.Weight()
	}
	return weight
}

// avoids reports whether the request is not to go to a server that would do for its key.
func (req *request) avoids(srv *server) bool {
	return srv == req.avoidedServer || req.avoidsSuspects && srv.assessment.IsSuspect()
}

// avoidSuspects has a request pass the server that rejected it, and all that do as badly, and reports whether a
// server is left. If none is, the request is as before.
func (r *Router) avoidSuspects(req *request, rejectedBy *server) bool {
	avoided := req.avoidedServer
	req.avoidedServer, req.avoidsSuspects = rejectedBy, true
	if order := r.orderOf(slotOf(req.Key), req); order.next() != nil {
		return true
	}
	req.avoidedServer, req.avoidsSuspects = avoided, false
	return false
}
