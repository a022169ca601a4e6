// Package forward is the life of one attempt at a server: from the pool that finds it a connection to the one
// value that says how it ended.
package upstream

import "shelfproxy/internal/policy"

// End is every way in which a forward, or the connection under it, can end.
type End int

// The ends of a forward.
const (
	Served    End = iota
	Missed        // the server has no value for the key
	Errored       // the server answered with an error; the work may have been done
	Busy          // turned away unseen by the server
	NotSent       // never written: its time was over
	NoRoom        // never written: all connections are busy and no more may be opened
	Drained       // never written: its server left the list while the forward waited for a connection
	NoConnect     // no connection came up in time
	CutShort      // the connection broke before the last byte was written
	Broken        // the connection ended after the last byte may have been written
	Garbage       // the server sent what is no answer, and its connection was closed
	Unheld        // its answer is too long for the memory that is left
	TimedOut      // no answer by the flow's deadline
	Cancelled     // given up by the module
	numberOfEnds
)

// Ends lists all ends, for counting by end.
func Ends() int { return int(numberOfEnds) }

var ends = [numberOfEnds]struct {
	name   string
	reason policy.Reason
}{
	Served:    {"served", policy.Succeeded},
	Missed:    {"missed", policy.Miss},
	Errored:   {"errored", policy.Errored},
	Busy:      {"busy", policy.Rejected},
	NotSent:   {"not_sent", policy.NeverSent},
	NoRoom:    {"no_room", policy.Rejected},
	Drained:   {"drained", policy.Rejected}, // as the server itself would have answered
	NoConnect: {"no_connect", policy.NoConnection},
	CutShort:  {"cut_short", policy.NoConnection},
	Broken:    {"broken", policy.Reset},
	Garbage:   {"garbage", policy.CorruptResponse},
	Unheld:    {"unheld", policy.Errored}, // it may have run, and again it would be as long
	TimedOut:  {"timed_out", policy.TimedOut},
	Cancelled: {"cancelled", policy.Cancelled},
}

// Reason is the outcome that the module is told. This is the only place where ends become outcomes.
func (e End) Reason() policy.Reason { return ends[e].reason }

func (e End) String() string { return ends[e].name }
