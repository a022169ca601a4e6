package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shelfproxy/internal/fleet/datagram"
)

const period = 500 * time.Millisecond

// world plays a fleet: datagrams that are lost, late, twice and out of order, nodes that are killed, stopped, started again, and
// fleets that fall apart.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	nodes   []*Core // nil: no process
	born    []time.Duration
	lives   []uint64
	stopped []bool
	cut     func(a, b int) bool
	wire    []packet
	loss    float64
	changes map[State]int // by state that a node that was there came to be taken for
	false_  int           // a node that was there was taken for dead
	bytes   int
	sent    int
	claimed []int // of each node's name, how often a later process was heard of
}

type packet struct {
	at       time.Duration
	from, to int
	data     []byte
}

func newWorld(t *testing.T, seed uint64, nodes int, loss float64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), loss: loss, nodes: make([]*Core, nodes), born: make([]time.Duration, nodes),
		lives: make([]uint64, nodes), stopped: make([]bool, nodes), claimed: make([]int, nodes), changes: map[State]int{}, cut: func(int, int) bool { return false }}
	for i := range nodes {
		w.start(i)
	}
	return w
}

func (w *world) start(i int) {
	w.lives[i] = max(w.lives[i]+1, lifeFrom+uint64(w.now/time.Millisecond))
	c, err := New(Config{Self: i, Nodes: len(w.nodes), Incarnation: w.lives[i], ProbeInterval: period, ProbeTimeout: 100 * time.Millisecond, IndirectProbes: 3, SuspicionFactor: 2, Seed: uint64(i)})
	if err != nil {
		w.t.Fatal(err)
	}
	w.nodes[i], w.born[i], w.stopped[i] = c, w.now, false
}

func (w *world) there(i int) bool { return w.nodes[i] != nil && !w.stopped[i] }

func (w *world) step(i int, ev Event) {
	if w.nodes[i] == nil {
		return
	}
	for _, e := range w.nodes[i].Step(w.now-w.born[i], ev) {
		switch e := e.(type) {
		case Send:
			w.sent++
			w.bytes += len(e.Data)
			if len(e.Data) > datagram.MaxSize {
				w.t.Fatalf("a datagram of %d bytes", len(e.Data))
			}
			for range 1 + w.rng.IntN(10)/9 {
				if w.rng.Float64() >= w.loss && !w.cut(i, e.To) {
					w.wire = append(w.wire, packet{w.now + time.Duration(w.rng.Int64N(int64(27*time.Millisecond))), i, e.To, e.Data})
				}
			}
		case StateChanged:
			w.changes[e.To]++
			if e.To == Dead && w.there(e.Node) && !w.cut(i, e.Node) {
				w.false_++
			}
		case IncarnationConflict:
			w.claimed[i]++
		}
	}
}

func (w *world) pass(span time.Duration) {
	const tick = 25 * time.Millisecond
	for end := w.now + span; w.now < end; w.now += tick {
		due := w.wire
		w.wire = nil
		for _, p := range due {
			if p.at > w.now || w.stopped[p.to] {
				w.wire = append(w.wire, p)
			} else {
				w.step(p.to, MessageReceived{p.from, p.data})
			}
		}
		for i := range w.nodes {
			if !w.stopped[i] {
				w.step(i, Tick{})
			}
		}
	}
}

// agree tells whether every node that is there takes exactly those for there that are. One that is suspected counts still.
func (w *world) agree() bool {
	for i, c := range w.nodes {
		if !w.there(i) {
			continue
		}
		for j, m := range c.members {
			if here := m.state == Alive || m.state == Suspect; here != w.there(j) {
				return false
			}
		}
	}
	return true
}

// until lets time go on until all agree, and tells for how long it did.
func (w *world) until(what string) time.Duration {
	w.t.Helper()
	for began := w.now; ; w.pass(25 * time.Millisecond) {
		if w.agree() {
			return w.now - began
		}
		if w.now-began > 2*time.Minute {
			w.t.Fatalf("%s: they never agreed", what)
		}
	}
}

