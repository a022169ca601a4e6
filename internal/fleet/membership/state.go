// Package membership detects which nodes of a fleet are running. It implements SWIM (Das, Gupta and Motivala, 2002) with suspicion
// and refutation. The nodes of a configured list exchange datagrams of 256 bytes at most. Core has no clock and no I/O: its Step
// takes the time and an event and returns effects.
//
// In each period a node pings one other node, in a random order in which every node has its turn. If the pinged node does not
// answer with an ack, a few other nodes are asked to ping it too (ping-req). If they bring no ack either, the pinged node is
// suspected to be dead. A suspect that does not refute the suspicion in time is declared dead. Every datagram also carries
// updates about the states of nodes.
//
// Updates about a node are ordered by its incarnation (the start of its process), then by the number of its refutations within
// that incarnation, then by its state. So an update that is late, duplicated or out of order changes nothing. See docs/fleet.md.
package membership

import "time"

// Time is a point in time on this node's clock, as the duration since the node's start.
type Time = time.Duration

// State says whether a node is running, as far as this node knows.
type State byte

// The states of a node. If two updates have the same incarnation and number of refutations, the one whose state is later in this
// list overrides the other.
const (
	Unknown State = iota // no update was received yet
	Alive
	Suspect
	Dead
	Left // the node shut down gracefully
	numStates
)

// String returns the state's name as used in the log, the counters and the control socket.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[s]
}

// isPresent reports whether a node in this state counts as running.
func (s State) isPresent() bool { return s == Alive || s == Suspect }

// member is what this node knows about one node of the list.
type member struct {
	state       State
	incarnation uint64
	refutations uint8 // how often the node has refuted a suspicion in this incarnation; wraps after 255
	since       Time  // when the node entered the state
	sendsLeft   int   // in how many further datagrams the update about the node is to be sent
	lastSeen    Time  // when the last datagram from the node itself was received; 0: never
}

// update is what a datagram says about one node.
type update struct {
	node        uint16
	incarnation uint64
	refutations uint8
	state       State
}

// update returns the update that tells other nodes about this member; node is the member's index.
func (m member) update(node int) update {
	return update{node: uint16(node), incarnation: m.incarnation, refutations: m.refutations, state: m.state}
}

// isOverriddenBy reports whether an update is newer than what is known about the member. An update with a later incarnation is
// newer. Within the same incarnation, one with more refutations is newer. With equal refutations, one with a greater state is
// newer.
func (m member) isOverriddenBy(u update) bool {
	switch {
	case m.state == Unknown:
		return true
	case u.incarnation != m.incarnation:
		return u.incarnation > m.incarnation
	case u.refutations != m.refutations:
		return refutationsAhead(u.refutations, m.refutations) > 0
	}
	return u.state > m.state
}

// refutationsAhead returns by how much a is ahead of b; the result is negative if a is behind. Both are numbers of refutations,
// which continue with 0 after 255.
func refutationsAhead(a, b uint8) int8 { return int8(a - b) }
