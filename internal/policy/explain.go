package policy

import "fmt"

// Explanation is what a router makes of one key at this moment, for operators. Its JSON is an interface of the
// control socket.
type Explanation struct {
	Key string `json:"key"`
	// Popularity is the part of an average server's requests that other requests for the key bring.
	Popularity float64 `json:"heat"`
	// Servers are in the order in which requests for the key would go to them, then those that get none.
	Servers []ServerExplanation `json:"servers"`
	// Origin is nil where none is listed for work.
	Origin *OriginExplanation `json:"origin,omitempty"`
}

// ServerExplanation is one cache server of an Explanation.
type ServerExplanation struct {
	Server           string   `json:"server"`
	Zone             string   `json:"zone"`
	SlowStartWeight  float64  `json:"warmth"`     // share of its slots that it has while it warms up
	KeptFraction     float64  `json:"keeps"`      // share of its slots that it keeps as an outlier
	SlowFraction     float64  `json:"slow_share"` // share of its recent answers that were slow
	InFlight         int      `json:"out"`        // attempts
	ExclusionReasons []string `json:"not,omitempty"`
}

// OriginExplanation is the state of the origin.
type OriginExplanation struct {
	SlowFraction float64 `json:"slow_share"` // share of its recent answers that were slow
	TargetMillis float64 `json:"target_ms"`  // latency over which an answer is slow, learned from quiet times
	InFlight     int     `json:"out"`        // attempts
	MaxInFlight  int     `json:"most"`
	Queued       int     `json:"waiting"` // requests
}

// Explain returns where requests for a key go, and why not elsewhere. It changes nothing.
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

// exclusionReasons says why a cache server gets no requests for a slot.
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
	gauge, aggregate := srv.gauge, r.cacheGauge // copies, as reading a gauge lets its samples fade
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

// explainOrigin returns the state of the origin, which must be there.
func (r *Router) explainOrigin() *OriginExplanation {
	gauge := r.origin.gauge // a copy
	return &OriginExplanation{
		SlowFraction: gauge.slowFraction(r.now),
		TargetMillis: gauge.target.Seconds() * 1000,
		InFlight:     len(gauge.inFlight),
		MaxInFlight:  r.originLimiter.Limit(),
		Queued:       r.originQueue.Len(),
	}
}
