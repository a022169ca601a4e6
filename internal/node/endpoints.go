package node

import (
	"maps"
	"slices"
	"time"

	"shelfproxy/internal/discovery"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/upstream"
)

// endpoint is a cache server or the origin, as the endpoint list last described it.
type endpoint struct {
	discovery.Server
	pool         Upstream
	inFlight     int                 // attempts for requests
	healthChecks []*upstream.Attempt // in flight
}

var serverStates = map[discovery.State]policy.ServerState{discovery.Up: policy.Live,
	discovery.Draining: policy.Draining, discovery.Removed: policy.Removed}

// updateEndpoints takes an endpoint list, or a change of it. The pools are told first, so that nothing that is queued goes to a server
// that has left the list; then the policy is notified.
func (c *Core) updateEndpoints(list discovery.List, scope policy.EndpointScope) {
	event := policy.EndpointUpdate{Scope: scope}
	isListed := map[string]bool{}
	for _, described := range c.withSuperseded(list) {
		isListed[described.ID] = true
		event.Servers = append(event.Servers, policy.Server{ID: described.ID, Zone: described.Zone, Kind: described.Kind, Cell: described.Cell,
			State: serverStates[described.State], Capacity: described.Weight, StartedAt: time.Duration(described.StartedMs) * time.Millisecond})
		c.updateEndpoint(described)
	}
	if scope != policy.DeltaUpdate {
		c.removeUnlisted(isListed)
	}
	c.forgetRemoved()
	c.notify(event)
}

// updateEndpoint takes the description of one endpoint, which may be new.
func (c *Core) updateEndpoint(described discovery.Server) {
	known := c.endpoints[described.ID]
	if known == nil {
		isOrigin := c.options.Policy.OriginKind != "" && described.Kind == c.options.Policy.OriginKind
		known = &endpoint{Server: described, pool: c.options.NewUpstream(described, isOrigin, c.environment.ReportOutcome)}
		c.endpoints[described.ID] = known
	}
	if described.State == discovery.Removed && described.Addr == "" {
		described.Addr = known.Addr
	}
	known.Server = described
	c.updatePool(known)
}

// removeUnlisted marks the endpoints that a full list does not name as removed.
func (c *Core) removeUnlisted(isListed map[string]bool) {
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		if unlisted := c.endpoints[id]; !isListed[id] {
			unlisted.State = discovery.Removed
			c.updatePool(unlisted)
		}
	}
}

// forgetRemoved drops removed endpoints without attempts: replaced servers must not fill the memory of a node that runs for long.
func (c *Core) forgetRemoved() {
	for id, known := range c.endpoints {
		if known.State == discovery.Removed && known.inFlight == 0 && len(known.healthChecks) == 0 {
			delete(c.endpoints, id)
		}
	}
}

// updatePool tells an endpoint's pool of its address and state, and ends the attempts that the pool returns.
func (c *Core) updatePool(updated *endpoint) {
	for _, attempt := range updated.pool.Update(updated.Addr, updated.State != discovery.Up) {
		c.attemptEnded(attempt, upstream.Response{Outcome: upstream.ServerDraining})
	}
}

// withSuperseded returns the servers of a list, and those whose address another server has taken over, as removed: a process that
// started later at the same address. Attempts for the one before would reach its successor, which is warming up, as load that was
// never counted as its own; and the list names the end of the one and the start of the other in any order.
func (c *Core) withSuperseded(list discovery.List) []discovery.Server {
	servers := slices.Clone(list.Servers)
	newest := map[string]discovery.Server{} // by address
	isListed := map[string]bool{}
	for _, server := range list.Servers {
		isListed[server.ID] = true
		if server.State != discovery.Removed && server.StartedMs >= newest[server.Addr].StartedMs {
			newest[server.Addr] = server
		}
	}
	for _, id := range slices.Sorted(maps.Keys(c.endpoints)) {
		known := c.endpoints[id]
		if isListed[id] || list.IsFull || known.State == discovery.Removed {
			continue
		}
		if known.StartedMs > newest[known.Addr].StartedMs {
			newest[known.Addr] = known.Server
		}
		servers = append(servers, known.Server)
	}
	for i, server := range servers {
		if server.State == discovery.Up && newest[server.Addr].StartedMs > server.StartedMs {
			servers[i].State = discovery.Removed
		}
	}
	return slices.DeleteFunc(servers, func(server discovery.Server) bool {
		return !isListed[server.ID] && server.State != discovery.Removed // nothing has changed
	})
}
