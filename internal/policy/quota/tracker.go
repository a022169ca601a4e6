// Package quota decides at one node of a fleet whether a request is within its tenant's quota, although the node gets
// only a part of the traffic. The package has no clock and no I/O.
package quota

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration

const (
	burst         = 4.0  // requests that a tenant may send at once beyond the quota of one second
	minTotalQuota = 1e-9 // least value of a divisor, to avoid a division by zero
)

// Tracker tracks the tenants' use of their quotas at one node of several. Each tenant has three token buckets. The
// first fills with time: each second adds the tenant's quota divided by the number of nodes. The second fills with
// requests: each request at the node, of any tenant, adds the tenant's fraction of the sum of all quotas. The second
// bucket is for load balancers that give a node more than its even share of the traffic. Behind such a balancer, a
// tenant is over its quota only if it sends more than its share compared with the other tenants. A request is within
// the quota if one of these two buckets has a token for it, and the third bucket has one too. Each second adds the
// tenant's whole quota to the third bucket, so that even a tenant that sends everything to this node stays within its
// quota. A Tracker is not safe for concurrent use.
type Tracker struct {
	tenants    map[string]*tenant
	totalQuota float64
	nodes      float64
	requests   float64 // number of requests so far, of all tenants that were added
}

// tenant holds the quota and the token buckets of one tenant.
type tenant struct {
	quota             float64 // requests a second, at all nodes together
	byTime            float64 // tokens of the bucket that fills with time
	byTraffic         float64 // tokens of the bucket that fills with the requests of all tenants at this node
	atOneNode         float64 // tokens of the bucket that keeps the tenant to its whole quota at this node alone
	refilledAt        Time
	refilledAtRequest float64 // value of Tracker.requests at the tenant's last refill
}

// New returns a tracker without tenants, for one node of the given number of nodes. All buckets of a tenant are full at
// its first request.
func New(nodes int) *Tracker {
	return &Tracker{tenants: map[string]*tenant{}, nodes: float64(nodes)}
}

// Add adds a tenant with its quota, in requests per second over all nodes together.
func (t *Tracker) Add(name string, quota float64) {
	added := &tenant{quota: quota, atOneNode: quota + burst}
	added.byTime = quota/t.nodes + burst
	added.byTraffic = added.byTime
	t.tenants[name] = added
	t.totalQuota += quota
}

// Resize sets how many nodes share the traffic from now on. This changes the size of a tenant's buckets. A bucket keeps
// its tokens, as far as they fit into the new size.
func (t *Tracker) Resize(nodes int) { t.nodes = float64(max(1, nodes)) }

// IsWithin counts a request of the named tenant and reports whether the request is within the tenant's quota. A tenant
// that was not added has no quota, so all its requests are within the quota.
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

// refill adds the tokens for the time and for the requests since the tenant's last refill.
func (t *Tracker) refill(now Time, sender *tenant) {
	rate, elapsed := sender.quota/t.nodes, (now - sender.refilledAt).Seconds()
	sender.byTime = min(rate+burst, sender.byTime+rate*elapsed)
	sender.atOneNode = min(sender.quota+burst, sender.atOneNode+sender.quota*elapsed)
	sender.byTraffic = min(rate+burst, sender.byTraffic+
		(t.requests-sender.refilledAtRequest)*sender.quota/max(t.totalQuota, sender.quota, minTotalQuota))
	sender.refilledAt, sender.refilledAtRequest = now, t.requests
	// The second bucket compares a tenant's traffic with that of the other tenants. A single tenant has no other
	// tenants to compare with.
	if len(t.tenants) < 2 {
		sender.byTraffic = 0
	}
}
