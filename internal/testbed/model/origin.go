package model

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// OriginSpec describes the origin: its service time, its capacity and how it reacts to overload.
type OriginSpec struct {
	Median   time.Duration // median of the service time, which is log-normally distributed
	Sigma    float64       // standard deviation of the logarithm of the service time
	Parallel int           // maximum number of requests that are executed at the same time
	Queue    int           // maximum number of requests that wait; further requests are rejected
	// The origin stalls for OverloadStall once it gets more than OverloadMultiple times its capacity during OverloadWindow. If
	// OverloadMultiple is 0, overload never stalls the origin.
	OverloadMultiple              float64
	OverloadWindow, OverloadStall time.Duration
	Window                        time.Duration // time during which a second write with the same idempotency key has no effect
	ValueSize                     int           // size in bytes of a record that was never written
	CancelOnDisconnect            bool          // drop the queued requests of a connection that ends
}

// origin models the origin. It holds the authoritative records, with a version for each key that was written.
type origin struct {
	spec    OriginSpec
	random  *rand.Rand
	records map[string]Copy

	running int // requests in execution
	waiting []*Request

	slowdown        float64 // factor that faults apply to the service time
	stallFaults     int     // number of active faults that stall the origin
	stalledUntil    Time    // end of the stall that an overload caused
	overloadBudget  float64 // requests left before the origin stalls; see overloadedByRequest
	budgetUpdatedAt Time
	meanServiceTime float64 // in seconds

	lastWriteAt  map[string]Time // time of the write with each idempotency key
	recentWrites []keyedWrite    // writes in the order of their times; used to find the keys to forget
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

// overloadRate returns the number of requests per second above which the origin is overloaded.
func (o *origin) overloadRate() float64 {
	capacity := float64(o.spec.Parallel) / o.meanServiceTime
	return capacity * o.spec.OverloadMultiple
}

func (o *origin) maxOverloadBudget() float64 {
	return o.overloadRate() * o.spec.OverloadWindow.Seconds()
}

// drawServiceTime returns a random time that the execution of a request takes.
func (o *origin) drawServiceTime() time.Duration {
	return time.Duration(o.spec.Median.Seconds() * math.Exp(o.spec.Sigma*o.random.NormFloat64()) * o.slowdown * 1e9)
}

// stalled reports whether a fault or an overload keeps the origin from doing any work.
func (o *origin) stalled(now Time) bool { return o.stallFaults > 0 || now < o.stalledUntil }

// overloadedByRequest takes one request from the overload budget, which is a token bucket. It reports whether the budget
// is used up, so that the origin stalls.
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

// beginOverloadStall stalls the origin and refills its overload budget.
func (o *origin) beginOverloadStall(now Time) {
	o.stalledUntil = now + o.spec.OverloadStall
	o.overloadBudget = o.maxOverloadBudget()
}

// record returns the current record of a key.
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

// isRepeated reports whether a write with this idempotency key was executed within the window. If not, it records the
// key. A write without a key never counts as repeated.
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

// connectionClosed drops the queued requests of a closed connection if CancelOnDisconnect is set.
func (o *origin) connectionClosed(id ConnID) {
	if o.spec.CancelOnDisconnect {
		o.waiting = slices.DeleteFunc(o.waiting, func(request *Request) bool { return request.Conn == id })
	}
}

// load returns the origin's load report.
func (o *origin) load() Load { return Load{Inflight: o.running + len(o.waiting)} }
