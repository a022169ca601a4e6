// Package admission decides who gets a place at a node's front, and how much of what the node has goes where: which
// connections of clients are kept and for how long (Table), how descriptors are divided (Split), when the node itself
// is behind (Sojourn), whose command is taken next (Intake), and how many second attempts there may be (Budget). It
// has no clock, I/O or goroutines: each core takes a time and an event and says what follows. The listener, the node
// and the decision module call it; it imports nothing of theirs. No core is safe for concurrent use.
//
// Times are durations since any fixed moment and must not go back.
package admission

import "time"

// Time is a point on the caller's clock.
type Time = time.Duration
