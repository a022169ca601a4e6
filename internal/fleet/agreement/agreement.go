// Package agreement holds what the protocols between the nodes of a fleet have in common. These protocols are rollout, lease
// and membership. The package has the arithmetic of majorities, the checks of a list of nodes and of clock drift, the hash that
// identifies names in messages, and the framing of messages. All of it is free of clock, I/O and state, and safe for concurrent
// use. The package shell holds what the code that runs these protocols inside a node has in common.
package agreement

import "hash/fnv"

// MaxNodes is the size of the largest fleet whose nodes can be numbered in 16 bits of a message.
const MaxNodes = 1<<16 - 1

// Special values in place of the index of a node, as a destination or as a holder.
const (
	AllNodes = -1 // destination of a message: all nodes except this one
	NoNode   = -1 // holder of a resource: no node holds it
)

// Majority returns the smallest number of nodes that is more than half of the configured nodes. Two majorities share at least
// one node.
func Majority(nodes int) int { return nodes/2 + 1 }

// IsPeer reports whether node is the index of another node in a fleet of the given number of nodes, in which self is the index
// of this node.
func IsPeer(node, self, nodes int) bool { return node >= 0 && node < nodes && node != self }

// HashName returns the 32-bit FNV-1a hash that identifies a name in messages.
func HashName(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return hash.Sum32()
}

// ErrNotInFleet is returned if the list of the fleet's nodes is empty, is too long, or does not contain this node.
var ErrNotInFleet = InvalidField("nodes", "this one is not among them")

// ValidateNodes returns ErrNotInFleet unless there are 1 to maxNodes nodes and self is the index of one of them.
func ValidateNodes(self, nodes, maxNodes int) error {
	if nodes < 1 || nodes > maxNodes || self < 0 || self >= nodes {
		return ErrNotInFleet
	}
	return nil
}
