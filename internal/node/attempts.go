package node

import (
	"time"

	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// send starts an attempt that the policy decided on. The attempt ends as NotSent if its endpoint has been removed, its request is
// answered or cancelled, or its deadline has passed.
func (c *Core) send(action policy.Send) {
	open, endpoint := c.requests[action.ID], c.endpoints[action.Server]
	if open == nil {
		return
	}
	attempt := c.newAttempt(open, action)
	open.attempts = append(open.attempts, attempt)
	open.inFlight++
	c.requestLog.attemptSent(open, attempt)
	c.options.Counters.AttemptSent(open.class)
	outcome, isInFlight := upstream.NotSent, false
	if endpoint != nil && !open.isAnswered && !open.IsCancelled() && c.environment.Now().Before(open.deadline) {
		outcome, isInFlight = c.upstreamOf(endpoint).Send(attempt)
	}
	if endpoint != nil {
		endpoint.inFlight++
	}
	if !isInFlight {
		c.endAttempt(open, attempt, outcome, 0)
	}
}

func (c *Core) newAttempt(open *openRequest, action policy.Send) *upstream.Attempt {
	attempt := &upstream.Attempt{Request: open.Request, Number: len(open.attempts), Server: action.Server, SentAt: c.environment.Now(),
		Deadline: open.deadline, NeedsNewConnection: c.options.Policy.Classes[open.class].Effect == policy.AtMostOnce}
	if action.WriteBy > 0 {
		attempt.WriteBy = c.systemTime(action.WriteBy)
	}
	return attempt
}

// AttemptEnded handles the outcome of an attempt, which its pool has reported.
func (c *Core) AttemptEnded(attempt *upstream.Attempt, response upstream.Response) {
	c.attemptEnded(attempt, response)
	c.settle()
}

func (c *Core) attemptEnded(attempt *upstream.Attempt, response upstream.Response) {
	if attempt.Request == nil {
		c.options.ResponseMemory.Release(response.ReservedMemory)
		if endpoint := c.endpoints[attempt.Server]; endpoint != nil {
			c.endHealthCheck(endpoint, attempt, response.Outcome)
		}
		return
	}
	open := c.byRequest[attempt.Request]
	if open == nil || attempt.Number >= len(open.attempts) || open.attempts[attempt.Number] != attempt {
		c.options.Counters.LateResponses.Add(1) // the attempt was abandoned before
		c.options.ResponseMemory.Release(response.ReservedMemory)
		return
	}
	if response.Outcome == upstream.Served {
		c.respond(open, request.Response{Kind: request.Served, Value: response.Value, ReservedMemory: response.ReservedMemory}, causeNone)
	}
	c.endAttempt(open, attempt, response.Outcome, response.MemoryWait)
}

// abandon ends an attempt with the given outcome, without waiting for the pool to report one.
func (c *Core) abandon(open *openRequest, attempt *upstream.Attempt, outcome upstream.Outcome) {
	endpoint := c.endpoints[attempt.Server]
	if endpoint != nil && !endpoint.pool.Abandon(attempt) && outcome == upstream.TimedOut {
		outcome = upstream.NotSent // the attempt waited for a connection all the time
	}
	c.endAttempt(open, attempt, outcome, 0)
}

// withdrawUnwritten is called when the client of a request has disconnected. It ends the attempts for the request of which
// nothing was written. Attempts that are possibly executed go on, as other requests may wait for the values that they fetch.
func (c *Core) withdrawUnwritten(open *openRequest) {
	for _, attempt := range open.attempts {
		if attempt == nil {
			continue
		}
		if endpoint := c.endpoints[attempt.Server]; endpoint != nil && endpoint.pool.Withdraw(attempt) {
			c.endAttempt(open, attempt, upstream.NotSent, 0)
		}
	}
}

// endAttempt counts the outcome of an attempt and queues it in events: settle notifies the policy of it. The time that the policy is
// told leaves out memoryWait, the time in which this node did not read the response.
func (c *Core) endAttempt(open *openRequest, attempt *upstream.Attempt, outcome upstream.Outcome, memoryWait time.Duration) {
	open.attempts[attempt.Number] = nil
	open.inFlight--
	open.mayHaveRun = open.mayHaveRun || outcome.MayHaveRun()
	if endpoint := c.endpoints[attempt.Server]; endpoint != nil {
		endpoint.inFlight--
	}
	now := c.environment.Now()
	c.options.Counters.AttemptEnded(open.class, int(outcome))
	c.requestLog.attemptEnded(now, open, attempt, outcome)
	c.events = append(c.events, policy.Outcome{ID: open.id, Attempt: attempt.Number, Server: attempt.Server,
		Reason: outcome.Reason(), Took: max(0, now.Sub(attempt.SentAt)-memoryWait)})
}
