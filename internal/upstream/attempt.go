package upstream

import (
	"time"

	"shelfproxy/internal/request"
)

// Attempt is one attempt to have a request answered by one server, or a health check of that server. The exported fields are set
// by the caller before Send and are not changed afterwards.
type Attempt struct {
	Request            *request.Request // nil for a health check
	Number             int              // position among the attempts of the request, from 0
	Server             string           // ID of the endpoint
	SentAt             time.Time        // when the node handed the attempt to the pool
	Deadline           time.Time        // when the request times out
	WriteBy            time.Time        // the attempt is written by then or not at all; zero is no bound
	NeedsNewConnection bool             // a reused connection that the server closes just then would leave it possibly executed

	// The fields below belong to Core.

	conn             *Conn
	waitDeadline     time.Time // when it stops waiting for a connection; zero while a connection is being opened for it
	reassignments    int       // connections that closed before anything of the attempt was written
	writeStarted     bool      // some of its bytes may have been written
	possiblyExecuted bool      // all of its bytes may have been written
	abandoned        bool      // its response is read and discarded
}

// mustNotBeWritten reports whether it is too late to write the attempt: its client has disconnected, which the node may not have
// been notified of yet, or a retry has waited for longer than it may.
func (a *Attempt) mustNotBeWritten(now time.Time) bool {
	return a.isCancelled() || !a.WriteBy.IsZero() && now.After(a.WriteBy)
}

func (a *Attempt) isCancelled() bool { return a.Request != nil && a.Request.IsCancelled() }

func (a *Attempt) isHealthCheck() bool { return a.Request == nil }

// writeDeadline returns when the write of the attempt is given up.
func (a *Attempt) writeDeadline() time.Time {
	if !a.WriteBy.IsZero() && a.WriteBy.Before(a.Deadline) {
		return a.WriteBy
	}
	return a.Deadline
}
