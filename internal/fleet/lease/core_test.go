package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var seeds = flag.Int("lease.seeds", 1500, "lives that TestNeverTwoHolders plays")

const (
	testLease = time.Second
	drift     = 0.05
)

// world plays a fleet: clocks that differ, drift and have other dates, messages that are lost, late, twice and out of
// order, nodes that are killed, stalled, started again and cut off.
type world struct {
	t       interface{ Fatalf(string, ...any) }
	rng     *rand.Rand
	now     time.Duration
	cfg     []Config
	nodes   []*Core // nil: no process
	born    []time.Duration
	rate    []float64
	skew    []time.Duration // of the date
	stalled []bool
	cut     [][]bool
	wire    []packet
	loss    float64
	late    time.Duration

	greatest map[string]uint64 // token acted under
	holders  map[string]int    // who acted last, -1 at first
	changes  int
	said     map[int]int // words that came, by who heard them
	stale    int
	idle     time.Duration // time in which nobody held the first duty
}

type packet struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newWorld(t interface{ Fatalf(string, ...any) }, seed uint64, nodes int, duties ...string) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), loss: 0.1, late: 60 * time.Millisecond, stalled: make([]bool, nodes),
		nodes: make([]*Core, nodes), born: make([]time.Duration, nodes), greatest: map[string]uint64{}, holders: map[string]int{}, said: map[int]int{}}
	for i := range nodes {
		w.cfg = append(w.cfg, Config{Self: i, Nodes: nodes, PeerListID: 1, Resources: duties, LeaseDuration: testLease, MaxClockDrift: drift, Seed: seed*100 + uint64(i)})
		w.rate = append(w.rate, 1+(w.rng.Float64()-0.5)*drift) // two differ by drift at most
		w.skew = append(w.skew, time.Duration(w.rng.Int64N(int64(testLease/2))))
		w.cut = append(w.cut, make([]bool, nodes))
		w.start(i)
	}
	return w
}

func (w *world) clock(i int) time.Duration {
	return time.Duration(float64(w.now-w.born[i]) * w.rate[i])
}

func (w *world) start(i int) {
	w.born[i], w.stalled[i] = w.now, false
	w.cfg[i].Epoch = 1_000_000 + uint64((w.now+w.skew[i])/time.Millisecond)
	c, err := New(w.cfg[i])
	if err != nil {
		w.t.Fatalf("%v", err)
	}
	w.nodes[i] = c
	w.step(i, Tick{})
}

func (w *world) kill(i int) { w.nodes[i], w.stalled[i] = nil, false }

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
		case Announced:
			w.said[i]++
		case LogEvent:
			if e.Kind == LogTokenStale {
				w.stale++
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

// pass lets time go on, and checks after every step that at most one node would act, under no lower token than before.
func (w *world) pass(span time.Duration) {
	const tick = 10 * time.Millisecond
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
		for i := range w.nodes {
			if !w.stalled[i] && w.rng.IntN(3) == 0 {
				w.step(i, Tick{})
			}
		}
		w.check()
	}
}

func (w *world) check() {
	for k, name := range w.cfg[0].Resources {
		holder := NoNode
		for i, c := range w.nodes {
			if c == nil || w.stalled[i] {
				continue
			}
			token, ok := c.Holds(w.clock(i), name)
			if !ok {
				continue
			}
			last, acted := w.holders[name]
			switch {
			case holder != NoNode:
				w.t.Fatalf("at %v nodes %d and %d both hold %s", w.now, holder, i, name)
			case token < w.greatest[name] || token == w.greatest[name] && acted && last != i:
				w.t.Fatalf("at %v node %d holds %s under %d, after %d had %d", w.now, i, name, token, last, w.greatest[name])
			}
			if !acted || last != i {
				w.changes++
			}
			holder, w.greatest[name], w.holders[name] = i, token, i
		}
		if holder == NoNode && k == 0 {
			w.idle += 10 * time.Millisecond
		}
	}
}

