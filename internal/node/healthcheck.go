package node

import (
	"slices"
	"time"

	"shelfproxy/internal/pause"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/upstream"
)

// healthCheckTimeout bounds one health check.
const healthCheckTimeout = 500 * time.Millisecond

// checkHealth sends a health check to an endpoint. It ignores an unknown endpoint.
func (c *Core) checkHealth(id string) { c.sendHealthCheck(id, false) }

func (c *Core) sendHealthCheck(id string, isRepeated bool) {
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
	c.timers.add(check.Deadline, func() { c.expireHealthCheck(endpoint, check, isRepeated) })
}

// expireHealthCheck gives up a health check that was not answered in time. If the process was paused for a part of that time, the
// answer may be there but not read yet, so the check is sent once more.
func (c *Core) expireHealthCheck(endpoint *endpoint, check *upstream.Attempt, isRepeated bool) {
	if !endpoint.removeHealthCheck(check) {
		return
	}
	endpoint.pool.Abandon(check)
	isListed := c.endpoints[check.Server] == endpoint
	if isListed && !isRepeated && pause.IsShown(check.Deadline, c.environment.Now()) {
		c.sendHealthCheck(check.Server, true)
		return
	}
	c.reportHealthCheck(check, upstream.TimedOut)
	endpoint.pool.CloseIdle() // connections to an unreachable machine would stay open without responding
}

// endHealthCheck handles the outcome of a health check, unless the check has already ended.
func (c *Core) endHealthCheck(endpoint *endpoint, check *upstream.Attempt, outcome upstream.Outcome) {
	if endpoint.removeHealthCheck(check) {
		c.reportHealthCheck(check, outcome)
	}
}

// reportHealthCheck queues the result of a health check for the policy.
func (c *Core) reportHealthCheck(check *upstream.Attempt, outcome upstream.Outcome) {
	c.events = append(c.events, policy.HealthChecked{Server: check.Server, Reason: outcome.Reason()})
}

// removeHealthCheck removes a health check from those in flight, and reports whether it was one of them.
func (e *endpoint) removeHealthCheck(check *upstream.Attempt) bool {
	i := slices.Index(e.healthChecks, check)
	if i < 0 {
		return false
	}
	e.healthChecks = slices.Delete(e.healthChecks, i, i+1)
	return true
}
