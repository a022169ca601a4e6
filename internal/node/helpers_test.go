package node

import (
	"fmt"
	"log/slog"
	"slices"
	"testing"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/counters"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// fakePool replaces the pool of one endpoint. Attempts wait in it, unwritten, until writeAll is called.
type fakePool struct {
	core     *Core
	waiting  []*upstream.Attempt
	inFlight []*upstream.Attempt
}

func (p *fakePool) Send(attempt *upstream.Attempt) (upstream.Outcome, bool) {
	p.waiting = append(p.waiting, attempt)
	return 0, true
}

func (p *fakePool) Abandon(attempt *upstream.Attempt) bool { return !p.Withdraw(attempt) }

func (p *fakePool) Withdraw(attempt *upstream.Attempt) bool {
	i := slices.Index(p.waiting, attempt)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

func (p *fakePool) CloseIdle()                              {}
func (p *fakePool) Update(string, bool) []*upstream.Attempt { return nil }

// writeAll writes the attempts that wait, and returns their number.
func (p *fakePool) writeAll() int {
	written := len(p.waiting)
	p.inFlight, p.waiting = append(p.inFlight, p.waiting...), nil
	return written
}

// endOldest ends the attempt that has been in flight longest.
func (p *fakePool) endOldest(outcome upstream.Outcome) {
	attempt := p.inFlight[0]
	p.inFlight = p.inFlight[1:]
	p.core.AttemptEnded(attempt, upstream.Response{Outcome: outcome, Value: []byte("v")})
}

// idleSource is a source of endpoint lists that never reports anything.
type idleSource struct{}

func (idleSource) Watch(int64, func(discovery.List, error)) func() { return func() {} }

// testNode is a core with one cache server and an origin, on a simulated clock.
type testNode struct {
	core                *Core
	memory              *admission.MemoryBudget // memory of requests
	now                 time.Time
	cacheServer, origin *fakePool
	responses           int
}

func newTestNode(t *testing.T) *testNode {
	t.Helper()
	node := &testNode{now: time.Unix(1000, 0), cacheServer: &fakePool{}, origin: &fakePool{},
		memory: admission.NewMemoryBudget(1 << 20)}
	read := policy.Class{Name: "read", PriorityWeight: 1, LatencyObjective: time.Second, LateFraction: 0.5}
	put := policy.Class{Name: "put", PriorityWeight: 5, LatencyObjective: time.Second, LateFraction: 0.5, Effect: policy.AtMostOnce}
	options := Options{
		Policy: policy.Settings{Nodes: 1, Classes: []policy.Class{read, put}, OriginKind: "origin", MaxAttempts: 6, OverloadFactor: 3,
			SlowStartFloor: 0.2, SlowStartDuration: time.Second, MayHealthCheck: true, MustPoll: true, Tick: time.Millisecond},
		MaxOpenRequests: 1000,
		RequestMemory:   node.memory,
		Counters:        counters.New([]string{"read", "put"}, request.ResponseKinds(), make([]string, upstream.NumOutcomes())),
		Log:             slog.New(slog.DiscardHandler),
		InitialList: discovery.List{Version: 1, IsFull: true, Servers: []discovery.Server{
			{ID: "s", Addr: "h:1", Kind: "box", Weight: 1}, {ID: "o", Addr: "h:2", Kind: "origin", Weight: 1}}},
		Source: idleSource{},
		NewUpstream: func(_ discovery.Server, isOrigin bool, _ func(*upstream.Attempt, upstream.Response)) Upstream {
			if isOrigin {
				return node.origin
			}
			return node.cacheServer
		}}
	var err error
	node.core, err = NewCore(options, Environment{Now: func() time.Time { return node.now }, PostListUpdate: func(update func()) { update() }})
	if err != nil {
		t.Fatal(err)
	}
	node.cacheServer.core, node.origin.core = node.core, node.core
	node.core.Start()
	return node
}

// newRequest returns a request that arrives now.
func (n *testNode) newRequest(id, class string) *request.Request {
	return &request.Request{Key: []byte("k"), ID: []byte(id), Class: class, IsWrite: class == "put", ReceivedAt: n.now,
		ClientTimeout: 3 * time.Second, Reply: func(request.Response) { n.responses++ }}
}

// handle passes a request that arrives now to the core.
func (n *testNode) handle(id, class string) *request.Request {
	r := n.newRequest(id, class)
	n.core.HandleRequest(r)
	return r
}

// handleMissed passes to the core a read for which the cache server has no value: a fetch from the origin follows.
func (n *testNode) handleMissed(id string) *request.Request {
	r := n.handle(id, "read")
	n.cacheServer.writeAll()
	n.cacheServer.endOldest(upstream.Missed)
	return r
}

// fillOrigin sends so many writes that, as far as the policy knows, the origin can take no more.
func (n *testNode) fillOrigin() {
	for i := range 64 {
		n.handle(fmt.Sprint("w", i), "put")
	}
	n.origin.writeAll()
}

// passTime advances the clock, and runs each timer at its time.
func (n *testNode) passTime(duration time.Duration) {
	for end := n.now.Add(duration); ; {
		at, ok := n.core.NextTimer()
		if !ok || at.After(end) {
			n.now = end
			return
		}
		if at.After(n.now) {
			n.now = at
		}
		n.core.HandleTimers()
	}
}
