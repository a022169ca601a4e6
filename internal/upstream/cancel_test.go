package upstream

import (
	"slices"
	"testing"
	"time"

	"shelfproxy/internal/request"
)

// TestGoneBeforeItIsWritten: whatever a forward waits for as its client leaves, not a byte of it is written, and the connection
// that it waited for carries the next one. The node may have taken it back, or not have heard yet.
func TestGoneBeforeItIsWritten(t *testing.T) {
	now := time.Unix(1000, 0)
	for name, wait := range map[string]struct {
		fresh bool
		first bool // another is out, and no more connections may be opened
	}{"a dial": {}, "a dial of its own": {fresh: true}, "behind another": {first: true}} {
		for _, heard := range []bool{true, false} {
			conns := 4
			if wait.first {
				conns = 1
			}
			p := NewCore("s", line{}, Limits{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxStreams: 2, MaxConnections: conns, MaxQueued: 4}, NewDescriptorBudget(4))
			var fx Effects
			var c *Conn
			if wait.first {
				p.Send(now, &Attempt{Request: &request.Request{}, SentAt: now}, &fx)
				c = fx[0].Conn
				p.DialCompleted(now, c, true, &fx)
				p.NextToWrite(now, c, false, &fx)
				p.WriteCompleted(now, c, true, true, &fx)
			}
			gone, next := &Attempt{Request: &request.Request{}, SentAt: now, NeedsNewConnection: wait.fresh}, &Attempt{Request: &request.Request{}, SentAt: now}
			p.Send(now, gone, &fx)
			gone.Request.Cancel()
			if heard && !p.Withdraw(now, gone, &fx) {
				t.Errorf("%s: it can't be taken back", name)
			}
			if c == nil {
				c = fx[0].Conn
				p.DialCompleted(now, c, true, &fx)
			}
			fx = nil
			if f := p.NextToWrite(now, c, false, &fx); f != nil {
				t.Fatalf("%s, heard %v: it is written", name, heard)
			}
			if reported := len(fx) > 0 && fx[len(fx)-1].Kind == ReportOutcome; reported == heard {
				t.Errorf("%s, heard %v: reported %v", name, heard, reported)
			}
			p.Send(now, next, &fx)
			if f := p.NextToWrite(now, c, false, &fx); f != next {
				t.Errorf("%s, heard %v: the connection does not carry the next one", name, heard)
			}
		}
	}
}

// TestNotTakenBackOnceItMayHaveRun: a forward of which a byte may be out is no longer withdrawn.
func TestNotTakenBackOnceItMayHaveRun(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewCore("s", line{}, Limits{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxStreams: 1, MaxConnections: 4, MaxQueued: 4}, NewDescriptorBudget(4))
	f := &Attempt{Request: &request.Request{}, SentAt: now}
	var fx Effects
	p.Send(now, f, &fx)
	p.DialCompleted(now, fx[0].Conn, true, &fx)
	p.NextToWrite(now, fx[0].Conn, false, &fx)
	f.Request.Cancel()
	if p.Withdraw(now, f, &fx) {
		t.Error("it is taken back")
	}
}

// TestRepeatIsWrittenInItsTime: a connection comes up after the time in which servers drop a repeat: it is not written, as it would
// run again, and the next forward is. Up to then it is.
func TestRepeatIsWrittenInItsTime(t *testing.T) {
	start := time.Unix(1000, 0)
	for late, want := range map[time.Duration]bool{0: true, time.Nanosecond: false} {
		p := NewCore("s", line{}, Limits{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxStreams: 1, MaxConnections: 1, MaxQueued: 4}, NewDescriptorBudget(4))
		repeat := &Attempt{Request: &request.Request{}, SentAt: start, Deadline: start.Add(time.Hour), WriteBy: start.Add(400 * time.Millisecond)}
		next := &Attempt{Request: &request.Request{}, SentAt: start, Deadline: start.Add(time.Hour)}
		if repeat.writeBy() != repeat.WriteBy || next.writeBy() != next.Deadline {
			t.Error("what has not left is given up at another time")
		}
		var fx Effects
		p.Send(start, repeat, &fx)
		c := fx[0].Conn
		p.Send(start, next, &fx)
		now := repeat.WriteBy.Add(late)
		p.DialCompleted(now, c, true, &fx)
		fx = nil
		f := p.NextToWrite(now, c, false, &fx)
		if written := f == repeat; written != want {
			t.Errorf("%v late: written %v", late, written)
		}
		if want {
			continue
		}
		if f == nil {
			f = p.NextToWrite(now, c, false, &fx)
		}
		if !slices.ContainsFunc(fx, func(e Effect) bool {
			return e.Kind == ReportOutcome && e.Attempt == repeat && e.Response.Outcome == NotSent
		}) {
			t.Errorf("%v late: it is not reported: %+v", late, fx)
		}
		if f != next {
			t.Errorf("%v late: the next is not written", late)
		}
	}
}