// TestFleetAgrees: after anything that can happen all that are there know who is.
func TestFleetAgrees(t *testing.T) {
	for name, test := range map[string]struct {
		nodes int
		play  func(w *world)
	}{
		"a node is killed": {5, func(w *world) { w.nodes[1] = nil }},
		"half are killed": {10, func(w *world) {
			w.each(func(i int) {
				if i%2 == 0 {
					w.nodes[i] = nil
				}
			})
		}},
		"one is there":                    {3, func(w *world) { w.nodes[1], w.nodes[2] = nil, nil }},
		"a fleet of two":                  {2, func(w *world) { w.nodes[1] = nil }},
		"killed and started again":        {5, func(w *world) { w.nodes[1] = nil; w.pass(100 * time.Millisecond); w.start(1) }},
		"started again after it was dead": {5, func(w *world) { w.nodes[1] = nil; w.pass(20 * time.Second); w.start(1) }},
		"stopped for ten seconds":         {5, func(w *world) { w.stopped[1] = true; w.pass(10 * time.Second); w.stopped[1] = false }},
		"all start at once":               {8, func(w *world) { w.each(func(i int) { w.nodes[i] = nil; w.start(i) }) }},
		"leaves in order":                 {5, func(w *world) { w.step(1, ShutdownStarted{}); w.nodes[1] = nil }},
		"falls apart and comes together": {6, func(w *world) {
			w.cut = func(a, b int) bool { return (a < 3) != (b < 3) }
			w.pass(30 * time.Second)
			w.cut = func(int, int) bool { return false }
		}},
		"one is cut off from another": {4, func(w *world) { w.cut = func(a, b int) bool { return a+b == 1 } }},
	} {
		for seed := range uint64(5) {
			w := newWorld(t, seed, test.nodes, 0.1)
			w.until(name + ", at the start")
			test.play(w)
			w.until(fmt.Sprintf("%s, seed %d", name, seed))
		}
	}
}

func (w *world) each(f func(i int)) {
	for i := range w.nodes {
		f(i)
	}
}

// TestDetection measures how long a death takes to be known to all, how often a node that is there is taken for dead, and what it
// costs, against loss and the size of the fleet.
func TestDetection(t *testing.T) {
	for _, nodes := range []int{4, 40, 100} {
		for _, loss := range []float64{0, 0.05, 0.2} {
			w := newWorld(t, 1, nodes, loss)
			start := w.until("the start")
			w.sent, w.bytes, w.false_, w.changes = 0, 0, 0, map[State]int{}
			w.pass(60 * time.Second)
			perNode := float64(w.bytes) / 60 / float64(nodes)
			suspected := w.changes[Suspect]
			false_ := w.false_
			w.nodes[nodes/2] = nil
			took := w.until("the death")
			t.Logf("| %d | %.0f%% | %.1f s | %.1f s | %d | %d | %.0f |", nodes, loss*100, start.Seconds(), took.Seconds(), suspected, false_, perNode)
			if false_ > 0 && loss < 0.1 || took > w.nodes[0].SuspicionTimeout()+time.Duration(nodes/4+14)*period {
				t.Errorf("%d nodes, %.0f%% lost: %d were taken for dead wrongly, a death took %v", nodes, loss*100, false_, took)
			}
		}
	}
}

// TestPausedNodeKeepsQuiet: a node that was stopped and wakes does not take all others for dead for what it asked before.
func TestPausedNodeKeepsQuiet(t *testing.T) {
	w := newWorld(t, 3, 6, 0)
	w.until("the start")
	w.stopped[2] = true
	w.pass(20 * time.Second)
	w.wire, w.changes = nil, map[State]int{}
	w.stopped[2] = false
	before := w.false_
	w.pass(5 * time.Second)
	if w.false_ > before {
		t.Errorf("%d nodes that are there were taken for dead", w.false_-before)
	}
	w.until("it is back")
}

// TestTwoUnderOneName: of two processes with one node's name each hears of the other again and again; a date that was set back
// is heard of once, and the node is there all the same.
func TestTwoUnderOneName(t *testing.T) {
	for name, both := range map[string]bool{"both run": true, "the clock was set back": false} {
		w := newWorld(t, 4, 4, 0)
		w.until("the start")
		old := w.nodes[1]
		w.lives[1] += 3_600_000
		w.start(1) // a later process
		w.until("the later one is known")
		if !both { // the next one's date is an hour before it
			w.lives[1] = lifeFrom
			w.start(1)
		}
		for range 40 {
			w.pass(period)
			if both { // the earlier one hears what the others hear, and asks them
				for _, e := range old.Step(w.now, MessageReceived{0, w.word(0, 1)}) {
					switch e := e.(type) {
					case IncarnationConflict:
						w.claimed[1]++
					case Send:
						w.step(e.To, MessageReceived{1, e.Data})
					}
				}
			}
		}
		if many := w.claimed[1] > 5; many != both || w.claimed[1] == 0 {
			t.Errorf("%s: heard of %d times", name, w.claimed[1])
		}
		if m := w.nodes[0].members[1]; !both && (m.state != Alive || m.life != w.nodes[1].members[1].life) {
			t.Errorf("%s: taken for %v", name, m)
		}
	}
}