// holder is who holds a duty now.
func (w *world) holder(name string) int {
	for i, c := range w.nodes {
		if c != nil && !w.stalled[i] {
			if _, ok := c.Holds(w.clock(i), name); ok {
				return i
			}
		}
	}
	return NoNode
}

// held waits until somebody holds a duty, and tells for how long it took.
func (w *world) held(name string, not int) (int, time.Duration) {
	for began := w.now; w.now < began+time.Minute; w.pass(10 * time.Millisecond) {
		if i := w.holder(name); i != NoNode && i != not {
			return i, w.now - began
		}
	}
	w.t.Fatalf("nobody holds %s", name)
	return 0, 0
}

func (w *world) split(part int) {
	for a := range w.nodes {
		for b := range w.nodes {
			w.cut[a][b] = part > 0 && (a < part) != (b < part)
		}
	}
}

// TestNeverTwoHolders plays thousands of short lives of small fleets in which anything may happen to anybody. It fails as
// soon as two nodes would act under one duty, or one under a token that is not greater than the last.
func TestNeverTwoHolders(t *testing.T) {
	changes := 0
	for seed := range uint64(*seeds) {
		nodes := 2 + int(seed%4)
		w := newWorld(t, seed, nodes, "a", "b")
		w.loss = []float64{0, 0.1, 0.3}[seed%3]
		w.late = []time.Duration{20 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond}[seed/3%3]
		for range 25 {
			w.pass(time.Duration(w.rng.Int64N(int64(500 * time.Millisecond))))
			i, j := w.rng.IntN(nodes), w.rng.IntN(nodes)
			switch w.rng.IntN(8) {
			case 0, 1:
				w.stalled[i] = w.nodes[i] != nil && !w.stalled[i]
			case 2:
				if w.nodes[i] != nil {
					w.kill(i)
				} else {
					w.start(i)
				}
			case 3:
				w.cut[i][j] = !w.cut[i][j]
			case 4:
				w.split(w.rng.IntN(nodes))
			case 5:
				w.step(i, MessageReceived{j, []byte{Magic, version, byte(w.rng.IntN(5)), 1, 2, 3, 4, 5, 6, 7, 8, 9, byte(w.rng.IntN(256))}})
			case 6:
				if h := w.holder("a"); h != NoNode && w.rng.IntN(2) == 0 {
					w.step(h, Resign{})
					w.kill(h)
				}
			case 7: // every process ends at once
				if w.rng.IntN(4) == 0 {
					for k := range w.nodes {
						w.kill(k)
						w.start(k)
					}
				}
			}
		}
		changes += w.changes
	}
	if changes < *seeds/2 {
		t.Errorf("only %d holders in %d lives: the test tells little", changes, *seeds)
	}
}

