// Package pause recognises that the process did not run for a while: what was due meanwhile is found late. Nothing that came in that time
// has been read, so the time says nothing of those who sent it.
package pause

import "time"

// MinLength is how late something is found at least, if that shows a pause: a third of what the platform allows a node to be held up.
const MinLength = 50 * time.Millisecond

// IsShown reports whether what was scheduled for a time is found so late that the process did not run for a while.
func IsShown(scheduledAt, now time.Time) bool { return now.Sub(scheduledAt) >= MinLength }
