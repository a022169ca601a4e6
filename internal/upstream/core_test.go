package upstream

import (
	"testing"
	"time"
)

// TestConnectionIsReusedWhenResponsePrecedesWriteCompletion: the response to an attempt may come before the shell's report that the
// attempt is written. The connection then carries the next attempt; none is opened for it, and nothing is written to it meanwhile.
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
