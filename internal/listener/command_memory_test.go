package listener

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/request"
)

// longWriteSize is the length of the values in these tests, for two of which there is memory.
const longWriteSize = 10_000

// longWrite returns the bytes of a write of a long value.
func longWrite(id string) string {
	return fmt.Sprintf("*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$%d\r\n%s\r\n$13\r\nc=read,d=3000\r\n$%d\r\n%s\r\n", len(id), id, longWriteSize,
		strings.Repeat("v", longWriteSize))
}

// writingCore is a core with memory for two long values, and the requests that it has handed over.
type writingCore struct {
	*Core
	memory   *admission.MemoryBudget
	now      time.Time
	unread   map[*Conn]string // what clients have sent and the core has not read
	requests map[string]*request.Request
}

func newWritingCore() *writingCore {
	w := &writingCore{memory: admission.NewMemoryBudget(longWriteSize * 2 * 8 / 5), now: time.Unix(1000, 0), unread: map[*Conn]string{},
		requests: map[string]*request.Request{}}
	w.Core = newTestCore(w.now, Limits{MaxConnections: 64, MaxPipelined: 32, MaxValue: 64 << 10, FirstCommandTimeout: time.Minute,
		CrowdedIdleTimeout: time.Minute, IdleTimeout: time.Minute, RequestMemory: w.memory})
	return w
}

// send has a new client send bytes.
func (w *writingCore) send(bytes string) *Conn {
	conn := w.Accepted(w.now, w.now)
	w.sendMore(conn, bytes)
	return conn
}

func (w *writingCore) sendMore(conn *Conn, bytes string) {
	w.unread[conn] += bytes
	w.read(conn)
}

// read passes what a client has sent to the core, as far as the connection is not paused.
func (w *writingCore) read(conn *Conn) {
	var effects Effects
	if conn.IsPaused() {
		w.Resume(w.now, conn, &effects)
	}
	for !conn.IsPaused() && w.unread[conn] != "" {
		n := copy(conn.ReadBuffer(), w.unread[conn])
		w.unread[conn] = w.unread[conn][n:]
		w.BytesReceived(w.now, conn, n, &effects)
	}
	for _, effect := range effects {
		if effect.Kind == HandleRequest {
			w.requests[string(effect.Request.ID)] = effect.Request
		}
	}
}

// passTime lets time pass, and resumes the connections.
func (w *writingCore) passTime(duration time.Duration) {
	w.now = w.now.Add(duration)
	var effects Effects
	w.ExpireIdle(w.now, &effects)
	for conn := range w.unread {
		w.read(conn)
	}
}

// Guards against commands without a bound: a long value is not read before its memory is reserved, and waits until another request
// gives its memory back.
func TestLongValueIsNotReadWithoutMemory(t *testing.T) {
	w := newWritingCore()
	w.send(longWrite("first"))
	w.send(longWrite("second"))
	third := w.send(longWrite("third"))
	if len(w.requests) != 2 || len(w.unread[third]) < longWriteSize/2 || !third.IsPaused() {
		t.Fatalf("%d requests were handed over and %d bytes of the third are unread, want two and most of it", len(w.requests), len(w.unread[third]))
	}
	w.memory.Release(w.requests["first"].CommandMemory)
	w.read(third)
	if got := w.requests["third"]; got == nil || len(got.Value) != longWriteSize || got.CommandMemory != longWriteSize || got.IsValueDiscarded {
		t.Errorf("got the third request %+v once there is memory, want it with its value", got)
	}
}

// A client that stops in the middle of a long value keeps no memory from others. Once it goes on, its request is rejected: it can
// be told so, as nothing of it was forwarded.
func TestStalledLongValueLosesItsMemoryToOthers(t *testing.T) {
	w := newWritingCore()
	half := longWrite("stalled")[:longWriteSize/2]
	stalled := w.send(half)
	w.send(longWrite("first"))
	w.send(longWrite("second"))
	w.passTime(maxArgumentTime - time.Millisecond)
	if w.requests["second"] != nil {
		t.Fatal("the second write got memory at once, want it to wait")
	}
	w.passTime(time.Millisecond)
	if got := w.requests["second"]; got == nil || len(got.Value) != longWriteSize {
		t.Fatalf("got the second request %+v after the time for an argument, want it with its value", got)
	}
	w.sendMore(stalled, longWrite("stalled")[len(half):])
	if got := w.requests["stalled"]; got == nil || !got.IsValueDiscarded || len(got.Value) != 0 || got.CommandMemory != 0 {
		t.Errorf("got the stalled request %+v once it is complete, want it without its value", got)
	}
}

