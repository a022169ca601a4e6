package listener

import "time"

// EndReason is why a client's connection ended.
type EndReason int

// The reasons why a connection ends.
const (
	EndedByClient       EndReason = iota // the client closed the connection, or the connection failed
	EndedByQuit                          // the client sent QUIT
	EndedByDrain                         // the listener was closed, which drains its connections
	EndedIdle                            // the connection was idle for too long
	EndedWithoutCommand                  // no complete command arrived in time
	EndedForCapacity                     // the connection was idle and was closed to make space for a new connection
	EndedStuck                           // the client read no responses for too long, while too many bytes of responses were unsent
	EndedWriteFailed                     // a response could not be written
	EndedBadFraming                      // the client sent bytes that are not a RESP2 command
)

var endReasonNames = [...]string{"client", "quit", "drain", "idle", "no_command", "capacity", "stuck", "write_failed", "bad_framing"}

// String returns the name of the reason, as it is logged.
func (r EndReason) String() string { return endReasonNames[r] }

// End describes how a client's connection ended.
type End struct {
	ConnectionID uint64
	Reason       EndReason
	Owed         int       // requests without a complete response
	At           time.Time // when the core closed the connection
}
