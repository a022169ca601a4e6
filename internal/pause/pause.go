// Package pause detects that the process did not run for a while, from events that are handled late. Bytes that arrived during a
// pause were not read, so the time that passed says nothing about the peers that sent them.
package pause

import "time"

// MinLength is the shortest delay of a scheduled event that shows a pause: a third of the longest time for which the platform may
// stop a node.
const MinLength = 50 * time.Millisecond

// IsShown reports whether an event that was scheduled for scheduledAt is handled so late that the process must have been paused.
func IsShown(scheduledAt, now time.Time) bool { return now.Sub(scheduledAt) >= MinLength }
