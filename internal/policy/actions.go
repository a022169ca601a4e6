package policy

import "time"

// Action is something that the router asks its caller to do: one of the types below.
type Action interface{ action() }

// Send asks the caller to send an attempt to a server. The attempt waits for an answer until the client's deadline.
type Send struct {
	ID      uint64
	Server  string
	WriteBy Time // latest time at which the attempt may be written to a connection; 0: until the client's deadline
}

// Reject is a final answer. It tells the client that the request had no effect and that a retry is harmless.
type Reject struct {
	ID         uint64
	RetryAfter time.Duration // how long the client should wait before a retry; 0: no advice
	Cause      Cause
}

// Fail is a final answer without a result. The client must assume that the request may have had an effect.
type Fail struct {
	ID    uint64
	Cause Cause
}

// Cancel asks the caller to stop waiting for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int
}

// HealthCheck asks for a health check of a server. The caller reports the result with a HealthChecked event.
type HealthCheck struct{ Server string }

// CloseIdle asks the caller to close the idle connections to a server.
type CloseIdle struct{ Server string }

// SetTimer asks for a TimerFired event at the time At or later.
type SetTimer struct {
	At    Time
	Token uint64
}

// Subscribe asks the caller to get the endpoint list and all later changes from discovery.
type Subscribe struct{}

// Gossip asks the caller to send a datagram of at most 256 bytes to all other routers. The datagram may be lost.
type Gossip struct{ Data []byte }

// Announce asks the caller to notify all other routers, in the name of this router as the holder of a role. So far the
// only such notice is the DiscoveryPoller's: discovery answers again. The notice may be lost.
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
