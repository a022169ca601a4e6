package daemon

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"

	"shelfproxy/internal/control"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/fleet/lease"
	leaseagent "shelfproxy/internal/fleet/lease/agent"
	"shelfproxy/internal/fleet/membership"
	membershipagent "shelfproxy/internal/fleet/membership/agent"
	"shelfproxy/internal/fleet/peers"
	"shelfproxy/internal/fleet/rollout"
	rolloutagent "shelfproxy/internal/fleet/rollout/agent"
	"shelfproxy/internal/logs"
)

// fleetAgents are this node's part in the fleet: its socket to the other nodes and the agents of the agreements that the operator
// switched on. Each may be nil; without a socket there are no agents.
type fleetAgents struct {
	socket     *peers.Socket
	rollout    *rolloutagent.Agent    // who may drain; nil: a node drains when it is told to terminate
	leases     *leaseagent.Agent      // which node does a job for all; nil: each node does it for itself
	membership *membershipagent.Agent // which nodes are alive; nil: as many as are configured
}

// receiveDatagrams starts receiving from the other nodes, if there is a socket. The goroutine ends when the socket is closed, or
// else with the process.
func (d *Daemon) receiveDatagrams() {
	if d.fleet.socket == nil {
		return
	}
	receive := func(from int, data []byte) {
		if !d.fleet.receive(from, data) {
			d.node.ReceiveGossip(from, data)
		}
	}
	go receiveAll(d.fleet.socket, receive, d.counters, logs.Component(d.rootLog, "peers"))
}

// receiveAll receives datagrams until the socket is closed. Those of unknown senders are counted, and the first is logged.
func receiveAll(socket *peers.Socket, receive func(from int, data []byte), registry *counters.Counters, log *slog.Logger) {
	var firstForeign sync.Once
	err := socket.Receive(receive, func(from netip.AddrPort) {
		registry.GossipForeign.Add(1)
		firstForeign.Do(func() {
			log.Warn("a datagram came from an address that is no node's", logs.Event, "peer_foreign", "from", from.String())
		})
	})
	if errors.Is(err, net.ErrClosed) {
		return // by this node, which shuts down
	}
	log.Error("receiving from other nodes failed", logs.Event, "peers_ended", "error", err.Error())
}

// receive passes a datagram to the agent that its first byte names, and returns false if there is none.
func (f *fleetAgents) receive(from int, data []byte) bool {
	if len(data) == 0 {
		return false
	}
	switch magic := data[0]; {
	case f.rollout != nil && magic == rollout.Magic:
		f.rollout.Receive(from, data)
	case f.leases != nil && magic == lease.Magic:
		f.leases.Receive(from, data)
	case f.membership != nil && magic == membership.Magic:
		f.membership.Receive(from, data)
	default:
		return false
	}
	return true
}

// serve starts the agents' goroutines, which end when stop is closed, and tells the fleet that this node serves.
func (f *fleetAgents) serve(running *sync.WaitGroup, stop <-chan struct{}) {
	if f.rollout != nil {
		running.Go(func() { f.rollout.Serve(stop) })
		f.rollout.Post(rollout.ServingStarted{})
	}
	if f.leases != nil {
		running.Go(func() { f.leases.Serve(stop) })
	}
	if f.membership != nil {
		running.Go(func() { f.membership.Serve(stop) })
	}
}

// registerCalls registers the agents' calls at the control socket.
func (f *fleetAgents) registerCalls(server *control.Server) {
	if f.rollout != nil {
		f.rollout.RegisterCalls(server)
	}
	if f.leases != nil {
		f.leases.RegisterCalls(server)
	}
	if f.membership != nil {
		f.membership.RegisterCalls(server)
	}
}

// announceShutdown tells the other nodes that this one shuts down, and releases its leases.
func (f *fleetAgents) announceShutdown() {
	if f.rollout != nil {
		f.rollout.Post(rollout.ShutdownStarted{})
	}
	if f.leases != nil {
		f.leases.Resign()
	}
	if f.membership != nil {
		f.membership.Shutdown()
	}
}

// releaseSocket closes the socket once the agents have sent what was posted to them before. It does not wait: the goroutine ends
// after one more turn of each agent's loop, or when the loops do.
func (f *fleetAgents) releaseSocket() {
	if f.socket == nil {
		return
	}
	go func() {
		sent := func() {} // the loops are first in, first out
		if f.rollout != nil {
			_ = f.rollout.Call(sent) // a loop that is busy or has ended loses messages, as the network may
		}
		if f.leases != nil {
			_ = f.leases.Call(sent)
		}
		if f.membership != nil {
			_ = f.membership.Call(sent)
		}
		_ = f.socket.Close() // the successor takes the address, or logs why it can't
	}()
}
