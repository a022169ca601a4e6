package upstream

import (
	"slices"
	"testing"
	"time"
)

// sharedConnection is a connection with two written attempts. It records how they end.
type sharedConnection struct {
	core          *Core
	conn          *Conn
	now           time.Time
	first, second *Attempt
	effects       Effects
}

const (
	firstTimeout = 2 * time.Second
	testDropped  = 250 * time.Millisecond
)

func newSharedConnection(t *testing.T, secondCopies bool, secondTimeout time.Duration) *sharedConnection {
	t.Helper()
	limits := testLimits(2, 1)
	limits.DroppedWithin, limits.SecondCopies = testDropped, secondCopies
	s := &sharedConnection{core: newTestCore(limits), now: time.Unix(1000, 0)}
	s.first, s.second = newAttempt(s.now), newAttempt(s.now)
	s.first.Deadline, s.second.Deadline = s.now.Add(firstTimeout), s.now.Add(secondTimeout)
	s.core.Send(s.now, s.first, &s.effects)
	s.conn = s.effects[0].Conn
	s.core.DialCompleted(s.now, s.conn, true, &s.effects)
	s.core.Send(s.now, s.second, &s.effects)
	for range 2 {
		s.core.NextToWrite(s.now, s.conn, false, &s.effects)
		s.core.WriteCompleted(s.now, s.conn, true, true, &s.effects)
	}
	if got := s.conn.InFlight(); got != 2 {
		t.Fatalf("%d attempts on the connection, want 2", got)
	}
	return s
}

// receive lets time pass and the server send a response: 'a' with a value, 'm' for a miss.
func (s *sharedConnection) receive(after time.Duration, response byte) {
	s.now = s.now.Add(after)
	if s.conn.IsClosed() {
		return
	}
	s.conn.Decoder.ReadBuffer()[0] = response
	s.core.BytesReceived(s.now, s.conn, 1, &s.effects)
}

func (s *sharedConnection) abandon(after time.Duration, attempt *Attempt) {
	s.now = s.now.Add(after)
	s.core.Abandon(s.now, attempt, &s.effects)
}

// outcome returns how an attempt was reported to end; "" if it was not.
func (s *sharedConnection) outcome(attempt *Attempt) string {
	i := slices.IndexFunc(s.effects, func(e Effect) bool { return e.Kind == ReportOutcome && e.Attempt == attempt })
	if i < 0 {
		return ""
	}
	return s.effects[i].Response.Outcome.String()
}

// TestResponseBelongsToItsAttemptForCertain guards against a client that is served with the value of another request: a server drops
// an attempt with little time left, and its next response is taken for the one that it dropped. It also guards against a request that is
// out twice: an abandoned attempt is out until its connection is closed.
func TestResponseBelongsToItsAttemptForCertain(t *testing.T) {
	const late = firstTimeout - testDropped + time.Millisecond // from here on the first attempt may have been dropped
	for _, test := range []struct {
		name                  string
		secondCopies          bool
		secondTimeout         time.Duration
		play                  func(s *sharedConnection)
		wantFirst, wantSecond string
		wantsClosed           bool
	}{
		{"both answered in time", false, time.Minute, func(s *sharedConnection) { s.receive(0, 'm'); s.receive(0, 'a') }, "missed", "served", false},
		{"one answered in time", false, time.Minute, func(s *sharedConnection) { s.receive(late-2*time.Millisecond, 'm') }, "missed", "", false},
		{"one answered late", false, time.Minute, func(s *sharedConnection) { s.receive(late, 'a') }, "", "", false},
		{"both answered late", false, time.Minute, func(s *sharedConnection) { s.receive(late, 'm'); s.receive(0, 'a') }, "missed", "served", false},
		{"one answered late, the first timed out", true, time.Minute, func(s *sharedConnection) {
			s.receive(late, 'a')
			s.abandon(testDropped, s.first)
		}, "", "displaced", true},
		{"the first timed out", true, time.Minute, func(s *sharedConnection) { s.abandon(firstTimeout, s.first); s.receive(0, 'a') }, "", "displaced", true},
		{"the second timed out", false, time.Second, func(s *sharedConnection) { s.abandon(time.Second, s.second); s.receive(0, 'm') }, "missed", "", true},
		{"the first cancelled", false, time.Minute, func(s *sharedConnection) { s.abandon(time.Second, s.first); s.receive(0, 'a') }, "", "displaced", true},
		{"the second cancelled", false, time.Minute, func(s *sharedConnection) { s.abandon(time.Second, s.second); s.receive(0, 'a') }, "displaced", "", true},
		{"the first cancelled, second copies allowed", true, time.Minute, func(s *sharedConnection) {
			s.abandon(time.Second, s.first)
			s.receive(0, 'm')
			s.receive(0, 'a')
		}, "", "served", false},
		{"the first cancelled, second copies allowed, one answered late", true, time.Minute, func(s *sharedConnection) {
			s.abandon(time.Second, s.first)
			s.receive(late-time.Second, 'a')
		}, "", "displaced", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSharedConnection(t, test.secondCopies, test.secondTimeout)
			test.play(s)
			if first, second := s.outcome(s.first), s.outcome(s.second); first != test.wantFirst || second != test.wantSecond {
				t.Errorf("the attempts ended as %q and %q, want %q and %q", first, second, test.wantFirst, test.wantSecond)
			}
			if s.conn.IsClosed() != test.wantsClosed {
				t.Errorf("the connection is closed: %v, want %v", s.conn.IsClosed(), test.wantsClosed)
			}
		})
	}
}

// TestNothingIsPutBehindAnAttemptThatMayBeDropped guards against the same for attempts that have little time from the start: another one
// gets a connection of its own or, if none may be opened, waits.
func TestNothingIsPutBehindAnAttemptThatMayBeDropped(t *testing.T) {
	for _, maxConnections := range []int{1, 2} {
		for _, timeLeft := range []time.Duration{20 * time.Millisecond, testDropped, time.Second} {
			now := time.Unix(1000, 0)
			limits := testLimits(32, maxConnections)
			limits.DroppedWithin, limits.PipelineWithin = testDropped, time.Second
			core := newTestCore(limits)
			hurried, next := newAttempt(now), newAttempt(now)
			hurried.Deadline, next.Deadline = now.Add(timeLeft), now.Add(time.Minute)
			var effects Effects
			core.Send(now, hurried, &effects)
			conn := effects[0].Conn
			core.DialCompleted(now, conn, true, &effects)
			core.NextToWrite(now, conn, false, &effects)
			core.WriteCompleted(now, conn, true, true, &effects)
			core.Send(now, next, &effects)
			if isBehind, want := conn.InFlight() == 2, timeLeft > testDropped; isBehind != want {
				t.Errorf("%d connections, %v left: the next attempt is put behind: %v, want %v", maxConnections, timeLeft, isBehind, want)
			}
		}
	}
}
