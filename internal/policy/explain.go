package policy

import "fmt"

// Explanation is what a router makes of one key at this moment, for operators. It decides nothing and changes nothing.
type Explanation struct {
	Key     string              `json:"key"`
	Heat    float64             `json:"heat"`    // part of an average server's requests that other requests for the key bring
	Servers []ServerExplanation `json:"servers"` // in the order in which the key would go to them, then those that it would not go to
	Origin  *OriginExplanation  `json:"origin,omitempty"`
}

// ServerExplanation is one cache server of a Why.
type ServerExplanation struct {
	Server string   `json:"server"`
	Zone   string   `json:"zone"`
	Warmth float64  `json:"warmth"`     // share of its slots that it has as a cold one
	Keeps  float64  `json:"keeps"`      // share of its slots that it keeps by how it does
	Slow   float64  `json:"slow_share"` // of its recent answers
	Out    int      `json:"out"`        // attempts that wait for it
	Not    []string `json:"not,omitempty"`
}

// OriginExplanation is how the origin does.
type OriginExplanation struct {
	Slow    float64 `json:"slow_share"`
	Target  float64 `json:"target_ms"` // over which an answer is slow, learned from quiet times
	Out     int     `json:"out"`
	Most    int     `json:"most"` // that may be out
	Waiting int     `json:"waiting"`
}

// Explain tells where a key goes, and why not elsewhere.
func (r *Router) Explain(now Time, key string) Explanation {
	was := r.now
	r.now = now
	defer func() { r.now = was }()
	w := Explanation{Key: key, Heat: r.heat(key), Servers: []ServerExplanation{}}
	slot, q := mix(hash(key)%slots+1), &request{}
	seen := map[*server]bool{}
	for s, at := r.next(slot, 0, q); s != nil; s, at = r.next(slot, at, q) {
		seen[s] = true
		w.Servers = append(w.Servers, r.why(s))
	}
	for _, s := range r.servers {
		if seen[s] || s == r.origin || r.set.OriginKind != "" && s.Kind == r.set.OriginKind {
			continue
		}
		e := r.why(s)
		for _, reason := range []struct {
			holds bool
			text  string
		}{
			{!s.listed, "not in the list"}, {s.listed && s.State != Live, "drains, or is gone"},
			{s.silent && (r.set.MayHealthCheck || s.breaker.Open(now)), "silent"},
			{r.set.MayHealthCheck && s.Zone != r.set.Zone && r.unreached[s.Zone] >= cutOff, "its zone does not answer"},
			{s.opinion.KeptFraction < 1 && unit(mix(slot+s.hash)) >= s.opinion.KeptFraction, fmt.Sprintf("does badly and keeps %.2f of its keys, not this one", s.opinion.KeptFraction)},
		} {
			if reason.holds {
				e.Not = append(e.Not, reason.text)
			}
		}
		w.Servers = append(w.Servers, e)
	}
	if o := r.origin; o != nil {
		g := o.gauge
		slow, _ := g.utilisation(now)
		w.Origin = &OriginExplanation{Slow: slow, Target: g.target.Seconds() * 1000, Out: len(g.out), Most: r.gate.Limit(), Waiting: r.line.Len()}
	}
	return w
}

func (r *Router) why(s *server) ServerExplanation {
	g, pool := s.gauge, r.pool // copies: what looks at them lets them fade
	if g.pool != nil {
		g.pool = &pool
	}
	slow, _ := g.utilisation(r.now)
	return ServerExplanation{Server: s.ID, Zone: s.Zone, Warmth: r.warmth(s), Keeps: s.opinion.KeptFraction, Slow: slow, Out: len(g.out)}
}
