package emulator

import (
	"slices"
	"time"

	"shelfproxy/internal/testbed/invariants"
	"shelfproxy/internal/testbed/model"
)

// Summary is the result of a run: counts of what the emulator saw, violations and delays.
type Summary struct {
	Length                    time.Duration
	Connections               int64
	Requests                  int64 // attempts that reached a server
	HealthChecks              int64
	Malformed                 int64 // malformed commands and requests
	CorruptResponses          int64
	Calls                     int64  // calls to the discovery service
	ListBytes                 int64  // bytes of endpoint lists that were written to nodes
	Events                    uint64 // hash of the model's event log
	Counts                    invariants.Counts
	Violations                []invariants.Violation
	LateP50, LateP99, LateMax time.Duration // delays of scheduled events
}

// Summary returns the summary of the run so far. The summary is empty if the emulator was closed.
func (e *Emulator) Summary() Summary {
	var summary Summary
	e.Do(func(now time.Duration, system *model.System, checker *invariants.Checker) {
		microseconds := func(count int64) time.Duration { return time.Duration(count) * time.Microsecond }
		summary = Summary{
			Length:           now,
			Connections:      e.counters.connections.Load(),
			Requests:         e.counters.requests.Load(),
			HealthChecks:     e.counters.healthChecks.Load(),
			Malformed:        e.counters.malformed.Load(),
			CorruptResponses: e.counters.corrupted.Load(),
			Calls:            e.counters.discoveryCalls.Load(),
			ListBytes:        e.counters.listBytes.Load(),
			Events:           system.Hash(),
			Counts:           checker.Counts(),
			Violations:       slices.Clone(checker.Violations()),
			LateP50:          microseconds(e.loopDelay.ValueAtQuantile(50)),
			LateP99:          microseconds(e.loopDelay.ValueAtQuantile(99)),
			LateMax:          microseconds(e.loopDelay.Max()),
		}
	})
	return summary
}
