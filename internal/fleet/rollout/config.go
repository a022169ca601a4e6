package rollout

import (
	"time"

	"shelfproxy/internal/fleet/agreement"
)

// Config configures one node's part. All nodes of a fleet should have the same values but for Self, Zone, Release,
// Incarnation and Seed; while a new budget is being rolled out, the smaller one holds wherever a majority has it.
type Config struct {
	Self, Nodes int
	Zone        string
	Budget      int // nodes that may be out of service at once, 1 to MaxBudget
	ZoneBudget  int // the same for the nodes of one zone; 0 sets no bound of its own

	HeartbeatInterval time.Duration // between two heartbeats of a node
	UnresponsiveAfter time.Duration // without a heartbeat for so long, a node counts as out of service
	RequestTimeout    time.Duration // for which a slot request is valid; a node that starts grants nothing for as long
	ReturnTimeout     time.Duration // after which the release halts if a node that drained is not back
	WriteOffAfter     time.Duration // after which the slot of such a node is released
	ObservationPeriod time.Duration // for which a node that starts has to do well before it is ready
	MaxClockDrift     float64       // greatest difference in the rates of two clocks, as a fraction

	Release        string  // that this node runs
	MaxFailureRate float64 // fraction of responses that may fail during the observation, above that of the other nodes
	MaxSlowRate    float64 // the same for responses that miss their class's latency objective
	MinSamples     int     // responses from which on a node is judged
	Incarnation    uint64  // greater for each start of this node: milliseconds of its own clock will do
	Seed           uint64
}

// MaxBudget is the greatest budget: the slots that a node granted must fit a heartbeat.
const MaxBudget = maxGrants

const (
	minHeartbeatsUntilUnresponsive = 3
	minHeartbeatsPerRequest        = 2
)

// Validate returns an agreement.FieldError for the first field whose value the agreement cannot work with.
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

// isFraction reports whether value is from 0 to 1; NaN is not.
func isFraction(value float64) bool { return value >= 0 && value <= 1 }
