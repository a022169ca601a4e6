package listener

// EndReason is why a client's connection ended.
type EndReason int

// The reasons.
const (
	EndedByClient       EndReason = iota // the client closed it, or it broke
	EndedByQuit                          // the client asked for it
	EndedByDrain                         // the listener was closed
	EndedIdle                            // it was idle for too long
	EndedWithoutCommand                  // no complete command came in time
	EndedForCapacity                     // it was idle, and another connection was to be accepted
	EndedStuck                           // its client took no responses
	EndedWriteFailed                     // a response could not be written
	EndedBadFraming                      // what came is no command
)

var endReasonNames = [...]string{"client", "quit", "drain", "idle", "no_command", "capacity", "stuck", "write_failed", "bad_framing"}

// String returns the name of the reason in the log.
func (r EndReason) String() string { return endReasonNames[r] }

// End says how a client's connection ended.
type End struct {
	ConnectionID uint64
	Reason       EndReason
	Owed         int // requests without a complete response
}
