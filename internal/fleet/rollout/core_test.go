package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shelfproxy/internal/fleet/datagram"
)

func config(self, nodes, budget int) Config {
	return Config{Self: self, Nodes: nodes, Budget: budget, HeartbeatInterval: 200 * time.Millisecond, UnresponsiveAfter: time.Second, RequestTimeout: 2 * time.Second,
		ReturnTimeout: 20 * time.Second, WriteOffAfter: 10 * time.Minute, ObservationPeriod: 500 * time.Millisecond, MaxClockDrift: 0.05, Release: "v1",
		MaxFailureRate: 0.2, MaxSlowRate: 0.5, MinSamples: 10, Incarnation: 1, Seed: uint64(self) + 1}
}

// world plays a fleet: clocks that differ and drift, messages that are lost, late, twice and out of order, nodes that are
// killed, stalled, started again and cut off.
type world struct {
	t       interface{ Fatalf(string, ...any) }
	rng     *rand.Rand
	now     time.Duration
	cfg     []Config
	nodes   []*Core // nil: no process
	offset  []time.Duration
	rate    []float64
	stalled []bool
	cut     [][]bool
	out     []bool // by agreement, from when it went until it is fit again
	back    []time.Duration
	may     []bool // it was told to go and has not acted yet
	wire    []packet
	loss    float64
	late    time.Duration
	rolls   int
	most    int
	events  map[LogEventKind]int

	stallOnGo bool // a node stalls at the moment in which it is told to go
}

type packet struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, nodes, budget int, change func(*Config)) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 7)), loss: 0.1, late: 300 * time.Millisecond, events: map[LogEventKind]int{},
		out: make([]bool, nodes), back: make([]time.Duration, nodes), may: make([]bool, nodes), stalled: make([]bool, nodes)}
	for i := range nodes {
		c := config(i, nodes, budget)
		c.Seed += seed * 1000
		if change != nil {
			change(&c)
		}
		w.cfg = append(w.cfg, c)
		w.offset = append(w.offset, time.Duration(w.rng.Int64N(int64(time.Hour))))
		w.rate = append(w.rate, 1+(w.rng.Float64()-0.5)*0.05) // two differ by 0.05 at most
		w.nodes = append(w.nodes, nil)
		w.cut = append(w.cut, make([]bool, nodes))
		w.start(i)
	}
	return w
}

func (w *world) clock(i int) time.Duration {
	return w.offset[i] + time.Duration(float64(w.now)*w.rate[i])
}

func (w *world) start(i int) {
	w.cfg[i].Incarnation++
	c, err := New(w.cfg[i])
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.nodes[i], w.may[i], w.stalled[i] = c, false, false
	w.step(i, ServingStarted{})
}

func (w *world) kill(i int) { w.nodes[i], w.may[i], w.stalled[i] = nil, false, false }

func (w *world) step(i int, ev Event) {
	c := w.nodes[i]
	if c == nil {
		return
	}
	for _, e := range c.Step(w.clock(i), ev) {
		switch e := e.(type) {
		case Send:
			for to := range w.nodes {
				if to != i && (e.To == AllNodes || e.To == to) {
					w.send(i, to, e.Data)
				}
			}
		case DrainGranted:
			w.may[i] = true
			w.stalled[i] = w.stallOnGo
		case LogEvent:
			w.events[e.Kind]++
			if e.Kind == LogNodeReady && e.Node == i {
				w.out[i] = false
			}
		}
	}
}

func (w *world) send(from, to int, data []byte) {
	for range 1 + w.rng.IntN(10)/9 { // one in ten twice
		if w.rng.Float64() >= w.loss && !w.cut[from][to] {
			w.wire = append(w.wire, packet{w.now + time.Duration(w.rng.Int64N(int64(w.late))), from, to, data})
		}
	}
}

