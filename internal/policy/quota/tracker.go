// Package quota judges whether a request is within its tenant's quota, at one node of a fleet that sees a part of the
// traffic. It has no clock and no I/O.
package quota

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

const (
	burst         = 4.0  // requests that a tenant may send at once above a second's quota
	minTotalQuota = 1e-9 // bounds a divisor away from zero
)

// Tracker follows the tenants' use of their quotas at one node of several. A tenant has two token buckets: one fills
// with time, at the node's even part of the tenant's quota; the other with the node's requests, of whichever tenant,
// at the tenant's part of all quotas. A load balancer may give one node more than its even part of the traffic: there
// a tenant is over its quota only where it sends more than that in proportion to the others. A request is within the
// quota while one of the buckets has a token for it, and the tenant sends no more than all of its quota to this node
// alone. A Tracker is not safe for concurrent use.
type Tracker struct {
	tenants    map[string]*tenant
	totalQuota float64
	nodes      float64
	requests   float64 // of tenants, so far
}

// tenant is a tenant's quota and its token buckets.
type tenant struct {
	quota             float64 // requests a second, at all nodes together
	byTime            float64 // tokens of the bucket that fills with time
	byTraffic         float64 // tokens of the bucket that fills with the node's requests
	atOneNode         float64 // tokens of the bucket that bounds what one node lets through
	refilledAt        Time
	refilledAtRequest float64 // Tracker.requests then
}

// New returns a tracker for one of several nodes, without tenants. All buckets of a tenant are full at its first
// request.
func New(nodes int) *Tracker {
	return &Tracker{tenants: map[string]*tenant{}, nodes: float64(nodes)}
}

// Add adds a tenant with its quota, in requests a second over all nodes together.
func (t *Tracker) Add(name string, quota float64) {
	added := &tenant{quota: quota, atOneNode: quota + burst}
	added.byTime = quota/t.nodes + burst
	added.byTraffic = added.byTime
	t.tenants[name] = added
	t.totalQuota += quota
}

// Resize sets how many nodes share the traffic from now on. Buckets keep what they hold, up to their new size.
func (t *Tracker) Resize(nodes int) { t.nodes = float64(max(1, nodes)) }

// IsWithin counts a request of the tenant with the name and reports whether it is within the tenant's quota. A
// request of an unknown tenant is.
func (t *Tracker) IsWithin(now Time, name string) bool {
	sender := t.tenants[name]
	if sender == nil {
		return true
	}
	t.requests++
	t.refill(now, sender)
	isWithin := sender.atOneNode >= 1 && (sender.byTime >= 1 || sender.byTraffic >= 1)
	if isWithin {
		sender.byTime = max(0, sender.byTime-1)
		sender.byTraffic = max(0, sender.byTraffic-1)
		sender.atOneNode--
	}
	return isWithin
}

// refill adds the tokens that the time and the requests since the last refill are worth.
func (t *Tracker) refill(now Time, sender *tenant) {
	rate, elapsed := sender.quota/t.nodes, (now - sender.refilledAt).Seconds()
	sender.byTime = min(rate+burst, sender.byTime+rate*elapsed)
	sender.atOneNode = min(sender.quota+burst, sender.atOneNode+sender.quota*elapsed)
	sender.byTraffic = min(rate+burst, sender.byTraffic+
		(t.requests-sender.refilledAtRequest)*sender.quota/max(t.totalQuota, sender.quota, minTotalQuota))
	sender.refilledAt, sender.refilledAtRequest = now, t.requests
	if len(t.tenants) < 2 { // there is no other tenant to compare with
		sender.byTraffic = 0
	}
}