// TestHardCases: whether somebody holds the duty some time in the second to fourth lease after it happened.
func TestHardCases(t *testing.T) {
	for name, test := range map[string]struct {
		nodes  int
		play   func(w *world, holder int)
		held   bool
		others bool // under another token
	}{
		"the holder is killed":                 {5, func(w *world, h int) { w.kill(h) }, true, true},
		"the holder stalls":                    {5, func(w *world, h int) { w.stalled[h] = true }, true, true},
		"the holder resigns":                   {5, func(w *world, h int) { w.step(h, Resign{}); w.kill(h) }, true, true},
		"the holder is cut off from all":       {5, func(w *world, h int) { isolate(w, h, 5) }, true, true},
		"the holder is cut off from a few":     {5, func(w *world, h int) { isolate(w, h, 2) }, true, false},
		"the holder hears nobody but is heard": {5, func(w *world, h int) { deaf(w, h) }, true, true},
		"two halves":                           {4, func(w *world, h int) { w.split(2) }, false, false},
		"a fleet of two, one of them gone":     {2, func(w *world, h int) { w.kill(1 - h) }, false, false},
		"a fleet of two, the holder is back":   {2, func(w *world, h int) { w.kill(h); w.start(h) }, true, true},
		"a majority is gone":                   {5, func(w *world, h int) { w.kill((h + 1) % 5); w.kill((h + 2) % 5); w.kill((h + 3) % 5) }, false, false},
		"all start at once":                    {3, func(w *world, h int) { w.each(func(i int) { w.kill(i); w.start(i) }) }, true, true},
		"all are stopped for a while": {3, func(w *world, h int) {
			w.each(func(i int) { w.stalled[i] = true })
			w.pass(3 * testLease)
			w.each(func(i int) { w.stalled[i] = false })
		}, true, true},
		"a clock runs as fast as may be":           {3, func(w *world, h int) { w.rate[(h+1)%3] *= 1 + drift; w.kill(h) }, true, true},
		"another node under the name of the first": {3, func(w *world, h int) { w.start(h) }, true, true},
	} {
		for seed := range uint64(20) {
			w := newWorld(t, seed, test.nodes, "a")
			before, _ := w.held("a", NoNode)
			token := w.greatest["a"]
			test.play(w, before)
			w.pass(testLease) // it is over by then in any case
			w.idle = 0
			w.pass(3 * testLease)
			if got := w.idle < 3*testLease; got != test.held {
				t.Fatalf("%s, seed %d: nobody holds it for %v of three leases, want a holder: %v", name, seed, w.idle, test.held)
			}
			if test.others && w.greatest["a"] <= token {
				t.Fatalf("%s, seed %d: token %d after %d", name, seed, w.greatest["a"], token)
			}
		}
	}
}

func (w *world) each(f func(i int)) {
	for i := range w.nodes {
		f(i)
	}
}

func isolate(w *world, node, from int) {
	for i := range w.nodes {
		if i != node && from > 0 {
			from--
			w.cut[node][i], w.cut[i][node] = true, true
		}
	}
}

func deaf(w *world, node int) {
	for i := range w.nodes {
		w.cut[i][node] = true
	}
}

// TestStalledHolderIsReplaced: in fleets of many nodes that lose a tenth of their messages a stalled holder has a successor
// within two leases, and what it says when it wakes is known to be old.
func TestStalledHolderIsReplaced(t *testing.T) {
	for _, nodes := range []int{3, 5, 20, 80} {
		var longest time.Duration
		for seed := range uint64(12) {
			w := newWorld(t, seed, nodes, "a")
			w.late = 27 * time.Millisecond // as on the platform
			w.held("a", NoNode)
			w.pass(testLease)
			h, _ := w.held("a", NoNode)
			old := w.nodes[h].message(kindWord, HashName("a"), w.greatest["a"], 0, 0)
			w.stalled[h] = true
			next, took := w.held("a", h)
			longest = max(longest, took)
			w.pass(testLease / 2)
			w.each(func(i int) { // what it had on its way as it stalled
				if i != h {
					w.step(i, MessageReceived{h, old})
				}
			})
			if w.stale < nodes*2/3 || len(w.said) > nodes/3 {
				t.Errorf("%d nodes: of %d that heard an old word %d knew it and %d believed it", nodes, nodes-1, w.stale, len(w.said))
			}
			w.stalled[h] = false
			w.pass(testLease / 2)
			if now := w.holder("a"); now != next {
				t.Errorf("%d nodes: %d holds it after the stalled one woke, %d had it", nodes, now, next)
			}
		}
		t.Logf("%d nodes: at most %v", nodes, longest)
		if longest > 2*testLease && nodes <= 20 || longest > 3*testLease {
			t.Errorf("%d nodes: it took %v", nodes, longest)
		}
	}
}

