package workload

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// ProcessKind says how the rate of an arrival process changes over time.
type ProcessKind int

// The kinds of arrival processes. Between At and At+For, a process adds its rate to the rates of the other processes. If For is
// 0, the process lasts until the end of the load.
const (
	Steady ProcessKind = iota // the rate is always Rate
	Ramp                      // the rate grows linearly from 0 to Rate
	Surge                     // the rate grows to Rate in the first tenth of the time, stays for eight tenths, and falls to 0 in the last tenth
	Sine                      // the rate oscillates between 0 and Rate, one cycle each Period; it starts at half of Rate and rises
	Burst                     // the rate is Rate in the first tenth of each Period and 0 in the rest
	numProcessKinds
)

// ProcessKinds lists the names that the kinds have in scenario files.
var ProcessKinds = [numProcessKinds]string{"steady", "ramp", "surge", "sine", "burst"}

// String returns the name that the kind has in scenario files.
func (k ProcessKind) String() string { return ProcessKinds[k] }

// ParseProcess returns the kind with the given name, which must be one of ProcessKinds.
func ParseProcess(name string) (ProcessKind, error) {
	if i := slices.Index(ProcessKinds[:], name); i >= 0 {
		return ProcessKind(i), nil
	}
	return 0, fmt.Errorf("%q is none of %s", name, strings.Join(ProcessKinds[:], ", "))
}

// ArrivalProcess is a part of the load whose rate changes over time.
type ArrivalProcess struct {
	Kind    ProcessKind
	Rate    float64       // highest rate, in requests per second
	At, For time.Duration // start and duration; a duration of 0 lasts until the end of the load
	Period  time.Duration // length of a cycle of Sine and Burst
	Class   string        // class of all requests of the process; if empty, drawn for each by Class.Weight
}

// rate returns the rate at a time in requests per second; length is the duration of the whole load.
func (p ArrivalProcess) rate(now, length time.Duration) float64 {
	duration := p.For
	if duration <= 0 {
		duration = length - p.At
	}
	elapsed := now - p.At
	if elapsed < 0 || elapsed >= duration {
		return 0
	}
	part := float64(elapsed) / float64(duration)
	switch p.Kind {
	case Ramp:
		return p.Rate * part
	case Surge:
		return p.Rate * min(1, min(part, 1-part)*10)
	case Sine:
		return p.Rate * (1 + math.Sin(2*math.Pi*float64(elapsed)/float64(p.Period))) / 2
	case Burst:
		if float64(elapsed%p.Period) < float64(p.Period)/10 {
			return p.Rate
		}
		return 0
	}
	return p.Rate
}

// PopularKeys directs a fixed fraction of the requests to a few hot keys.
type PopularKeys struct {
	Fraction    float64       // fraction of all requests that go to the hot keys, from 0 to 1
	Keys        int           // number of hot keys at a time, all equally likely
	At, For     time.Duration // start and duration; a duration of 0 lasts until the end of the load
	RotateEvery time.Duration // interval after which the hot keys are replaced by other keys; 0 never replaces them
}

// keySet returns which set of hot keys is in use at the given time; sets are numbered from 0. It returns false if there are no
// hot keys at that time.
func (p PopularKeys) keySet(now time.Duration) (set int, ok bool) {
	elapsed := now - p.At
	if elapsed < 0 || p.For > 0 && elapsed >= p.For {
		return 0, false
	}
	if p.RotateEvery > 0 {
		set = int(elapsed / p.RotateEvery)
	}
	return set, true
}
