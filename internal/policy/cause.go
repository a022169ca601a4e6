package policy

// Cause is why a router ended a request without a value. Operators read its name in counters and in the log.
type Cause int

// The causes.
const (
	CauseDeadline        Cause = iota // its time was over before a step could be taken
	CauseNoTime                       // less time was left than the fastest answers take
	CauseNodeBehind                   // shed, as the node is behind with its own work
	CauseServerCrowded                // shed at its cache server
	CauseOriginSlow                   // shed at the origin
	CauseNoServer                     // no server is listed for it
	CauseMaxAttempts                  // it had as many attempts as it may have
	CauseWait                         // it waited for the origin, a fetch or a retry for as long as is worth it
	CauseRetryNotAllowed              // its class allows no attempt at the server, as it was possibly executed
	CauseRetryBudget                  // the retry budget of its class is spent
	CauseServerBusy                   // a read of the lowest bucket met a server that failed or rejected it
	CauseTimedOut                     // its last attempt timed out
	CauseNeverSent                    // its last attempt was not written
	causeCount                        // number of causes
)

var causeNames = [causeCount]string{
	"deadline", "no_time", "node_behind", "server_crowded", "origin_slow", "no_server", "max_attempts", "wait",
	"retry_not_allowed", "retry_budget", "server_busy", "timed_out", "never_sent",
}

// String returns the name for operators.
func (c Cause) String() string { return causeNames[c] }

// CauseNames returns the names of all causes, indexed by Cause.
func CauseNames() []string { return causeNames[:] }

// causeOfOutcome is why a request is not tried again after an attempt that ended for the reason.
func causeOfOutcome(reason Reason) Cause {
	switch reason {
	case TimedOut:
		return CauseTimedOut
	case NeverSent:
		return CauseNeverSent
	}
	return CauseRetryBudget
}
