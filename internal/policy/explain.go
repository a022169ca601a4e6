package policy

import "fmt"

// Explanation tells operators where a router sends requests for one key at this moment. The control socket returns it
// as JSON, so the JSON names are part of an interface.
type Explanation struct {
	Key string `json:"key"`
	// Popularity is the number of requests for the key at all routers, as a multiple of the requests that an average
	// server gets.
	Popularity float64 `json:"heat"`
	// Servers holds the servers in the order in which requests for the key would go to them, then the excluded servers.
	Servers []ServerExplanation `json:"servers"`
	// Origin is nil if no origin is listed as live.
	Origin *OriginExplanation `json:"origin,omitempty"`
}

// ServerExplanation is the state of one cache server in an Explanation.
type ServerExplanation struct {
	Server           string   `json:"server"`
	Zone             string   `json:"zone"`
	SlowStartWeight  float64  `json:"warmth"`     // fraction of its slots that the server has; below 1 in slow start
	KeptFraction     float64  `json:"keeps"`      // fraction of its slots that the server keeps; below 1 for an outlier
	SlowFraction     float64  `json:"slow_share"` // fraction of the server's recent answers that were slow
	InFlight         int      `json:"out"`        // attempts in flight
	ExclusionReasons []string `json:"not,omitempty"`
}

// OriginExplanation is the state of the origin in an Explanation.
type OriginExplanation struct {
	SlowFraction float64 `json:"slow_share"` // fraction of the origin's recent answers that were slow
	TargetMillis float64 `json:"target_ms"`  // latency above which an answer is slow; learned while load is low
	InFlight     int     `json:"out"`        // attempts in flight
	MaxInFlight  int     `json:"most"`
	Queued       int     `json:"waiting"` // requests in the queue for the origin
}

// Explain returns which servers requests for a key go to, and why the other servers get none. It changes no state.
func (r *Router) Explain(now Time, key string) Explanation {
	before := r.now
	r.now = now
	defer func() { r.now = before }()
	explanation := Explanation{Key: key, Popularity: r.keyPopularity(key), Servers: []ServerExplanation{}}
	slot, anyRequest := slotOf(key), &request{}
	isUsed := map[*server]bool{}
	order := r.orderOf(slot, anyRequest)
	for srv := order.next(); srv != nil; srv = order.next() {
		isUsed[srv] = true
		explanation.Servers = append(explanation.Servers, r.explainServer(srv))
	}
	for _, srv := range r.servers {
		if isUsed[srv] || srv == r.origin || r.isOriginKind(srv) {
			continue
		}
		unused := r.explainServer(srv)
		unused.ExclusionReasons = r.exclusionReasons(srv, slot)
		explanation.Servers = append(explanation.Servers, unused)
	}
	if r.origin != nil {
		explanation.Origin = r.explainOrigin()
	}
	return explanation
}

// exclusionReasons returns why a cache server gets no requests for a slot.
func (r *Router) exclusionReasons(srv *server, slot uint64) (reasons []string) {
	if !srv.isListed {
		reasons = append(reasons, "not in the list")
	}
	if srv.isListed && srv.State != Live {
		reasons = append(reasons, "drains, or is gone")
	}
	if r.isOut(srv) {
		reasons = append(reasons, "silent")
	}
	if r.isZoneCutOff(srv) {
		reasons = append(reasons, "its zone does not answer")
	}
	if !keepsSlot(srv, slot) {
		fraction := srv.assessment.KeptFraction
		reasons = append(reasons, fmt.Sprintf("does badly and keeps %.2f of its keys, not this one", fraction))
	}
	return reasons
}

// explainServer returns the state of a cache server.
func (r *Router) explainServer(srv *server) ServerExplanation {
	gauge, aggregate := srv.gauge, r.cacheGauge // copies, because slowFraction changes the gauge that it reads
	if gauge.aggregate != nil {
		gauge.aggregate = &aggregate
	}
	return ServerExplanation{
		Server:          srv.ID,
		Zone:            srv.Zone,
		SlowStartWeight: r.slowStartWeight(srv),
		KeptFraction:    srv.assessment.KeptFraction,
		SlowFraction:    gauge.slowFraction(r.now),
		InFlight:        len(gauge.inFlight),
	}
}

// explainOrigin returns the state of the origin. r.origin must not be nil.
func (r *Router) explainOrigin() *OriginExplanation {
	gauge := r.origin.gauge // a copy, because slowFraction changes the gauge that it reads
	return &OriginExplanation{
		SlowFraction: gauge.slowFraction(r.now),
		TargetMillis: gauge.target.Seconds() * 1000,
		InFlight:     len(gauge.inFlight),
		MaxInFlight:  r.originLimiter.Limit(),
		Queued:       r.originQueue.Len(),
	}
}
