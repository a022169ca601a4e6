package upstream

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"shelfproxy/internal/request"
)

// TestCancelledAttemptIsNotWritten checks that no byte of an attempt is written once its client has disconnected, whatever the
// attempt waits for. The connection that it waited for then carries the next attempt. The node may have withdrawn the attempt, or
// may not have been notified of the disconnect yet.
func TestCancelledAttemptIsNotWritten(t *testing.T) {
	for _, test := range []struct {
		name               string
		needsNewConnection bool
		isPipelined        bool // another attempt is in flight on the only connection
	}{
		{name: "waits for a dial"},
		{name: "waits for a dial of its own", needsNewConnection: true},
		{name: "waits behind another", isPipelined: true},
	} {
		for _, isWithdrawn := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, withdrawn %v", test.name, isWithdrawn), func(t *testing.T) {
				checkCancelledAttempt(t, test.needsNewConnection, test.isPipelined, isWithdrawn)
			})
		}
	}
}

func checkCancelledAttempt(t *testing.T, needsNewConnection, isPipelined, isWithdrawn bool) {
	t.Helper()
	now := time.Unix(1000, 0)
	maxConnections := 4
	if isPipelined {
		maxConnections = 1
	}
	core := newTestCore(testLimits(2, maxConnections))
	var effects Effects
	var conn *Conn
	if isPipelined {
		core.Send(now, newAttempt(now), &effects)
		conn = effects[0].Conn
		core.DialCompleted(now, conn, true, &effects)
		core.NextToWrite(now, conn, false, &effects)
		core.WriteCompleted(now, conn, true, true, &effects)
	}
	cancelled := &Attempt{Request: &request.Request{}, SentAt: now, NeedsNewConnection: needsNewConnection}
	core.Send(now, cancelled, &effects)
	cancelled.Request.Cancel()
	if isWithdrawn && !core.Withdraw(now, cancelled, &effects) {
		t.Error("got no withdrawal, want one: nothing of the attempt was written")
	}
	if conn == nil {
		conn = effects[0].Conn
		core.DialCompleted(now, conn, true, &effects)
	}
	effects = nil
	if got := core.NextToWrite(now, conn, false, &effects); got != nil {
		t.Fatal("got an attempt to write, want none: it is cancelled")
	}
	isReported := len(effects) > 0 && effects[len(effects)-1].Kind == ReportOutcome
	if want := !isWithdrawn; isReported != want {
		t.Errorf("reported %v, want %v", isReported, want)
	}
	next := newAttempt(now)
	core.Send(now, next, &effects)
	if got := core.NextToWrite(now, conn, false, &effects); got != next {
		t.Errorf("next to write is %p, want the next attempt %p", got, next)
	}
}

// TestPossiblyExecutedAttemptIsNotWithdrawn checks that an attempt is not withdrawn once a byte of it may have been written.
func TestPossiblyExecutedAttemptIsNotWithdrawn(t *testing.T) {
	now := time.Unix(1000, 0)
	core := newTestCore(testLimits(1, 4))
	attempt := newAttempt(now)
	var effects Effects
	core.Send(now, attempt, &effects)
	conn := effects[0].Conn
	core.DialCompleted(now, conn, true, &effects)
	core.NextToWrite(now, conn, false, &effects)
	attempt.Request.Cancel()
	if core.Withdraw(now, attempt, &effects) {
		t.Error("got a withdrawal, want none: the write of the attempt has started")
	}
}

// TestRetryIsNotWrittenAfterItsWriteDeadline checks the end of the time in which servers deduplicate a retry. If the connection
// is established later, the retry is not written, as it would be executed again, and the next attempt is written. Up to that time
// the retry is written.
func TestRetryIsNotWrittenAfterItsWriteDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	for delay, isInTime := range map[time.Duration]bool{0: true, time.Nanosecond: false} {
		core := newTestCore(testLimits(1, 1))
		retry := &Attempt{Request: &request.Request{}, SentAt: start, Deadline: start.Add(time.Hour), WriteBy: start.Add(400 * time.Millisecond)}
		next := &Attempt{Request: &request.Request{}, SentAt: start, Deadline: start.Add(time.Hour)}
		if got := retry.writeDeadline(); got != retry.WriteBy {
			t.Errorf("write deadline of the retry is %v, want %v", got, retry.WriteBy)
		}
		if got := next.writeDeadline(); got != next.Deadline {
			t.Errorf("write deadline of the next attempt is %v, want %v", got, next.Deadline)
		}
		var effects Effects
		core.Send(start, retry, &effects)
		conn := effects[0].Conn
		core.Send(start, next, &effects)
		now := retry.WriteBy.Add(delay)
		core.DialCompleted(now, conn, true, &effects)
		effects = nil
		written := core.NextToWrite(now, conn, false, &effects)
		if got := written == retry; got != isInTime {
			t.Errorf("%v late: retry written %v, want %v", delay, got, isInTime)
		}
		if isInTime {
			continue
		}
		if written == nil {
			written = core.NextToWrite(now, conn, false, &effects)
		}
		isReported := slices.ContainsFunc(effects, func(effect Effect) bool {
			return effect.Kind == ReportOutcome && effect.Attempt == retry && effect.Response.Outcome == NotSent
		})
		if !isReported {
			t.Errorf("%v late: got effects %+v, want a report of the retry as %v", delay, effects, NotSent)
		}
		if written != next {
			t.Errorf("%v late: next to write is %p, want the next attempt %p", delay, written, next)
		}
	}
}
