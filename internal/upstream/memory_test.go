package upstream_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
	"shelfproxy/internal/upstream/resp"
)

// longValue is a value that takes most of a quarter of testMemory.
var longValue = strings.Repeat("v", 60_000)

const testMemory = 4 * 64 << 10

// connectionWith is a core with one connection, on which attempts were written.
type connectionWith struct {
	core     *upstream.Core
	conn     *upstream.Conn
	now      time.Time
	notified int // number of calls of NotifyMemory
	outcomes []upstream.Outcome
	values   []int           // lengths of the values that were reported
	reserved int             // response memory that the reported responses hold
	waits    []time.Duration // the time for which each of them was not read
}

// newConnectionWith returns a connection on which attempts for the given requests were written.
func newConnectionWith(codec upstream.Codec, memory *admission.MemoryBudget, requests ...*request.Request) *connectionWith {
	limits := upstream.Limits{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxStreams: 8, MaxConnections: 1, MaxQueued: 8}
	c := &connectionWith{now: time.Unix(1000, 0)}
	c.core = upstream.NewCore("s", codec, limits, upstream.Budgets{Descriptors: upstream.NewDescriptorBudget(1), Responses: memory})
	for i, r := range requests {
		attempt := &upstream.Attempt{Request: r, SentAt: c.now, Deadline: c.now.Add(time.Minute)}
		c.call(func(effects *upstream.Effects) { c.core.Send(c.now, attempt, effects) })
		if i == 0 {
			c.call(func(effects *upstream.Effects) { c.core.DialCompleted(c.now, c.conn, true, effects) })
		}
		c.call(func(effects *upstream.Effects) {
			if c.core.NextToWrite(c.now, c.conn, false, effects) != nil {
				c.core.WriteCompleted(c.now, c.conn, true, true, effects)
			}
		})
	}
	return c
}

func (c *connectionWith) call(callCore func(effects *upstream.Effects)) {
	var effects upstream.Effects
	callCore(&effects)
	for _, effect := range effects {
		switch effect.Kind {
		case upstream.Dial:
			c.conn = effect.Conn
			c.conn.NotifyMemory = func() { c.notified++ }
		case upstream.ReportOutcome:
			c.outcomes = append(c.outcomes, effect.Response.Outcome)
			c.values = append(c.values, len(effect.Response.Value))
			c.reserved += effect.Response.ReservedMemory
			c.waits = append(c.waits, effect.Response.MemoryWait)
		}
	}
}

// receive passes bytes of the server to the core, as far as the connection is read. It returns those that are not read.
func (c *connectionWith) receive(text string) (unread string) {
	for text != "" && !c.conn.IsClosed() && !c.conn.IsWaitingForMemory() {
		n := copy(c.conn.Decoder.ReadBuffer(), text)
		text = text[n:]
		c.call(func(effects *upstream.Effects) { c.core.BytesReceived(c.now, c.conn, n, effects) })
	}
	return text
}

func respValue(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

func httpValue(value string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value)
}

// nextRequest returns a request whose response is the next one on its client's connection.
func nextRequest() *request.Request {
	r := &request.Request{Key: []byte("k"), ID: []byte("i")}
	r.MarkNext()
	return r
}

// Guards against responses without a bound, and against a hang: the next response of a client waits for memory, before more than
// a read buffer of it is taken from the kernel, and goes on when there is some. Its memory stays reserved until it is released by
// whoever has the response.
func TestNextResponseWaitsForMemory(t *testing.T) {
	for _, protocol := range []struct {
		name     string
		codec    upstream.Codec
		response string
	}{{"cache server", resp.Codec{}, respValue(longValue)}, {"origin", origin.Codec{Host: "o"}, httpValue(longValue)}} {
		t.Run(protocol.name, func(t *testing.T) {
			memory := admission.NewMemoryBudget(testMemory)
			if !memory.Reserve(testMemory-1000, admission.NextResponse) {
				t.Fatal("got no memory from an unused budget")
			}
			const wait = 300 * time.Millisecond
			connection := newConnectionWith(protocol.codec, memory, nextRequest())
			unread := connection.receive(protocol.response)
			if len(unread) < len(longValue)/2 || !connection.conn.IsWaitingForMemory() || len(connection.outcomes) > 0 {
				t.Fatalf("%d bytes unread, waiting %v, outcomes %v; want most unread and the connection waiting", len(unread),
					connection.conn.IsWaitingForMemory(), connection.outcomes)
			}
			memory.Release(testMemory - 1000)
			if connection.notified != 1 {
				t.Fatalf("notified %d times once there is memory, want once", connection.notified)
			}
			connection.now = connection.now.Add(wait)
			connection.call(func(effects *upstream.Effects) {
				connection.core.MemoryGranted(connection.now, connection.conn, effects)
			})
			unread = connection.receive(unread)
			if unread != "" || !slices.Equal(connection.outcomes, []upstream.Outcome{upstream.Served}) || connection.values[0] != len(longValue) {
				t.Fatalf("%d bytes unread, outcomes %v, values %v, want the value", len(unread), connection.outcomes, connection.values)
			}
			if connection.waits[0] != wait {
				t.Errorf("the server is to be blamed for all but %v, want all but %v", connection.waits[0], wait)
			}
			if memory.Used() != len(longValue) || connection.reserved != len(longValue) {
				t.Errorf("%d bytes are reserved and %d held by the response, want the length of the value", memory.Used(), connection.reserved)
			}
		})
	}
}

