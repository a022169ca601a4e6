package scenario

import (
	"time"

	"shelfproxy/internal/testbed/model"
	"shelfproxy/internal/tomlfile"
)

// Values of Class.Effect in scenario files.
const (
	effectIdempotent   = "idempotent"
	effectDeduplicated = "deduplicated"
	effectAtMostOnce   = "at_most_once"
)

// Values of CacheServerKind.Eviction in scenario files.
const (
	evictLRU  = "lru"
	evictFIFO = "fifo"
)

// cancelModes maps the values of CacheServerKind.Cancel in scenario files to cancel modes.
var cancelModes = map[string]model.CancelMode{"none": model.CancelNone, "queued": model.CancelQueued, "all": model.CancelAll}

// standardKind is the index of the standard kind of cache server in defaultKinds. If a kind in a scenario file leaves out a field,
// the field gets the value that it has in the standard kind.
const standardKind = 1

// Default returns the default scenario, a system of moderate size without faults.
func Default() *Scenario {
	return &Scenario{
		Name:   "default",
		Length: tomlDuration(20 * time.Second),
		Nodes: Nodes{Count: Range{2, 2}, Cores: 1, MemoryMB: 192, Sockets: 1024, MaxOpen: 20000, MaxAttempts: 6, MaxStreams: 32,
			ConnectTimeout: tomlDuration(250 * time.Millisecond), ConnectionIdle: tomlDuration(30 * time.Second), HealthChecks: true, Cancel: true},
		Zones:        Zones{Names: []string{"room-a", "room-b", "room-c", "room-d"}},
		CacheServers: CacheServers{Count: Range{12, 13}, CellSize: Range{4, 8}},
		Kinds:        defaultKinds(),
		Origin: Origin{Median: milliseconds(60, 120), Sigma: Range{0.3, 0.5}, Parallel: Range{12, 16}, Queue: Range{60, 120},
			OverloadMultiple: Range{3, 4}, OverloadWindow: Span{2 * time.Second, 2 * time.Second},
			OverloadStall: Span{3 * time.Second, 5 * time.Second}, ValueBytes: 1800},
		Discovery: Discovery{Lag: Span{500 * time.Millisecond, 2 * time.Second}, Call: tomlDuration(2 * time.Millisecond),
			PerEntry: tomlDuration(200 * time.Microsecond), Timeout: tomlDuration(2 * time.Second), Heartbeat: tomlDuration(2 * time.Second)},
		Link: Link{Same: milliseconds(0.09, 0.33), Cross: milliseconds(0.7, 1.3), Retransmit: tomlDuration(200 * time.Millisecond)},
		Invariants: Invariants{DrainWithin: tomlDuration(2500 * time.Millisecond), NotifyWithin: tomlDuration(6 * time.Second),
			Grace: tomlDuration(100 * time.Millisecond), OverloadFactor: 3, OverloadWindow: tomlDuration(1500 * time.Millisecond)},
		Classes:  defaultClasses(),
		Keys:     Keys{Count: Range{2000, 2000}, Skew: Range{1.1, 1.1}, Offset: Range{1, 1}},
		Workload: Load{Rate: Range{60, 60}},
	}
}

// defaultKinds returns three kinds of cache servers that differ in their speed.
func defaultKinds() []CacheServerKind {
	kind := func(name string, weight float64, speed Range) CacheServerKind {
		return CacheServerKind{Name: name, Share: weight, Cores: 5, Speed: speed, SlotsPerCore: Range{8, 24}, QueuePerCore: Range{12, 36},
			SlowStartFloor: Range{0.13, 0.3}, SlowStartDuration: Span{11 * time.Second, 23 * time.Second}, MemoryMB: Range{32, 32},
			Eviction: evictLRU, Connections: Range{3000, 4500}, ConnectionWork: milliseconds(3, 6), HealthCheckWork: milliseconds(1.5, 3),
			MissWork: Range{0.05, 0.05}, ChokeAt: Range{3, 5}, Choke: Range{0.04, 0.14}, Cancel: "queued", ErrorRate: Range{0, 0.002}}
	}
	return []CacheServerKind{
		kind("fast", 0.24, Range{1.4, 1.8}),
		kind("standard", 0.29, Range{0.85, 1.1}),
		kind("slow", 0.47, Range{0.51, 0.69}),
	}
}

// defaultClasses returns one class of reads and two classes of writes.
func defaultClasses() []Class {
	return []Class{
		{Name: "view-logbook", Share: 0.964, Work: milliseconds(95, 170), LatencyObjective: tomlDuration(1500 * time.Millisecond),
			Deadline: tomlDuration(6 * time.Second), PriorityWeight: 1, LateFraction: 0.5, Effect: effectIdempotent},
		{Name: "sign-off", Share: 0.02, Work: milliseconds(140, 260), LatencyObjective: tomlDuration(2500 * time.Millisecond),
			Deadline: tomlDuration(6 * time.Second), PriorityWeight: 10, LateFraction: 0.35, Write: true, Effect: effectDeduplicated,
			DedupWindow: tomlDuration(4 * time.Second), Bytes: Range{200, 2000}},
		{Name: "issue-cert", Share: 0.016, Work: milliseconds(130, 240), LatencyObjective: tomlDuration(time.Second),
			Deadline: tomlDuration(2 * time.Second), PriorityWeight: 3, LateFraction: 0.25, Write: true, Effect: effectAtMostOnce,
			Bytes: Range{200, 2000}},
	}
}

// tomlDuration converts a duration to the type of the duration fields of a scenario.
func tomlDuration(d time.Duration) tomlfile.Duration { return tomlfile.Duration(d) }

// milliseconds returns the range of durations between two numbers of milliseconds.
func milliseconds(least, most float64) Span {
	return Span{time.Duration(least * float64(time.Millisecond)), time.Duration(most * float64(time.Millisecond))}
}
