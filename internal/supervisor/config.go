package supervisor

import (
	"errors"
	"time"
)

// Config configures how a Core starts, observes and replaces processes.
type Config struct {
	Instances         int
	MaxConcurrent     int           // maximum number of instances that are replaced at the same time
	ReadyTimeout      time.Duration // a process that is not ready this long after its start is killed
	ObservationPeriod time.Duration // how long after becoming ready a process's exit or failed responses count against its program
	TerminateTimeout  time.Duration // a process that has not ended this long after it was told to terminate is killed
	HangTimeout       time.Duration // a process that sends no report for this long after its last one counts as hung; 0: no check
	MinBackoff        time.Duration // wait after a failed start; doubled with each failure in a row, with full jitter
	MaxBackoff        time.Duration // upper bound for the doubling of MinBackoff
	MaxFailureRate    float64       // how far an observed process may exceed the median failure rate of the others; from 0 to 1
	MinSamples        int           // minimum number of responses from which a failure rate is computed
	Seed              uint64        // seed of the backoff's jitter
}

// Bounds of the configuration.
const (
	maxInstances   = 1000
	minHangTimeout = time.Second // processes send a report four times a second
)

// Validate checks that all fields are within their bounds. The error names the first field that is not, by its key in the
// supervisor's file.
func (c Config) Validate() error {
	isFraction := c.MaxFailureRate >= 0 && c.MaxFailureRate <= 1 // false for NaN
	switch {
	case c.Instances < 1 || c.Instances > maxInstances:
		return errors.New("instances: must be from 1 to 1000")
	case c.MaxConcurrent < 1 || c.MaxConcurrent > c.Instances:
		return errors.New("at_once: must be from 1 to the number of instances")
	case c.ReadyTimeout <= 0 || c.TerminateTimeout <= 0 || c.ObservationPeriod < 0:
		return errors.New("ready_within, end_within, watch: must be above 0")
	case c.HangTimeout != 0 && c.HangTimeout < minHangTimeout:
		return errors.New("silent: must be 1s at least, or 0")
	case c.MinBackoff <= 0 || c.MaxBackoff < c.MinBackoff:
		return errors.New("backoff_least, backoff_most: must grow from above 0")
	case !isFraction:
		return errors.New("max_failed: must be from 0 to 1")
	}
	return nil
}
