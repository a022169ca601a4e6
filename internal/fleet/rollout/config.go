package rollout

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Config configures one node's part in the rollout agreement. All nodes of a fleet should have the same values, except for
// Self, Zone, Release, Incarnation and Seed. The budgets may differ while a new configuration is
// being rolled out: a slot needs the grants of a majority, so the smaller budget applies once a majority has it.
type Config struct {
	Self, Nodes int
	Zone        string
	Budget      int // number of nodes that may be out of service at once, 1 to MaxBudget
	ZoneBudget  int // number of nodes of one zone that may be out of service at once; 0 means no limit per zone

	HeartbeatInterval time.Duration // time between two heartbeats of a node
	UnresponsiveAfter time.Duration // a node counts as out of service if no heartbeat of it has arrived for this time
	RequestTimeout    time.Duration // how long a slot request is valid; a node that starts grants no slots for this time
	ReturnTimeout     time.Duration // the release halts if a node that was granted a slot has not given it back after this time
	WriteOffAfter     time.Duration // the slot of a node that sends no heartbeats is released this long after the slot was granted
	ObservationPeriod time.Duration // how long the responses of a node that starts must be good enough before the node is ready
	MaxClockDrift     float64       // greatest fraction by which the rates of two nodes' clocks differ; 0.05 is 5 %

	Release        string  // name of the release that this node runs
	MaxFailureRate float64 // while a node starts: how far its fraction of failed responses may exceed the median of the other nodes
	MaxSlowRate    float64 // like MaxFailureRate, but for the fraction of responses above the latency objective of their class
	MinSamples     int     // with fewer responses than this, a node has no failure rate and no slow rate
	Incarnation    uint64  // number of this start of the node, greater for each start, such as the Unix time in milliseconds
	Seed           uint64
}

// MaxBudget is the greatest budget. It is bounded because a heartbeat lists all granted slots, and must fit into a datagram.
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
