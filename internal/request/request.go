// Package request holds what a listener and the node exchange about a request, whatever protocol the listener speaks.
package request

import (
	"bytes"
	"strconv"
	"sync/atomic"
	"time"
)

// Request is one request of a client. Its byte slices point into the buffer that the command was read into, which is not written
// to again.
type Request struct {
	Key, ID       []byte
	Class         string
	Tenant        string // empty if the client names no tenant of the deployment
	Parameters    []byte // the comma-separated name=value pairs as they arrived
	IsWrite       bool
	Value         []byte        // of a write
	ReceivedAt    time.Time     // when it came, at the earliest: before it was read, if the process did not run for a while
	ClientTimeout time.Duration // how long the client waits from when it sent the request
	ConnectionID  uint64        // the listener's number of the client's connection, for fairness between connections
	// Reply takes the one final response. The node calls it from its event loop: it must not wait.
	Reply func(Response)

	cancelled atomic.Bool
}

// Cancel says that the client has disconnected: nothing more may be started for the request. It is safe for concurrent use, and
// called by whoever notices first, before Handler.ClientDisconnected.
func (r *Request) Cancel() { r.cancelled.Store(true) }

// IsCancelled reports whether the client has disconnected. It is safe for concurrent use.
func (r *Request) IsCancelled() bool { return r.cancelled.Load() }

var (
	pairSeparator = []byte{','}
	timeoutPrefix = []byte("d=")
)

// maxTimeoutGrowth is how many bytes the new timeout is usually longer than the old one, at most.
const maxTimeoutGrowth = 8

// ParametersWithTimeout returns the parameters with the remaining time, in whole milliseconds and at least one, in place of the d
// that the client gave.
func (r *Request) ParametersWithTimeout(remaining time.Duration) []byte {
	parameters := make([]byte, 0, len(r.Parameters)+maxTimeoutGrowth)
	for rest := r.Parameters; ; {
		pair, afterSeparator, found := bytes.Cut(rest, pairSeparator)
		if bytes.HasPrefix(pair, timeoutPrefix) {
			parameters = append(parameters, timeoutPrefix...)
			parameters = strconv.AppendInt(parameters, max(1, remaining.Milliseconds()), 10)
		} else {
			parameters = append(parameters, pair...)
		}
		if !found {
			return parameters
		}
		parameters, rest = append(parameters, pairSeparator...), afterSeparator
	}
}

// ResponseKind says what a final response is.
type ResponseKind int

// The kinds of final responses.
const (
	Served   ResponseKind = iota
	Rejected              // the request had no effect: a retry is harmless
	Failed                // says nothing about effects
	Invalid               // the node can't make sense of the request; Text says why
)

var responseKindNames = [...]string{"served", "refused", "failed", "invalid"}

// ResponseKinds returns the names of the kinds in the counters, in their order.
func ResponseKinds() []string { return responseKindNames[:] }

// String returns the name of the kind in counters and in the log.
func (k ResponseKind) String() string { return responseKindNames[k] }

// Response is the final response to a request.
type Response struct {
	Kind       ResponseKind
	Value      []byte        // of Served
	RetryAfter time.Duration // of Rejected: how long the client should wait before a retry; 0 if it is not told
	Text       string        // of Invalid
}

// Handler takes the requests that a listener reads. Its methods may wait, and must not be called from the node's event loop.
type Handler interface {
	// Handle takes a request.
	Handle(*Request)
	// ClientDisconnected says that the client of a request disconnected before its response.
	ClientDisconnected(*Request)
}
