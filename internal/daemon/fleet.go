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

// fleetAgents holds the node's socket to the other nodes, and one agent for each agreement among the nodes that the operator
// switched on. Each field may be nil. Without a socket there are no agents.
type fleetAgents struct {
	socket     *peers.Socket
	rollout    *rolloutagent.Agent    // decides which nodes may drain; nil: this node drains when it is told to terminate
	leases     *leaseagent.Agent      // decides which node does a job for all nodes; nil: each node does the job for itself
	membership *membershipagent.Agent // detects which nodes are alive; nil: all configured nodes count as alive
}

// receiveDatagrams starts a goroutine that receives datagrams from the other nodes, if there is a socket. The goroutine ends when
// the socket is closed; if the socket is never closed, the goroutine runs until the process ends.
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

// receiveAll receives datagrams until the socket is closed. It counts the datagrams of unknown senders and logs the first of them.
func receiveAll(socket *peers.Socket, receive func(from int, data []byte), registry *counters.Counters, log *slog.Logger) {
	var firstForeign sync.Once
	err := socket.Receive(receive, func(from netip.AddrPort) {
		registry.GossipForeign.Add(1)
		firstForeign.Do(func() {
			log.Warn("received a datagram from an address that belongs to no node", logs.Event, "peer_foreign", "from", from.String())
		})
	})
	if errors.Is(err, net.ErrClosed) {
		return // this node has closed the socket, because it shuts down
	}
	log.Error("receiving from other nodes failed", logs.Event, "peers_ended", "error", err.Error())
}

// receive passes a datagram to the agent that the datagram's first byte stands for. It returns false if there is no such agent.
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

// serve starts the agents' goroutines and tells the fleet that this node serves. The goroutines end when stop is closed.
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

// registerCalls registers the agents' calls with the server of the control socket.
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

// announceShutdown tells the other nodes that this node shuts down, and releases its leases.
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

// releaseSocket starts a goroutine that closes the socket, and returns at once. The goroutine first waits until the agents have
// handled the events that were posted to them before and have sent the resulting messages. It does not wait for an agent whose loop
// is busy or has ended.
func (f *fleetAgents) releaseSocket() {
	if f.socket == nil {
		return
	}
	go func() {
		flush := func() {} // each agent's loop calls this function after it has handled all events that were posted before
		if f.rollout != nil {
			_ = f.rollout.Call(flush) // fails if the loop is busy or has ended; lost messages are tolerated, as on the network
		}
		if f.leases != nil {
			_ = f.leases.Call(flush)
		}
		if f.membership != nil {
			_ = f.membership.Call(flush)
		}
		_ = f.socket.Close() // an error is ignored: the successor logs why it can't take the address
	}()
}
