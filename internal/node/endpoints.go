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
	pool         Upstream            // nil until the endpoint is used
	inFlight     int                 // number of attempts for requests that are in flight
	healthChecks []*upstream.Attempt // health checks that are in flight
}

var serverStates = map[discovery.State]policy.ServerState{discovery.Up: policy.Live,
	discovery.Draining: policy.Draining, discovery.Removed: policy.Removed}

// updateEndpoints applies a full endpoint list or a change of the list. The pools are updated first, so that no queued attempt
// goes to a server that has left the list. Then the policy is notified. The cost of a change is proportional to its entries, not
// to the length of the list.
func (c *Core) updateEndpoints(list discovery.List, scope policy.EndpointScope) {
	servers := c.withSuperseded(list)
	event := policy.EndpointUpdate{Scope: scope, Servers: make([]policy.Server, 0, len(servers))}
	for _, server := range servers {
		event.Servers = append(event.Servers, policy.Server{ID: server.ID, Zone: server.Zone, Kind: server.Kind, Cell: server.Cell,
			State: serverStates[server.State], Capacity: server.Weight, StartedAt: time.Duration(server.StartedMs) * time.Millisecond})
		c.updateEndpoint(server)
	}
	if scope != policy.DeltaUpdate {
		c.removeUnlisted(list)
	}
	c.forgetRemoved()
	c.notify(event)
}

// updateEndpoint applies the list's description of one endpoint, which may be new.
func (c *Core) updateEndpoint(server discovery.Server) {
	known := c.endpoints[server.ID]
	if known == nil {
		known = &endpoint{}
		c.endpoints[server.ID] = known
	}
	if server.State == discovery.Removed && server.Addr == "" {
		server.Addr = known.Addr
	}
	c.setDescription(known, server)
	c.updatePool(known)
}

// setDescription stores the list's description of an endpoint, and updates endpointsAt and removedEndpoints.
func (c *Core) setDescription(changed *endpoint, server discovery.Server) {
	if server.Addr != changed.Addr {
		c.removeFromAddress(changed)
	}
	isNew := changed.ID == ""
	if isNew || server.Addr != changed.Addr {
		c.endpointsAt[server.Addr] = append(c.endpointsAt[server.Addr], changed)
	}
	changed.Server = server
	if server.State == discovery.Removed {
		c.removedEndpoints[server.ID] = changed
	} else {
		delete(c.removedEndpoints, server.ID)
	}
}

// removeFromAddress removes an endpoint from those at its address in endpointsAt.
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
		removed := c.endpoints[id].Server
		removed.State = discovery.Removed
		c.updateEndpoint(removed)
	}
}

// forgetRemoved forgets removed endpoints without attempts: replaced servers must not fill the memory of a node that runs for
// long.
func (c *Core) forgetRemoved() {
	for id, removed := range c.removedEndpoints {
		if removed.inFlight == 0 && len(removed.healthChecks) == 0 {
			c.removeFromAddress(removed)
			delete(c.endpoints, id)
			delete(c.removedEndpoints, id)
		}
	}
}

// upstreamOf returns an endpoint's pool. The pool is created when it is first used: a node uses few of thousands of servers.
func (c *Core) upstreamOf(used *endpoint) Upstream {
	if used.pool == nil {
		isOrigin := c.options.Policy.OriginKind != "" && used.Kind == c.options.Policy.OriginKind
		used.pool = c.options.NewUpstream(used.Server, isOrigin, c.environment.ReportOutcome)
		used.pool.Update(used.Addr, used.State != discovery.Up) // a new pool has no attempts to return
	}
	return used.pool
}

// updatePool passes an endpoint's address and state to its pool, and ends the attempts that the pool returns.
func (c *Core) updatePool(updated *endpoint) {
	if updated.pool == nil {
		return
	}
	for _, attempt := range updated.pool.Update(updated.Addr, updated.State != discovery.Up) {
		c.attemptEnded(attempt, upstream.Response{Outcome: upstream.ServerDraining})
	}
}

// withSuperseded returns the servers of a list, and marks superseded ones as removed: servers at whose address another process
// has started later. The result of a change also has known servers that the change supersedes without naming them. Attempts for a
// superseded server would reach its successor, which is warming up, as load that was never counted as the successor's own. The
// list may name the end of the one server and the start of the other in any order.
func (c *Core) withSuperseded(list discovery.List) []discovery.Server {
	newest := make(map[string]int64, len(list.Servers)) // by address: the time of the latest start, in Unix milliseconds
	isListed := make(map[string]bool, len(list.Servers))
	for _, server := range list.Servers {
		isListed[server.ID] = true
		if server.State != discovery.Removed {
			newest[server.Addr] = max(newest[server.Addr], server.StartedMs)
		}
	}
	var others []discovery.Server // known servers that a change does not name, at addresses that it names
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

// otherEndpointsAt returns the known servers at the given addresses that are neither listed nor removed, in the order of their
// ids.
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
