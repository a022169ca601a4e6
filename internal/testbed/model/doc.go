// Package model is the portal that nodes serve, as plain state machines: cache boxes, the origin, the roster that
// discovery tells, the links between them, and what goes wrong. It has no clock, sockets or goroutines. Whoever
// drives it calls Portal.Step with a time and an event and carries out the effects that come back, and calls
// Portal.Tick when Portal.Wake says so. The emulator drives it in real time on sockets; a virtual clock can drive it
// as well, and nothing here may know which one does.
//
// Times are durations since the start of the run and must not go back. Work is the time that a core of speed 1
// needs. Every random draw comes from a stream of its own, named by the part that draws and the seed, so that one
// part's draws never shift another's. The same seed, specification and events give the same effects and the same
// Hash, whatever the machine does: nothing iterates over a map.
//
// Of this module it imports only eventqueue; packages above it may read its exported fields, and only
// Step and Tick change anything.
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

// RandomStream is a source of random numbers of its own for one part, by its name. Two parts never share one.
func RandomStream(seed uint64, part string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, xxhash.Sum64String(part)))
}

// DrawBetween draws evenly from a range.
func DrawBetween(r *rand.Rand, least, most float64) float64 { return least + (most-least)*r.Float64() }

// span is Between for times.
func span(r *rand.Rand, least, most Time) Time {
	return least + Time(float64(most-least)*r.Float64())
}
