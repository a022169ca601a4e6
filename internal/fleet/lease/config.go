package lease

import (
	"math"
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Config configures one node's part. All nodes of a fleet should have the same values but for Self, Epoch and Seed.
type Config struct {
	Self, Nodes   int
	PeerListID    uint32        // of the list of nodes: messages of nodes that have another list are ignored
	Resources     []string      // names of what leases are granted for, 1 to MaxResources, each once
	LeaseDuration time.Duration // by the clocks of the nodes that grant a lease
	MaxClockDrift float64       // greatest difference in the rates of two clocks, as a fraction
	Epoch         uint64        // Unix milliseconds at Time 0: fencing tokens grow with it if a majority forgot the last one
	Seed          uint64
}

const (
	// MaxResources bounds the resources of a fleet.
	MaxResources = 16

	minLeaseDuration = 100 * time.Millisecond
)

// Validate returns an agreement.FieldError for the first field whose value the agreement cannot work with.
func (c Config) Validate() error {
	if err := agreement.ValidateNodes(c.Self, c.Nodes, math.MaxInt); err != nil {
		return err
	}
	if c.LeaseDuration < minLeaseDuration {
		return agreement.InvalidField("lease", "must be at least %s", minLeaseDuration)
	}
	if err := agreement.ValidateClockDrift(c.MaxClockDrift); err != nil {
		return err
	}
	return c.validateResources()
}

func (c Config) validateResources() error {
	if len(c.Resources) == 0 || len(c.Resources) > MaxResources {
		return agreement.InvalidField("hold", "must have 1 to %d names", MaxResources)
	}
	isNamed := map[uint32]bool{}
	for _, name := range c.Resources {
		if name == "" || isNamed[HashName(name)] {
			return agreement.InvalidField("hold", "%q is empty or there twice", name)
		}
		isNamed[HashName(name)] = true
	}
	return nil
}

// HashName returns the number by which a resource or a list of peers is sent.
func HashName(name string) uint32 { return agreement.HashName(name) }
