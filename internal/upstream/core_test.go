package upstream

import (
	"testing"
	"time"
)

// TestConnectionIsReusedWhenResponsePrecedesWriteCompletion checks a response that comes before the shell's report that the
// attempt is written. The connection carries the next attempt: no other connection is opened for it, and nothing is written to
// the connection before the report.
func TestConnectionIsReusedWhenResponsePrecedesWriteCompletion(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(testLimits(1, 4))
	first, next := newAttempt(now), newAttempt(now)
	var effects Effects
	core.Send(now, first, &effects)
	conn := effects[0].Conn
	core.DialCompleted(now, conn, true, &effects)
	if got := core.NextToWrite(now, conn, false, &effects); got != first {
		t.Fatalf("next to write is %p, want the first attempt %p", got, first)
	}
	conn.Decoder.ReadBuffer()[0] = 'a'
	core.BytesReceived(now, conn, 1, &effects)
	effects = nil
	core.Send(now, next, &effects)
	for _, effect := range effects {
		if effect.Kind == Dial {
			t.Error("got another connection opened, want none")
		}
	}
	if got := core.NextToWrite(now, conn, false, &effects); got != nil {
		t.Errorf("next to write during the write before is %p, want none", got)
	}
	core.WriteCompleted(now, conn, true, true, &effects)
	if got := core.NextToWrite(now, conn, false, &effects); got != next {
		t.Errorf("next to write is %p, want the next attempt %p", got, next)
	}
}

// TestStaleConnectionIsNotWritten checks a connection that has bytes to read, or has ended, while no response is awaited. The
// connection is closed, and the attempt that was to be written on it gets another connection.
func TestStaleConnectionIsNotWritten(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(testLimits(1, 4))
	attempt := newAttempt(now)
	var effects Effects
	core.Send(now, attempt, &effects)
	stale := effects[0].Conn
	core.DialCompleted(now, stale, true, &effects)
	effects = nil
	if got := core.NextToWrite(now, stale, true, &effects); got != nil {
		t.Errorf("next to write on the stale connection is %p, want none", got)
	}
	if !stale.IsClosed() {
		t.Error("the stale connection is open, want it closed")
	}
	var dialed *Conn
	for _, effect := range effects {
		switch effect.Kind {
		case Dial:
			dialed = effect.Conn
		case ReportOutcome:
			t.Errorf("got a report of %v, want none: nothing of the attempt was written", effect.Response.Outcome)
		}
	}
	if dialed == nil {
		t.Fatal("got no other connection opened, want one")
	}
	core.DialCompleted(now, dialed, true, &effects)
	if got := core.NextToWrite(now, dialed, false, &effects); got != attempt {
		t.Errorf("next to write on the other connection is %p, want the attempt %p", got, attempt)
	}
}

// TestStaleConnectionIsNotWrittenForSeveralAttempts guards against a stray response that is taken for the one to a request: a second
// attempt that was put on an idle connection before the first one was written kept the connection from being checked.
func TestStaleConnectionIsNotWrittenForSeveralAttempts(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(testLimits(2, 1))
	var effects Effects
	core.Send(now, newAttempt(now), &effects)
	stale := effects[0].Conn
	core.DialCompleted(now, stale, true, &effects)
	core.Send(now, newAttempt(now), &effects)
	if got := stale.InFlight(); got != 2 {
		t.Fatalf("%d attempts on the connection, want 2", got)
	}
	if !stale.AwaitsNoResponse() {
		t.Error("the connection is not checked for stray bytes, want it checked")
	}
	if got := core.NextToWrite(now, stale, true, &effects); got != nil || !stale.IsClosed() {
		t.Errorf("next to write on the stale connection is %p, closed %v; want none and closed", got, stale.IsClosed())
	}
	if got := core.Queued(); got != 2 {
		t.Errorf("%d attempts wait for another connection, want 2", got)
	}
}
