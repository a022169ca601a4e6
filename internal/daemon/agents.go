package daemon

import (
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/fleet/lease"
	leaseagent "shelfproxy/internal/fleet/lease/agent"
	membershipagent "shelfproxy/internal/fleet/membership/agent"
	"shelfproxy/internal/fleet/rollout"
	rolloutagent "shelfproxy/internal/fleet/rollout/agent"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/policy"
)

// createAgents creates the agents that the operator switched on.
func (d *Daemon) createAgents() error {
	if err := d.createRolloutAgent(); err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	if err := d.createLeaseAgent(); err != nil {
		return fmt.Errorf("duties: %w", err)
	}
	if err := d.createMembershipAgent(); err != nil {
		return fmt.Errorf("members: %w", err)
	}
	return nil
}

// createRolloutAgent creates the agent that takes part in the agreement on which nodes may drain.
func (d *Daemon) createRolloutAgent() (err error) {
	settings := d.cfg.Operator.Rollout
	if settings.NodesOut <= 0 {
		return nil
	}
	log := logs.Component(d.rootLog, "rollout")
	if d.fleet.socket == nil {
		log.Warn("no socket to other nodes: each node drains when it is told to terminate", logs.Event, "rollout_off")
		return nil
	}
	countEvent := registerEvents(d.counters, "rollout_", rollout.NumLogEventKinds)
	core := settings.CoreConfig(d.cfg.Peers.Self(), len(d.cfg.Peers.Peers), d.cfg.Policy.Zone, newIncarnation(), d.cfg.Seed)
	d.fleet.rollout, err = rolloutagent.New(rolloutagent.Options{
		Config:         core,
		Send:           d.fleet.socket.SendTo,
		DrainGranted:   func() { d.drainGranted <- struct{}{} }, // never blocks: it is called once, and the channel holds one value
		ResponseCounts: d.responseCounts,
		CountEvent:     countEvent,
		Log:            log,
	})
	return err
}

// createLeaseAgent creates the agent that takes part in the agreement on which node holds each lease.
func (d *Daemon) createLeaseAgent() (err error) {
	settings := d.cfg.Operator.Leases
	if len(settings.Resources) == 0 {
		return nil
	}
	log := logs.Component(d.rootLog, "duties")
	if d.fleet.socket == nil {
		log.Warn("no socket to other nodes: each node does all jobs for itself", logs.Event, "duties_off")
		return nil
	}
	countEvent := registerEvents(d.counters, "duty_", lease.NumLogEventKinds)
	core := settings.CoreConfig(d.cfg.Peers.Self(), len(d.cfg.Peers.Peers), newIncarnation(), d.cfg.Seed)
	d.fleet.leases, err = leaseagent.New(leaseagent.Options{
		Config: core,
		Send:   d.fleet.socket.SendTo,
		HolderChanged: func(resource string, holder int) {
			d.node.NotifyRole(policy.RoleAssigned{Role: roleOf(resource), Responsibility: responsibilityOf(holder)})
		},
		Announced:  func(resource string) { d.node.NotifyRole(policy.RoleAnnouncement{Role: roleOf(resource)}) },
		CountEvent: countEvent,
		Log:        log,
	})
	return err
}

// roleOf returns the role (a task for the whole fleet) that belongs to the lease of a resource.
func roleOf(resource string) policy.Role {
	return policy.Role(slices.Index(policy.RoleNames[:], resource))
}

// responsibilityOf returns who is responsible for a role from this node's view, given the holder of the role's lease.
func responsibilityOf(holder int) policy.Responsibility {
	switch holder {
	case lease.NoNode:
		return policy.Unassigned
	case lease.ThisNode:
		return policy.AssignedHere
	default:
		return policy.AssignedElsewhere
	}
}

// createMembershipAgent creates the agent that detects, together with the agents of the other nodes, which nodes are alive.
func (d *Daemon) createMembershipAgent() (err error) {
	settings := d.cfg.Operator.Membership
	if !settings.Enabled {
		return nil
	}
	log := logs.Component(d.rootLog, "members")
	if d.fleet.socket == nil {
		log.Warn("no socket to other nodes: this node does not detect which other nodes are alive", logs.Event, "members_off")
		return nil
	}
	countEvent := registerEvents(d.counters, "member_", membershipagent.EventKinds)
	nodes := len(d.cfg.Peers.Peers)
	core := settings.CoreConfig(d.cfg.Peers.Self(), nodes, d.cfg.Operator.Leases.PeerListID(nodes), newIncarnation(), d.cfg.Seed)
	d.fleet.membership, err = membershipagent.New(membershipagent.Options{
		Config:       core,
		Send:         d.fleet.socket.SendTo,
		SetFleetSize: d.node.SetFleetSize,
		CountEvent:   countEvent,
		Log:          log,
	})
	return err
}

// newIncarnation returns the incarnation of a starting node: the Unix time in milliseconds, which is greater at each later start.
func newIncarnation() uint64 { return uint64(time.Now().UnixMilli()) }

// eventKind is a type for the kinds of an agent's log events: integers that have names.
type eventKind interface {
	~int
	String() string
}

// registerEvents registers a counter for each kind of an agent's log events. It returns a function that counts an event of a kind.
func registerEvents[Kind eventKind](registry *counters.Counters, prefix string, kinds Kind) func(Kind) {
	counts := make([]*atomic.Int64, kinds)
	for kind := range kinds {
		counts[kind] = registry.Register(prefix + kind.String())
	}
	return func(kind Kind) { counts[kind].Add(1) }
}
