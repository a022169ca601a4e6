package daemon

import (
	"os"

	"shelfproxy/internal/config"
	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
	"shelfproxy/internal/logs"
)

// reload reads the configuration again and applies the settings that may change while the node runs: the rollout budget, the list of
// peers and the address of discovery. Changes of other settings are logged and take effect at the next start. An invalid
// configuration changes nothing.
func (d *Daemon) reload() {
	loaded, err := config.Load(os.Getenv, d.operatorFile)
	if err != nil {
		d.counters.ReloadsFailed.Add(1)
		d.log.Error("reload failed: the configuration in force stays unchanged", logs.Event, "reload_refused", "error", err.Error())
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

// updateConfig replaces the configuration in force by a copy that change has modified.
func (d *Daemon) updateConfig(change func(cfg *config.Config)) {
	updated, operator := *d.cfg, *d.cfg.Operator
	updated.Operator = &operator
	change(&updated)
	d.cfg = &updated
}

// reloadRolloutBudget applies a changed rollout budget, the number of nodes that may be out of service at the same time.
func (d *Daemon) reloadRolloutBudget(loaded *config.Config) {
	budget := loaded.Operator.Rollout
	if d.fleet.rollout == nil || budget == d.cfg.Operator.Rollout {
		return
	}
	d.log.Info("reload: the rollout budget changes", logs.Event, "rollout_budget", "nodes_out", budget.NodesOut, "zone_out", budget.ZoneOut)
	d.fleet.rollout.Post(rollout.BudgetChanged{Budget: budget.NodesOut, ZoneBudget: budget.ZoneOut})
	d.updateConfig(func(cfg *config.Config) { cfg.Operator.Rollout = budget })
}

// reloadPeers applies a changed list of peers, if the change is safe while the fleet's agreements run.
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
		d.log.Warn("reload: the list of peers in force stays unchanged", logs.Event, "reload_waits", "field", "peers", "reason", reason)
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

// peersConflict returns the reason why a changed list of peers is not safe while the fleet's agreements run, or "" if it is safe.
// Leases are handed over from a majority of the old list to a majority of the new list. The two majorities overlap only if the
// lists differ by one node.
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

// reloadDiscovery has the node watch discovery at its new address, if the address has changed.
func (d *Daemon) reloadDiscovery(loaded *config.Config) {
	if d.cfg.Discovery == loaded.Discovery {
		return
	}
	d.log.Info("reload: discovery's address changes", logs.Event, "discovery_moved", "from", d.cfg.Discovery, "to", loaded.Discovery)
	d.node.FollowDiscovery(discoverySource(loaded))
	d.updateConfig(func(cfg *config.Config) { cfg.Discovery = loaded.Discovery })
}
