package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// OriginSpec describes the origin.
type OriginSpec struct {
	Median   time.Duration // of the service time, which is log-normal
	Sigma    float64       // standard deviation of the logarithm of the service time
	Parallel int           // requests executed at once
	Queue    int           // requests that wait; further ones are rejected
	// The origin stalls for OverloadStall once it gets more than OverloadMultiple times its capacity during
	// OverloadWindow. A multiple of 0 is never.
	OverloadMultiple              float64
	OverloadWindow, OverloadStall time.Duration
	Window                        time.Duration // in which a write with the same idempotency key is dropped
	ValueSize                     int           // bytes of a record that was never written
	CancelOnDisconnect            bool          // the end of a connection drops its queued requests
}

// origin holds the authoritative records: a version for each key that was written.
type origin struct {
	spec    OriginSpec
	random  *rand.Rand
	records map[string]Copy

	running int // requests in execution
	waiting []*Request

	slowdown        float64 // factor on the service time, by faults
	stallFaults     int     // active faults that stall it
	stalledUntil    Time    // end of the stall after an overload
	overloadBudget  float64 // requests left before it stalls; see overloadedByRequest
	budgetUpdatedAt Time
	meanServiceTime float64 // seconds

	lastWriteAt  map[string]Time // by idempotency key
	recentWrites []keyedWrite    // in the order of their times, to forget them
}

// keyedWrite is a write with an idempotency key.
type keyedWrite struct {
	idempotencyKey string
	at             Time
}

func newOrigin(spec OriginSpec, seed uint64) *origin {
	o := &origin{spec: spec, random: RandomStream(seed, "origin"), slowdown: 1, records: map[string]Copy{}, lastWriteAt: map[string]Time{}}
	o.meanServiceTime = spec.Median.Seconds() * math.Exp(spec.Sigma*spec.Sigma/2)
	o.overloadBudget = o.maxOverloadBudget()
	return o
}

// overloadRate returns the requests per second above which the origin is overloaded.
func (o *origin) overloadRate() float64 {
	capacity := float64(o.spec.Parallel) / o.meanServiceTime
	return capacity * o.spec.OverloadMultiple
}

func (o *origin) maxOverloadBudget() float64 {
	return o.overloadRate() * o.spec.OverloadWindow.Seconds()
}

// drawServiceTime draws the time in which a request is executed.
func (o *origin) drawServiceTime() time.Duration {
	return time.Duration(o.spec.Median.Seconds() * math.Exp(o.spec.Sigma*o.random.NormFloat64()) * o.slowdown * 1e9)
}

// stalled reports whether the origin does nothing.
func (o *origin) stalled(now Time) bool { return o.stallFaults > 0 || now < o.stalledUntil }

// overloadedByRequest takes a request from the budget, a token bucket, and reports whether the origin stalls from it.
func (o *origin) overloadedByRequest(now Time) bool {
	if o.spec.OverloadMultiple <= 0 {
		return false
	}
	refill := o.overloadRate() * (now - o.budgetUpdatedAt).Seconds()
	o.overloadBudget = math.Min(o.maxOverloadBudget(), o.overloadBudget+refill)
	o.budgetUpdatedAt = now
	o.overloadBudget--
	return o.overloadBudget < 0
}

// beginOverloadStall stalls the origin and refills its budget.
func (o *origin) beginOverloadStall(now Time) {
	o.stalledUntil = now + o.spec.OverloadStall
	o.overloadBudget = o.maxOverloadBudget()
}

// record returns the present record of a key.
func (o *origin) record(key string) Copy {
	if record, ok := o.records[key]; ok {
		return record
	}
	return Copy{Key: key, Size: o.spec.ValueSize}
}

// write stores a new version of a key.
func (o *origin) write(key string, size int) {
	record := o.record(key)
	record.Version++
	record.Size = size
	o.records[key] = record
}

// isRepeated reports whether a write with this idempotency key was executed within the window, and records the key if
// not. A write without a key is never repeated.
func (o *origin) isRepeated(now Time, idempotencyKey string) bool {
	o.forgetWrites(now)
	if idempotencyKey == "" {
		return false
	}
	if _, known := o.lastWriteAt[idempotencyKey]; known {
		return true
	}
	o.lastWriteAt[idempotencyKey] = now
	o.recentWrites = append(o.recentWrites, keyedWrite{idempotencyKey, now})
	return false
}

// forgetWrites forgets the idempotency keys whose window has ended.
func (o *origin) forgetWrites(now Time) {
	for len(o.recentWrites) > 0 && now-o.recentWrites[0].at > o.spec.Window {
		if oldest := o.recentWrites[0]; o.lastWriteAt[oldest.idempotencyKey] == oldest.at {
			delete(o.lastWriteAt, oldest.idempotencyKey)
		}
		o.recentWrites = o.recentWrites[1:]
	}
}

// connectionClosed drops the queued requests of a connection, if the specification says so.
func (o *origin) connectionClosed(id ConnID) {
	if o.spec.CancelOnDisconnect {
		o.waiting = slices.DeleteFunc(o.waiting, func(request *Request) bool { return request.Conn == id })
	}
}

// load returns the load report.
func (o *origin) load() Load { return Load{Inflight: o.running + len(o.waiting)} }
