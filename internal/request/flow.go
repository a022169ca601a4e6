// Package flow holds what a listener and the node say to each other of a request, whatever protocol the
// listener speaks.
package request

import (
	"bytes"
	"strconv"
	"sync/atomic"
	"time"
)

// Flow is one request that was taken from a client. Its byte slices point into the buffer that the command
// was read into, which nothing writes to again.
type Flow struct {
	Key, ID []byte
	Class   string
	Tenant  string // empty where the client names none that the deployment has
	Extras  []byte // the list of names and values as it arrived
	Write   bool
	Value   []byte // of a write
	Taken   time.Time
	Wait    time.Duration // how long the client waits, from when it sent the request
	Conn    uint64        // the connection it came on, for taking turns; the listener's own number
	// Reply takes the final answer. The node calls it once and never waits in it.
	Reply func(Response)

	cancelled atomic.Bool
}

// Cancel says that the client has gone: nothing more may be begun for the flow. It may be called from any goroutine, by
// whoever sees it first, ahead of the Gone that a sink is told.
func (f *Flow) Cancel() { f.cancelled.Store(true) }

// Cancelled tells whether the client has gone. It may be called from any goroutine.
func (f *Flow) Cancelled() bool { return f.cancelled.Load() }

var comma, wait = []byte{','}, []byte("d=")

// ExtrasWithin is the list of names and values with the time that is left, in whole milliseconds and at least one, in place of
// the d that the client gave.
func (f *Flow) ExtrasWithin(left time.Duration) []byte {
	out := make([]byte, 0, len(f.Extras)+8)
	for rest := f.Extras; ; {
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

// Kind says what a final answer is.
type Kind int

// The kinds of final answers.
const (
	Served  Kind = iota
	Refused      // fixed response: trying again is harmless
	Failed       // promises nothing
	Invalid      // the request makes no sense to the node; Text says why
)

// Kinds names the kinds of final answers, in their order.
func Kinds() []string { return []string{"served", "refused", "failed", "invalid"} }

// Response is the final answer of a flow.
type Response struct {
	Kind       Kind
	Value      []byte        // Served
	RetryAfter time.Duration // Refused: how long the client should keep away; 0 is no advice
	Text       string        // Invalid
}

// Sink takes what a listener reads. Its methods may wait and must not be called from the node's own loop.
type Sink interface {
	Take(*Flow)
	Gone(*Flow) // the client left before the answer
}
