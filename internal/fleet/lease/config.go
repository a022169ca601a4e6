package lease

import (
	"math"
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Config configures one node's part in the lease agreement. All nodes of a fleet should have the same values, except for Self,
// Epoch and Seed.
type Config struct {
	Self, Nodes   int
	PeerListID    uint32        // ID of the list of nodes; messages from nodes that have another list are ignored
	Resources     []string      // names of the resources that leases are granted on, 1 to MaxResources, without duplicates
	LeaseDuration time.Duration // how long a granted lease lasts, by the clocks of the nodes that grant it
	MaxClockDrift float64       // greatest fraction by which the rates of two nodes' clocks differ; 0.05 is 5 %
	Epoch         uint64        // Unix time in ms at Time 0; new tokens are at least the date, so they grow even if a majority forgot the last token
	Seed          uint64
}

const (
	// MaxResources is the greatest number of resources that a fleet can have.
	MaxResources = 16

	minLeaseDuration = 100 * time.Millisecond
)

// Validate returns an agreement.FieldError for the first field that has an invalid value.
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

// HashName returns the hash that identifies a resource or a list of peers in messages.
func HashName(name string) uint32 { return agreement.HashName(name) }
