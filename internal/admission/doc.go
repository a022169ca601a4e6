// Package admission decides which clients and requests a node admits, and how the node's resources are divided. Each
// limiter has a file of its own:
//
//   - ConnectionTable keeps the connections of clients, each for as long as its behaviour deserves;
//   - DescriptorSplit divides file descriptors among clients, cache servers and the origin;
//   - QueueDelay finds out when the node itself is overloaded (CoDel);
//   - FairQueue takes commands from connections in turn (deficit round robin);
//   - PriorityQueue orders what waits for the origin;
//   - ConcurrencyLimiter bounds what is in flight at the origin (AIMD);
//   - RetryBudget bounds retries as a fraction of first attempts (token bucket);
//   - RequestMemory and MemoryPressure keep the node below its limit on memory.
//
// The package has no clock, I/O or goroutines: each type takes a time and an event, and answers what follows. The
// listener, the node and the policy call it; it imports nothing of theirs. No type is safe for concurrent use.
//
// Times are durations since any fixed moment and must not go back.
package admission

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration
