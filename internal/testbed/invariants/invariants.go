// Package invariants checks, from the events that a testbed observes, that nodes keep the invariants of the service:
// each request gets exactly one final answer, by its deadline, and no value of another request; a request is retried
// only as far as its class allows; a draining server gets no new requests; no server crashes from overload in slow
// start.
//
// The package has no clock and no I/O: its callers report each event with its time. It does not see the state inside
// nodes. So it may miss a violation, but reports none that did not happen: an event that the testbed did not observe is
// not counted against a node.
//
// A Checker belongs to one goroutine. It forgets a request some seconds after its deadline.
package invariants

import (
	"fmt"
	"strings"
	"time"
)

// Effect says when requests of a class may be retried.
type Effect int

// How often a request of a class may be executed, and so when it may be retried.
const (
	Idempotent   Effect = iota // requests may always be retried: a second execution has no further effect
	Deduplicated               // requests may be retried within the window of the idempotency key: in that time the origin drops duplicates
	AtMostOnce                 // requests may be retried only if it is certain that no earlier attempt was executed
)

// Effects maps the names of effects in scenario files to the effects.
var Effects = map[string]Effect{"idempotent": Idempotent, "deduplicated": Deduplicated, "at_most_once": AtMostOnce}

// Class describes a class of requests, and when these requests may be retried.
type Class struct {
	Name   string
	Effect Effect
	Window time.Duration // for Deduplicated: how long retries are allowed after the first attempt that may have been executed
}

// Tolerances bound how long nodes may take to react to a change of the endpoint list.
type Tolerances struct {
	// DrainWithin is the time for which a node may still send new requests to a draining server. It counts from the
	// notification that told the node that the server is draining.
	DrainWithin time.Duration
	// NotifyWithin is the time after which a node counts as notified of a change of the endpoint list, even if it was
	// not. The time counts only while the discovery service is reachable. If it is 0, only real notifications count.
	NotifyWithin time.Duration
	// Grace is added to each time limit, because the testbed itself causes delays.
	Grace time.Duration
}

// Invariant is the name of an invariant, as reports print it.
type Invariant string

// The invariants that a Checker checks.
const (
	// MissingAnswer is violated if a request that a node accepted does not get exactly one final answer by its deadline.
	// It is also violated if the answer is a value that no server made for this very request. The node need not answer
	// if the client has disconnected, or if the node closed the connection before it read the request.
	MissingAnswer Invariant = "answer"
	// DuplicateExecution is violated by a retry that the class of the request does not allow. Idempotent requests may
	// always be retried. Deduplicated requests may be retried within Class.Window, counted from the first attempt that
	// was possibly executed. At-most-once requests may be retried only if no earlier attempt was possibly executed.
	// Each attempt counts as possibly executed, unless the server rejected it or answered with a miss.
	DuplicateExecution Invariant = "repeat"
	// RejectedAfterExecution is violated if an at-most-once request is answered with -BUSY after an attempt that was
	// possibly executed: -BUSY promises that the request had no effect.
	RejectedAfterExecution Invariant = "refusal"
	// SentToDraining is violated if a node sends a new request to a draining or removed server more than
	// Tolerances.DrainWithin after the node was notified of that state. A node that was not notified counts as notified
	// after Tolerances.NotifyWithin. Requests in flight may be finished.
	SentToDraining Invariant = "drain"
	// SlowStartOverload is violated if a server crashes because all nodes together sent it more requests than it can
	// execute in slow start. It is not violated if a third or more of the attempts at the server came from nodes that
	// had not been notified of the server's start.
	SlowStartOverload Invariant = "cold"
)

// Violation is one violation of an invariant.
type Violation struct {
	Invariant Invariant
	At        time.Duration
	Text      string
	History   []string // events of the request that the violation is about, in order
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

// String returns the name of the kind of answer, as the history of a request shows it.
func (f Final) String() string { return finalNames[f] }

// Proof tells what a server's response proves about the execution of an attempt.
type Proof int

// What a server's response can prove about the execution of an attempt.
const (
	PossiblyExecuted Proof = iota // the attempt may have been executed
	NotExecuted                   // the server rejected the attempt, or answered with a miss
)

// Counts holds the numbers of events that a Checker has checked.
type Counts struct {
	Requests      int // requests that a node accepted
	Answered      int // requests that got a final answer
	Attempts      int // attempts that arrived at servers
	Notifications int // notifications of nodes by the discovery service
	Open          int // requests that have no final answer yet
}
