package rollout

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Config configures one node's part in the rollout agreement. All nodes of a fleet should have the same values, except for
// Self, Zone, Release, Incarnation and Seed. While a new budget is being rolled out, the smaller of the old and the new budget
// applies wherever a majority has it.
type Config struct {
	Self, Nodes int
	Zone        string
	Budget      int // number of nodes that may be out of service at once, 1 to MaxBudget
	ZoneBudget  int // number of nodes of one zone that may be out of service at once; 0 means no limit per zone

	HeartbeatInterval time.Duration // time between two heartbeats of a node
	UnresponsiveAfter time.Duration // a node counts as out of service after this time without a heartbeat
	RequestTimeout    time.Duration // how long a slot request is valid; a node grants no slot for the same time after its start
	ReturnTimeout     time.Duration // the release halts if a drained node is not back after this time
	WriteOffAfter     time.Duration // the slot of a drained node that is not back after this time is released
	ObservationPeriod time.Duration // how long a node that starts has to do well before it is ready
	MaxClockDrift     float64       // greatest difference between the rates of two clocks, as a fraction

	Release        string  // name of the release that this node runs
	MaxFailureRate float64 // how far the fraction of failed responses may exceed that of the other nodes during the observation
	MaxSlowRate    float64 // how far the fraction of responses above their class's latency objective may exceed the other nodes'
	MinSamples     int     // number of responses that are needed to judge a node
	Incarnation    uint64  // greater for each start of this node, such as the milliseconds of its own clock
	Seed           uint64
}

// MaxBudget is the greatest budget: the grants that a node knows must fit into one heartbeat.
const MaxBudget = maxGrants

const (
	minHeartbeatsUntilUnresponsive = 3
	minHeartbeatsPerRequest        = 2
)

// Validate returns an agreement.FieldError for the first field that has an invalid value.
func (c Config) Validate() error {
	if err := agreement.ValidateNodes(c.Self, c.Nodes, agreement.MaxNodes); err != nil {
		return err
	}
	if err := c.validateBudgets(); err != nil {
		return err
	}
	if err := c.validateDurations(); err != nil {
		return err
	}
	if err := agreement.ValidateClockDrift(c.MaxClockDrift); err != nil {
		return err
	}
	return c.validateRates()
}

func (c Config) validateBudgets() error {
	if c.Budget < 1 || c.Budget > MaxBudget {
		return agreement.InvalidField("nodes_out", "must be from 1 to %d", MaxBudget)
	}
	if c.ZoneBudget < 0 || c.ZoneBudget > MaxBudget {
		return agreement.InvalidField("zone_out", "must be from 0 to %d", MaxBudget)
	}
	return nil
}

func (c Config) validateDurations() error {
	switch {
	case c.HeartbeatInterval <= 0 || c.UnresponsiveAfter < minHeartbeatsUntilUnresponsive*c.HeartbeatInterval:
		return agreement.InvalidField("silent", "must be at least %d times beacon", minHeartbeatsUntilUnresponsive)
	case c.RequestTimeout < minHeartbeatsPerRequest*c.HeartbeatInterval:
		return agreement.InvalidField("lease", "must be at least %d times beacon", minHeartbeatsPerRequest)
	case c.ReturnTimeout < c.UnresponsiveAfter || c.WriteOffAfter < c.ReturnTimeout:
		return agreement.InvalidField("return, lost", "silent, return and lost must not decrease in this order")
	}
	return nil
}

func (c Config) validateRates() error {
	if !isFraction(c.MaxFailureRate) {
		return agreement.InvalidField("max_failed", "must be from 0 to 1")
	}
	if !isFraction(c.MaxSlowRate) {
		return agreement.InvalidField("max_slow", "must be from 0 to 1")
	}
	return nil
}

// isFraction reports whether value is from 0 to 1. It returns false for NaN.
func isFraction(value float64) bool { return value >= 0 && value <= 1 }
