package upstream

import (
	"time"

	"shelfproxy/internal/request"
)

// Attempt is one attempt to have a request answered by one server, or a health check of that server. The exported fields are set
// by the caller before Send and are not changed afterwards.
type Attempt struct {
	Request  *request.Request // nil for a health check
	Number   int              // index among the attempts of the request, from 0
	Server   string           // ID of the endpoint
	SentAt   time.Time        // when the node handed the attempt to the pool
	Deadline time.Time        // when the request times out
	WriteBy  time.Time        // latest time at which the attempt may be written; zero is no bound
	// NeedsNewConnection asks for a new connection, if one may be opened. The server may close a reused connection while the
	// attempt is written, which would leave the attempt possibly executed.
	NeedsNewConnection bool

	// The fields below are used by Core only.

	conn             *Conn
	waitDeadline     time.Time     // when the attempt stops waiting for a connection; zero while a connection is being opened for it
	reassignments    int           // number of connections that closed before anything of the attempt was written
	writeStarted     bool          // some bytes of the attempt may have been written
	possiblyExecuted bool          // all bytes of the attempt may have been written, so the server may have executed it
	memoryWait       time.Duration // how long the attempt's connection was not read for lack of memory
	abandoned        bool          // the caller has given the attempt up: a response to it is read and discarded
}

// mustNotBeWritten reports whether it is too late to write the attempt. Either its client has disconnected, of which the node may
// not have been notified yet, or the attempt is a retry that has waited beyond WriteBy.
func (a *Attempt) mustNotBeWritten(now time.Time) bool {
	return a.Request != nil && !a.Request.MayBegin(now) || !a.WriteBy.IsZero() && now.After(a.WriteBy)
}

func (a *Attempt) isCancelled() bool { return a.Request != nil && a.Request.IsCancelled() }

func (a *Attempt) isHealthCheck() bool { return a.Request == nil }

// isOverdue reports whether the request has timed out, so that it is not sent again.
func (a *Attempt) isOverdue(now time.Time) bool {
	return !a.Deadline.IsZero() && !now.Before(a.Deadline)
}

// writeDeadline returns the time at which an unfinished write of the attempt is given up.
func (a *Attempt) writeDeadline() time.Time {
	if !a.WriteBy.IsZero() && a.WriteBy.Before(a.Deadline) {
		return a.WriteBy
	}
	return a.Deadline
}
