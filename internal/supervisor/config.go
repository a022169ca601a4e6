package supervisor

import (
	"errors"
	"time"
)

// Config says how processes are started, observed and replaced.
type Config struct {
	Instances         int
	MaxConcurrent     int           // instances that are replaced at the same time
	ReadyTimeout      time.Duration // a process that is not ready this long after its start is killed
	ObservationPeriod time.Duration // after a process became ready, in which its end or its failures count against its program
	TerminateTimeout  time.Duration // a process that was told to terminate is killed after this
	HangTimeout       time.Duration // a process that has reported responses and then reports none for this long hangs; 0: no check
	MinBackoff        time.Duration // before the start after a failed one; doubled with each failure in a row, with full jitter
	MaxBackoff        time.Duration // bounds the doubling
	MaxFailureRate    float64       // of an observed process, above the median of the other instances; from 0 to 1
	MinSamples        int           // responses from which a failure rate is judged
	Seed              uint64        // of the backoff's jitter
}

// Bounds of the configuration.
const (
	maxInstances   = 1000
	minHangTimeout = time.Second // processes report four times a second
)

// Validate returns an error that names the first field, as the supervisor's file spells it, that is out of bounds.
func (c Config) Validate() error {
	isFraction := c.MaxFailureRate >= 0 && c.MaxFailureRate <= 1 // not so for NaN
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
