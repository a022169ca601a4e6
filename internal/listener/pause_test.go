package listener

import (
	"testing"
	"time"

	"shelfproxy/internal/pause"
)

// TestArrivalIsBeforeAPause: what is read after a pause may have come at its beginning, whichever goroutine runs first; later, and
// without a pause, it came when it is read.
func TestArrivalIsBeforeAPause(t *testing.T) {
	const wait, pauseLength = 100 * time.Millisecond, time.Second
	start := time.Unix(1000, 0)
	var tracker pauseTracker
	tracker.called(start, wait)
	tracker.called(start.Add(wait+pause.MinLength-time.Millisecond), wait) // a little late
	lastCall := start.Add(wait + pause.MinLength - time.Millisecond)
	if now := lastCall.Add(wait); !tracker.earliestArrival(now).Equal(now) {
		t.Errorf("without a pause: came %v before it is read, want 0", now.Sub(tracker.earliestArrival(now)))
	}
	resumed := lastCall.Add(pauseLength)
	if got := tracker.earliestArrival(resumed); !got.Equal(lastCall) {
		t.Errorf("before the call that shows the pause: came %v after its beginning, want 0", got.Sub(lastCall))
	}
	tracker.called(resumed, wait)
	if got := tracker.earliestArrival(resumed.Add(settleTime - 1)); !got.Equal(lastCall) {
		t.Errorf("behind that call: came %v after its beginning, want 0", got.Sub(lastCall))
	}
	if now := resumed.Add(settleTime); !tracker.earliestArrival(now).Equal(now) {
		t.Errorf("later: came %v before it is read, want 0", now.Sub(tracker.earliestArrival(now)))
	}
}

// TestArrivalIsBoundedByTheConnection: a command came neither before the response to the last one, nor before its connection was opened;
// on a connection that waited to be accepted it may have come at once.
func TestArrivalIsBoundedByTheConnection(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		acceptedAt, openedSince int // ms
		writtenAt               int // of the last response; 0 for none
		readAt, earliest        int
		arrivedBy               int // as the kernel has it; 0 if it does not
		want                    int
	}{
		"no pause":                          {0, 0, 0, 900, 900, 0, 900},
		"a pause":                           {0, 0, 0, 900, 300, 0, 300},
		"a pause, opened in it":             {900, 300, 0, 901, 300, 0, 300},
		"a pause, opened after it":          {900, 900, 0, 910, 300, 0, 900},
		"a pause, a response in it":         {0, 0, 500, 900, 300, 0, 500},
		"waited to be accepted":             {800, 200, 0, 820, 820, 0, 200},
		"waited to be accepted, sent later": {800, 200, 0, 900, 900, 0, 900},
		"no pause, read late":               {0, 0, 0, 900, 900, 700, 700},
		"a pause, known to the kernel":      {0, 0, 500, 900, 300, 700, 500},
		"paused before it was read":         {0, 0, 0, 900, 300, 200, 200},
		"waited, then a response":           {800, 200, 810, 830, 830, 0, 830},
	} {
		var conn Conn
		conn.accepted(at(test.acceptedAt), at(test.openedSince))
		if test.writtenAt > 0 {
			conn.quietSince = at(test.writtenAt)
		}
		if test.arrivedBy > 0 {
			conn.BytesArrived(at(test.arrivedBy))
		}
		if got := conn.arrival(at(test.readAt), at(test.earliest)); !got.Equal(at(test.want)) {
			t.Errorf("%s: came at %v, want %v", name, got.Sub(start), at(test.want).Sub(start))
		}
	}
}

// TestConnectionsWaitWhileNoneCanBeAccepted: what is accepted behind failures in a row may have waited since the first.
func TestConnectionsWaitWhileNoneCanBeAccepted(t *testing.T) {
	start := time.Unix(1000, 0)
	var queue acceptQueue
	queue.failed(start)
	queue.failed(start.Add(time.Second))
	if got := queue.succeeded(start.Add(time.Second + time.Millisecond)); !got.Equal(start) {
		t.Errorf("behind failures: waits since %v after the first, want 0", got.Sub(start))
	}
	if now := start.Add(2 * time.Second); !queue.succeeded(now).Equal(now) {
		t.Error("later: waited, want not")
	}
	from := start.Add(3 * time.Second)
	queue.blocked(from, from.Add(time.Second))
	if got := queue.succeeded(from.Add(time.Second)); !got.Equal(from) {
		t.Errorf("behind a wait for capacity: waits since %v after its beginning, want 0", got.Sub(from))
	}
}

// TestArrivalIsNotBoundedByTheEndOfAWrite: a client may have its response long before the process sees the end of the write, and the
// next command may come meanwhile.
func TestArrivalIsNotBoundedByTheEndOfAWrite(t *testing.T) {
	const pauseLength = 2 * time.Second
	start := time.Unix(1000, 0)
	core := newTestCore(start, coreTestLimits)
	conn := core.Accepted(start, start)
	var effects Effects
	core.ExpireIdle(start, &effects)
	core.BytesReceived(start, conn, copy(conn.ReadBuffer(), "*1\r\n$4\r\nPING\r\n"), &effects)
	core.NextToWrite(start, conn, nil)
	resumed := start.Add(pauseLength)
	core.WriteCompleted(resumed, conn, true, &effects)
	effects = nil
	core.BytesReceived(resumed, conn, copy(conn.ReadBuffer(), "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$2\r\nid\r\n$13\r\nc=read,d=3000\r\n"), &effects)
	if len(effects) != 1 || effects[0].Kind != HandleRequest {
		t.Fatalf("got effects %+v, want a request", effects)
	}
	if got := effects[0].Request.ReceivedAt; !got.Equal(start) {
		t.Errorf("the request came %v after the write began, want 0", got.Sub(start))
	}
}
