package node

import (
	"log/slog"
	"testing"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// held stands in for the pool to one server: it keeps what it is given, of which nothing is written until take.
type held struct {
	core    *Core
	waiting []*upstream.Attempt
	out     []*upstream.Attempt
}

func (h *held) Send(f *upstream.Attempt) (upstream.Outcome, bool) {
	h.waiting = append(h.waiting, f)
	return 0, true
}
func (h *held) Abandon(f *upstream.Attempt) bool { return !h.Withdraw(f) }
func (h *held) Withdraw(f *upstream.Attempt) bool {
	for i, w := range h.waiting {
		if w == f {
			h.waiting = append(h.waiting[:i], h.waiting[i+1:]...)
			return true
		}
	}
	return false
}
func (h *held) CloseIdle()                              {}
func (h *held) Update(string, bool) []*upstream.Attempt { return nil }

// take writes what waits.
func (h *held) take() (n int) {
	n = len(h.waiting)
	h.out, h.waiting = append(h.out, h.waiting...), nil
	return n
}

// end ends the oldest forward that is out.
func (h *held) end(e upstream.Outcome) {
	f := h.out[0]
	h.out = h.out[1:]
	h.core.AttemptEnded(f, upstream.Response{Outcome: e, Value: []byte("v")})
}

// bench is a core with one cache server and an origin, on a clock of its own.
type bench struct {
	core        *Core
	now         time.Time
	box, origin *held
	replies     int
}

func newBench(t *testing.T) *bench {
	b := &bench{now: time.Unix(1000, 0), box: &held{}, origin: &held{}}
	class := policy.Class{Name: "read", PriorityWeight: 1, LatencyObjective: time.Second, LateFraction: 0.5}
	put := policy.Class{Name: "put", PriorityWeight: 5, LatencyObjective: time.Second, LateFraction: 0.5, Effect: policy.AtMostOnce}
	ends := make([]string, upstream.NumOutcomes())
	opt := Options{Policy: policy.Settings{Nodes: 1, Classes: []policy.Class{class, put}, OriginKind: "origin", MaxAttempts: 6,
		OverloadFactor: 3, SlowStartFloor: 0.2, SlowStartDuration: time.Second, MayHealthCheck: true, MustPoll: true, Tick: time.Millisecond}, MaxOpenRequests: 1000,
		Counters: counters.New([]string{"read", "put"}, request.ResponseKinds(), ends), Log: slog.New(slog.DiscardHandler),
		InitialList: discovery.List{Version: 1, IsFull: true, Servers: []discovery.Server{{ID: "s", Addr: "h:1", Kind: "box", Weight: 1},
			{ID: "o", Addr: "h:2", Kind: "origin", Weight: 1}}},
		Source: silentSource{},
		NewUpstream: func(s discovery.Server, origin bool, _ func(*upstream.Attempt, upstream.Response)) Upstream {
			if origin {
				return b.origin
			}
			return b.box
		}}
	var err error
	b.core, err = NewCore(opt, Environment{Now: func() time.Time { return b.now }, PostListUpdate: func(f func()) { f() }})
	if err != nil {
		t.Fatal(err)
	}
	b.box.core, b.origin.core = b.core, b.core
	b.core.Start()
	return b
}

type silentSource struct{}

func (silentSource) Watch(int64, func(discovery.List, error)) func() { return func() {} }

func (b *bench) ask(id, class string, write bool) *request.Request {
	f := &request.Request{Key: []byte("k"), ID: []byte(id), Class: class, IsWrite: write, ReceivedAt: b.now, ClientTimeout: 3 * time.Second,
		Reply: func(request.Response) { b.replies++ }}
	b.core.HandleRequest(f)
	return f
}

// pass lets time pass, with all that is due in it.
func (b *bench) pass(d time.Duration) {
	for end := b.now.Add(d); ; {
		at, ok := b.core.NextTimer()
		if !ok || at.After(end) {
			b.now = end
			return
		}
		if at.After(b.now) {
			b.now = at
		}
		b.core.HandleTimers()
	}
}

// TestGoneWhileItWaits: wherever a request is as its client leaves, nothing more is begun for it, and it is forgotten; those that
// wait for what it was to fetch have it fetched for them.
func TestGoneWhileItWaits(t *testing.T) {
	busy := func(b *bench) { // the origin has no room, as far as is known
		for i := range 64 {
			b.ask("w"+string(rune('A'+i)), "put", true)
		}
		b.origin.take()
	}
	for name, test := range map[string]struct {
		prepare func(b *bench) *request.Request
		after   func(b *bench)
	}{
		"for the loop": {func(b *bench) *request.Request {
			f := &request.Request{Key: []byte("k"), ID: []byte("id"), Class: "read", ClientTimeout: time.Second, ReceivedAt: b.now}
			f.Cancel()
			b.core.HandleRequest(f)
			return f
		}, nil},
		"for a connection to the cache server": {func(b *bench) *request.Request { return b.ask("id", "read", false) }, nil},
		"for a connection to the origin": {func(b *bench) *request.Request {
			f := b.ask("id", "read", false)
			b.box.take()
			b.box.end(upstream.Missed)
			return f
		}, nil},
		"between a miss and its fetch": {func(b *bench) *request.Request {
			f := b.ask("id", "read", false)
			b.box.take()
			return f
		}, func(b *bench) { b.box.end(upstream.Missed) }},
		"between a miss and its fetch, seen by the listener alone": {func(b *bench) *request.Request {
			f := b.ask("id", "read", false)
			b.box.take()
			f.Cancel()
			if b.box.end(upstream.Missed); len(b.origin.waiting) > 0 {
				t.Error("it is sent on though its client has left")
			}
			return f
		}, nil},
		"in the origin's line": {func(b *bench) *request.Request {
			busy(b)
			return b.ask("id", "put", true)
		}, func(b *bench) {
			for len(b.origin.out) > 0 {
				b.origin.end(upstream.Served)
			}
		}},
		"for another's fetch": {func(b *bench) *request.Request {
			b.ask("first", "read", false)
			b.box.take()
			b.box.end(upstream.Missed)
			b.origin.take()
			return b.ask("id", "read", false)
		}, func(b *bench) { b.origin.end(upstream.Served) }},
		"in a back-off": {func(b *bench) *request.Request {
			f := b.ask("id", "read", false)
			b.box.take()
			b.box.end(upstream.Missed)
			b.origin.take()
			b.origin.end(upstream.ServerBusy)
			return f
		}, nil},
	} {
		b := newBench(t)
		f := test.prepare(b)
		b.core.ClientDisconnected(f)
		sent := len(b.box.waiting) + len(b.origin.waiting)
		if test.after != nil {
			test.after(b)
		}
		b.pass(10 * time.Second)
		if n := b.box.take() + b.origin.take(); n > 0 {
			t.Errorf("%s: %d are sent on after its client left (%d waited then)", name, n, sent)
		}
		if b.core.byFlow[f] != nil {
			t.Errorf("%s: it is kept", name)
		}
	}
}

// TestFetchOfAClientThatLeft: others wait for a fetch that was never written, and its client leaves: they go on by themselves.
func TestFetchOfAClientThatLeft(t *testing.T) {
	b := newBench(t)
	first := b.ask("first", "read", false)
	b.box.take()
	b.box.end(upstream.Missed)
	b.ask("second", "read", false)
	b.core.ClientDisconnected(first)
	if n := b.box.take(); n != 1 {
		t.Fatalf("%d ask the cache server", n)
	}
	b.box.end(upstream.Missed)
	if n := b.origin.take(); n != 1 {
		t.Fatalf("%d fetches", n)
	}
	if id := string(b.origin.out[0].Request.ID); id != "second" {
		t.Errorf("it is fetched for %s", id)
	}
	b.origin.end(upstream.Served)
	if b.replies != 1 {
		t.Errorf("%d answers", b.replies)
	}
}

// TestSuccessorAtAnAddress: the list names a server that started at the address of another, which it still calls up, or names anew.
// Nothing more is meant for the one before, whatever the order; where both started long ago, nothing follows.
func TestSuccessorAtAnAddress(t *testing.T) {
	old := discovery.Server{ID: "s", Addr: "h:1", Kind: "box", Weight: 1}
	next := discovery.Server{ID: "t", Addr: "h:1", Kind: "box", Weight: 1, StartedMs: 7}
	elsewhere := discovery.Server{ID: "t", Addr: "h:9", Kind: "box", Weight: 1, StartedMs: 7}
	twin := discovery.Server{ID: "t", Addr: "h:1", Kind: "box", Weight: 1}
	for name, test := range map[string]struct {
		lists []discovery.List
		left  bool
	}{
		"a change":                  {[]discovery.List{{Servers: []discovery.Server{next}}}, true},
		"a whole list with both":    {[]discovery.List{{IsFull: true, Servers: []discovery.Server{next, old}}}, true},
		"the one before named last": {[]discovery.List{{Servers: []discovery.Server{next}}, {Servers: []discovery.Server{old}}}, true},
		"at another address":        {[]discovery.List{{Servers: []discovery.Server{elsewhere}}}, false},
		"both long ago":             {[]discovery.List{{Servers: []discovery.Server{twin}}}, false},
	} {
		b := newBench(t)
		for _, l := range test.lists {
			scope := policy.DeltaUpdate
			if l.IsFull {
				scope = policy.FullUpdate
			}
			b.core.list(l, scope)
		}
		if left := b.core.servers["s"] == nil || b.core.servers["s"].State == discovery.Removed; left != test.left {
			t.Errorf("%s: the one before has left: %v", name, left)
		}
		if s := b.core.servers["t"]; s == nil || s.State != discovery.Up {
			t.Errorf("%s: the successor is not there", name)
		}
	}
}
