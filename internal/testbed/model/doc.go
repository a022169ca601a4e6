// Package model simulates the system that the nodes serve: cache servers, the origin, the discovery service, the
// network between them, and faults. It consists of plain state machines without a clock, sockets or goroutines.
// A driver calls System.Step with a time and an event and carries out the effects that it returns, and calls
// System.Advance at the time that System.NextEvent gives. The emulator drives it in real time with sockets, the
// simulation with a virtual clock; the package must not depend on which of them does.
//
// Times are durations since the start of the run and must not go back. Work is measured as the time that a core of
// speed 1 needs for it. Each part draws its random numbers from a stream of its own, derived from the seed and the
// part's name, so that the draws of one part never shift those of another. The same seed, specification and events
// give the same effects and the same Hash on every machine; to this end nothing iterates over a map.
//
// Of this module it imports only eventqueue and eventlog. Packages above it may read its exported fields; only Step and
// Advance change its state. A System is not safe for concurrent use.
package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Time is a point of the run, counted from its start.
type Time = time.Duration

// Never is later than any time of a run.
const Never = Time(math.MaxInt64)

// RandomStream returns the source of random numbers of the part with the given name. Parts with different names have
// independent streams.
func RandomStream(seed uint64, part string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(part)))
}

// DrawBetween draws a number evenly from the range [least, most).
func DrawBetween(r *rand.Rand, least, most float64) float64 { return least + (most-least)*r.Float64() }

// drawDuration is DrawBetween for durations.
func drawDuration(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(float64(most-least)*r.Float64())
}
