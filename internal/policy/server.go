package policy

import (
	"slices"
	"strings"

	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/circuitbreaker"
)

// server holds this router's state of a cache server or of the origin.
type server struct {
	Server
	zone     *zone
	hash     uint64
	isListed bool
	gauge    gauge

	// Liveness of the server, see healthcheck.go.
	isUnresponsive    bool // no requests go to the server until it answers, passes a health check or restarts
	unresponsiveSince Time // when the server last became unresponsive
	isBeingChecked    bool
	checkedAt         Time // start of the last health check
	checkFailedAt     Time // end of the last failed health check
	lastSeen          Time // last time that the server is known to have responded
	checkResets       int  // number of health checks since lastSeen that ended with a broken connection (Reset)
	breaker           circuitbreaker.Breaker

	// Slow start of the server, see slowstart.go.
	slowStartFrom   Time // start of the slow start; 0 if there was none
	slowStartBefore Time // slowStartFrom before the last outage; restored if the server did not restart
	connectRefused  bool // a connect was refused while the server was unresponsive
	hitsToClear     int  // if above 0: this many more hits without a miss show that the server did not restart
	// offered is the number of requests that this server could have been given, weighted so that old requests count
	// less. A request for a hot key, which any of several servers could be given, counts only in part.
	offered float64

	assessment gossip.Assessment // comparison with the other servers, see outlier.go
}

// zone holds the state of a zone as a whole.
type zone struct{ failedConnects int } // number of failed connects in a row to servers of the zone

// zoneNamed returns the zone with the given name, and adds it if it is unknown.
func (r *Router) zoneNamed(name string) *zone {
	known := r.zones[name]
	if known == nil {
		known = &zone{}
		r.zones[name] = known
	}
	return known
}

// isOriginKind reports whether the server is an origin, judged by its Kind in the endpoint list.
func (r *Router) isOriginKind(srv *server) bool {
	return r.settings.OriginKind != "" && srv.Kind == r.settings.OriginKind
}

// servesKeys reports whether the server is a cache server that is listed as live.
func (r *Router) servesKeys(srv *server) bool {
	return !r.isOriginKind(srv) && srv.isListed && srv.State == Live
}

// capacityWeight returns the server's weight in the distribution of keys, which is its capacity. The weight is 1 if
// capacities are not used or the endpoint list states none.
func (r *Router) capacityWeight(srv *server) float64 {
	if r.settings.WeightByCapacity && srv.Capacity > 0 {
		return srv.Capacity
	}
	return 1
}

// relativeCapacity returns the server's capacity divided by the mean capacity of the active cache servers. It returns 1
// if capacities are not used or the endpoint list states none.
func (r *Router) relativeCapacity(srv *server) float64 {
	if !r.settings.WeightByCapacity || srv.Capacity <= 0 || r.meanCapacity <= 0 {
		return 1
	}
	return srv.Capacity / r.meanCapacity
}

// findOrAddServer returns the server with the given id, and adds it if it is unknown.
func (r *Router) findOrAddServer(id string) *server {
	if srv := r.serverByID[id]; srv != nil {
		return srv
	}
	srv := &server{hash: hash(id), lastSeen: r.now}
	srv.gauge.objectives, srv.gauge.aggregate = r.cacheGauge.objectives, &r.cacheGauge
	srv.assessment = gossip.NewAssessment(gossip.FingerprintOf(srv.hash))
	r.serverByID[id], r.serverByFingerprint[srv.assessment.Fingerprint] = srv, srv
	at, _ := slices.BinarySearchFunc(r.servers, id, func(other *server, id string) int {
		return strings.Compare(other.ID, id)
	})
	r.servers = slices.Insert(r.servers, at, srv)
	return srv
}

// pruneServers forgets servers that left the endpoint list and have no attempt or health check in flight.
func (r *Router) pruneServers() {
	r.servers = slices.DeleteFunc(r.servers, func(srv *server) bool {
		isUnused := !srv.isListed && !srv.isBeingChecked && len(srv.gauge.inFlight) == 0
		if isUnused {
			delete(r.serverByID, srv.ID)
			delete(r.serverByFingerprint, srv.assessment.Fingerprint)
		}
		return isUnused
	})
}

// minTotalWeight keeps a divisor above zero if no cache server is listed as live.
const minTotalWeight = 1e-9

// countActiveServers lists the cache servers that the endpoint list holds as live. It computes their mean capacity, and
// the fraction of their total weight that is in this router's zone.
func (r *Router) countActiveServers() {
	clear(r.keyServers) // drop references to servers that are no longer listed
	r.keyServers, r.activeServers, r.meanCapacity = r.keyServers[:0], 0, 0
	var zoneWeight float64
	r.totalWeight = 0
	for _, srv := range r.servers {
		if !r.servesKeys(srv) {
			continue
		}
		r.activeServers++
		r.meanCapacity += srv.Capacity
		weight := r.capacityWeight(srv)
		r.totalWeight += weight
		r.keyServers = append(r.keyServers, keyServer{hash: srv.hash, maxWeight: weight, server: srv})
		if srv.zone == r.ownZone {
			zoneWeight += weight
		}
	}
	r.zoneFraction = zoneWeight / max(r.totalWeight, minTotalWeight)
	r.meanCapacity /= max(r.activeServers, 1)
}
