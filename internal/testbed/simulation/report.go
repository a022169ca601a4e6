package simulation

import (
	"fmt"
	"strings"
	"time"
)

// Options control how a plan is run.
type Options struct {
	// Trace, if set, is called with every line of the event log. It must not retain the line.
	Trace func(line []byte)
}

// Violation is a violation of an invariant in a run.
type Violation struct {
	Invariant string // name of the invariant, as declared in package invariants or in this package
	At        Time
	Text      string
}

// String returns the violation as one line of a report.
func (b Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Invariant, b.At.Seconds(), b.Text)
}

// Names of invariants that the simulation itself checks, as reports print them. Package invariants checks further invariants.
const (
	InvariantNeverRan       = "never-ran"   // an attempt that a connection pool reports as never run did not reach the server completely
	InvariantSecondCopy     = "second-copy" // where second copies are not allowed, a request is out on one open connection at a time
	InvariantOrder          = "order"       // responses come in the order of their commands
	InvariantNoLeak         = "leak"        // long after the last request, nodes retain no requests, request ids, attempts or response memory
	InvariantLiveness       = "liveness"    // some time after the last fault, requests are served again
	InvariantWatchRenewed   = "deaf"        // a node detects a watch that went silent, and opens a new watch
	InvariantRejectedNotRun = "refused"     // an at-most-once request that was rejected does not reach a server after the rejection
	InvariantLinearizable   = "history"     // the reads and writes of each record are linearizable, with each write applied once
	InvariantAbusiveClient  = "rude"        // a node answers malformed input with an error, or closes the connection, within 3 s
	InvariantNoPanic        = "crash"       // no core panics; also reported if a run is aborted, or if a node sends a malformed request
)

// Report is the result of a run.
type Report struct {
	Seed                                                     uint64
	Hash                                                     uint64 // hash of the event log
	Events                                                   int    // number of lines in the event log
	Scheduled, Taken, Served, Rejected, Failed, Disconnected int    // numbers of requests: scheduled, read by a node, and by their result
	Kills, Restarts                                          int    // number of node processes that were killed; number that were shut down gracefully
	Faults                                                   []string
	Violations                                               []Violation
	Took                                                     time.Duration // wall-clock duration of the run
}

// String returns the result of the run as one line.
func (r *Report) String() string {
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = "BROKEN " + r.Violations[0].String()
	}
	return fmt.Sprintf("seed %d: %d due, %d taken, %d served, %d refused, %d failed, %d left; %s; %d events, hash %016x: %s", r.Seed, r.Scheduled, r.Taken,
		r.Served, r.Rejected, r.Failed, r.Disconnected, strings.Join(r.Faults, " "), r.Events, r.Hash, verdict)
}
