// Package agreement holds what the protocols between the nodes of a fleet have in common: rollout, lease and membership.
// It has the arithmetic of majorities, the checks of a list of nodes and of clock drift, the hash by which names are sent,
// and the outer form of their messages. All of it is free of clock, I/O and state, and safe for concurrent use. The code
// that runs such a protocol inside a node shares the package shell.
package agreement

import "hash/fnv"

// MaxNodes is the greatest fleet whose nodes can be named in 16 bits of a message.
const MaxNodes = 1<<16 - 1

// Special destinations and holders in place of the index of a node.
const (
	AllNodes = -1 // destination of a message: all nodes but this one
	NoNode   = -1 // holder of a resource: nobody
)

// Majority returns how many of the configured nodes are more than half of them. Two majorities share at least one node.
func Majority(nodes int) int { return nodes/2 + 1 }

// IsPeer reports whether node is another node of a fleet in which self is this one.
func IsPeer(node, self, nodes int) bool { return node >= 0 && node < nodes && node != self }

// HashName returns the 32-bit FNV-1a hash by which a name is sent in messages.
func HashName(name string) uint32 {
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return hash.Sum32()
}

// ErrNotInFleet is returned for a list of nodes that is empty or too long, or that this node is not on.
var ErrNotInFleet = InvalidField("nodes", "this one is not among them")

// ValidateNodes returns ErrNotInFleet unless there are 1 to maxNodes nodes and self is the index of one of them.
func ValidateNodes(self, nodes, maxNodes int) error {
	if nodes < 1 || nodes > maxNodes || self < 0 || self >= nodes {
		return ErrNotInFleet
	}
	return nil
}