// Guards against a deadlock: a response that has to wait for others of its client's connection never waits for memory, as those
// may wait for it. Its value is discarded, and the responses behind it on the connection are read.
func TestLaterResponseWithoutMemoryIsDiscarded(t *testing.T) {
	memory := admission.NewMemoryBudget(testMemory)
	memory.Reserve(testMemory*3/4, admission.NextResponse)
	later := &request.Request{Key: []byte("k"), ID: []byte("i")}
	cancelled := nextRequest()
	c := newConnectionWith(resp.Codec{}, memory, later, nextRequest(), cancelled, nextRequest())
	cancelled.Cancel()
	c.receive(respValue(longValue) + respValue("short") + respValue(longValue) + respValue("last"))
	wantOutcomes := []upstream.Outcome{upstream.ResponseTooLarge, upstream.Served, upstream.Served, upstream.Served}
	if wantValues := []int{0, len("short"), 0, len("last")}; !slices.Equal(c.outcomes, wantOutcomes) || !slices.Equal(c.values, wantValues) {
		t.Errorf("outcomes %v with values of %v bytes, want %v with %v", c.outcomes, c.values, wantOutcomes, wantValues)
	}
	if used, want := memory.Used(), testMemory*3/4+len("short")+len("last"); used != want {
		t.Errorf("%d bytes are reserved, want %d", used, want)
	}
}

// The origin's protocol can't tell the end of a response without its value, so the connection is closed.
func TestLaterResponseOfTheOriginWithoutMemoryFails(t *testing.T) {
	memory := admission.NewMemoryBudget(testMemory)
	memory.Reserve(testMemory*3/4, admission.NextResponse)
	c := newConnectionWith(origin.Codec{Host: "o"}, memory, &request.Request{Key: []byte("k"), ID: []byte("i")})
	unread := c.receive(httpValue(longValue))
	if len(unread) < len(longValue)/2 || !c.conn.IsClosed() || !slices.Equal(c.outcomes, []upstream.Outcome{upstream.ResponseTooLarge}) {
		t.Errorf("%d bytes unread, closed %v, outcomes %v; want most unread, the connection closed and %v", len(unread), c.conn.IsClosed(),
			c.outcomes, upstream.ResponseTooLarge)
	}
}

// Memory that was reserved for a request before it was forwarded is used for its response, also where there is no other.
func TestReservedMemoryIsUsedForTheResponse(t *testing.T) {
	memory := admission.NewMemoryBudget(testMemory)
	const reserved = 64 << 10
	pipelined := &request.Request{Key: []byte("k"), ID: []byte("i")}
	pipelined.SetReservedMemory(reserved)
	memory.Reserve(reserved, admission.ExpectedResponse)
	memory.Reserve(testMemory-reserved, admission.NextResponse)
	c := newConnectionWith(resp.Codec{}, memory, pipelined)
	c.receive(respValue(longValue))
	if !slices.Equal(c.outcomes, []upstream.Outcome{upstream.Served}) || c.values[0] != len(longValue) {
		t.Errorf("outcomes %v with values of %v bytes, want the value", c.outcomes, c.values)
	}
	if used, want := memory.Used(), testMemory-reserved+len(longValue); used != want {
		t.Errorf("%d bytes are reserved, want %d: what the value does not need is given back", used, want)
	}
}

// A connection that ends gives back its memory and its wait for memory.
func TestClosedConnectionReleasesMemory(t *testing.T) {
	for _, isWaiting := range []bool{false, true} {
		memory := admission.NewMemoryBudget(testMemory)
		if isWaiting {
			memory.Reserve(testMemory, admission.NextResponse)
		}
		c := newConnectionWith(resp.Codec{}, memory, nextRequest())
		c.receive(respValue(longValue)[:40_000])
		if c.conn.IsWaitingForMemory() != isWaiting {
			t.Fatalf("the connection waits: %v, want %v", c.conn.IsWaitingForMemory(), isWaiting)
		}
		c.call(func(effects *upstream.Effects) { c.core.ConnectionEnded(c.now, c.conn, false, effects) })
		if isWaiting {
			memory.Release(testMemory)
		}
		if used := memory.Used(); used != 0 || c.notified != 0 {
			t.Errorf("waiting %v: %d bytes are reserved and %d notifications came after the end, want none", isWaiting, used, c.notified)
		}
	}
}
