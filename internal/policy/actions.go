package policy

import "time"

// Action is something that the router wants done: one of the types below it.
type Action interface{ action() }

// Send starts an attempt, which waits for an answer until the client's deadline.
type Send struct {
	ID      uint64
	Server  string
	WriteBy Time // the attempt is to be written by then or not at all; 0 means no bound but the deadline
}

// Reject is a final answer: the request was rejected without effect, and trying again is harmless.
type Reject struct {
	ID         uint64
	RetryAfter time.Duration // how long the client should stay away; 0 gives no advice
	Cause      Cause
}

// Fail is a final answer that promises nothing.
type Fail struct {
	ID    uint64
	Cause Cause
}

// Cancel stops the wait for an attempt.
type Cancel struct {
	ID      uint64
	Attempt int
}

// HealthCheck asks a server whether it responds; a HealthChecked event answers it.
type HealthCheck struct{ Server string }

// CloseIdle closes the idle connections to a server.
type CloseIdle struct{ Server string }

// SetTimer asks for a TimerFired event at or after At.
type SetTimer struct {
	At    Time
	Token uint64
}

// Subscribe asks for the endpoint list and its changes from now on.
type Subscribe struct{}

// Gossip sends a datagram of at most 256 bytes to all other routers. It may be lost.
type Gossip struct{ Data []byte }

// Announce sends all other routers the announcement of the holder of a role. It may be lost.
type Announce struct{ Role Role }

// Log is a line for the operators.
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
