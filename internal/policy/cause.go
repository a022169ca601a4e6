package policy

// Cause is the reason why a router ended a request with Reject or Fail. Counters and logs show the name of the cause.
type Cause int

// The reasons why a router ends a request with Reject or Fail.
const (
	CauseDeadline        Cause = iota // the deadline passed before the request could take its next step
	CauseNoTime                       // a new read had less time until its deadline than the fastest recent hits took
	CauseNodeBehind                   // shed because the node is behind with its own work
	CauseServerCrowded                // shed because the request's cache server is overloaded
	CauseOriginSlow                   // shed because the origin is overloaded
	CauseNoServer                     // no server is available for the request
	CauseMaxAttempts                  // the request has used up Settings.MaxAttempts
	CauseWait                         // the request waited too long for the origin, for a fetch or for its retry
	CauseRetryNotAllowed              // an earlier attempt was possibly executed, so another could repeat its effect
	CauseRetryBudget                  // the retry budget of the request's class is spent
	CauseServerBusy                   // a cache server failed or rejected a read of the lowest priority (bulk)
	CauseTimedOut                     // the request's last attempt timed out
	CauseNeverSent                    // the request's last attempt was never written to a connection
	causeCount                        // number of causes
)

var causeNames = [causeCount]string{
	"deadline", "no_time", "node_behind", "server_crowded", "origin_slow", "no_server", "max_attempts", "wait",
	"retry_not_allowed", "retry_budget", "server_busy", "timed_out", "never_sent",
}

// String returns the name that counters and logs show.
func (c Cause) String() string { return causeNames[c] }

// CauseNames returns the names of all causes, indexed by Cause.
func CauseNames() []string { return causeNames[:] }

// causeOfOutcome returns why a request is not retried after an attempt that ended for the given reason.
func causeOfOutcome(reason Reason) Cause {
	switch reason {
	case TimedOut:
		return CauseTimedOut
	case NeverSent:
		return CauseNeverSent
	}
	return CauseRetryBudget
}
