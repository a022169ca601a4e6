// Package request holds what a listener and the node exchange about a request, whatever protocol the listener speaks.
package request

import (
	"bytes"
	"strconv"
	"sync/atomic"
	"time"
)

// Request is one request of a client. Its byte slices point into the buffer that the command was read into. Nothing is written to
// that buffer again.
type Request struct {
	Key, ID       []byte
	Class         string
	Tenant        string // empty if the client names no tenant of the deployment
	Parameters    []byte // the comma-separated name=value pairs as they arrived
	IsWrite       bool
	Value         []byte        // the value that a write stores
	ReceivedAt    time.Time     // earliest possible time of arrival, which is before the read if the process was paused
	ClientTimeout time.Duration // how long the client waits for the response, from the time that it sent the request
	// CommandMemory is the request memory, in bytes, that the listener has reserved for the command. The handler gives it back once
	// nothing refers to the request any more.
	CommandMemory    int
	IsValueDiscarded bool   // there was no memory for the value, so the request can only be rejected
	ConnectionID     uint64 // the listener's number for the client's connection, used for fairness between connections
	Client           Client // nil if nothing is known of the client but what Cancel records
	// Reply delivers the one final response. The node calls it from its event loop, so it must not block.
	Reply func(Response)

	cancelled      atomic.Bool
	isNext         atomic.Bool
	reservedMemory atomic.Int64 // bytes
}

// Client tells whether the client of a request is there. It is safe for concurrent use.
type Client interface {
	// IsPresent reports whether r, a request of the client, may be begun at the time now. hasLeft says that the client has closed its
	// connection; if neither is so, the client may have closed it, which can't be seen. IsPresent does not block.
	IsPresent(now time.Time, r *Request) (isPresent, hasLeft bool)
}

// Cancel records that the client has disconnected: nothing more may be started for the request. Cancel is safe for concurrent
// use. The goroutine that first notices the disconnect calls it, before Handler.ClientDisconnected.
func (r *Request) Cancel() { r.cancelled.Store(true) }

// IsCancelled reports whether the client has disconnected. It is safe for concurrent use.
func (r *Request) IsCancelled() bool { return r.cancelled.Load() }

// MayBegin reports whether an attempt for the request may be written at the time now: the client has not disconnected, as far as can be
// told. It is safe for concurrent use.
func (r *Request) MayBegin(now time.Time) bool {
	if r.IsCancelled() || r.Client == nil {
		return !r.IsCancelled()
	}
	isPresent, hasLeft := r.Client.IsPresent(now, r)
	if hasLeft {
		r.Cancel()
	}
	return isPresent
}

// MarkNext records that all earlier commands of the connection are answered: the response to this request is the next one to be
// written. It is safe for concurrent use.
func (r *Request) MarkNext() { r.isNext.Store(true) }

// IsNext reports whether the response to this request is the next one to be written on its connection. It is safe for concurrent
// use.
func (r *Request) IsNext() bool { return r.isNext.Load() }

// SetReservedMemory records how many bytes of response memory are reserved for the response. The listener calls it before it hands
// the request over.
func (r *Request) SetReservedMemory(bytes int) { r.reservedMemory.Store(int64(bytes)) }

// TakeReservedMemory returns the bytes that SetReservedMemory recorded to the first caller, who has to give them back, and 0 to all
// others. It is safe for concurrent use.
func (r *Request) TakeReservedMemory() int { return int(r.reservedMemory.Swap(0)) }

var (
	pairSeparator = []byte{','}
	timeoutPrefix = []byte("d=")
)

// maxTimeoutGrowth is the spare space, in bytes, of the buffer in which ParametersWithTimeout replaces the client's timeout. The
// text of the remaining time is rarely longer than that of the client's timeout by more. If it is, append enlarges the buffer.
const maxTimeoutGrowth = 8

// ParametersWithTimeout returns the parameters with a new value of d, the timeout that the client gave: the remaining time in whole
// milliseconds, at least one.
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

// ResponseKind is the kind of a final response.
type ResponseKind int

// The kinds of final responses.
const (
	Served   ResponseKind = iota
	Rejected              // the request had no effect: a retry is harmless
	Failed                // it is not known whether the request had an effect
	Invalid               // the node can't interpret the request; Text says why
)

var responseKindNames = [...]string{"served", "refused", "failed", "invalid"}

// ResponseKinds returns the names of all response kinds in the counters, in the order of the constants.
func ResponseKinds() []string { return responseKindNames[:] }

// String returns the name of the kind that counters and the log use.
func (k ResponseKind) String() string { return responseKindNames[k] }

// Response is the final response to a request.
type Response struct {
	Kind       ResponseKind
	Value      []byte        // only with Served
	RetryAfter time.Duration // only with Rejected: how long the client should wait before a retry; 0 gives no advice
	Text       string        // only with Invalid: why the request is invalid
	// ReservedMemory is the response memory, in bytes, that holds Value. Whoever has the response releases it once the value is
	// written or dropped.
	ReservedMemory int
}

// Handler takes the requests that a listener reads. Its methods may block, so they must not be called from the node's event loop.
type Handler interface {
	// Handle takes a request, which is answered through Request.Reply.
	Handle(*Request)
	// ClientDisconnected tells the handler that the client of a request disconnected before it got the response.
	ClientDisconnected(*Request)
}