// pass lets time go on, and checks the budget after every step.
func (w *world) pass(span time.Duration) {
	const tick = 20 * time.Millisecond
	for end := w.now + span; w.now < end; w.now += tick {
		kept := w.wire[:0]
		var due []packet
		for _, p := range w.wire {
			if p.at <= w.now && !w.stalled[p.to] {
				due = append(due, p)
			} else {
				kept = append(kept, p)
			}
		}
		w.wire = kept
		for _, p := range due {
			w.step(p.to, MessageReceived{p.from, p.data})
		}
		for i, c := range w.nodes {
			switch {
			case c == nil && w.back[i] > 0 && w.now >= w.back[i]:
				w.back[i] = 0
				w.start(i)
			case c == nil || w.stalled[i]:
			case w.may[i]:
				w.act(i)
			default:
				w.step(i, Tick{})
			}
		}
		n := 0
		for _, out := range w.out {
			if out {
				n++
			}
		}
		if w.most = max(w.most, n); n > w.cfg[0].Budget {
			w.t.Fatalf("at %v %d nodes are out by agreement, %d may: %v", w.now, n, w.cfg[0].Budget, w.out)
		}
	}
}

// act has a node go out that was told to, if it still may: it drains, ends, and is started again.
func (w *world) act(i int) {
	w.may[i] = false
	if !w.nodes[i].MayDrain(w.clock(i)) {
		return
	}
	w.out[i] = true
	w.rolls++
	w.step(i, ShutdownStarted{})
	w.pass0(i)
}

// pass0 ends a node's process after it said that it leaves, and has it back some time later.
func (w *world) pass0(i int) {
	w.kill(i)
	w.back[i] = w.now + time.Second + time.Duration(w.rng.Int64N(int64(3*time.Second)))
}

// until lets time go on until something is so.
func (w *world) until(so func() bool) {
	for end := w.now + time.Minute; !so(); w.pass(20 * time.Millisecond) {
		if w.now > end {
			w.t.Fatalf("it never came to that")
		}
	}
}

func (w *world) each(f func(i int)) {
	for i := range w.nodes {
		f(i)
	}
}

// TestNeverMoreOutThanTheBudget plays thousands of short lives of small fleets in which everybody wants out and anything
// may happen to anybody. It fails as soon as one more than the budget is out by agreement.
func TestNeverMoreOutThanTheBudget(t *testing.T) {
	seeds := uint64(3000)
	if testing.Short() {
		seeds = 200
	}
	rolls, granted := 0, 0
	for seed := range seeds {
		nodes := 2 + int(seed%4)
		w := newWorld(t, seed, nodes, 1+int(seed/4)%max(1, nodes-1), nil)
		w.loss = []float64{0, 0.1, 0.4}[seed%3]
		for range 40 {
			w.pass(time.Duration(w.rng.Int64N(int64(900 * time.Millisecond))))
			i, j := w.rng.IntN(nodes), w.rng.IntN(nodes)
			switch w.rng.IntN(9) {
			case 0, 1, 2, 3:
				w.step(i, DrainRequested{})
			case 4:
				w.stalled[i] = w.nodes[i] != nil && !w.stalled[i]
			case 5: // killed, and started again at once or later
				if w.nodes[i] != nil {
					w.kill(i)
					w.back[i] = w.now + time.Duration(w.rng.Int64N(int64(4*time.Second)))
				}
			case 6:
				w.cut[i][j] = !w.cut[i][j]
			case 7: // the fleet falls apart in two, or comes together
				part := w.rng.IntN(nodes + 1)
				for a := range nodes {
					for b := range nodes {
						w.cut[a][b] = part < nodes && (a < part) != (b < part)
					}
				}
			case 8:
				w.step(i, MessageReceived{j, []byte{Magic, version, byte(w.rng.IntN(4)), byte(w.rng.IntN(256)), 1, 2, 3, 4, 5}})
			}
		}
		rolls += w.rolls
		granted += w.events[LogSlotGranted]
	}
	if rolls < int(seeds) {
		t.Errorf("only %d went out in %d lives, with %d grants: the test tells little", rolls, seeds, granted)
	}
}

// TestEveryNodeGetsItsTurn: with a tenth of the messages lost a whole fleet rolls, within the budget and in bounded time,
// and all of it is fit in the end.
func TestEveryNodeGetsItsTurn(t *testing.T) {
	for _, size := range []struct{ nodes, budget int }{{1, 1}, {2, 1}, {3, 1}, {5, 2}, {40, 4}} {
		w := newWorld(t, 1, size.nodes, size.budget, nil)
		w.pass(5 * time.Second)
		for i := range w.cfg { // what is started from now on runs the next release
			w.cfg[i].Release = "v2"
		}
		w.step(0, ReleaseOrdered{"v2"})
		for range 200 {
			if w.pass(2 * time.Second); w.rolls >= size.nodes && fit(w) == size.nodes {
				break
			}
		}
		if w.rolls != size.nodes || fit(w) != size.nodes {
			t.Errorf("%d nodes, budget %d: %d went out and %d are fit after %v; halts %d", size.nodes, size.budget, w.rolls, fit(w), w.now, w.events[LogHalted])
		}
		if w.most != size.budget && size.nodes > 5 {
			t.Errorf("%d nodes: %d were out at most, the budget is %d", size.nodes, w.most, size.budget)
		}
	}
}

func fit(w *world) (n int) {
	for _, c := range w.nodes {
		if c != nil && c.state == Ready {
			n++
		}
	}
	return n
}

// TestHardCases: what each does to the others' turns.
func TestHardCases(t *testing.T) {
	for name, test := range map[string]struct {
		nodes, budget int
		play          func(w *world)
		rolls         int // that went out in the end
		halted        bool
	}{
		"two ask for the last slot at once": {3, 1, func(w *world) {
			w.step(0, DrainRequested{})
			w.step(1, DrainRequested{})
			w.pass(40 * time.Second)
		}, 2, false},
		"the holder is killed and stays away": {5, 1, func(w *world) {
			w.step(0, DrainRequested{})
			w.until(func() bool { return w.rolls > 0 })
			w.back[0] = 0
			w.step(1, DrainRequested{})
			w.pass(15 * time.Second)
		}, 1, false},
		"the release halts as the holder does not return": {5, 2, func(w *world) {
			w.step(0, DrainRequested{})
			w.until(func() bool { return w.rolls > 0 })
			w.back[0] = 0
			w.pass(25 * time.Second)
			w.step(1, DrainRequested{})
			w.pass(10 * time.Second)
		}, 1, true},
		"the holder stalls before it acts and acts no more": {3, 1, func(w *world) {
			w.step(0, DrainRequested{})
			w.stallOnGo = true
			w.pass(20 * time.Second)
			if !w.may[0] || !w.stalled[0] {
				w.t.Fatalf("the node was never told to go")
			}
			w.stalled[0] = false
			w.act(0) // what it was told is long over
		}, 0, false},
		"a half of the fleet alone lets nobody go": {4, 2, func(w *world) {
			w.pass(5 * time.Second)
			for a := range 4 {
				for b := range 4 {
					w.cut[a][b] = a/2 != b/2
				}
			}
			w.each(func(i int) { w.step(i, DrainRequested{}) })
			w.pass(20 * time.Second)
		}, 0, false},
		"nodes that crashed count as out": {5, 2, func(w *world) {
			w.pass(5 * time.Second)
			w.kill(3)
			w.kill(4)
			w.pass(2 * time.Second)
			w.step(0, DrainRequested{})
			w.pass(10 * time.Second)
		}, 0, false},
		"a node that does badly as it starts halts all": {5, 2, func(w *world) {
			w.cfg[0].ObservationPeriod = 10 * time.Second
			w.step(0, DrainRequested{})
			w.until(func() bool { return w.rolls > 0 && w.nodes[0] != nil })
			w.step(0, ResponseCounts{Responses: 20, Failed: 15})
			w.pass(2 * time.Second)
			w.step(1, DrainRequested{})
			w.pass(10 * time.Second)
		}, 1, true},
		"after a resume it goes on": {5, 2, func(w *world) {
			w.pass(5 * time.Second)
			w.step(2, HaltRequested{})
			w.step(0, DrainRequested{})
			w.pass(10 * time.Second)
			if w.rolls != 0 {
				w.t.Fatalf("a node went out though it was halted")
			}
			w.step(4, ResumeRequested{})
			w.pass(20 * time.Second)
		}, 1, false},
		"a smaller budget holds at once": {5, 2, func(w *world) {
			w.pass(5 * time.Second)
			w.step(0, DrainRequested{})
			w.until(func() bool { return w.rolls > 0 })
			w.back[0] = 0
			w.each(func(i int) { w.step(i, BudgetChanged{Nodes: 1}) })
			w.step(1, DrainRequested{})
			w.pass(15 * time.Second)
		}, 1, false},
		"an order for the release of a node leaves what an operator asked of it": {3, 1, func(w *world) {
			w.pass(5 * time.Second)
			w.step(0, HaltRequested{})
			w.step(0, DrainRequested{})
			w.step(0, ReleaseOrdered{"v1"}) // which also ends the halt
			w.pass(10 * time.Second)
		}, 1, false},
		"the way back frees the slot that was asked for": {3, 1, func(w *world) {
			w.pass(5 * time.Second)
			w.each(func(i int) { w.cut[i][1], w.cut[i][2] = i == 0, i == 0 }) // it has asked, and hears no answer
			w.step(0, ReleaseOrdered{"v2"})
			w.nodes[1].decide(w.clock(1), 0, w.nodes[0].request.slotRequest)
			w.nodes[2].decide(w.clock(2), 0, w.nodes[0].request.slotRequest)
			w.step(0, ReleaseOrdered{"v1"})
			w.each(func(i int) { w.cut[i] = make([]bool, 3) })
			w.step(1, DrainRequested{})
			w.pass(10 * time.Second)
		}, 1, false},
		"a release that is not installed halts": {5, 1, func(w *world) {
			w.pass(5 * time.Second)
			w.step(2, ReleaseOrdered{"v2"})
			w.pass(30 * time.Second)
		}, 1, true},
		"all start at once": {5, 2, func(w *world) {
			w.pass(5 * time.Second)
			w.each(func(i int) { w.kill(i); w.back[i] = w.now + time.Second })
			w.pass(8 * time.Second)
			w.step(0, DrainRequested{})
			w.pass(20 * time.Second)
		}, 1, false},
	} {
		w := newWorld(t, 3, test.nodes, test.budget, nil)
		test.play(w)
		halted := false
		for _, c := range w.nodes {
			halted = halted || c != nil && c.halt.IsHalted
		}
		if w.rolls != test.rolls || halted != test.halted {
			t.Errorf("%s: %d went out, want %d; halted %v, want %v", name, w.rolls, test.rolls, halted, test.halted)
		}
	}
}

// TestLostIsWrittenOff: a node that never comes back gives its slot up in the end.
func TestLostIsWrittenOff(t *testing.T) {
	w := newWorld(t, 5, 5, 1, func(c *Config) { c.ReturnTimeout, c.WriteOffAfter = 5*time.Second, 10*time.Second })
	w.step(0, DrainRequested{})
	w.until(func() bool { return w.rolls > 0 })
	w.back[0] = 0
	w.pass(15 * time.Second)
	if w.events[LogSlotExpired] < 3 {
		t.Errorf("the slot expired at %d nodes", w.events[LogSlotExpired])
	}
}

// TestZoneBudget: no more than one of a zone is out, though two may be of the fleet.
func TestZoneBudget(t *testing.T) {
	w := newWorld(t, 9, 6, 3, func(c *Config) { c.ZoneBudget, c.Zone = 1, fmt.Sprint("z", c.Self%2) })
	w.each(func(i int) { w.step(i, DrainRequested{}) })
	for range 300 {
		w.pass(100 * time.Millisecond)
		for zone := range 2 {
			n := 0
			for i, out := range w.out {
				if out && i%2 == zone {
					n++
				}
			}
			if n > 1 {
				t.Fatalf("%d nodes of a zone are out", n)
			}
		}
	}
	if w.rolls < 3 {
		t.Errorf("%d went out in 30 s", w.rolls)
	}
}

// TestStartIsJudgedBesideTheOthers: a node that starts is broken by what goes worse there than at the fit nodes.
func TestStartIsJudgedBesideTheOthers(t *testing.T) {
	for name, test := range map[string]struct {
		served ResponseCounts
		others []health
		broken bool
	}{
		"well":                       {ResponseCounts{100, 5, 10}, nil, false},
		"fails":                      {ResponseCounts{100, 30, 0}, nil, true},
		"late":                       {ResponseCounts{100, 0, 70}, nil, true},
		"too few answers to tell":    {ResponseCounts{5, 5, 0}, nil, false},
		"fails like all others":      {ResponseCounts{100, 60, 0}, []health{{true, 150, 0}, {true, 140, 0}, {true, 160, 0}}, false},
		"late like all others":       {ResponseCounts{100, 0, 90}, []health{{true, 0, 200}, {true, 0, 200}}, false},
		"worse than all others":      {ResponseCounts{100, 90, 0}, []health{{true, 60, 0}, {true, 60, 0}, {true, 60, 0}}, true},
		"one other lies":             {ResponseCounts{100, 90, 0}, []health{{true, 5, 0}, {true, 255, 255}, {true, 5, 0}}, true},
		"others that tell nothing":   {ResponseCounts{100, 90, 0}, []health{{}, {}, {}}, true},
		"a little worse than others": {ResponseCounts{100, 21, 0}, []health{{true, 10, 0}}, false},
	} {
		c, _ := New(config(0, 5, 1))
		c.Step(0, ServingStarted{})
		for i, h := range test.others {
			c.Step(0, MessageReceived{i + 1, heartbeat{Incarnation: 1, Sequence: 1, State: Ready, Health: h}.encode()})
		}
		c.Step(time.Millisecond, test.served)
		if got := c.state == Unhealthy; got != test.broken || got != c.halt.IsHalted {
			t.Errorf("%s: broken %v, halted %v, want %v", name, got, c.halt.IsHalted, test.broken)
		}
	}
}

func TestBadConfig(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no budget":      func(c *Config) { c.Budget = 0 },
		"large budget":   func(c *Config) { c.Budget = MaxBudget + 1 },
		"not among them": func(c *Config) { c.Self = c.Nodes },
		"short silence":  func(c *Config) { c.UnresponsiveAfter = c.HeartbeatInterval },
		"lost too early": func(c *Config) { c.WriteOffAfter = time.Second },
	} {
		c := config(0, 3, 1)
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

func TestMessagesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := heartbeat{Incarnation: rapid.Uint64().Draw(t, "start"), Sequence: rapid.Uint32().Draw(t, "count"), State: State(rapid.IntRange(0, int(numStates)-1).Draw(t, "state")),
			IsAbstaining: rapid.Bool().Draw(t, "learns"), LastDone: rapid.Uint32().Draw(t, "done"), Halt: haltState{rapid.Uint16().Draw(t, "epoch"), true, ReasonNodeUnhealthy, 3}, Order: releaseOrder{1, 2},
			Health: health{true, rapid.Byte().Draw(t, "failed"), rapid.Byte().Draw(t, "slow")}}
		for range rapid.IntRange(0, maxGrants).Draw(t, "entries") {
			b.Grants = append(b.Grants, grant{rapid.Uint16().Draw(t, "holder"), rapid.Uint64().Draw(t, "s"), rapid.Uint32().Draw(t, "a"), 1, 2, 3})
		}
		data := b.encode()
		if len(data) > datagram.MaxSize {
			t.Fatalf("%d bytes", len(data))
		}
		if got, err := decode(data); err != nil || fmt.Sprint(got) != fmt.Sprint(b) {
			t.Fatalf("%v, %v", got, err)
		}
		later := datagram.Seal(append(slices.Clone(data[:len(data)-4]), 1, 2, 3)) // what a later release says more is skipped
		if got, err := decode(later); err != nil || fmt.Sprint(got) != fmt.Sprint(b) {
			t.Fatalf("of a later release: %v, %v", got, err)
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err := decode(data); err == nil {
			t.Fatalf("a garbled datagram passed for %v", got)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add(heartbeat{Grants: []grant{{Holder: 1}}}.encode())
	f.Add(slotRequest{Incarnation: 1}.encode())
	f.Add(slotAnswer{Reason: ReasonSlotTaken}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		c, _ := New(config(0, 3, 1))
		c.Step(0, MessageReceived{1, data})
	})
}

// TestArithmetic: what a node decides in fleets of any size: how many make a majority, what is refused, and that all that is
// granted fits a datagram.
func TestArithmetic(t *testing.T) {
	for _, test := range []struct {
		nodes, budget, out, silent int // out by agreement, silent besides
		majority                   int
		want                       Reason
	}{
		{1, 1, 0, 0, 1, ReasonGranted}, {4, 1, 0, 0, 3, ReasonGranted}, {4, 1, 1, 0, 3, ReasonOverBudget}, {4, 2, 1, 0, 3, ReasonGranted}, {4, 2, 0, 2, 3, ReasonOverBudget},
		{80, 4, 3, 0, 41, ReasonGranted}, {80, 4, 4, 0, 41, ReasonOverBudget}, {80, 4, 2, 2, 41, ReasonOverBudget}, {300, 11, 10, 0, 151, ReasonGranted}, {300, 11, 5, 6, 151, ReasonOverBudget},
		{1000, 11, 10, 0, 501, ReasonGranted}, {1000, 11, 11, 0, 501, ReasonOverBudget}, {1000, 11, 0, 499, 501, ReasonOverBudget},
	} {
		c, err := New(config(0, test.nodes, test.budget))
		if err != nil {
			t.Fatal(err)
		}
		now := Time(0)
		c.Step(now, ServingStarted{})
		count := uint32(0)
		speak := func(nodes int) { // those that are out leave, the others are fit
			count++
			for i := 1; i < nodes; i++ {
				state := Ready
				if i <= test.out {
					state = Draining
				}
				c.Step(now, MessageReceived{i, heartbeat{Incarnation: 1, Sequence: count, State: state}.encode()})
			}
		}
		for _, nodes := range []int{test.nodes, test.nodes - test.silent} { // past the lease, then past the silence of some
			for end := now + c.cfg.RequestTimeout + c.cfg.UnresponsiveAfter; now < end; now += c.cfg.HeartbeatInterval {
				speak(nodes)
				c.Step(now, Tick{})
			}
		}
		for i := 1; i <= test.out; i++ {
			c.grants = append(c.grants, grantRecord{grant: grant{Holder: uint16(i), Incarnation: 1, Request: 1, Slot: uint8(i - 1)}, grantedAt: now})
		}
		free := uint8(min(test.out, test.budget-1))
		if got := c.judge(now, test.nodes-1-test.silent, slotRequest{Incarnation: 1, Number: 1, Slot: free}); test.nodes > 1 && got != test.want && !(got == ReasonSlotTaken && test.want == ReasonOverBudget) {
			t.Errorf("%d nodes, budget %d, %d out, %d silent: %v, want %v", test.nodes, test.budget, test.out, test.silent, got, test.want)
		}
		if got := c.majority(); got != test.majority {
			t.Errorf("%d nodes: %d are a majority, want %d", test.nodes, got, test.majority)
		}
		b := heartbeat{Incarnation: 1 << 60, Sequence: 1 << 31}
		for _, g := range c.grants {
			b.Grants = append(b.Grants, g.grant)
		}
		if n := len(b.encode()); n > datagram.MaxSize {
			t.Errorf("%d nodes: a beacon of %d bytes", test.nodes, n)
		}
	}
}
