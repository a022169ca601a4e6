package node

import (
	"errors"
	"time"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/policy"
)

// agentRetryDelay is the wait before the watch on an agent is opened again after it has ended. The agent runs on this machine and
// answers at no cost, and its list counts as pushed to this node, not as polled. So no longer backoff is needed: the wait only
// keeps the node from calling a dead agent in a loop.
const agentRetryDelay = 100 * time.Millisecond

// isListPushed reports whether the endpoint list is sent to this node without a poll by the policy, because an agent on this
// machine provides the list. The node then keeps a watch on the agent by itself, and the policy does not know of the watch.
func (c *Core) isListPushed() bool { return !c.options.Policy.MustPoll }

// subscribe opens a watch, unless a healthy one is open.
func (c *Core) subscribe() {
	if c.isWatchHealthy {
		return
	}
	if c.stopWatch != nil {
		c.stopWatch()
	}
	c.options.Counters.Watches.Add(1)
	c.watchNumber++
	number := c.watchNumber
	c.stopWatch = c.options.Source.Watch(c.listValidator.Version(), func(list discovery.List, err error) {
		c.environment.PostListUpdate(func() {
			c.watchReported(number, list, err)
			c.settle()
		})
	})
}

// FollowDiscovery moves the watch to another source, which has the same list under the same versions: discovery is one service,
// whatever its address. Later reports of the previous watch are dropped.
func (c *Core) FollowDiscovery(source discovery.Source) {
	c.options.Source, c.isWatchHealthy = source, false
	c.subscribe()
}

// watchReported handles a report of a watch: a list, or the error with which the watch ended.
func (c *Core) watchReported(number int, list discovery.List, err error) {
	if number != c.watchNumber {
		return
	}
	if err != nil {
		c.countWatchError(err)
		c.watchEnded(list, err)
		return
	}
	if err := c.listValidator.Accept(list); err != nil {
		c.stopWatch()
		c.options.Counters.ListsRejected.Add(1)
		c.watchEnded(list, err)
		return
	}
	c.options.Counters.Lists.Add(1)
	c.isWatchHealthy = true
	scope := policy.DeltaUpdate
	if list.IsFull {
		scope = policy.FullUpdate
	}
	c.updateEndpoints(list, scope)
}

func (c *Core) countWatchError(err error) {
	if errors.Is(err, discovery.ErrMalformed) {
		c.options.Counters.WatchesMalformed.Add(1)
	} else {
		c.options.Counters.WatchesBroken.Add(1)
	}
}

// watchEnded has the next watch opened. Either the policy is notified and polls at a time of its choice, or the node calls its
// agent again after agentRetryDelay.
func (c *Core) watchEnded(list discovery.List, err error) {
	c.options.Log.Warn("the watch on discovery ended; the endpoint list is unchanged", logs.Event, "watch_ended",
		"error", err.Error(), "held", c.listValidator.Version(), "came", list.Version)
	c.isWatchHealthy = false
	c.watchNumber++ // later reports of the ended watch are dropped
	if c.isListPushed() {
		c.timers.add(c.environment.Now().Add(agentRetryDelay), c.subscribe)
	} else {
		c.notify(policy.EndpointUpdate{Scope: policy.PollFailed})
	}
}
