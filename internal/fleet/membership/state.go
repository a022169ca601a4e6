// Package membership finds out which nodes of a fleet are running. It is SWIM (Das, Gupta and Motivala, 2002) with suspicion and
// refutation, in datagrams of 256 bytes at most, among the nodes of a configured list. Core has no clock and no I/O: its Step
// takes the time and an event and returns effects.
//
// In each period a node pings one other, in a random order in which every node has its turn. One that does not acknowledge the
// ping is pinged through a few others (ping-req), and then suspected; a suspect that does not refute the suspicion in time is
// dead. Updates about nodes are piggybacked on every datagram.
//
// Updates about a node are ordered by its incarnation (the start of its process), the number of its refutations within it, and
// the state, so one that is late, doubled or out of order changes nothing. See docs/fleet.md.
package membership

import "time"

// Time is a point on this node's clock, counted from its start.
type Time = time.Duration

// State is what is known of a node.
type State byte

// The states. Of two updates of one incarnation with as many refutations the one with the later state overrides the other.
const (
	Unknown State = iota // no update was received yet
	Alive
	Suspect
	Dead
	Left // shut down on its own
	numStates
)

// String returns the state's name in the log, the counters and the control socket.
func (s State) String() string {
	return [...]string{"unknown", "alive", "suspect", "dead", "left"}[s]
}

// isPresent reports whether a node in this state counts as running.
func (s State) isPresent() bool { return s == Alive || s == Suspect }

// member is what is known of one node.
type member struct {
	state         State
	incarnation   uint64
	refutations   uint8 // within the incarnation; wraps
	since         Time  // when it came into the state
	transmissions int   // how often this is still to be piggybacked on a datagram
	lastSeen      Time  // when the last datagram came from the node itself; 0: none did
}

// update is what one datagram says of one node.
type update struct {
	node        uint16
	incarnation uint64
	refutations uint8
	state       State
}

// update returns what datagrams say of this member.
func (m member) update(node int) update {
	return update{node: uint16(node), incarnation: m.incarnation, refutations: m.refutations, state: m.state}
}

// isOverriddenBy reports whether an update is newer than what is known: of a later incarnation, of a later refutation, or of a
// later state.
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

// refutationsAhead is by how much a is ahead of b, two numbers of refutations, which wrap. It is negative if a is behind.
func refutationsAhead(a, b uint8) int8 { return int8(a - b) }