// TestAWordReachesAll: what a holder says, and nobody else may, comes to the others.
func TestAWordReachesAll(t *testing.T) {
	w := newWorld(t, 1, 5, "a")
	w.loss = 0
	h, _ := w.held("a", NoNode)
	w.pass(testLease)
	w.step((h+1)%5, Announce{"a"})
	w.pass(testLease / 4)
	if len(w.said) != 0 {
		t.Fatal("a node that holds nothing was heard")
	}
	w.step(h, Announce{"a"})
	w.pass(testLease / 4)
	if len(w.said) != 4 || w.said[h] != 0 {
		t.Fatalf("heard by %v", w.said)
	}
}

// TestPeersMove: a list with one node more takes effect node by node, and at no moment do two hold the duty.
func TestPeersMove(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(t, seed, 4, "a")
		for i := range 3 { // the fourth is not in the first list
			w.nodes[i].Step(w.clock(i), PeersChanged{i, 3, 9})
		}
		w.kill(3)
		w.cfg = w.cfg[:4]
		w.held("a", NoNode)
		for i := range 3 {
			w.pass(time.Duration(w.rng.Int64N(int64(testLease))))
			w.step(i, PeersChanged{i, 4, 1})
			if i == 1 {
				w.start(3)
			}
		}
		if h, took := w.held("a", NoNode); took > 4*testLease {
			t.Fatalf("seed %d: node %d has it after %v", seed, h, took)
		}
	}
}

// TestWhatComesLate: what a node that granted a duty makes of words that come late, and of asks that came to nothing.
func TestWhatComesLate(t *testing.T) {
	type word struct {
		from  int
		kind  byte
		token uint64
		flags byte
		after time.Duration // the one before
		want  Reason        // reasons: any
	}
	for name, words := range map[string][]word{
		// testbed simulate --fleet, seed 1385: two had the duty.
		"a renewal under an earlier token, and the word that gave that back, leave a grant": {{0, kindAsk, 2000, 0, 0, ReasonGranted},
			{0, kindAsk, 1000, flagHeld, 0, reasons}, {0, kindRelease, 1000, 0, 0, reasons}, {2, kindAsk, 2500, 0, 0, ReasonContested}},
		// testbed simulate --fleet, seed 1759: the holder had the vote of this node no more.
		"an ask under a greater token that came to nothing leaves the holder its vote": {{0, kindAsk, 1000, 0, 0, ReasonGranted}, {0, kindAsk, 1000, flagHeld, 0, ReasonGranted},
			{2, kindAsk, 2000, 0, 2 * testLease, ReasonGranted}, {2, kindRelease, 2000, 0, 0, reasons}, {0, kindAsk, 1000, flagHeld, 0, ReasonGranted}},
		"what was given back is not renewed": {{0, kindAsk, 1000, 0, 0, ReasonGranted}, {0, kindRelease, 1000, 0, 0, reasons}, {0, kindAsk, 1000, flagHeld, 0, ReasonTokenSuperseded}},
	} {
		c, err := New(Config{Self: 1, Nodes: 3, PeerListID: 1, Resources: []string{"d"}, LeaseDuration: testLease, MaxClockDrift: drift, Epoch: 1_000_000})
		if err != nil {
			t.Fatal(err)
		}
		c.Step(0, Tick{})
		now := 2 * testLease
		for i, w := range words {
			now += w.after
			got := reasons
			for _, e := range c.Step(now, MessageReceived{w.from, message{kind: w.kind, fleet: 1, duty: HashName("d"), token: 1_000_000 + w.token, round: 1, flags: w.flags}.encode()}) {
				if s, ok := e.(Send); ok && s.To == w.from {
					if m, err := decode(s.Data); err == nil && m.kind == kindAnswer {
						got = m.why
					}
				}
			}
			if w.want != reasons && got != w.want {
				t.Errorf("%s: word %d is answered with %v, want %v", name, i, got, w.want)
			}
		}
	}
}

