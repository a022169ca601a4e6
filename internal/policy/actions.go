package policy

import "time"

// Action is something that the router asks its caller to do: one of the types below.
type Action interface{ action() }

// Send starts an attempt, which waits for an answer until the client's deadline.
type Send struct {
	ID      uint64
	Server  string
	WriteBy Time // an attempt not written by then must not be sent; 0: only the deadline bounds it
}

// Reject is a final answer. It tells the client that the request had no effect and that a retry is harmless.
type Reject struct {
	ID         uint64
	RetryAfter time.Duration // how long the client should wait before a retry; 0: no advice
	Cause      Cause
}

// Fail is a final answer after which the client must assume that the request may have had an effect.
type Fail struct {
	ID    uint64
	Cause Cause
}

// Cancel asks the caller to stop waiting for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int
}

// HealthCheck asks for a health check of a server. A HealthChecked event brings the result.
type HealthCheck struct{ Server string }

// CloseIdle asks the caller to close the idle connections to a server.
type CloseIdle struct{ Server string }

// SetTimer asks for a TimerFired event at or after At.
type SetTimer struct {
	At    Time
	Token uint64
}

// Subscribe asks discovery for the endpoint list and for all later changes.
type Subscribe struct{}

// Gossip sends a datagram of at most 256 bytes to all other routers. The datagram may be lost.
type Gossip struct{ Data []byte }

// Announce tells all other routers what the holder of a role announces, see RoleAnnouncement. The announcement may
// be lost.
type Announce struct{ Role Role }

// Log asks for a log line for the operators.
type Log struct{ Text string }

func (Send) action()        {}
func (Reject) action()      {}
func (Fail) action()        {}
func (Cancel) action()      {}
func (HealthCheck) action() {}
func (CloseIdle) action()   {}
func (SetTimer) action()    {}
func (Subscribe) action()   {}
func (Gossip) action()      {}
func (Announce) action()    {}
func (Log) action()         {}
