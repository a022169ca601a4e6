package workload

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// ProcessKind is the form of an arrival process's rate over time.
type ProcessKind int

// The kinds of arrival processes. Each adds its rate to that of the others between At and At+For; For 0 lasts until the end.
const (
	Steady ProcessKind = iota // Rate all the time
	Ramp                      // grows linearly from 0 to Rate
	Surge                     // grows to Rate in a tenth of the time, stays for eight tenths, and falls to 0 again
	Sine                      // between 0 and Rate, one cycle each Period, starting at half of Rate and rising
	Burst                     // Rate for the first tenth of each Period, 0 for the rest
	numProcessKinds
)

// ProcessKinds are the names of the kinds in scenario files.
var ProcessKinds = [numProcessKinds]string{"steady", "ramp", "surge", "sine", "burst"}

// String returns the name of the kind in scenario files.
func (k ProcessKind) String() string { return ProcessKinds[k] }

// ParseProcess returns the kind with a name of ProcessKinds.
func ParseProcess(name string) (ProcessKind, error) {
	if i := slices.Index(ProcessKinds[:], name); i >= 0 {
		return ProcessKind(i), nil
	}
	return 0, fmt.Errorf("%q is none of %s", name, strings.Join(ProcessKinds[:], ", "))
}

// ArrivalProcess is one part of the load: requests that arrive at a rate which changes over time.
type ArrivalProcess struct {
	Kind    ProcessKind
	Rate    float64       // the highest rate, in requests a second
	At, For time.Duration // when it starts, and how long it lasts; 0 lasts until the end of the load
	Period  time.Duration // of Sine and Burst
	Class   string        // name of the only class of its requests; empty draws from the mix
}

// rate returns the rate at a time of a load of some length, in requests a second.
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

// PopularKeys sends a fixed part of the requests to a few hot keys.
type PopularKeys struct {
	Fraction    float64       // part of all requests that goes to these keys, from 0 to 1
	Keys        int           // number of keys, each drawn equally often
	At, For     time.Duration // when it starts, and how long it lasts; 0 lasts until the end of the load
	RotateEvery time.Duration // after each of these periods the keys are replaced by others; 0 is never
}

// keySet returns the number of the set of keys that is popular at a time; false if none is.
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