// A write does not wait for memory until its client has given up: after a while it is read without its value, and rejected.
func TestLongValueIsDiscardedAfterTheLongestWait(t *testing.T) {
	w := newWritingCore()
	w.send(longWrite("first"))
	w.send(longWrite("second"))
	w.send(longWrite("third"))
	w.passTime(maxMemoryWait)
	if got := w.requests["third"]; got == nil || !got.IsValueDiscarded {
		t.Errorf("got the third request %+v after the longest wait, want it without its value", got)
	}
	for id, r := range w.requests {
		w.memory.Release(r.CommandMemory)
		if isLast := id == "third"; r.IsValueDiscarded != isLast {
			t.Errorf("%s: value discarded %v, want %v", id, r.IsValueDiscarded, isLast)
		}
	}
	if w.memory.Used() != 0 {
		t.Errorf("%d bytes are reserved in the end, want 0", w.memory.Used())
	}
}

// Guards against the loss of a write that its client has sent: the time in which the node does not read a connection, for lack of
// memory, does not count as silence of the client.
func TestConnectionThatWaitsForMemoryIsNotSilent(t *testing.T) {
	w := newWritingCore()
	w.table = admission.NewConnectionTable(connectionPolicy(Limits{MaxConnections: 64, FirstCommandTimeout: maxMemoryWait / 2,
		CrowdedIdleTimeout: time.Minute, IdleTimeout: time.Minute}))
	w.send(longWrite("first"))
	w.send(longWrite("second"))
	waiting := w.send(longWrite("waiting"))
	for range 3 {
		w.passTime(maxMemoryWait / 4)
	}
	if waiting.closeAfterResponses || waiting.IsClosed() {
		t.Error("the connection is to be closed while it is not read, want it kept")
	}
	w.passTime(maxMemoryWait / 4)
	if w.requests["waiting"] == nil || waiting.closeAfterResponses || waiting.IsClosed() {
		t.Errorf("request handed over: %v, connection to be closed: %v; want the request and the connection kept", w.requests["waiting"] != nil,
			waiting.closeAfterResponses)
	}
}

// A connection that ends gives back the memory of a partial command, and its place among those that wait.
func TestClosedConnectionReleasesCommandMemory(t *testing.T) {
	w := newWritingCore()
	half := longWrite("id")[:longWriteSize/2]
	for _, conn := range []*Conn{w.send(half), w.send(half), w.send(half), w.send(half)} {
		var effects Effects
		w.ConnectionEnded(w.now, conn, &effects)
	}
	if w.memory.Used() != 0 || len(w.longArguments) != 0 {
		t.Errorf("%d bytes are reserved and %d connections are known to read long arguments, want none", w.memory.Used(), len(w.longArguments))
	}
}

// A long echo keeps the memory of its command until it is written.
func TestLongEchoKeepsTheMemoryOfItsCommand(t *testing.T) {
	w := newWritingCore()
	conn := w.send(fmt.Sprintf("*2\r\n$4\r\nPING\r\n$%d\r\n%s\r\n", longWriteSize, strings.Repeat("e", longWriteSize)))
	if got := w.memory.Used(); got != longWriteSize {
		t.Errorf("%d bytes are reserved while the echo is unsent, want %d", got, longWriteSize)
	}
	var effects Effects
	if _, size := w.NextToWrite(w.now, conn, nil); size < longWriteSize {
		t.Fatalf("got %d bytes to write, want the echo", size)
	}
	w.WriteCompleted(w.now, conn, true, &effects)
	if got := w.memory.Used(); got != 0 {
		t.Errorf("%d bytes are reserved once the echo is written, want 0", got)
	}
}
