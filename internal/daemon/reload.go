package daemon

import (
	"os"

	"shelfproxy/internal/config"
	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/logs"
)

// reload reads the configuration again and applies what may change while the node runs: the rollout budget, the list of peers and
// the address of discovery. Other changes are logged and wait for the next start. An invalid configuration changes nothing.
func (d *Daemon) reload() {
	loaded, err := config.Load(os.Getenv, d.operatorFile)
	if err != nil {
		d.counters.ReloadsFailed.Add(1)
		d.log.Error("reload: the configuration in force stays", logs.Event, "reload_refused", "error", err.Error())
		return
	}
	d.counters.Reloads.Add(1)
	for _, field := range d.cfg.ChangedFixedFields(loaded) {
		d.log.Warn("reload: a changed field takes effect at the next start", logs.Event, "reload_waits", "field", field)
	}
	d.reloadRolloutBudget(loaded)
	d.reloadPeers(loaded)
	d.reloadDiscovery(loaded)
}

// updateConfig puts a changed copy of the configuration in force.
func (d *Daemon) updateConfig(change func(cfg *config.Config)) {
	updated, operator := *d.cfg, *d.cfg.Operator
	updated.Operator = &operator
	change(&updated)
	d.cfg = &updated
}

// reloadRolloutBudget applies another budget of nodes that may be out of service.
func (d *Daemon) reloadRolloutBudget(loaded *config.Config) {
	budget := loaded.Operator.Rollout
	if d.fleet.rollout == nil || budget == d.cfg.Operator.Rollout {
		return
	}
	d.log.Info("reload: the rollout budget changes", logs.Event, "rollout_budget", "nodes_out", budget.NodesOut, "zone_out", budget.ZoneOut)
	d.fleet.rollout.Post(rollout.BudgetChanged{Budget: budget.NodesOut, ZoneBudget: budget.ZoneOut})
	d.updateConfig(func(cfg *config.Config) { cfg.Operator.Rollout = budget })
}

// reloadPeers applies another list of peers if that is safe.
func (d *Daemon) reloadPeers(loaded *config.Config) {
	changed := d.cfg.Peers.CountChanges(loaded.Peers)
	isSame := changed == 0 && d.cfg.Operator.Leases.PeerListName == loaded.Operator.Leases.PeerListName
	if isSame || d.fleet.socket == nil {
		return
	}
	reason := d.peersConflict(loaded, changed)
	if reason == "" {
		if err := d.fleet.socket.UpdatePeers(loaded.Peers); err != nil {
			reason = err.Error()
		}
	}
	if reason != "" {
		d.log.Warn("reload: the list of peers in force stays", logs.Event, "reload_waits", "field", "peers", "reason", reason)
		return
	}
	d.log.Info("reload: the list of peers changes", logs.Event, "peers_moved", "nodes", len(loaded.Peers.Peers), "changed", changed)
	self, nodes := loaded.Peers.Self(), len(loaded.Peers.Peers)
	listID := loaded.Operator.Leases.PeerListID(nodes)
	if d.fleet.leases != nil {
		d.fleet.leases.UpdatePeers(lease.PeersChanged{Self: self, Nodes: nodes, PeerListID: listID})
	}
	if d.fleet.membership != nil {
		d.fleet.membership.UpdatePeers(membership.PeersChanged{Self: self, Nodes: nodes, PeerListID: listID})
	}
	d.updateConfig(func(cfg *config.Config) {
		cfg.Peers = loaded.Peers
		cfg.Operator.Leases.PeerListName = loaded.Operator.Leases.PeerListName
	})
}

// peersConflict returns the reason why another list of peers is not safe with the agreements that run, or "". Leases are handed over
// between majorities of the list before and of the list after, which overlap only if these differ by one node.
func (d *Daemon) peersConflict(loaded *config.Config, changed int) (reason string) {
	switch {
	case d.fleet.rollout != nil:
		return "the rollout agreement runs among the nodes of the start"
	case d.fleet.leases != nil && changed > 1:
		return "more than one node was added or removed"
	case (d.fleet.leases != nil || d.fleet.membership != nil) && loaded.Peers.Self() < 0:
		return "this node is not among them"
	}
	return ""
}

// reloadDiscovery follows discovery at another address.
func (d *Daemon) reloadDiscovery(loaded *config.Config) {
	if d.cfg.Discovery == loaded.Discovery {
		return
	}
	d.log.Info("reload: discovery moves", logs.Event, "discovery_moved", "from", d.cfg.Discovery, "to", loaded.Discovery)
	d.node.FollowDiscovery(discoverySource(loaded))
	d.updateConfig(func(cfg *config.Config) { cfg.Discovery = loaded.Discovery })
}
