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
	ObservationPeriod time.Duration // time after a process became ready in which its exit is a failed start and its failures can halt replacing
	TerminateTimeout  time.Duration // a process that has not ended this long after it was told to terminate is killed
	HangTimeout       time.Duration // a process that sends no report for this long after its last report counts as hung; 0: not checked
	MinBackoff        time.Duration // half of it plus a random time below it is the wait after a failed start; each further failure doubles that bound
	MaxBackoff        time.Duration // upper bound of the random part of that wait, however often it is doubled
	MaxFailureRate    float64       // replacing halts if a new process's failure rate exceeds the others' median by more than this; 0 to 1
	MinSamples        int           // minimum number of responses before a process's failure rate is judged
	Seed              uint64        // seed of the backoff's jitter
}

// Bounds of the configuration.
const (
	maxInstances   = 1000
	minHangTimeout = time.Second // processes send a report four times a second, so a process that works is not silent this long
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
