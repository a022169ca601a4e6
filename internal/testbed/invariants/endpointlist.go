package invariants

import "time"

// Names of states in the endpoint list.
const (
	stateUp      = "up" // the only state in which a server takes new requests
	stateRemoved = "removed"
	// stateUnlisted stands for a server that a full list no longer contains. The discovery service does not send it.
	stateUnlisted = "gone"
)

// rememberUnlisted is how long a node's view keeps a server that is no longer listed.
const rememberUnlisted = time.Minute

// nodeView is what a node knows of the endpoint list from notifications.
type nodeView struct {
	isListed map[string]bool // by server: whether the list contains it
	draining map[string]drainState
}

// drainState is the state of a server that takes no new requests.
type drainState struct {
	since time.Duration // time of the first notification
	state string
}

// NodeNotified reports that the endpoint list, or a change of it, was written to a node. states are the states of the
// servers by id; "up" is the only one in which a server takes new requests. A server that a full list leaves out was
// removed.
func (c *Checker) NodeNotified(now time.Duration, node int, isFull bool, states map[string]string) {
	c.counts.Notifications++
	view := c.nodes[node]
	if view == nil {
		view = &nodeView{isListed: map[string]bool{}, draining: map[string]drainState{}}
		c.nodes[node] = view
	}
	for server, state := range states {
		view.isListed[server] = state != stateRemoved
		if state == stateUp {
			delete(view.draining, server)
		} else {
			view.beginDraining(now, server, state)
		}
	}
	if isFull {
		view.removeUnnamed(now, states)
	}
	view.forgetUnlisted(now)
}

// beginDraining records that a server takes no new requests. Repeated notifications change nothing.
func (v *nodeView) beginDraining(now time.Duration, server, state string) {
	if _, known := v.draining[server]; !known {
		v.draining[server] = drainState{now, state}
	}
}

// removeUnnamed removes the servers that a full list leaves out.
func (v *nodeView) removeUnnamed(now time.Duration, states map[string]string) {
	for server, isListed := range v.isListed {
		if _, named := states[server]; !named && isListed {
			v.isListed[server] = false
			v.beginDraining(now, server, stateUnlisted)
		}
	}
}

// forgetUnlisted forgets servers that were removed long ago.
func (v *nodeView) forgetUnlisted(now time.Duration) {
	for server, isListed := range v.isListed {
		if drain, draining := v.draining[server]; draining && !isListed && now-drain.since > rememberUnlisted {
			delete(v.isListed, server)
			delete(v.draining, server)
		}
	}
}

// drainingFor returns when a node was notified, or counts as notified, that a server takes no new requests.
func (c *Checker) drainingFor(node int, server string) (drain drainState, draining bool) {
	if view := c.nodes[node]; view != nil {
		if drain, draining = view.draining[server]; draining {
			return drain, true
		}
	}
	drain, draining = c.draining[server]
	if !draining || c.isDiscoveryDown || c.tolerances.NotifyWithin == 0 {
		return drainState{}, false
	}
	drain.since = max(drain.since, c.discoveryUpSince) + c.tolerances.NotifyWithin
	return drain, true
}

// ServerListed reports the state of a server that the discovery service has to send from now on.
func (c *Checker) ServerListed(now time.Duration, server, state string) {
	if state == stateUp {
		delete(c.draining, server)
	} else if _, known := c.draining[server]; !known {
		c.draining[server] = drainState{now, state}
	}
}

// DiscoveryReachable reports whether the discovery service answers from now on.
func (c *Checker) DiscoveryReachable(now time.Duration, isUp bool) {
	if isUp && c.isDiscoveryDown {
		c.discoveryUpSince = now
	}
	c.isDiscoveryDown = !isUp
}

// NodeRestarted reports that a node was restarted: it has only the endpoint list of its configuration.
func (c *Checker) NodeRestarted(node int) {
	delete(c.nodes, node)
	delete(c.knownStarts, node)
}
