// Package upstream carries attempts to the endpoints of a node: cache servers and the origin. Core decides which connection
// carries an attempt and how the attempt ends. Pool does the I/O and the timing for a Core. A Codec encodes requests and decodes
// responses in the endpoint's protocol.
package upstream

import "shelfproxy/internal/policy"

// Outcome says how an attempt ended.
type Outcome int

// The outcomes of an attempt.
const (
	Served           Outcome = iota // the server returned the value of a read or the receipt of a write
	Missed                          // the server has no value for the key
	Errored                         // the server answered with an error; the request may have been executed
	ServerBusy                      // the server rejected the request without executing it
	NotSent                         // never written: the request was cancelled, for example, or its deadline had passed
	PoolExhausted                   // never written: all connections are busy and no more may be opened
	ServerDraining                  // never written: the server left the endpoint list while the attempt waited for a connection
	ConnectFailed                   // no connection was established in time
	WriteInterrupted                // the connection broke before the last byte of the attempt was written
	ConnectionLost                  // the connection ended after the last byte of the attempt may have been written
	CorruptResponse                 // the server sent bytes that are not a valid response; the connection was closed
	ResponseTooLarge                // the response does not fit the response memory that is available
	TimedOut                        // no response by the request's deadline
	Cancelled                       // the policy abandoned the attempt
	Displaced                       // the node closed the connection because of another attempt on it
	numOutcomes
)

// NumOutcomes returns the number of outcomes, for counters that have one value for each.
func NumOutcomes() int { return int(numOutcomes) }

var outcomes = [numOutcomes]struct {
	name       string // name of the outcome in counters and the log
	reason     policy.Reason
	mayHaveRun bool // the server may have executed the request, or may yet
}{
	Served:           {"served", policy.Succeeded, true},
	Missed:           {"missed", policy.Miss, false},
	Errored:          {"errored", policy.Errored, true},
	ServerBusy:       {"busy", policy.Rejected, false},
	NotSent:          {"not_sent", policy.NeverSent, false},
	PoolExhausted:    {"no_room", policy.Rejected, false},
	ServerDraining:   {"drained", policy.Rejected, false}, // a draining server would have rejected the attempt itself
	ConnectFailed:    {"no_connect", policy.NoConnection, false},
	WriteInterrupted: {"cut_short", policy.NoConnection, false},
	ConnectionLost:   {"broken", policy.Reset, true},
	CorruptResponse:  {"garbage", policy.CorruptResponse, true},
	ResponseTooLarge: {"unheld", policy.Errored, true}, // the attempt may have been executed, and a retry's response would be as long
	TimedOut:         {"timed_out", policy.TimedOut, true},
	Cancelled:        {"cancelled", policy.Cancelled, true},
	Displaced:        {"displaced", policy.Displaced, true},
}

// Reason returns the reason that the policy is given for an attempt with this outcome. No other code maps outcomes to reasons.
func (o Outcome) Reason() policy.Reason { return outcomes[o].reason }

// MayHaveRun reports whether the server may have executed the request of an attempt with this outcome, or may yet.
func (o Outcome) MayHaveRun() bool { return outcomes[o].mayHaveRun }

// String returns the outcome's name in counters and in the log.
func (o Outcome) String() string { return outcomes[o].name }
