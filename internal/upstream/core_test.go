package upstream

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"shelfproxy/internal/request"
)

// line is a protocol of single bytes: a request is its id, its answer 'a' for a value, 'm' for a miss, '!' for garbage.
type line struct{}

func (line) AppendRequest(b []byte, f *Attempt, _ time.Time) []byte { return append(b, 'q') }
func (line) NewDecoder() Decoder                                    { return &lineDecoder{} }

type lineDecoder struct {
	in   [1]byte
	have []byte
}

func (d *lineDecoder) ReadBuffer() []byte { return d.in[:] }
func (d *lineDecoder) BytesRead(n int)    { d.have = append(d.have, d.in[:n]...) }
func (d *lineDecoder) Buffered() int      { return len(d.have) }
func (d *lineDecoder) Release()           {}
func (d *lineDecoder) NextResponse(bool) (Response, bool, error) {
	if len(d.have) == 0 {
		return Response{}, false, nil
	}
	b := d.have[0]
	d.have = d.have[1:]
	switch b {
	case 'a':
		return Response{Outcome: Served, Value: []byte("v")}, true, nil
	case 'm':
		return Response{Outcome: Missed}, true, nil
	}
	return Response{}, false, ErrMalformedResponse
}

// TestAnsweredBeforeItIsWritten: a connection whose answer overtakes the word that its request is written carries the next forward;
// none is opened for it.
func TestAnsweredBeforeItIsWritten(t *testing.T) {
	now := time.Unix(1000, 0)
	p := NewCore("s", line{}, Limits{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxStreams: 1, MaxConnections: 4, MaxQueued: 4}, NewDescriptorBudget(4))
	first, next := &Attempt{Request: &request.Request{}, SentAt: now}, &Attempt{Request: &request.Request{}, SentAt: now}
	var fx Effects
	p.Send(now, first, &fx)
	c := fx[0].Conn
	p.DialCompleted(now, c, true, &fx)
	if p.NextToWrite(now, c, false, &fx) != first {
		t.Fatal("it is not written")
	}
	c.Decoder.ReadBuffer()[0] = 'a'
	p.BytesReceived(now, c, 1, &fx)
	fx = nil
	p.Send(now, next, &fx)
	for _, e := range fx {
		if e.Kind == Dial {
			t.Error("another connection is opened")
		}
	}
	if p.NextToWrite(now, c, false, &fx) != nil {
		t.Error("the next is written into the one before")
	}
	p.WriteCompleted(now, c, true, true, &fx)
	if p.NextToWrite(now, c, false, &fx) != next {
		t.Error("the next is not written")
	}
}

