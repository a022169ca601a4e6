package workload

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// ProcessKind is a form that a rate takes over time.
type ProcessKind int

// The kinds. Each adds its rate to the others' between At and At+For; For 0 is to the end.
const (
	Steady ProcessKind = iota // Rate all the time
	Ramp                      // from 0 to Rate, evenly
	Surge                     // up to Rate in a tenth of the time, there for eight tenths, and down again
	Sine                      // between 0 and Rate, once each Period, beginning at half and rising
	Burst                     // Rate for a tenth of each Period, nothing else
	numberOfShapes
)

// ProcessKinds names the kinds as files write them.
var ProcessKinds = [numberOfShapes]string{"steady", "ramp", "surge", "sine", "burst"}

func (k ProcessKind) String() string { return ProcessKinds[k] }

// ParseProcess finds a kind by its name.
func ParseProcess(name string) (ProcessKind, error) {
	if i := slices.Index(ProcessKinds[:], name); i >= 0 {
		return ProcessKind(i), nil
	}
	return 0, fmt.Errorf("%q is none of %s", name, strings.Join(ProcessKinds[:], ", "))
}

// ArrivalProcess is one part of the rate.
type ArrivalProcess struct {
	Kind    ProcessKind
	Rate    float64 // requests a second, at its most
	At, For time.Duration
	Period  time.Duration
	Class   string // requests of this class only; empty: the mix
}

// at is the rate of a shape at a time of a run of some length.
func (s ArrivalProcess) at(t, length time.Duration) float64 {
	span := s.For
	if span <= 0 {
		span = length - s.At
	}
	x := t - s.At
	if x < 0 || x >= span {
		return 0
	}
	part := float64(x) / float64(span)
	switch s.Kind {
	case Ramp:
		return s.Rate * part
	case Surge:
		return s.Rate * min(1, min(part, 1-part)*10)
	case Sine:
		return s.Rate * (1 + math.Sin(2*math.Pi*float64(x)/float64(s.Period))) / 2
	case Burst:
		if float64(x%s.Period) < float64(s.Period)/10 {
			return s.Rate
		}
		return 0
	}
	return s.Rate
}

// PopularKeys is a part of the requests that go to a few keys.
type PopularKeys struct {
	Share   float64 // of the requests, while it is on
	Keys    int     // among which they are divided evenly
	At, For time.Duration
	Move    time.Duration // the keys are other ones each time this has passed; 0: never
}

// on tells whether a heat is on, and which set of keys it is at.
func (h PopularKeys) on(t time.Duration) (set int, ok bool) {
	x := t - h.At
	if x < 0 || h.For > 0 && x >= h.For {
		return 0, false
	}
	if h.Move > 0 {
		set = int(x / h.Move)
	}
	return set, true
}
