// Package admission decides which clients and requests a node admits, and how the node's resources are divided. It
// provides these limiters:
//
//   - ConnectionTable decides how long each client connection is kept, by the commands that it has sent;
//   - DescriptorSplit divides file descriptors among clients, cache servers and the origin;
//   - QueueDelay detects that the node itself is overloaded (CoDel);
//   - FairQueue orders commands so that connections take turns (deficit round robin);
//   - PriorityQueue orders the fetches that wait for the origin;
//   - ConcurrencyLimiter bounds the requests in flight at the origin (AIMD);
//   - RetryBudget bounds retries as a fraction of first attempts (token bucket);
//   - MemoryBudget and MemoryPressure keep the node below its memory limit.
//
// The package has no clock, I/O or goroutines: the methods take the current time and an event, and return the decision.
// The listener, the node and the policy use it; it imports none of them. Only MemoryBudget is safe for
// concurrent use.
//
// Times are durations since an arbitrary fixed moment and must not decrease.
package admission

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration
