package node

import (
	"container/heap"
	"maps"
	"reflect"
	"slices"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/discovery"
	"shelfproxy/internal/logs"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

const (
	transit      = 2 * time.Millisecond // a request's time runs from its sending; it is read a little later
	overdue      = 5 * time.Millisecond // after a deadline by which the module should have answered
	probeTimeout = 500 * time.Millisecond
)

// Environment is what a core asks of whoever owns it.
type Environment struct {
	Now func() time.Time // the clock; it must not go back
	// ReportOutcome takes the end of a forward from a pool, and has Landed called with it, not before the pool's call is over.
	ReportOutcome func(*upstream.Attempt, upstream.Response)
	// PostListUpdate has f called soon, before anything else that waits: a send decided on after a change must know of it.
	PostListUpdate func(f func())
}

// Core owns the module and everything it decides on: flows, their deadlines, what is out for each, and the list. It has
// no clock, goroutines or sockets of its own, and is not safe for concurrent use.
type Core struct {
	opt     Options
	own     Environment
	router  *policy.Router
	start   time.Time // the module's clock is Unix time at the start, monotonic from there on
	timers  timers
	booked  uint64
	backlog []policy.Event // outcomes of actions that ended at once

	classes map[string]int
	flows   map[uint64]*state
	byFlow  map[*request.Request]*state
	ids     map[string]bool // of flows that are owed an answer
	nextID  uint64
	servers map[string]*server
	open    int
	taken   admission.RequestMemory
	lastAt  time.Time // when set, no flow is answered later
	closing bool
	idle    chan struct{} // closed when nothing is owed any more
	level   float64       // of strain, as the module was told

	stopWatch func()
	watch     int // number of the current watch; reports of earlier ones are dropped
	healthy   bool
	held      discovery.ListValidator
}

// state is a flow as the node keeps it until nothing of it is out.
type state struct {
	*request.Request
	id       uint64
	class    int
	forwards []*upstream.Attempt // nil once it has ended
	out      int
	answered bool
	deadline time.Time
	expiry   *timed
	counted  bool // in Node.taken
}

type server struct {
	discovery.Server
	up     Upstream
	out    int // forwards
	probes []*upstream.Attempt
}

// NewCore makes a core. Begin is its first call.
func NewCore(opt Options, own Environment) (*Core, error) {
	router, err := policy.New(opt.Policy, opt.Seed)
	if err != nil {
		return nil, err
	}
	n := &Core{opt: opt, own: own, router: router, idle: make(chan struct{}), start: own.Now(), classes: map[string]int{},
		flows: map[uint64]*state{}, byFlow: map[*request.Request]*state{}, ids: map[string]bool{}, servers: map[string]*server{}}
	n.taken.Limit = opt.MaxRequestBytes
	for i, c := range opt.Policy.Classes {
		n.classes[c.Name] = i
	}
	return n, nil
}

// Start takes the list that is known and, where lists are pushed, begins to follow them.
func (n *Core) Start() {
	n.held.SetVersion(n.opt.InitialList.Version)
	n.list(n.opt.InitialList, policy.CachedList)
	if n.pushed() {
		n.subscribe()
	}
	n.settle()
}

// Stop stops the watch.
func (n *Core) Stop() {
	if n.stopWatch != nil {
		n.stopWatch()
	}
}

// NotifyPolicy gives the module an event that comes from outside.
func (n *Core) NotifyPolicy(ev policy.Event) {
	n.tell(ev)
	n.settle()
}

// Explain tells what the module makes of a key. It changes nothing.
func (n *Core) Explain(key string) policy.Explanation {
	return n.router.Explain(n.moduleTime(n.own.Now()), key)
}

// Drained is closed when a core that drains owes nothing any more.
func (n *Core) Drained() <-chan struct{} { return n.idle }

// Drain makes the core answer everything it has taken by a time.
func (n *Core) Drain(by time.Time) {
	n.closing, n.lastAt = true, by
	for _, id := range slices.Sorted(maps.Keys(n.flows)) {
		s := n.flows[id]
		n.at(by, func() { n.expire(s) })
	}
	n.checkIdle()
}

// OpenRequests is how many flows are owed an answer.
func (n *Core) OpenRequests() int { return n.open }

// Retained is how much the core still holds: flows, of which some are answered and still out, request ids and timers. It is
// nothing but the module's own timer when nothing is out.
func (n *Core) Retained() (flows, ids, timers int) { return len(n.flows), len(n.ids), len(n.timers) }

// NextTimer is when Due is wanted next.
func (n *Core) NextTimer() (at time.Time, ok bool) {
	if len(n.timers) == 0 {
		return time.Time{}, false
	}
	return n.timers[0].at, true
}

// HandleTimers does what is due by now.
func (n *Core) HandleTimers() {
	now := n.own.Now()
	for len(n.timers) > 0 && !n.timers[0].at.After(now) {
		heap.Pop(&n.timers).(*timed).run()
		n.settle()
	}
}

// SetLoadLevel tells the module what share to refuse of what it may, where that changed.
func (n *Core) SetLoadLevel(level float64) {
	if d := level - n.level; d >= strainStep || d <= -strainStep || d != 0 && level == 0 {
		n.level = level
		n.NotifyPolicy(policy.LoadLevel{Level: level})
	}
}

// moduleTime converts a time of the system's clock to the module's.
func (n *Core) moduleTime(t time.Time) policy.Time {
	return time.Duration(n.start.UnixNano()) + t.Sub(n.start)
}

func (n *Core) systemTime(t policy.Time) time.Time {
	return n.start.Add(t - time.Duration(n.start.UnixNano()))
}

// tell gives the module an event and carries out its actions.
func (n *Core) tell(ev policy.Event) {
	for _, a := range n.router.Handle(n.moduleTime(n.own.Now()), ev) {
		n.do(a)
	}
}

// settle tells the module what its own actions brought about at once.
func (n *Core) settle() {
	for len(n.backlog) > 0 {
		ev := n.backlog[0]
		n.backlog = n.backlog[1:]
		if out, ok := ev.(policy.Outcome); ok {
			s := n.flows[out.ID]
			out.Ended = s == nil || s.answered
			ev = out
			n.tell(ev)
			n.forget(s)
			continue
		}
		n.tell(ev)
	}
}

func (n *Core) do(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		n.send(a)
	case policy.Reject:
		n.answer(n.flows[a.ID], request.Response{Kind: request.Rejected, RetryAfter: a.RetryAfter})
	case policy.Fail:
		n.answer(n.flows[a.ID], request.Response{Kind: request.Failed})
	case policy.Cancel:
		if s := n.flows[a.ID]; s != nil && a.Attempt < len(s.forwards) && s.forwards[a.Attempt] != nil {
			n.giveUp(s, s.forwards[a.Attempt], upstream.Cancelled)
		}
	case policy.HealthCheck:
		n.probe(a.Server)
	case policy.CloseIdle:
		if s := n.servers[a.Server]; s != nil {
			s.up.CloseIdle()
		}
	case policy.SetTimer:
		n.at(n.systemTime(a.At), func() { n.tell(policy.TimerFired{Token: a.Token}) })
	case policy.Subscribe:
		n.subscribe()
	case policy.Gossip:
		if n.opt.Gossip == nil {
			return
		}
		if err := n.opt.Gossip(a.Data); err != nil {
			n.opt.Counters.GossipDropped.Add(1)
		} else {
			n.opt.Counters.GossipSent.Add(1)
		}
	case policy.Announce:
		if n.opt.Announce != nil {
			n.opt.Announce(a.Role)
		}
	case policy.Log:
		n.opt.Log.Info(a.Text, logs.Event, "module")
	default:
		n.opt.Log.Error("the module asked for what this node does not know", logs.Event, "action_unknown", "action", reflect.TypeOf(a).String())
	}
}

// HandleRequest takes a request. One whose client has left already is none.
func (n *Core) HandleRequest(f *request.Request) {
	if f.IsCancelled() { // while it waited
		return
	}
	n.take(f)
	n.settle()
}

func (n *Core) take(f *request.Request) {
	class := n.classes[f.Class]
	if n.ids[string(f.ID)] {
		n.opt.Counters.Duplicate.Add(1)
		f.Reply(request.Response{Kind: request.Invalid, Text: "request id is in use"})
		return
	}
	n.opt.Counters.RequestReceived(class)
	n.nextID++
	wait := f.ClientTimeout
	if n.opt.MaxClientTimeout > 0 {
		wait = min(wait, n.opt.MaxClientTimeout)
	}
	s := &state{Request: f, id: n.nextID, class: class, deadline: f.ReceivedAt.Add(max(wait-transit, time.Millisecond))}
	n.flows[s.id], n.byFlow[f], n.ids[string(f.ID)] = s, s, true
	n.open++
	s.counted = n.taken.Reserve(len(f.Value), f.IsWrite)
	if !s.counted {
		n.opt.Counters.RejectedForMemory.Add(1)
	}
	if n.open > n.opt.MaxOpenRequests || !s.counted { // nothing of it has run
		n.answer(s, request.Response{Kind: request.Rejected})
		return
	}
	if n.closing && s.deadline.After(n.lastAt) {
		s.deadline = n.lastAt
	}
	s.expiry = n.at(s.deadline, func() { n.expire(s) })
	n.tell(policy.Request{ID: s.id, Key: string(f.Key), Class: f.Class, Tenant: f.Tenant,
		Deadline: n.moduleTime(s.deadline), Write: f.IsWrite})
}

// ClientDisconnected says that the client of a flow that is owed an answer has left.
func (n *Core) ClientDisconnected(f *request.Request) {
	n.gone(f)
	n.settle()
}

func (n *Core) gone(f *request.Request) {
	f.Cancel()
	if s := n.byFlow[f]; s != nil && !s.answered {
		n.opt.Counters.ClientsDisconnected.Add(1)
		n.over(s)
		n.withdraw(s)
		n.tell(policy.ClientDisconnected{ID: s.id})
		n.forget(s)
	}
}

// withdraw takes back the forwards of a flow of which nothing has been written: nobody waits for them any more. Those that may
// have run go on, as others may wait for what they fetch.
func (n *Core) withdraw(s *state) {
	for _, f := range s.forwards {
		if f == nil {
			continue
		}
		if srv := n.servers[f.Server]; srv != nil && srv.up.Withdraw(f) {
			n.ended(s, f, upstream.NotSent)
		}
	}
}

// over notes that nothing is owed for a flow any more.
func (n *Core) over(s *state) {
	s.answered = true
	if s.counted {
		n.taken.Release(len(s.Value))
	}
	delete(n.ids, string(s.ID))
	n.open--
	n.checkIdle()
}

func (n *Core) checkIdle() {
	if n.closing && n.open == 0 {
		select {
		case <-n.idle:
		default:
			close(n.idle)
		}
	}
}

// answer gives the one final answer of a flow.
func (n *Core) answer(s *state, r request.Response) {
	if s == nil || s.answered {
		return
	}
	n.opt.Counters.RequestAnswered(s.class, int(r.Kind))
	if r.Kind == request.Served && n.own.Now().Sub(s.ReceivedAt) > n.opt.Policy.Classes[s.class].LatencyObjective {
		n.opt.Counters.ServedLate.Add(1)
	}
	s.Reply(r)
	n.over(s)
	n.forget(s)
}

// forget drops a flow when it has been answered and nothing of it is out.
func (n *Core) forget(s *state) {
	if s != nil && s.answered && s.out == 0 {
		delete(n.flows, s.id)
		delete(n.byFlow, s.Request)
		n.drop(s.expiry)
	}
}

// expire ends what is out for a flow at its deadline: the module learns of each time-out and gives the answer.
func (n *Core) expire(s *state) {
	for _, f := range s.forwards {
		if f != nil {
			n.giveUp(s, f, upstream.TimedOut)
		}
	}
	n.settle()
	if !s.answered {
		// The module's own timer may be due a moment later. After that the flow is answered without it; what
		// may have run must not be refused, and a failure promises nothing.
		n.at(n.own.Now().Add(overdue), func() {
			if !s.answered {
				n.answer(s, request.Response{Kind: request.Failed})
				n.tell(policy.ClientDisconnected{ID: s.id})
			}
		})
	}
}

func (n *Core) send(a policy.Send) {
	s, srv := n.flows[a.ID], n.servers[a.Server]
	if s == nil {
		return
	}
	f := &upstream.Attempt{Request: s.Request, Number: len(s.forwards), Server: a.Server, SentAt: n.own.Now(),
		Deadline: s.deadline, NeedsNewConnection: n.opt.Policy.Classes[s.class].Effect == policy.AtMostOnce}
	if a.WriteBy > 0 {
		f.WriteBy = n.systemTime(a.WriteBy)
	}
	s.forwards = append(s.forwards, f)
	s.out++
	n.opt.Counters.AttemptSent(s.class)
	end, ok := upstream.NotSent, false
	if srv != nil && !s.answered && !s.IsCancelled() && n.own.Now().Before(s.deadline) {
		end, ok = srv.up.Send(f)
	}
	if srv != nil {
		srv.out++
	}
	if !ok {
		n.ended(s, f, end)
	}
}

// giveUp ends a forward from the node's side.
func (n *Core) giveUp(s *state, f *upstream.Attempt, end upstream.Outcome) {
	if srv := n.servers[f.Server]; srv != nil && !srv.up.Abandon(f) && end == upstream.TimedOut {
		end = upstream.NotSent // it waited for a connection all the time
	}
	n.ended(s, f, end)
}

// ended queues the outcome of a forward; settle tells it.
func (n *Core) ended(s *state, f *upstream.Attempt, end upstream.Outcome) {
	s.forwards[f.Number] = nil
	s.out--
	if srv := n.servers[f.Server]; srv != nil {
		srv.out--
	}
	n.opt.Counters.AttemptEnded(s.class, int(end))
	n.backlog = append(n.backlog, policy.Outcome{ID: s.id, Attempt: f.Number, Server: f.Server,
		Reason: end.Reason(), Took: n.own.Now().Sub(f.SentAt)})
}

// reported takes the answer of a pool.
func (n *Core) reported(f *upstream.Attempt, a upstream.Response) {
	s := n.byFlow[f.Request]
	if s == nil || f.Number >= len(s.forwards) || s.forwards[f.Number] != f {
		n.opt.Counters.LateResponses.Add(1) // given up before
		return
	}
	if a.Outcome == upstream.Served {
		n.answer(s, request.Response{Kind: request.Served, Value: a.Value})
	}
	n.ended(s, f, a.Outcome)
}

func (n *Core) probe(id string) {
	srv := n.servers[id]
	if srv == nil {
		return
	}
	n.opt.Counters.HealthChecks.Add(1)
	now := n.own.Now()
	f := &upstream.Attempt{Server: id, SentAt: now, Deadline: now.Add(probeTimeout)}
	srv.probes = append(srv.probes, f)
	if end, ok := srv.up.Send(f); !ok {
		n.probed(srv, f, end)
		return
	}
	n.at(f.Deadline, func() {
		if n.probed(srv, f, upstream.TimedOut) {
			srv.up.Abandon(f)
			srv.up.CloseIdle() // to a machine that is cut off they would stay open and silent
		}
	})
}

// probed queues the result of a probe, unless it is known already.
func (n *Core) probed(srv *server, f *upstream.Attempt, end upstream.Outcome) bool {
	for i, p := range srv.probes {
		if p == f {
			srv.probes = append(srv.probes[:i], srv.probes[i+1:]...)
			n.backlog = append(n.backlog, policy.HealthChecked{Server: f.Server, Reason: end.Reason()})
			return true
		}
	}
	return false
}

// timed is work that is due at a time.
type timed struct {
	at     time.Time
	number uint64 // of two that are due at once the one booked first goes first
	run    func()
	index  int // in the heap; -1 when it is no longer there
}

func (n *Core) at(t time.Time, run func()) *timed {
	n.booked++
	w := &timed{at: t, number: n.booked, run: run}
	heap.Push(&n.timers, w)
	return w
}

// drop takes work back, so that what it refers to is not held until it is due.
func (n *Core) drop(w *timed) {
	if w != nil && w.index >= 0 {
		heap.Remove(&n.timers, w.index)
	}
}

type timers []*timed

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if c := t[i].at.Compare(t[j].at); c != 0 {
		return c < 0
	}
	return t[i].number < t[j].number
}
func (t timers) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].index, t[j].index = i, j
}

func (t *timers) Push(x any) {
	w := x.(*timed)
	w.index = len(*t)
	*t = append(*t, w)
}

func (t *timers) Pop() any {
	end := len(*t) - 1
	w := (*t)[end]
	(*t)[end] = nil
	*t = (*t)[:end]
	w.index = -1
	return w
}
