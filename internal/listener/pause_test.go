package listener

import (
	"testing"
	"time"

	"shelfproxy/internal/pause"
)

// TestArrivalIsBeforeAPause guards against requests that get too much time because the process was paused when they arrived.
// Bytes that are read right after a pause may have arrived at its beginning, whether the reader or the periodic call runs first.
// Without a pause, and once settleTime has passed since the end of a pause, bytes count as arriving when they are read.
func TestArrivalIsBeforeAPause(t *testing.T) {
	const wait, pauseLength = 100 * time.Millisecond, time.Second
	start := time.Unix(1000, 0)
	var tracker pauseTracker
	tracker.called(start, wait)
	tracker.called(start.Add(wait+pause.MinLength-time.Millisecond), wait) // late, but by less than pause.MinLength
	lastCall := start.Add(wait + pause.MinLength - time.Millisecond)
	if now := lastCall.Add(wait); !tracker.earliestArrival(now).Equal(now) {
		t.Errorf("without a pause: arrived %v before it is read, want 0", now.Sub(tracker.earliestArrival(now)))
	}
	resumed := lastCall.Add(pauseLength)
	if got := tracker.earliestArrival(resumed); !got.Equal(lastCall) {
		t.Errorf("before the call that shows the pause: arrived %v after its beginning, want 0", got.Sub(lastCall))
	}
	tracker.called(resumed, wait)
	if got := tracker.earliestArrival(resumed.Add(settleTime - 1)); !got.Equal(lastCall) {
		t.Errorf("after the call that shows the pause: arrived %v after its beginning, want 0", got.Sub(lastCall))
	}
	if now := resumed.Add(settleTime); !tracker.earliestArrival(now).Equal(now) {
		t.Errorf("settleTime after the pause: arrived %v before it is read, want 0", now.Sub(tracker.earliestArrival(now)))
	}
}

// TestArrivalIsBoundedByTheConnection checks the bounds of a command's arrival time. A command arrived neither before the response
// to the previous command nor before its connection was opened. If the connection waited to be accepted, the command may have
// arrived as soon as the connection was opened.
func TestArrivalIsBoundedByTheConnection(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for name, test := range map[string]struct {
		acceptedAt, openedSince int // in ms: when the connection was accepted, and the earliest time at which its client may have opened it
		writtenAt               int // when the last response was written; 0 for none
		readAt, earliest        int
		arrivedBy               int // arrival time that the kernel reports; 0 for none
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
			conn.sentAfter = at(test.writtenAt)
		}
		if test.arrivedBy > 0 {
			conn.BytesArrived(at(test.arrivedBy))
		}
		if got := conn.arrival(at(test.readAt), at(test.earliest)); !got.Equal(at(test.want)) {
			t.Errorf("%s: arrived at %v, want %v", name, got.Sub(start), at(test.want).Sub(start))
		}
	}
}

// TestConnectionsWaitWhileNoneCanBeAccepted checks the time from which an accepted connection may have waited. After consecutive
// failed accepts, that is the time of the first of them. After a wait for capacity, it is the beginning of the wait. Otherwise it
// is the time of the accept.
func TestConnectionsWaitWhileNoneCanBeAccepted(t *testing.T) {
	start := time.Unix(1000, 0)
	var queue acceptQueue
	queue.failed(start)
	queue.failed(start.Add(time.Second))
	if got := queue.succeeded(start.Add(time.Second + time.Millisecond)); !got.Equal(start) {
		t.Errorf("after failures: waited since %v after the first, want 0", got.Sub(start))
	}
	if now := start.Add(2 * time.Second); !queue.succeeded(now).Equal(now) {
		t.Error("one second after the failures: got a connection that waited, want one that did not")
	}
	from := start.Add(3 * time.Second)
	queue.blocked(from, from.Add(time.Second))
	if got := queue.succeeded(from.Add(time.Second)); !got.Equal(from) {
		t.Errorf("after a wait for capacity: waited since %v after its beginning, want 0", got.Sub(from))
	}
}

// TestArrivalIsNotBoundedByTheEndOfAWrite guards against an arrival time that is too late after a pause during a write. The client
// may receive its response and send the next command long before the process sees the end of the write.
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
		t.Errorf("the request arrived %v after the write began, want 0", got.Sub(start))
	}
}