// TestHowLongAnswersCount plays one node of three, of which another answers by hand.
func TestHowLongAnswersCount(t *testing.T) {
	const at = 2 * time.Second
	var c *Core
	play := func(now Time, m message) Reason {
		if m.fleet == 0 {
			m.fleet = 1
		}
		m.duty = HashName("a")
		for _, e := range c.Step(now, MessageReceived{1, m.encode()}) {
			if s, ok := e.(Send); ok && s.To == 1 {
				got, _ := decode(s.Data)
				return got.why
			}
		}
		return reasons
	}
	ask := func(token uint64) message { return message{kind: kindAsk, token: token} }
	begin := func() {
		c, _ = New(Config{Nodes: 3, PeerListID: 1, Resources: []string{"a"}, LeaseDuration: time.Second, MaxClockDrift: 0.05, Epoch: 1, Seed: 1})
		c.Step(0, Tick{})
		c.Step(at, Tick{})
	}
	for _, test := range []struct {
		answered, asked time.Duration // when an answer comes, and when the node is asked whether it holds the duty
		holds           bool
	}{{10 * time.Millisecond, 900 * time.Millisecond, true}, {900 * time.Millisecond, 940 * time.Millisecond, true},
		{900 * time.Millisecond, 960 * time.Millisecond, false}, {960 * time.Millisecond, 970 * time.Millisecond, false}} {
		begin()
		c.duties[0].nextAt = at
		c.Step(at, Tick{})
		d := c.duties[0]
		play(at+test.answered, message{kind: kindAnswer, token: d.own, round: 1})
		if _, got := c.Holds(at+test.asked, "a"); got != test.holds {
			t.Errorf("answered after %v: holds it after %v: %v", test.answered, test.asked, got)
		}
	}
	begin()
	if got := play(at, ask(5)); got != ReasonGranted {
		t.Fatalf("the first ask is %v", got)
	}
	from2 := func(now Time, token uint64) Reason {
		return c.decide(now, c.duties[0], 2, token, false)
	}
	if got := from2(at+990*time.Millisecond, 6); got != ReasonContested {
		t.Errorf("within the lease another ask is %v", got)
	}
	if got := from2(at+1010*time.Millisecond, 5); got != ReasonTokenSuperseded {
		t.Errorf("after it, one under the same token is %v", got)
	}
	if got := from2(at+1010*time.Millisecond, 6); got != ReasonGranted {
		t.Errorf("after it, one under the next token is %v", got)
	}
	begin()
	c.Step(at, PeersChanged{0, 4, 2})
	for _, test := range []struct {
		after time.Duration
		fleet uint32
		want  Reason
	}{{10 * time.Millisecond, 1, reasons}, {10 * time.Millisecond, 2, ReasonAbstaining}, {1040 * time.Millisecond, 2, ReasonAbstaining}, {1060 * time.Millisecond, 2, ReasonGranted}} {
		m := ask(9)
		if m.fleet = test.fleet; play(at+test.after, m) != test.want {
			t.Errorf("%v after another list of peers an ask under list %d is not %v", test.after, test.fleet, test.want)
		}
	}
}

