package policy

import (
	"slices"
	"strings"

	"shelfproxy/internal/fleet/gossip"
	"shelfproxy/internal/policy/circuitbreaker"
)

// server is a cache server or the origin, as this router sees it.
type server struct {
	Server
	zone     *zone
	hash     uint64
	isListed bool
	gauge    gauge

	// Liveness, see healthcheck.go.
	isUnresponsive    bool // gets no keys until a health check, an answer or a new start
	unresponsiveSince Time // when it last became so
	isBeingChecked    bool
	checkedAt         Time // last health check
	checkFailedAt     Time // last health check that failed
	lastSeen          Time // last sign of life
	checkResets       int  // connections of health checks that broke since
	breaker           circuitbreaker.Breaker

	// Slow start, see slowstart.go.
	slowStartFrom   Time    // start of its warm-up; 0 when warm
	slowStartBefore Time    // slowStartFrom before it was unresponsive
	connectRefused  bool    // a connect was refused while it was unresponsive
	hitsToClear     int     // hits that it still takes to show that it did not restart; 0 where that is settled
	offered         float64 // requests, or parts of those of hot keys, that it was a candidate for; counted like keys

	assessment gossip.Assessment // against the other servers, see outlier.go
}

// zone is what is known of a zone as a whole.
type zone struct{ failedConnects int } // in a row

// zoneNamed returns the zone with the name, a new one where it is not known.
func (r *Router) zoneNamed(name string) *zone {
	known := r.zones[name]
	if known == nil {
		known = &zone{}
		r.zones[name] = known
	}
	return known
}

// isOriginKind reports whether the server is the origin by its kind.
func (r *Router) isOriginKind(srv *server) bool {
	return r.settings.OriginKind != "" && srv.Kind == r.settings.OriginKind
}

// servesKeys reports whether the server is a cache server that is listed for work.
func (r *Router) servesKeys(srv *server) bool {
	return !r.isOriginKind(srv) && srv.isListed && srv.State == Live
}

// capacityWeight is what the server's capacity counts in the spread of keys; 1 where the list states none.
func (r *Router) capacityWeight(srv *server) float64 {
	if r.settings.WeightByCapacity && srv.Capacity > 0 {
		return srv.Capacity
	}
	return 1
}

// relativeCapacity is the server's capacity over the mean, where the list states capacities.
func (r *Router) relativeCapacity(srv *server) float64 {
	if !r.settings.WeightByCapacity || srv.Capacity <= 0 || r.meanCapacity <= 0 {
		return 1
	}
	return srv.Capacity / r.meanCapacity
}

// findOrAddServer returns the server with the id, a new one where it is not known.
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

// pruneServers forgets the servers that left the list and have nothing in flight.
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

// minTotalWeight bounds a divisor away from zero where no server is listed for work.
const minTotalWeight = 1e-9

// countActiveServers finds the cache servers that are listed for work, and their capacity here and in other zones.
func (r *Router) countActiveServers() {
	clear(r.keyServers) // those that are not listed any more must not stay in memory
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
