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
	Invariant string // name of an invariant of package invariants or of this package
	At        Time
	Text      string
}

// String returns the violation as one line.
func (b Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Invariant, b.At.Seconds(), b.Text)
}

// Names of the simulation's own invariants, as reports print them. Package invariants has further ones.
const (
	InvariantNeverRan       = "never-ran" // an attempt that is reported as never run did not reach its server completely
	InvariantOrder          = "order"     // responses come in the order of their commands
	InvariantNoLeak         = "leak"      // nodes retain nothing long after the last request
	InvariantLiveness       = "liveness"  // some time after the last fault requests are served again
	InvariantWatchRenewed   = "deaf"      // a watch that went silent is detected and renewed
	InvariantRejectedNotRun = "refused"   // a rejected request that may run at most once reaches no server afterwards
	InvariantLinearizable   = "history"   // the clients' reads of each record fit one order of its writes, each applied once
	InvariantAbusiveClient  = "rude"      // a client that sends malformed input gets an error or a close within 3 s
	InvariantNoPanic        = "crash"     // no core panics
)

// Report is the result of a run.
type Report struct {
	Seed                                                     uint64
	Hash                                                     uint64 // hash of the event log
	Events                                                   int    // number of lines in the event log
	Scheduled, Taken, Served, Rejected, Failed, Disconnected int    // requests: scheduled, read by a node, and by result
	Kills, Restarts                                          int    // numbers of node processes that were killed and that were shut down
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