// TestEveryOrder searches every order in which the first messages of three nodes can come, be lost, or be overtaken by time
// and by a stalled node: two never hold the duty. It fails where one of the rules of decide or vote is taken out.
func TestEveryOrder(t *testing.T) {
	const nodes, depth = 3, 9
	type packet struct {
		from, to int
		data     string
	}
	paths, held := 0, 0
	seen := map[string]bool{}
	var play func(path []int)
	play = func(path []int) {
		// A path is played from its start: cores are not copied.
		cores := make([]*Core, nodes)
		now := time.Duration(0)
		var wire []packet
		step := func(i int, ev Event) {
			for _, e := range cores[i].Step(now, ev) {
				if s, ok := e.(Send); ok {
					for to := range nodes {
						if to != i && (s.To == AllNodes || s.To == to) {
							wire = append(wire, packet{i, to, string(s.Data)})
						}
					}
				}
			}
		}
		for i := range nodes {
			cores[i], _ = New(Config{Self: i, Nodes: nodes, PeerListID: 1, Resources: []string{"a"}, LeaseDuration: testLease, Epoch: 1, Seed: uint64(i)})
			step(i, Tick{})
		}
		now = 2 * testLease
		for i := range nodes - 1 { // two of them ask at once
			step(i, Tick{})
			cores[i].duties[0].nextAt = now
			step(i, Tick{})
		}
		check := func() {
			n := 0
			for _, c := range cores {
				if _, ok := c.Holds(now, "a"); ok {
					n++
				}
			}
			if held += n; n > 1 {
				t.Fatalf("two hold it after %v", path)
			}
		}
		for _, move := range path {
			switch {
			case move == 0: // a half of the lease passes, and all look
				now += testLease / 2
				for i := range nodes {
					step(i, Tick{})
				}
			case move <= len(wire): // one message comes
				p := wire[move-1]
				wire = append(wire[:move-1:move-1], wire[move:]...)
				step(p.to, MessageReceived{p.from, []byte(p.data)})
			default: // time passes for one that looks no more
				now += testLease / 2
				step(move%nodes, Tick{})
			}
			check()
		}
		paths++
		state := fmt.Sprint(now, wire)
		for _, c := range cores {
			d := *c.duties[0]
			state += fmt.Sprint(d.high, d.promised, d.released, d.to, d.token, d.granted, d.own, d.held, d.until, d.last, d.rounds)
		}
		if seen[state] || len(path) == depth || paths > 60_000 {
			return
		}
		seen[state] = true
		for move := range len(wire) + 2 {
			play(append(path[:len(path):len(path)], move))
		}
	}
	play(nil)
	if held == 0 || paths < 10_000 {
		t.Errorf("%d orders were played and the duty was held %d times: the test tells little", paths, held)
	}
}

func TestBadConfig(t *testing.T) {
	good := Config{Nodes: 3, Resources: []string{"a"}, LeaseDuration: time.Second}
	for name, change := range map[string]func(*Config){
		"not among them": func(c *Config) { c.Self = 3 },
		"short lease":    func(c *Config) { c.LeaseDuration = time.Millisecond },
		"drift":          func(c *Config) { c.MaxClockDrift = 0.5 },
		"no duty":        func(c *Config) { c.Resources = nil },
		"one twice":      func(c *Config) { c.Resources = []string{"a", "a"} },
		"no name":        func(c *Config) { c.Resources = []string{""} },
		"too many":       func(c *Config) { c.Resources = make([]string, MaxResources+1) },
	} {
		c := good
		change(&c)
		if _, err := New(c); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

func TestMessagesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{kind: rapid.ByteRange(kindAsk, kindWord).Draw(t, "kind"), fleet: rapid.Uint32().Draw(t, "fleet"),
			duty: rapid.Uint32().Draw(t, "duty"), token: rapid.Uint64().Draw(t, "token")}
		switch m.kind {
		case kindAsk:
			m.round, m.flags = 7, flagHeld
		case kindAnswer:
			m.round, m.why, m.high, m.left = 7, ReasonTokenSuperseded, rapid.Uint64().Draw(t, "high"), rapid.Uint32().Draw(t, "left")
		}
		data := m.encode()
		if got, err := decode(data); err != nil || got != m {
			t.Fatalf("%v, %v", got, err)
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err := decode(data); err == nil {
			t.Fatalf("a garbled datagram passed for %v", got)
		}
	})
}

func FuzzHeard(f *testing.F) {
	f.Add(message{kind: kindAsk, token: 1}.encode())
	f.Add(message{kind: kindAnswer, token: 1}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		c, _ := New(Config{Nodes: 3, Resources: []string{"a"}, LeaseDuration: time.Second})
		c.Step(0, MessageReceived{1, data})
	})
}