// word is a datagram in which a node tells another what it knows of it.
func (w *world) word(from, to int) []byte {
	c := w.nodes[from]
	k := c.members[to]
	return message{kind: kindAck, fleet: c.cfg.PeerListID, news: []news{{uint16(to), k.life, k.word, k.state}}}.encode()
}

// TestCount: how many share the work is what is configured until enough is known, and no other node can make it smaller.
func TestCount(t *testing.T) {
	const nodes = 5
	c, err := New(Config{Self: 0, Nodes: nodes, Incarnation: lifeFrom, ProbeInterval: period, ProbeTimeout: 100 * time.Millisecond, SuspicionFactor: 2})
	if err != nil {
		t.Fatal(err)
	}
	now, counted := time.Duration(0), -1
	told := func(ev Event) {
		for _, e := range c.Step(now, ev) {
			if n, ok := e.(FleetSizeChanged); ok {
				counted = n.Nodes
			}
		}
	}
	hear := func(from int, all ...news) {
		told(MessageReceived{from, message{kind: kindAck, news: append(all, news{uint16(from), lifeFrom, 0, Alive})}.encode()})
	}
	want := func(what string, n int) {
		t.Helper()
		if counted != n {
			t.Errorf("%s: %d, want %d", what, counted, n)
		}
	}
	told(Tick{})
	hear(1)
	if counted > 0 {
		t.Errorf("two of five are heard: %d, want what is configured", counted)
	}
	hear(2)
	want("three are heard, two not yet", nodes)
	for end := 60 * time.Second; now < end; now += period {
		hear(1)
		hear(2)
	}
	want("two were never heard", 3)
	hear(1, news{2, lifeFrom, 0, Dead})
	want("one says that another is dead", 3)
	for end := now + 60*time.Second; now < end; now += period {
		hear(1)
	}
	want("the other is dead, and two of five are left", 0)
}

// TestLateNewsChangeNothing: whatever is known, news that are not newer leave it as it is, and of two orders in which the same
// news come both end alike.
func TestLateNewsChangeNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one := rapid.Custom(func(t *rapid.T) news {
			return news{1, lifeFrom + rapid.Uint64Range(1, 3).Draw(t, "life"), uint8(rapid.IntRange(0, 3).Draw(t, "word")), State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state"))}
		})
		all := rapid.SliceOfN(one, 1, 8).Draw(t, "news")
		end := func(order []int) member {
			c, _ := New(Config{Self: 0, Nodes: 3, Incarnation: lifeFrom, ProbeInterval: period, ProbeTimeout: 100 * time.Millisecond, SuspicionFactor: 2})
			for _, i := range order {
				c.take(0, 1, all[i])
				before := c.members[1]
				c.take(0, 1, all[i])
				if c.members[1] != before {
					t.Fatalf("%+v a second time changed %+v", all[i], before)
				}
			}
			m := c.members[1]
			return member{state: m.state, life: m.life, word: m.word}
		}
		order := rapid.Permutation(seq(len(all))).Draw(t, "order")
		if a, b := end(seq(len(all))), end(order); a != b {
			t.Fatalf("%v in order %v: %+v and %+v", all, order, a, b)
		}
	})
}

func seq(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

func TestMessagesComeBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := message{kind: rapid.ByteRange(kindPing, kindAsk).Draw(t, "kind"), seq: rapid.Uint32().Draw(t, "seq"), node: rapid.Uint16().Draw(t, "node")}
		for range rapid.IntRange(0, mostNews).Draw(t, "news") {
			m.news = append(m.news, news{rapid.Uint16().Draw(t, "n"), lifeFrom + rapid.Uint64Range(0, lifeMost).Draw(t, "life"), rapid.Byte().Draw(t, "word"), Alive})
		}
		data := m.encode()
		if got, err := decode(data); err != nil || fmt.Sprint(got) != fmt.Sprint(m) || len(data) > datagram.MaxSize {
			t.Fatalf("%v, %v, %d bytes", got, err, len(data))
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err := decode(data); err == nil {
			t.Fatalf("a garbled datagram passed for %v", got)
		}
	})
}

func FuzzHeard(f *testing.F) {
	f.Add(message{kind: kindPing, news: []news{{1, lifeFrom, 0, Alive}}}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		c, _ := New(Config{Self: 0, Nodes: 3, Incarnation: lifeFrom, ProbeInterval: period, ProbeTimeout: 100 * time.Millisecond, SuspicionFactor: 2})
		c.Step(0, MessageReceived{1, data})
	})
}