// TestCoreInAnyOrder calls a pool's core in any order that a shell could: each forward ends once or is given up, none is
// written to a server that left or after it was given up, what is said never to have run was not written whole, descriptors are
// given back, and the limits hold.
func TestCoreInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const most = 4
		budget := NewDescriptorBudget(rapid.IntRange(0, 3).Draw(t, "budget"))
		total, _ := budget.Usage()
		limits := Limits{ConnectTimeout: time.Second, IdleTimeout: 3 * time.Second, MaxStreams: rapid.IntRange(1, 3).Draw(t, "streams"), MaxConnections: most,
			MaxQueued: 3, PipelineWithin: time.Duration(rapid.IntRange(0, 1).Draw(t, "share")) * time.Second}
		p := NewCore("s", line{}, limits, budget)
		now := time.Unix(1000, 0)
		var all []*Attempt
		ends := map[*Attempt]int{}
		whole := map[*Attempt]bool{}
		var dialing, conns []*Conn
		writing := map[*Conn]*Attempt{}
		left := false
		check := func(f *Attempt, end Outcome) {
			ends[f]++
			switch end {
			case ConnectFailed, WriteInterrupted, PoolExhausted, ServerDraining, NotSent:
				if whole[f] {
					t.Fatalf("a forward that was written whole ends as %v", end)
				}
			}
		}
		carry := func(fx Effects) {
			for _, e := range fx {
				switch e.Kind {
				case Dial:
					dialing = append(dialing, e.Conn)
				case ReportOutcome:
					if e.Attempt.given {
						t.Fatal("a forward that was given up is reported")
					}
					check(e.Attempt, e.Response.Outcome)
				}
			}
		}
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "which") }
		t.Repeat(map[string]func(*rapid.T){
			"send": func(t *rapid.T) {
				f := &Attempt{Request: &request.Request{}, SentAt: now, Deadline: now.Add(time.Minute), NeedsNewConnection: rapid.IntRange(0, 4).Draw(t, "fresh") == 0}
				all = append(all, f)
				var fx Effects
				if end, ok := p.Send(now, f, &fx); !ok {
					check(f, end)
				}
				carry(fx)
			},
			"dialed": func(t *rapid.T) {
				if len(dialing) == 0 {
					return
				}
				i := pick(len(dialing))
				c := dialing[i]
				dialing = append(dialing[:i], dialing[i+1:]...)
				up := rapid.IntRange(0, 3).Draw(t, "up") > 0
				var fx Effects
				if p.DialCompleted(now, c, up, &fx); up {
					conns = append(conns, c)
				}
				carry(fx)
			},
			"pull": func(t *rapid.T) {
				if len(conns) == 0 {
					return
				}
				c := conns[pick(len(conns))]
				if writing[c] != nil {
					return
				}
				var fx Effects
				f := p.NextToWrite(now, c, rapid.IntRange(0, 9).Draw(t, "stale") == 0, &fx)
				carry(fx)
				if f == nil {
					return
				}
				if left || f.given || ends[f] > 0 || c.closed || f.Request.IsCancelled() {
					t.Fatalf("written though left %v, given up %v, ended %d times, closed %v, client gone %v", left, f.given, ends[f], c.closed, f.Request.IsCancelled())
				}
				writing[c] = f
			},
			"wrote": func(t *rapid.T) {
				for c, f := range writing {
					delete(writing, c)
					good := rapid.IntRange(0, 4).Draw(t, "good") > 0 && !c.closed
					if whole[f] = good || rapid.Bool().Draw(t, "whole"); !whole[f] {
						good = false
					}
					var fx Effects
					p.WriteCompleted(now, c, whole[f], good, &fx)
					carry(fx)
					return
				}
			},
			"answer": func(t *rapid.T) {
				if len(conns) == 0 {
					return
				}
				c := conns[pick(len(conns))]
				if c.closed {
					return
				}
				if len(c.pending) > 0 && writing[c] == c.pending[0] {
					whole[c.pending[0]] = true // who answers has read it
				}
				c.Decoder.ReadBuffer()[0] = "aaam!"[rapid.IntRange(0, 4).Draw(t, "byte")]
				var fx Effects
				p.BytesReceived(now, c, 1, &fx)
				carry(fx)
			},
			"ended": func(t *rapid.T) {
				if len(conns) > 0 {
					var fx Effects
					p.ConnectionEnded(now, conns[pick(len(conns))], rapid.Bool().Draw(t, "in order"), &fx)
					carry(fx)
				}
			},
			"abandon": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				f := all[pick(len(all))]
				if f.given || ends[f] > 0 {
					return
				}
				var fx Effects
				if written := p.Abandon(now, f, &fx); !written && whole[f] {
					t.Fatal("given up as not written, and it was")
				}
				ends[f]++
				carry(fx)
			},
			"client leaves": func(t *rapid.T) {
				if len(all) == 0 {
					return
				}
				f := all[pick(len(all))]
				f.Request.Cancel()
				if ends[f] > 0 || rapid.Bool().Draw(t, "the node has not heard of it") {
					return
				}
				var fx Effects
				if p.Withdraw(now, f, &fx) {
					check(f, NotSent)
				}
				carry(fx)
			},
			"update": func(t *rapid.T) {
				left = rapid.IntRange(0, 3).Draw(t, "left") == 0
				var fx Effects
				for _, f := range p.Update(now, "s", left, &fx) {
					check(f, ServerDraining)
				}
				carry(fx)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
				var fx Effects
				p.HandleTimers(now, &fx)
				carry(fx)
				if next := p.NextTimer(); !next.IsZero() && !next.After(now) {
					t.Fatalf("due at %v, and it is %v", next, now)
				}
			},
			"": func(t *rapid.T) {
				for _, f := range all {
					if ends[f] > 1 {
						t.Fatalf("a forward ended %d times", ends[f])
					}
				}
				if p.Connections() > most || len(p.waiting) > limits.MaxQueued+p.dialing {
					t.Fatalf("%d connections, %d wait", p.Connections(), len(p.waiting))
				}
			},
		})
		// At the end everything ends: no forward is lost, and every descriptor is back.
		for len(dialing) > 0 || len(writing) > 0 {
			for _, c := range dialing {
				dialing = dialing[1:]
				var fx Effects
				p.DialCompleted(now, c, false, &fx)
				carry(fx)
			}
			for c := range writing {
				delete(writing, c)
				var fx Effects
				p.WriteCompleted(now, c, true, false, &fx)
				carry(fx)
			}
		}
		left = true
		var fx Effects
		for _, f := range p.Update(now, "s", true, &fx) {
			check(f, ServerDraining)
		}
		for _, c := range conns {
			p.ConnectionEnded(now, c, rapid.Bool().Draw(t, "in order"), &fx)
		}
		carry(fx)
		for i, f := range all {
			if ends[f] != 1 {
				t.Fatalf("forward %d of %d ended %d times", i, len(all), ends[f])
			}
		}
		if used, _ := budget.Usage(); used != total || p.Connections() != 0 {
			t.Fatalf("%d descriptors are not given back, %d connections are left", used-total, p.Connections())
		}
	})
}
