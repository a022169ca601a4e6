// Package flow holds what a listener and the node say to each other of a request, whatever protocol the
// listener speaks.
package request

import (
	"bytes"
	"strconv"
	"sync/atomic"
	"time"
)

// Request is one request that was taken from a client. Its byte slices point into the buffer that the command
// was read into, which nothing writes to again.
type Request struct {
	Key, ID       []byte
	Class         string
	Tenant        string // empty where the client names none that the deployment has
	Parameters    []byte // the list of names and values as it arrived
	IsWrite       bool
	Value         []byte // of a write
	ReceivedAt    time.Time
	ClientTimeout time.Duration // how long the client waits, from when it sent the request
	ConnectionID  uint64        // the connection it came on, for taking turns; the listener's own number
	// Reply takes the final answer. The node calls it once and never waits in it.
	Reply func(Response)

	cancelled atomic.Bool
}

// Cancel says that the client has gone: nothing more may be begun for the flow. It may be called from any goroutine, by
// whoever sees it first, ahead of the Gone that a sink is told.
func (f *Request) Cancel() { f.cancelled.Store(true) }

// IsCancelled tells whether the client has gone. It may be called from any goroutine.
func (f *Request) IsCancelled() bool { return f.cancelled.Load() }

var comma, wait = []byte{','}, []byte("d=")

// ParametersWithTimeout is the list of names and values with the time that is left, in whole milliseconds and at least one, in place of
// the d that the client gave.
func (f *Request) ParametersWithTimeout(left time.Duration) []byte {
	out := make([]byte, 0, len(f.Parameters)+8)
	for rest := f.Parameters; ; {
		pair, more, found := bytes.Cut(rest, comma)
		if bytes.HasPrefix(pair, wait) {
			out = strconv.AppendInt(append(out, wait...), max(1, left.Milliseconds()), 10)
		} else {
			out = append(out, pair...)
		}
		if !found {
			return out
		}
		out, rest = append(out, ','), more
	}
}

// ResponseKind says what a final answer is.
type ResponseKind int

// The kinds of final answers.
const (
	Served   ResponseKind = iota
	Rejected              // fixed response: trying again is harmless
	Failed                // promises nothing
	Invalid               // the request makes no sense to the node; Text says why
)

// ResponseKinds names the kinds of final answers, in their order.
func ResponseKinds() []string { return []string{"served", "refused", "failed", "invalid"} }

// Response is the final answer of a flow.
type Response struct {
	Kind       ResponseKind
	Value      []byte        // Served
	RetryAfter time.Duration // Refused: how long the client should keep away; 0 is no advice
	Text       string        // Invalid
}

// Handler takes what a listener reads. Its methods may wait and must not be called from the node's own loop.
type Handler interface {
	Handle(*Request)
	ClientDisconnected(*Request) // the client left before the answer
}
