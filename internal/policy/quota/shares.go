// Package shares judges whether a request is within its tenant's share, at one node of a fleet that sees a part of the
// traffic. It has no clock and no I/O.
package quota

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

// Chance is how many requests a tenant may send at once above a second's share.
const chance = 4.0

// Shares are those of all tenants at one node of so many. A tenant has two purses: one fills with time, at the node's even
// part of the tenant's quota; the other with the node's requests, whoever's they are, at the tenant's part of all quotas. A
// front may give one node more than its even part of the traffic: there a tenant is beyond its share only where it sends more
// than that against the others. A request is within the share while one of the purses has a token for it, and the tenant
// sends no more than all of its quota to this node alone.
type Shares struct {
	tenants map[string]*tenant
	all     float64 // quotas
	nodes   float64
	count   float64 // requests of tenants so far
}

type tenant struct {
	quota              float64 // requests a second, at all nodes together
	even, turns, whole float64 // tokens
	at                 Time
	seen               float64 // of count
}

// New makes them. All purses of a tenant are full at its first request.
func New(nodes int) *Shares { return &Shares{tenants: map[string]*tenant{}, nodes: float64(nodes)} }

// Add takes a tenant with its quota, in requests a second over all nodes together.
func (s *Shares) Add(name string, quota float64) {
	t := &tenant{quota: quota, whole: quota + chance}
	t.even = quota/s.nodes + chance
	t.turns = t.even
	s.tenants[name] = t
	s.all += quota
}

// Resize takes it that so many nodes share the traffic from now on. Purses keep what they hold, up to their new size.
func (s *Shares) Resize(nodes int) { s.nodes = float64(max(1, nodes)) }

// Within takes a request of a tenant and tells whether it is within its share. One of nobody's is.
func (s *Shares) Within(now Time, name string) bool {
	t := s.tenants[name]
	if t == nil {
		return true
	}
	s.count++
	rate, passed := t.quota/s.nodes, (now - t.at).Seconds()
	t.even = min(rate+chance, t.even+rate*passed)
	t.whole = min(t.quota+chance, t.whole+t.quota*passed)
	t.turns = min(rate+chance, t.turns+(s.count-t.seen)*t.quota/max(s.all, t.quota, 1e-9))
	t.at, t.seen = now, s.count
	if len(s.tenants) < 2 { // there is nobody to send less than
		t.turns = 0
	}
	within := t.whole >= 1 && (t.even >= 1 || t.turns >= 1)
	if within {
		t.even, t.turns, t.whole = max(0, t.even-1), max(0, t.turns-1), t.whole-1
	}
	return within
}
