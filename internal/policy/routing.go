package policy

const (
	slotCount          = 4096 // number of slots, the groups of keys that move between servers together
	zoneCutOffFailures = 4    // failed connects in a row after which a zone counts as unreachable
)

// slotOf maps a key to its slot. A slot is identified by a well-distributed 64-bit number.
func slotOf(key string) uint64 { return mix(hash(key)%slotCount + 1) }

// keepsSlot reports whether a server may still get requests for the slot. An outlier keeps only a part of its slots.
// For the same KeptFraction, these are the same slots at every router.
func keepsSlot(srv *server, slot uint64) bool {
	if fraction := srv.assessment.KeptFraction; fraction < 1 {
		return unitInterval(mix(slot+srv.hash)) < fraction
	}
	return true
}

// isExcluded reports whether the server, or its zone, is believed to be unreachable.
func (r *Router) isExcluded(srv *server) bool { return r.isOut(srv) || r.isZoneCutOff(srv) }

// isOut reports whether a server gets no requests because it is unresponsive. If health checks are not allowed, the
// circuit breaker of the server lets single requests through.
func (r *Router) isOut(srv *server) bool {
	return srv.isUnresponsive && (r.settings.MayHealthCheck || srv.breaker.IsOpen(r.now))
}

// isZoneCutOff reports whether the server is in another zone that counts as unreachable as a whole. Without this rule,
// connects would first have to fail at every single server of an unreachable zone.
func (r *Router) isZoneCutOff(srv *server) bool {
	return r.settings.MayHealthCheck && srv.zone != r.ownZone && srv.zone.failedConnects >= zoneCutOffFailures
}

// rendezvousWeight returns the server's weight in rendezvous hashing. A server in slow start or in another zone weighs
// less.
func (r *Router) rendezvousWeight(srv *server) float64 {
	weight := r.slowStartWeight(srv)
	weight *= r.capacityWeight(srv)
	if srv.zone != r.ownZone {
		weight *= r.crossZoneWeight.Weight()
	}
	return weight
}

// avoids reports whether the request must not go to the server, although the server could serve its key.
func (req *request) avoids(srv *server) bool {
	return srv == req.avoidedServer || req.avoidsSuspects && srv.assessment.IsSuspect()
}

// avoidSuspects makes a request avoid the server that rejected it and all suspect servers, those with clearly more
// slow or failed answers than the others. It reports whether a server remains for the request. If none remains, the
// request is left unchanged.
func (r *Router) avoidSuspects(req *request, rejectedBy *server) bool {
	avoided := req.avoidedServer
	req.avoidedServer, req.avoidsSuspects = rejectedBy, true
	if order := r.orderOf(slotOf(req.Key), req); order.next() != nil {
		return true
	}
	req.avoidedServer, req.avoidsSuspects = avoided, false
	return false
}
