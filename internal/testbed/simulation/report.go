package simulation

import (
	"fmt"
	"strings"
	"time"
)

// Options say how a plan is played.
type Options struct {
	// Trace gets every line of the event log, if set; it must not keep it.
	Trace func(line []byte)
}

// Violation is a violation of an invariant in a run.
type Violation struct {
	Invariant string // name of the invariant, of the service (package invariants) or of the simulation
	At        Time
	Text      string
}

// String describes the violation in one line.
func (b Violation) String() string {
	return fmt.Sprintf("%s at %.3f s: %s", b.Invariant, b.At.Seconds(), b.Text)
}

// The simulation's own invariants, beside those of package invariants, by the names that reports use.
const (
	InvariantNeverRan       = "never-ran" // an attempt reported as never run did not reach its server completely
	InvariantOrder          = "order"     // responses come in the order of their commands
	InvariantNoLeak         = "leak"      // nodes retain nothing long after the last request
	InvariantLiveness       = "liveness"  // some time after the last fault requests are served again
	InvariantWatchRenewed   = "deaf"      // a watch that went silent is detected and renewed
	InvariantRejectedNotRun = "refused"   // a rejected request that may run at most once reaches no server afterwards
	InvariantLinearizable   = "history"   // what clients saw of each record fits one order of its writes, each applied once
	InvariantAbusiveClient  = "rude"      // a client that sends nonsense gets an error or a close within 3 s
	InvariantNoPanic        = "crash"     // no core panics
)

// Report is the result of a run.
type Report struct {
	Seed                                                     uint64
	Hash                                                     uint64 // of the event log
	Events                                                   int    // lines of the event log
	Scheduled, Taken, Served, Rejected, Failed, Disconnected int    // requests: scheduled, read by a node, and how they ended
	Kills, Restarts                                          int    // processes of nodes that were killed, and shut down
	Faults                                                   []string
	Violations                                               []Violation
	Took                                                     time.Duration // of real time
}

// String describes the run in one line.
func (r *Report) String() string {
	verdict := "kept"
	if len(r.Violations) > 0 {
		verdict = "BROKEN " + r.Violations[0].String()
	}
	return fmt.Sprintf("seed %d: %d due, %d taken, %d served, %d refused, %d failed, %d left; %s; %d events, hash %016x: %s", r.Seed, r.Scheduled, r.Taken,
		r.Served, r.Rejected, r.Failed, r.Disconnected, strings.Join(r.Faults, " "), r.Events, r.Hash, verdict)
}
