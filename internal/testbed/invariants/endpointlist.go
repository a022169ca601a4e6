package invariants

import "time"

// Names of states in the endpoint list.
const (
	stateUp      = "up" // the only state in which a server takes new requests
	stateRemoved = "removed"
	// stateUnlisted is the state of a server that a full list no longer contains. The discovery service never sends this
	// state; only the checker uses it.
	stateUnlisted = "gone"
)

// rememberUnlisted is how long a nodeView keeps a server after it was removed from the endpoint list.
const rememberUnlisted = time.Minute

// nodeView holds what one node knows of the endpoint list from the notifications of the discovery service.
type nodeView struct {
	isListed map[string]bool // by server: whether the endpoint list contains the server
	draining map[string]drainState
}

// drainState is the state of a server that takes no new requests.
type drainState struct {
	since time.Duration // time of the first notification that the server takes no new requests
	state string
}

// NodeNotified tells the checker that the endpoint list, or a change of the list, was written to a node. states maps
// server ids to states; a server takes new requests only in the state "up". A server that a full list does not contain
// was removed.
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

// beginDraining records that a node was notified that a server takes no new requests. Only the first notification
// counts.
func (v *nodeView) beginDraining(now time.Duration, server, state string) {
	if _, known := v.draining[server]; !known {
		v.draining[server] = drainState{now, state}
	}
}

// removeUnnamed marks each server as removed that a full list does not contain. states holds the servers in the list.
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

// drainingFor returns the state of a server that takes no new requests, and the time at which the node was notified of
// that state. If the node was not notified, the time is Tolerances.NotifyWithin after the later of two events: the
// discovery service listed the state, and it became reachable again. In this case draining is false if the server is
// listed as up, if the discovery service is unreachable now, or if NotifyWithin is 0.
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

// ServerListed tells the checker in which state the discovery service lists a server from now on.
func (c *Checker) ServerListed(now time.Duration, server, state string) {
	if state == stateUp {
		delete(c.draining, server)
	} else if _, known := c.draining[server]; !known {
		c.draining[server] = drainState{now, state}
	}
}

// DiscoveryReachable tells the checker whether the discovery service answers from now on.
func (c *Checker) DiscoveryReachable(now time.Duration, isUp bool) {
	if isUp && c.isDiscoveryDown {
		c.discoveryUpSince = now
	}
	c.isDiscoveryDown = !isUp
}

// NodeRestarted tells the checker that a node was restarted. The new process knows only the endpoint list in its
// configuration.
func (c *Checker) NodeRestarted(node int) {
	delete(c.nodes, node)
	delete(c.knownStarts, node)
}
