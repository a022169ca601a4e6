// Package invariants checks, from what a testbed sees itself, that nodes keep the invariants of the service. Each
// request gets exactly one final answer, by its deadline and made for it; a request is retried only as far as its class
// is idempotent; a server that drains gets no new requests; no server crashes from overload in slow start.
//
// The package has no clock and no I/O: its callers report each event with its time. It does not know what nodes
// believe, so it can err only in their favour: what never reached the testbed is not counted against them.
//
// A Checker belongs to one goroutine. It forgets a request some seconds after its deadline.
package invariants

import (
	"fmt"
	"strings"
	"time"
)

// Effect says how far requests of a class may be retried.
type Effect int

// The effects that a class can have.
const (
	Idempotent   Effect = iota // requests may always be retried: a second execution has no further effect
	Deduplicated               // requests may be retried within the window of the idempotency key: the origin drops repeats
	AtMostOnce                 // requests may be retried only if no earlier attempt may have been executed
)

// Effects are the effects by their names in scenario files.
var Effects = map[string]Effect{"idempotent": Idempotent, "deduplicated": Deduplicated, "at_most_once": AtMostOnce}

// Class says how far requests of a class may be retried.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // for Deduplicated: how long retries are allowed after the first attempt that may have been executed
}

// Tolerances bound how long nodes may take to follow a change.
type Tolerances struct {
	// DrainWithin is how long after the notification that a server drains new requests may still be sent to it.
	DrainWithin time.Duration
	// NotifyWithin is the time after which a node counts as notified of what the discovery service has to send, as
	// long as the service is reachable. With 0, a node counts as notified only when it was notified.
	NotifyWithin time.Duration
	// Grace is added to each limit, for the delays of the testbed itself.
	Grace time.Duration
}

// Invariant names an invariant, as reports print it.
type Invariant string

// The invariants.
const (
	// MissingAnswer is broken unless each request that a node accepted gets exactly one final answer, by its deadline.
	// A value has to be one that a server made for this very request. Nothing is owed once the client disconnected,
	// or on a connection that the node closed before it read the request.
	MissingAnswer Invariant = "answer"
	// DuplicateExecution is broken by a retry that the class does not allow. Idempotent requests may be retried
	// always, deduplicated ones within the window of their idempotency key, which counts from the first attempt that
	// may have been executed, and at-most-once requests only if no earlier attempt may have been executed. An attempt
	// was not executed if the server rejected it or answered with a miss; every other one may have been.
	DuplicateExecution Invariant = "repeat"
	// RejectedAfterExecution is broken by the answer -BUSY, which promises that a request had no effect, to an
	// at-most-once request of which an attempt may have been executed.
	RejectedAfterExecution Invariant = "refusal"
	// SentToDraining is broken by a new request for a server that drains or was removed, once the node was notified of
	// it, or counts as notified, and Tolerances.DrainWithin has passed. Requests in flight may be finished.
	SentToDraining Invariant = "drain"
	// SlowStartOverload is broken by the nodes together, if a server crashes because they sent it more than it can
	// do in slow start. It is not broken if a third or more of the attempts came from nodes that had not been notified
	// of the server's start.
	SlowStartOverload Invariant = "cold"
)

// Violation is a case in which an invariant was broken.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Text      string
	History   []string // what happened to the request
}

// String returns the violation with the history of its request, as one line.
func (v Violation) String() string {
	text := fmt.Sprintf("rule %s broken at %.3f s: %s", v.Invariant, v.At.Seconds(), v.Text)
	if len(v.History) > 0 {
		text += " [" + strings.Join(v.History, "; ") + "]"
	}
	return text
}

// Final is the kind of a final answer that a client got.
type Final int

// The kinds of final answers.
const (
	Served   Final = iota // the answer is a value
	Rejected              // the answer is -BUSY: the request had no effect
	Failed                // the answer is an error: the request may have had an effect
)

var finalNames = [...]string{"served", "refused", "failed"}

// String returns the kind as histories print it.
func (f Final) String() string { return finalNames[f] }

// Proof is what the response of a server proves about an attempt.
type Proof int

// The proofs that a response can give.
const (
	PossiblyExecuted Proof = iota // the attempt may have been executed
	NotExecuted                   // the server rejected the attempt, or answered with a miss
)

// Counts counts what was checked.
type Counts struct {
	Requests      int // requests that a node accepted
	Answered      int // final answers
	Attempts      int // attempts that arrived at servers
	Notifications int // notifications of nodes by the discovery service
	Open          int // requests that have no final answer yet
}
