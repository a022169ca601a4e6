package policy

// assignRole takes who has a role from now on.
func (r *Router) assignRole(e RoleAssigned) {
	r.responsibilities[e.Role] = e.Responsibility
	switch e.Role {
	case DiscoveryPoller:
		r.polls.Assign(r.now, e.Responsibility)
	case HealthChecker:
		r.gossipSender.IsHealthChecker = e.Responsibility == AssignedHere
	}
}

// resizeFleet takes how many routers share the traffic; 0 means as many as configured. What is divided by them, or
// spread over them, follows.
func (r *Router) resizeFleet(nodes int) {
	if nodes <= 0 {
		nodes = r.configuredNodes
	}
	r.settings.Nodes, r.gossipSender.FleetSize = nodes, nodes
	r.polls.SpreadOver = r.pollSpread()
	r.quotas.Resize(nodes)
}
