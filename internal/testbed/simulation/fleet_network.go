package simulation

import (
	"slices"
	"time"

	"shelfproxy/internal/fleet/lease"
	"shelfproxy/internal/fleet/membership"
	"shelfproxy/internal/fleet/rollout"
)

// Limits and probabilities of a fleet's network.
const (
	maxDatagram       = 256 // maximum size of a datagram in bytes; a limit of the platform
	maxRecorded       = 200 // maximum number of datagrams that are kept for FleetReplay faults
	recordProbability = 0.01
	lossAfterFaults   = 0.1 // maximum share of datagrams that is lost from fleetNetworkFaultsEnd until fleetLossFreeFrom
	minDelay          = 200 * time.Microsecond
)

// datagram is a copy of a datagram that was sent. A FleetReplay fault can send the copy again.
type datagram struct {
	from, to int
	data     []byte
}

// send sends a datagram to one node, or to all other nodes if to is negative.
func (n *fleetNode) send(to int, data []byte) {
	f := n.fleet
	if len(data) > maxDatagram {
		f.violation(InvariantDatagramSize, "node %d sends %d bytes", n.index, len(data))
	}
	for other := range f.nodes {
		if other == n.index || to >= 0 && other != to {
			continue
		}
		f.deliver(n.index, other, data)
		if len(f.recorded) < maxRecorded {
			f.recorded = append(f.recorded, datagram{n.index, other, data})
		} else if f.chance(recordProbability) {
			f.recorded[f.rng.IntN(len(f.recorded))] = datagram{n.index, other, data}
		}
	}
}

// deliver schedules the arrival of a datagram at a node. The datagram may be lost, duplicated or corrupted.
func (f *fleet) deliver(from, to int, data []byte) {
	hasFaults := f.now < fleetNetworkFaultsEnd
	loss := f.plan.Dropped
	switch {
	case f.now >= fleetLossFreeFrom:
		loss = 0
	case !hasFaults:
		loss = min(loss, lossAfterFaults)
	}
	if f.blocked[from][to] > 0 || f.chance(loss) {
		return
	}
	copies := 1
	if f.chance(f.plan.Duplicated) {
		copies = 2
	}
	if hasFaults && f.chance(f.plan.Corrupted) {
		data = slices.Clone(data)
		data[f.rng.IntN(len(data))] ^= 1 << f.rng.IntN(8)
	}
	for range copies {
		f.after(f.drawBetween(minDelay, f.plan.MaxDelay), func() { f.nodes[to].receive(from, data) })
	}
}

// receive handles a datagram that arrived at the node's socket. The first byte tells which core the datagram is for.
func (n *fleetNode) receive(from int, data []byte) {
	if !n.isUp || n.isEnding {
		return
	}
	n.schedule(n.fleet.drawBetween(0, n.fleet.plan.MaxLag), func() {
		switch {
		case n.isEnding || len(data) == 0:
		case data[0] == rollout.Magic:
			n.stepRollout(rollout.MessageReceived{From: from, Data: data})
		case data[0] == lease.Magic:
			n.stepLease(lease.MessageReceived{From: from, Data: data})
		case data[0] == membership.Magic:
			n.stepMembership(membership.MessageReceived{From: from, Data: data})
		}
	})
}

// partition drops datagrams for the duration span. isBlocked(from, to) tells whether datagrams from one node to another are
// dropped.
func (f *fleet) partition(span time.Duration, isBlocked func(from, to int) bool) {
	change := func(by int) {
		for from := range f.nodes {
			for to := range f.nodes {
				if from != to && isBlocked(from, to) {
					f.blocked[from][to] += by
				}
			}
		}
	}
	change(1)
	f.after(span, func() { change(-1) })
}
