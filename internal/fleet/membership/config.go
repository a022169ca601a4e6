package membership

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

const (
	minProbeInterval   = 50 * time.Millisecond
	maxIndirectProbes  = 10
	minSuspicionFactor = 1
	maxSuspicionFactor = 100
)

// Config is the configuration of one node's part. All nodes of a fleet have the same but for Self, Incarnation and Seed.
type Config struct {
	Self, Nodes     int           // index of this node, and number of nodes on the list
	PeerListID      uint32        // identifies the list of nodes: an index means nothing under another list
	Incarnation     uint64        // Unix time of the process's start in milliseconds: greater for each process of a node unless its clock is set back
	ProbeInterval   time.Duration // between two pings of a node
	ProbeTimeout    time.Duration // wait for an ack before other nodes are asked to ping
	IndirectProbes  int           // number of nodes that are asked
	SuspicionFactor float64       // probe intervals, times the logarithm of the fleet's size, after which a suspect is dead
	Seed            uint64
}

// Validate returns an agreement.FieldError for the first field whose value is out of its range.
func (c Config) Validate() error {
	if err := agreement.ValidateNodes(c.Self, c.Nodes, agreement.MaxNodes); err != nil {
		return err
	}
	switch {
	case c.ProbeInterval < minProbeInterval:
		return agreement.InvalidField("period", "must be %s at least", minProbeInterval)
	case c.ProbeTimeout <= 0 || c.ProbeTimeout > c.ProbeInterval/2:
		return agreement.InvalidField("wait", "must be above 0, and half a period at most")
	case c.IndirectProbes < 0 || c.IndirectProbes > maxIndirectProbes:
		return agreement.InvalidField("ask", "must be from 0 to %d", maxIndirectProbes)
	case !(c.SuspicionFactor >= minSuspicionFactor && c.SuspicionFactor <= maxSuspicionFactor): // also for NaN
		return agreement.InvalidField("suspicion", "must be from %d to %d", minSuspicionFactor, maxSuspicionFactor)
	}
	return nil
}
