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

// Config configures the membership core of one node. Self, Incarnation and Seed differ from node to node; the other fields have
// the same values on all nodes of a fleet.
type Config struct {
	Self, Nodes     int           // index of this node in the list of nodes, and length of that list
	PeerListID      uint32        // identifies the list of nodes; datagrams from a node with another list are ignored
	Incarnation     uint64        // Unix milliseconds of the process's start: later for each new process unless the clock is set back
	ProbeInterval   time.Duration // a node pings one other node in each period of this length
	ProbeTimeout    time.Duration // time without an ack after which other nodes are asked to ping the silent node too
	IndirectProbes  int           // number of nodes that are asked to ping a silent node
	SuspicionFactor float64       // a suspect is declared dead after SuspicionFactor * log2(Nodes+1) probe intervals
	Seed            uint64
}

// Validate returns an agreement.FieldError for the first field whose value is out of range.
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
	case !(c.SuspicionFactor >= minSuspicionFactor && c.SuspicionFactor <= maxSuspicionFactor): // rejects NaN too
		return agreement.InvalidField("suspicion", "must be from %d to %d", minSuspicionFactor, maxSuspicionFactor)
	}
	return nil
}
