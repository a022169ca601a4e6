// Package forward is the life of one attempt at a server: from the pool that finds it a connection to the one
// value that says how it ended.
package upstream

import "shelfproxy/internal/policy"

// Outcome is every way in which a forward, or the connection under it, can end.
type Outcome int

// The ends of a forward.
const (
	Served           Outcome = iota
	Missed                   // the server has no value for the key
	Errored                  // the server answered with an error; the work may have been done
	ServerBusy               // turned away unseen by the server
	NotSent                  // never written: its time was over
	PoolExhausted            // never written: all connections are busy and no more may be opened
	ServerDraining           // never written: its server left the list while the forward waited for a connection
	ConnectFailed            // no connection came up in time
	WriteInterrupted         // the connection broke before the last byte was written
	ConnectionLost           // the connection ended after the last byte may have been written
	CorruptResponse          // the server sent what is no answer, and its connection was closed
	ResponseTooLarge         // its answer is too long for the memory that is left
	TimedOut                 // no answer by the flow's deadline
	Cancelled                // given up by the module
	numberOfEnds
)

// NumOutcomes lists all ends, for counting by end.
func NumOutcomes() int { return int(numberOfEnds) }

var ends = [numberOfEnds]struct {
	name   string
	reason policy.Reason
}{
	Served:           {"served", policy.Succeeded},
	Missed:           {"missed", policy.Miss},
	Errored:          {"errored", policy.Errored},
	ServerBusy:       {"busy", policy.Rejected},
	NotSent:          {"not_sent", policy.NeverSent},
	PoolExhausted:    {"no_room", policy.Rejected},
	ServerDraining:   {"drained", policy.Rejected}, // as the server itself would have answered
	ConnectFailed:    {"no_connect", policy.NoConnection},
	WriteInterrupted: {"cut_short", policy.NoConnection},
	ConnectionLost:   {"broken", policy.Reset},
	CorruptResponse:  {"garbage", policy.CorruptResponse},
	ResponseTooLarge: {"unheld", policy.Errored}, // it may have run, and again it would be as long
	TimedOut:         {"timed_out", policy.TimedOut},
	Cancelled:        {"cancelled", policy.Cancelled},
}

// Reason is the outcome that the module is told. This is the only place where ends become outcomes.
func (e Outcome) Reason() policy.Reason { return ends[e].reason }

func (e Outcome) String() string { return ends[e].name }
