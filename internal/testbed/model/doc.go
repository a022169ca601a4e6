// Package model simulates the system around the nodes: cache servers, the origin, the discovery service, the network
// between them, and faults. It consists of plain state machines without a clock, sockets or goroutines.
//
// A driver calls System.Step with a time and an event, and carries out the effects that Step returns. It calls
// System.Advance at the time that System.NextEvent returns. The emulator drives the model in real time with sockets,
// the simulation with a virtual clock. The package must not depend on which of them drives it.
//
// Times are durations since the start of the run and must not go back. Work is measured as the time that a core of
// speed 1 needs for it. Each part of the model has its own stream of random numbers, which is derived from the seed and
// the part's name. So the draws of one part never change those of another. The same seed, specification and events
// produce the same effects and the same Hash on every machine. For this reason no code here iterates over a map.
//
// From this module the package imports only eventqueue and eventlog. Packages that use it may read its exported fields,
// but only Start, Step and Advance change its state. A System is not safe for concurrent use.
package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a point in time, as the duration since the start of the run.
type Time = time.Duration

// Never is later than any time of a run.
const Never = Time(math.MaxInt64)

// RandomStream returns a random number generator for the part of the model with the given name. Parts with different
// names have independent streams.
func RandomStream(seed uint64, part string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(part)))
}

// DrawBetween returns a uniformly distributed random number in [least, most).
func DrawBetween(r *rand.Rand, least, most float64) float64 { return least + (most-least)*r.Float64() }

// drawDuration returns a uniformly distributed random duration in [least, most).
func drawDuration(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(float64(most-least)*r.Float64())
}
