package node

import (
	"slices"
	"time"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/upstream"
)

// healthCheckTimeout bounds one health check.
const healthCheckTimeout = 500 * time.Millisecond

// checkHealth sends a health check to an endpoint; an unknown one is ignored.
func (c *Core) checkHealth(id string) {
	endpoint := c.endpoints[id]
	if endpoint == nil {
		return
	}
	c.options.Counters.HealthChecks.Add(1)
	now := c.environment.Now()
	check := &upstream.Attempt{Server: id, SentAt: now, Deadline: now.Add(healthCheckTimeout)}
	endpoint.healthChecks = append(endpoint.healthChecks, check)
	if outcome, ok := c.upstreamOf(endpoint).Send(check); !ok {
		c.endHealthCheck(endpoint, check, outcome)
		return
	}
	c.timers.add(check.Deadline, func() {
		if c.endHealthCheck(endpoint, check, upstream.TimedOut) {
			endpoint.pool.Abandon(check)
			endpoint.pool.CloseIdle() // to a machine that is cut off they would stay open and unresponsive
		}
	})
}

// endHealthCheck queues the result of a health check for the policy, unless the check has ended already, and reports whether it did.
func (c *Core) endHealthCheck(endpoint *endpoint, check *upstream.Attempt, outcome upstream.Outcome) bool {
	i := slices.Index(endpoint.healthChecks, check)
	if i < 0 {
		return false
	}
	endpoint.healthChecks = slices.Delete(endpoint.healthChecks, i, i+1)
	c.events = append(c.events, policy.HealthChecked{Server: check.Server, Reason: outcome.Reason()})
	return true
}
