package policy

// assignRole records which router has a role from now on. It also notifies the poll schedule if the role is
// DiscoveryPoller, and the gossip sender if the role is HealthChecker.
func (r *Router) assignRole(e RoleAssigned) {
	r.responsibilities[e.Role] = e.Responsibility
	switch e.Role {
	case DiscoveryPoller:
		r.polls.Assign(r.now, e.Responsibility)
	case HealthChecker:
		r.gossipSender.IsHealthChecker = e.Responsibility == AssignedHere
	}
}

// resizeFleet sets the number of routers that share the traffic; 0 means the number passed to New. Quotas, gossip and
// the spread of polls are adjusted to the new number.
func (r *Router) resizeFleet(nodes int) {
	if nodes <= 0 {
		nodes = r.configuredNodes
	}
	r.settings.Nodes, r.gossipSender.FleetSize = nodes, nodes
	r.polls.SpreadOver = r.pollSpread()
	r.quotas.Resize(nodes)
}
