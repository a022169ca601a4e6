package model

import (
	"math"
	"math/rand/v2"
	"time"
)

// OriginSpec is the origin.
type OriginSpec struct {
	Median   time.Duration // of its time of service, log-normal
	Sigma    float64       // of the logarithm
	Parallel int           // requests it works on at once
	Queue    int           // that wait; one more is turned away
	// Asked for more than FallMultiple times its capacity for FallAfter, it stands still for FallFor. 0: never.
	OverloadMultiple              float64
	OverloadWindow, OverloadStall time.Duration
	Window                        time.Duration // in which a repeat of an idempotency key is dropped
	ValueSize                     int           // bytes of a record that nobody wrote yet
	CancelOnDisconnect            bool          // the end of a connection drops what waits on it
}

// origin holds the truth: a version for each key that was written.
type origin struct {
	spec    OriginSpec
	rand    *rand.Rand
	factor  float64 // of its time of service, by faults
	down    int     // faults that make it stand still
	until   Time    // it stands still until then, after a fall
	working int
	waiting []*originRun
	records map[string]Copy
	onces   map[string]Time // when a key that may not be repeated ran last
	recent  []once          // in the order of their times, to forget them

	bucket  float64 // fetches left before it falls over; see fall
	charged Time
	mean    float64 // seconds of service
}

type once struct {
	key string
	at  Time
}

type originRun struct {
	*Request
	arrived Time
	gone    bool
}

func newOrigin(spec OriginSpec, seed uint64) *origin {
	o := &origin{spec: spec, rand: RandomStream(seed, "origin"), factor: 1, records: map[string]Copy{}, onces: map[string]Time{}}
	o.mean = spec.Median.Seconds() * math.Exp(spec.Sigma*spec.Sigma/2)
	o.bucket = o.rate() * spec.OverloadMultiple * spec.OverloadWindow.Seconds()
	return o
}

// rate is how many requests it can serve in a second while nothing is wrong.
func (o *origin) rate() float64 { return float64(o.spec.Parallel) / o.mean }

// service draws a time of service.
func (o *origin) service() time.Duration {
	return time.Duration(o.spec.Median.Seconds() * math.Exp(o.spec.Sigma*o.rand.NormFloat64()) * o.factor * 1e9)
}

func (o *origin) still(now Time) bool { return o.down > 0 || now < o.until }

// fall charges a request and tells whether the origin falls over on it.
func (o *origin) fall(now Time) bool {
	if o.spec.OverloadMultiple <= 0 {
		return false
	}
	rate := o.rate() * o.spec.OverloadMultiple
	o.bucket = math.Min(rate*o.spec.OverloadWindow.Seconds(), o.bucket+rate*(now-o.charged).Seconds())
	o.charged = now
	o.bucket--
	return o.bucket < 0
}

// record is the present record of a key.
func (o *origin) record(key string) Copy {
	if v, ok := o.records[key]; ok {
		return v
	}
	return Copy{Key: key, Size: o.spec.ValueSize}
}

// repeated tells whether an idempotency key ran inside the window, and notes it.
func (o *origin) repeated(now Time, key string) bool {
	for len(o.recent) > 0 && now-o.recent[0].at > o.spec.Window {
		if old := o.recent[0]; o.onces[old.key] == old.at {
			delete(o.onces, old.key)
		}
		o.recent = o.recent[1:]
	}
	if key == "" {
		return false
	}
	if _, ok := o.onces[key]; ok {
		return true
	}
	o.onces[key] = now
	o.recent = append(o.recent, once{key, now})
	return false
}

func (o *origin) closed(id ConnID) {
	if !o.spec.CancelOnDisconnect {
		return
	}
	kept := o.waiting[:0]
	for _, r := range o.waiting {
		if r.Conn != id {
			kept = append(kept, r)
		}
	}
	o.waiting = kept
}
