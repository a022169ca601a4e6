package node

import (
	"reflect"

	"shelfproxy/internal/logs"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// carryOut carries out an action of the policy.
func (c *Core) carryOut(action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		c.send(action)
	case policy.Reject:
		c.respond(c.requests[action.ID], request.Response{Kind: request.Rejected, RetryAfter: action.RetryAfter}, action.Cause.String())
	case policy.Fail:
		c.respond(c.requests[action.ID], request.Response{Kind: request.Failed}, action.Cause.String())
	case policy.Cancel:
		c.cancelAttempt(action)
	case policy.HealthCheck:
		c.checkHealth(action.Server)
	case policy.CloseIdle:
		c.closeIdle(action.Server)
	case policy.SetTimer:
		c.timers.add(c.systemTime(action.At), func() { c.notify(policy.TimerFired{Token: action.Token}) })
	case policy.Subscribe:
		c.subscribe()
	case policy.Gossip:
		c.sendGossip(action.Data)
	case policy.Announce:
		c.announce(action.Role)
	case policy.Log:
		c.options.Log.Info(action.Text, logs.Event, "module")
	default:
		c.options.Log.Error("the policy requested an action that this node does not know", logs.Event, "action_unknown",
			"action", reflect.TypeOf(action).String())
	}
}

func (c *Core) cancelAttempt(action policy.Cancel) {
	open := c.requests[action.ID]
	if open == nil || action.Attempt >= len(open.attempts) || open.attempts[action.Attempt] == nil {
		return
	}
	c.abandon(open, open.attempts[action.Attempt], upstream.Cancelled)
}

func (c *Core) closeIdle(id string) {
	if endpoint := c.endpoints[id]; endpoint != nil && endpoint.pool != nil {
		endpoint.pool.CloseIdle()
	}
}

func (c *Core) sendGossip(data []byte) {
	if c.options.Gossip == nil {
		return
	}
	if err := c.options.Gossip(data); err != nil {
		c.options.Counters.GossipDropped.Add(1)
	} else {
		c.options.Counters.GossipSent.Add(1)
	}
}

func (c *Core) announce(role policy.Role) {
	if c.options.Announce != nil {
		c.options.Announce(role)
	}
}
