package node

import (
	"errors"
	"slices"
	"time"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/policy"
)

// agentRetryDelay is the wait before the watch on an agent is opened again after it has ended. The agent runs on this machine and
// answers at no cost, and its list counts as pushed to this node, not as polled. So no longer backoff is needed: the wait only
// keeps the node from calling a dead agent in a loop.
const agentRetryDelay = 100 * time.Millisecond

// maxWatches is the number of watches that may be open at the same time, as each takes a descriptor. The oldest one, which may be about
// to be answered or is the only one that brings lists, and the newest one are kept.
const maxWatches = 4

// watch is one call of discovery, from its start to its end.
type watch struct {
	version int64 // version of the last list that the watch has brought; at first of the list that was in force when it was opened
	stop    func()
}

// isListPushed reports whether the endpoint list is sent to this node without a poll by the policy, because an agent on this
// machine provides the list. The node then keeps a watch on the agent by itself, and the policy does not know of the watch.
func (c *Core) isListPushed() bool { return !c.options.Policy.MustPoll }

// subscribe opens a watch, unless one on the current source is open.
func (c *Core) subscribe() {
	if !c.isWatching {
		c.openWatch()
	}
}

// FollowDiscovery opens a watch on another source, which has the same list under the same versions: discovery is one service, whatever
// its address. Earlier watches go on until one that was opened later has brought a list: with a new source time and again, a node that
// gave up the call that is about to be answered would get none.
func (c *Core) FollowDiscovery(source discovery.Source) {
	c.options.Source = source
	c.openWatch()
}

// openWatch opens a watch on the current source.
func (c *Core) openWatch() {
	if len(c.watches) == maxWatches {
		c.endWatch(c.watches[maxWatches-1])
	}
	c.options.Counters.Watches.Add(1)
	opened := &watch{version: c.listValidator.Version()}
	c.watches, c.isWatching = append(c.watches, opened), true
	opened.stop = c.options.Source.Watch(opened.version, func(list discovery.List, err error) {
		c.environment.PostListUpdate(func() {
			c.watchReported(opened, list, err)
			c.settle()
		})
	})
}

// endWatch stops a watch. Later reports of it are dropped.
func (c *Core) endWatch(ended *watch) {
	ended.stop()
	c.watches = slices.DeleteFunc(c.watches, func(other *watch) bool { return other == ended })
}

// endWatchesBefore stops the watches that were opened before one that has brought a list.
func (c *Core) endWatchesBefore(healthy *watch) {
	for c.watches[0] != healthy {
		c.endWatch(c.watches[0])
	}
}

// watchReported handles a report of a watch: a list, or the error with which the watch ended.
func (c *Core) watchReported(reporting *watch, list discovery.List, err error) {
	if !slices.Contains(c.watches, reporting) {
		return
	}
	if err != nil {
		c.countWatchError(err)
		c.watchEnded(reporting, list, err)
		return
	}
	if !c.isKnown(reporting, list) {
		if err := c.listValidator.Accept(list); err != nil {
			c.options.Counters.ListsRejected.Add(1)
			c.watchEnded(reporting, list, err)
			return
		}
		c.applyList(list)
	}
	reporting.version = list.Version
	c.endWatchesBefore(reporting)
	if !c.isWatching && !c.isListPushed() { // the policy takes this for the list of a watch that lasts
		c.notify(policy.EndpointUpdate{Scope: policy.PollFailed})
	}
}

// isKnown reports whether another watch has brought a later list, of which this one is a part.
func (c *Core) isKnown(reporting *watch, list discovery.List) bool {
	return list.Version >= reporting.version && list.Version < c.listValidator.Version()
}

// applyList puts an accepted list into force.
func (c *Core) applyList(list discovery.List) {
	c.options.Counters.Lists.Add(1)
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

// watchEnded handles the end of a watch. If it was the newest one, it has the next one opened. Either the policy is notified and polls at
// a time of its choice, or the node calls its agent again after agentRetryDelay.
func (c *Core) watchEnded(ended *watch, list discovery.List, err error) {
	isNewest := c.watches[len(c.watches)-1] == ended
	c.options.Log.Warn("the watch on discovery ended; the endpoint list is unchanged", logs.Event, "watch_ended",
		"error", err.Error(), "held", c.listValidator.Version(), "came", list.Version)
	c.endWatch(ended)
	if !isNewest || !c.isWatching {
		return
	}
	c.isWatching = false
	if c.isListPushed() {
		c.timers.add(c.environment.Now().Add(agentRetryDelay), c.subscribe)
	} else {
		c.notify(policy.EndpointUpdate{Scope: policy.PollFailed})
	}
}
