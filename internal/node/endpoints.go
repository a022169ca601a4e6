package node

import (
	"slices"
	"strings"
	"time"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/upstream"
)

// endpoint is a cache server or the origin, as the endpoint list last described it.
type endpoint struct {
	discovery.Server
	pool         Upstream            // nil until it is used
	inFlight     int                 // attempts for requests
	healthChecks []*upstream.Attempt // in flight
}

var serverStates = map[discovery.State]policy.ServerState{discovery.Up: policy.Live,
	discovery.Draining: policy.Draining, discovery.Removed: policy.Removed}

// updateEndpoints takes an endpoint list, or a change of it. The pools are told first, so that nothing that is queued goes to a server
// that has left the list; then the policy is notified. A change costs in proportion to its entries, not to the list.
func (c *Core) updateEndpoints(list discovery.List, scope policy.EndpointScope) {
	servers := c.withSuperseded(list)
	event := policy.EndpointUpdate{Scope: scope, Servers: make([]policy.Server, 0, len(servers))}
	for _, described := range servers {
		event.Servers = append(event.Servers, policy.Server{ID: described.ID, Zone: described.Zone, Kind: described.Kind, Cell: described.Cell,
			State: serverStates[described.State], Capacity: described.Weight, StartedAt: time.Duration(described.StartedMs) * time.Millisecond})
		c.updateEndpoint(described)
	}
	if scope != policy.DeltaUpdate {
		c.removeUnlisted(list)
	}
	c.forgetRemoved()
	c.notify(event)
}

// updateEndpoint takes the description of one endpoint, which may be new.
func (c *Core) updateEndpoint(described discovery.Server) {
	known := c.endpoints[described.ID]
	if known == nil {
		known = &endpoint{}
		c.endpoints[described.ID] = known
	}
	if described.State == discovery.Removed && described.Addr == "" {
		described.Addr = known.Addr
	}
	c.describe(known, described)
	c.updatePool(known)
}

// describe changes the description of an endpoint, and where it is found by.
func (c *Core) describe(changed *endpoint, described discovery.Server) {
	if described.Addr != changed.Addr {
		c.removeFromAddress(changed)
	}
	isNew := changed.ID == ""
	if isNew || described.Addr != changed.Addr {
		c.endpointsAt[described.Addr] = append(c.endpointsAt[described.Addr], changed)
	}
	changed.Server = described
	if described.State == discovery.Removed {
		c.removedEndpoints[described.ID] = changed
	} else {
		delete(c.removedEndpoints, described.ID)
	}
}

// removeFromAddress takes an endpoint out of those at its address.
func (c *Core) removeFromAddress(leaving *endpoint) {
	others := slices.DeleteFunc(c.endpointsAt[leaving.Addr], func(other *endpoint) bool { return other == leaving })
	if len(others) == 0 {
		delete(c.endpointsAt, leaving.Addr)
	} else {
		c.endpointsAt[leaving.Addr] = others
	}
}

// removeUnlisted marks the endpoints that a full list does not name as removed.
func (c *Core) removeUnlisted(list discovery.List) {
	isListed := make(map[string]bool, len(list.Servers))
	for _, server := range list.Servers {
		isListed[server.ID] = true
	}
	var unlisted []string
	for id := range c.endpoints {
		if !isListed[id] {
			unlisted = append(unlisted, id)
		}
	}
	slices.Sort(unlisted)
	for _, id := range unlisted {
		described := c.endpoints[id].Server
		described.State = discovery.Removed
		c.updateEndpoint(described)
	}
}

// forgetRemoved drops removed endpoints without attempts: replaced servers must not fill the memory of a node that runs for long.
func (c *Core) forgetRemoved() {
	for id, removed := range c.removedEndpoints {
		if removed.inFlight == 0 && len(removed.healthChecks) == 0 {
			c.removeFromAddress(removed)
			delete(c.endpoints, id)
			delete(c.removedEndpoints, id)
		}
	}
}

// upstreamOf returns an endpoint's pool. It is created as it is first used: a node meets few of thousands of servers.
func (c *Core) upstreamOf(used *endpoint) Upstream {
	if used.pool == nil {
		isOrigin := c.options.Policy.OriginKind != "" && used.Kind == c.options.Policy.OriginKind
		used.pool = c.options.NewUpstream(used.Server, isOrigin, c.environment.ReportOutcome)
		used.pool.Update(used.Addr, used.State != discovery.Up) // a new pool has nothing to return
	}
	return used.pool
}

// updatePool tells an endpoint's pool of its address and state, and ends the attempts that the pool returns.
func (c *Core) updatePool(updated *endpoint) {
	if updated.pool == nil {
		return
	}
	for _, attempt := range updated.pool.Update(updated.Addr, updated.State != discovery.Up) {
		c.attemptEnded(attempt, upstream.Response{Outcome: upstream.ServerDraining})
	}
}

// withSuperseded returns the servers of a list, and those whose address another server has taken over, as removed: a process that
// started later at the same address. Attempts for the one before would reach its successor, which is warming up, as load that was
// never counted as its own; and the list names the end of the one and the start of the other in any order.
func (c *Core) withSuperseded(list discovery.List) []discovery.Server {
	newest := make(map[string]int64, len(list.Servers)) // time of the latest start by address
	isListed := make(map[string]bool, len(list.Servers))
	for _, server := range list.Servers {
		isListed[server.ID] = true
		if server.State != discovery.Removed {
			newest[server.Addr] = max(newest[server.Addr], server.StartedMs)
		}
	}
	var others []discovery.Server // that a change does not name, at addresses that it names
	if !list.IsFull {
		others = c.otherEndpointsAt(newest, isListed)
		for _, other := range others {
			newest[other.Addr] = max(newest[other.Addr], other.StartedMs)
		}
	}
	servers := slices.Clone(list.Servers)
	for i, server := range servers {
		if server.State == discovery.Up && newest[server.Addr] > server.StartedMs {
			servers[i].State = discovery.Removed
		}
	}
	for _, other := range others {
		if other.State == discovery.Up && newest[other.Addr] > other.StartedMs {
			other.State = discovery.Removed
			servers = append(servers, other)
		}
	}
	return servers
}

// otherEndpointsAt returns the endpoints at some addresses that are not listed and not removed, in the order of their ids.
func (c *Core) otherEndpointsAt(addresses map[string]int64, isListed map[string]bool) (others []discovery.Server) {
	for address := range addresses {
		for _, known := range c.endpointsAt[address] {
			if !isListed[known.ID] && known.State != discovery.Removed {
				others = append(others, known.Server)
			}
		}
	}
	slices.SortFunc(others, func(a, b discovery.Server) int { return strings.Compare(a.ID, b.ID) })
	return others
}
