package model

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var standard = &CacheServerKind{Name: "standard", Cores: 2, Speed: 1, Slots: 16, Queue: 8, SlowStartFloor: 0.2, SlowStartDuration: 10 * time.Second,
	Memory: 1 << 20, MaxConnections: 50, ConnectionWork: time.Millisecond, HealthCheckWork: time.Millisecond, MissWork: 0.1, ErrorRate: 0.01,
	Cancel: CancelQueued, OverloadFactor: 3, OverloadWindow: 1500 * time.Millisecond}

func spec(seed uint64, boxes int, faults ...Fault) Spec {
	s := Spec{Seed: seed, Nodes: []NodeSpec{{"n0", "a"}, {"n1", "b"}}, OriginZone: "a",
		Origin: OriginSpec{Median: 20 * time.Millisecond, Sigma: 0.3, Parallel: 20, Queue: 50, Window: 4 * time.Second, ValueSize: 100,
			OverloadMultiple: 4, OverloadWindow: time.Second, OverloadStall: 3 * time.Second},
		Discovery: DiscoverySpec{MinLag: 500 * time.Millisecond, MaxLag: 900 * time.Millisecond, Call: time.Millisecond,
			PerEntry: 100 * time.Microsecond, Timeout: 2 * time.Second, Heartbeat: 2 * time.Second},
		Link: LinkSpec{SameLeast: 100 * time.Microsecond, SameMost: 300 * time.Microsecond, CrossLeast: time.Millisecond,
			CrossMost: 2 * time.Millisecond, Retransmit: 200 * time.Millisecond},
		Classes: []ClassSpec{{"read", 10 * time.Millisecond, 20 * time.Millisecond}, {"write", 20 * time.Millisecond, 30 * time.Millisecond}},
		Faults:  faults}
	for i := range boxes {
		s.CacheServers = append(s.CacheServers, CacheServerSpec{Kind: standard, Zone: string(rune('a' + i%2)), Speed: 1})
	}
	return s
}

// driver plays nodes without sockets and without a clock: it sends reads to boxes and, after a miss, to the origin.
type driver struct {
	*System
	t       time.Duration
	rand    *rand.Rand
	doors   map[int]AcceptorState // of node 0
	conns   map[int]ConnID        // by slot
	bySlot  map[ConnID]int
	next    uint64
	answers []Response
	resets  int
	told    []DiscoveryReply
	ran     []RequestExecuted
	fell    []string
}

func drive(s Spec) *driver {
	d := &driver{System: New(s), rand: RandomStream(s.Seed, "driver"), doors: map[int]AcceptorState{}, conns: map[int]ConnID{},
		bySlot: map[ConnID]int{}}
	d.take(d.Start())
	return d
}

func (d *driver) take(effects []Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case Acceptor:
			if e.Node == 0 {
				d.doors[e.Slot] = e.State
			}
		case Reset:
			d.resets++
			delete(d.conns, d.bySlot[e.Conn])
		case Response:
			d.answers = append(d.answers, e)
			if e.Outcome == Miss {
				d.send(0, e.Request, "read", false)
			}
		case DiscoveryReply:
			d.told = append(d.told, e)
		case RequestExecuted:
			d.ran = append(d.ran, e)
		case ServerOverloaded:
			d.fell = append(d.fell, e.Server)
		}
	}
}

// until passes time, doing what is due at its own moment.
func (d *driver) until(t time.Duration) {
	for d.NextEvent() <= t {
		d.take(d.Advance(d.NextEvent()))
	}
	d.t = t
	d.take(d.Advance(t))
}

// send sends a request to a slot, where its door is open, and tells whether it could. The key is that of the id.
func (d *driver) send(slot int, id, class string, write bool) bool {
	if state, ok := d.doors[slot]; !ok || state != Accepting {
		return false
	}
	c, ok := d.conns[slot]
	if !ok {
		d.next++
		c = ConnID(d.next)
		d.conns[slot], d.bySlot[c] = c, slot
		d.take(d.Step(d.t, Connect{Conn: c, Node: 0, Slot: slot}))
	}
	d.next++
	var key int
	fmt.Sscanf(id, "%d", &key)
	d.take(d.Step(d.t, RequestArrived{Request{Conn: c, Seq: d.next, ID: id, Key: fmt.Sprint("k", key%40), Class: class, Write: write,
		Size: 10, Deadline: d.t + 2*time.Second}}))
	return true
}

// day sends reads and writes at a rate for a while.
func (d *driver) day(length time.Duration, every time.Duration) {
	for i := 0; d.t < length; i++ {
		d.until(d.t + every)
		if i%20 == 0 {
			d.send(0, fmt.Sprint(i), "write", true)
			continue
		}
		slots := []int{}
		for s, state := range d.doors {
			if s != 0 && state == Accepting {
				slots = append(slots, s)
			}
		}
		slices.Sort(slots)
		if len(slots) > 0 {
			d.send(slots[d.rand.IntN(len(slots))], fmt.Sprint(i), "read", false)
		}
	}
	d.until(length + 10*time.Second)
}

var everything = []Fault{
	{Kind: Deploy, At: time.Second, For: 4 * time.Second, Batch: 0.3, DrainFor: 500 * time.Millisecond, SameSlot: 0.5, Select: Selector{Share: 0.8}},
	{Kind: Freeze, At: 2 * time.Second, For: time.Second, Select: Selector{Count: 1}},
	{Kind: Partition, At: 2500 * time.Millisecond, For: time.Second, Select: Selector{Count: 1}},
	{Kind: Flap, At: 3 * time.Second, For: 3 * time.Second, Period: time.Second, Select: Selector{Count: 1}},
	{Kind: CorruptResponse, At: time.Second, For: 5 * time.Second, Share: 0.1},
	{Kind: PacketLoss, At: time.Second, For: 5 * time.Second, Share: 0.1},
	{Kind: DiscoveryLag, At: time.Second, For: 5 * time.Second, Lag: time.Second},
	{Kind: OriginSlow, At: 4 * time.Second, For: time.Second, Factor: 3},
	{Kind: OriginStall, At: 6 * time.Second, For: time.Second},
	{Kind: DiscoveryDown, At: 5 * time.Second, For: time.Second},
	{Kind: DiscoveryEmpty, At: 7 * time.Second, For: time.Second},
	{Kind: Shrink, At: 7 * time.Second, For: time.Second, Select: Selector{Count: 2}},
}

// The same seed gives the same log twice, to the last event; another seed another one. A stream that one part
// draws from more often does not shift the others.
func TestSameSeedSameEvents(t *testing.T) {
	hash := func(seed uint64) uint64 {
		d := drive(spec(seed, 8, everything...))
		d.day(9*time.Second, 5*time.Millisecond)
		return d.Hash()
	}
	if a, b, c := hash(1), hash(1), hash(2); a != b || a == c {
		t.Errorf("hashes %x and %x of one seed, %x of another", a, b, c)
	}
	if a, b := RandomStream(1, "x").Uint64(), RandomStream(1, "y").Uint64(); a == b {
		t.Error("two parts draw the same")
	}
}

// entries is the list by id.
func (d *driver) entries() map[string]Entry {
	m := map[string]Entry{}
	for _, e := range d.List().Entries {
		m[e.ID] = e
	}
	return m
}

// A read misses, is fetched, and is a hit then; a write voids the copy, and no box returns the old record.
func TestCopies(t *testing.T) {
	d := drive(spec(1, 1))
	ask := func(id string, write bool, slot int) Response {
		n := len(d.answers)
		d.send(slot, id, map[bool]string{false: "read", true: "write"}[write], write)
		d.until(d.t + time.Second)
		if len(d.answers) == n {
			t.Fatalf("%s: no answer", id)
		}
		return d.answers[len(d.answers)-1]
	}
	if a := ask("40", false, 1); a.Outcome != Hit || a.Server != OriginID || a.Copy.Version != 0 {
		t.Errorf("the first read: %+v", a)
	}
	if a := ask("80", false, 1); a.Outcome != Hit || a.Server != "box-0" {
		t.Errorf("the second read: %+v", a)
	}
	if a := ask("120", true, 0); a.Outcome != Written || a.Copy.Version != 1 {
		t.Errorf("the write: %+v", a)
	}
	if a := ask("160", false, 1); a.Server != OriginID || a.Copy.Version != 1 {
		t.Errorf("the read after the write: %+v", a)
	}
	if len(d.ran) != 4 {
		t.Errorf("%d requests ran, want 4: %+v", len(d.ran), d.ran)
	}
}

// A box that follows at the address of one that has gone is cold, has another id, and what was on its way to the
// old one is answered by nobody.
func TestReplacedAtTheSameAddress(t *testing.T) {
	d := drive(spec(1, 1, Fault{Kind: Deploy, At: time.Second, For: time.Second, Batch: 1, DrainFor: time.Second, SameSlot: 1}))
	d.send(1, "1", "read", false)
	d.until(1999 * time.Millisecond)
	if e := d.entries()["box-0"]; e.State != Draining {
		t.Fatalf("before its end the roster says %+v", e)
	}
	n := len(d.answers)
	d.send(1, "2", "read", false)
	d.until(2100 * time.Millisecond)
	if d.resets != 1 || len(d.answers) > n && d.answers[n].Outcome != RejectedUnseen {
		t.Errorf("%d resets, answers %+v", d.resets, d.answers[n:])
	}
	d.until(4 * time.Second)
	all := d.entries()
	e, ok := all["box-1"]
	if _, old := all["box-0"]; old || !ok || e.Slot != 1 || e.Started == 0 || e.State != Up {
		t.Errorf("the roster says %+v", all)
	}
	n = len(d.answers)
	d.send(1, "1", "read", false) // a key that the old one held
	d.until(4100 * time.Millisecond)
	if len(d.answers) == n || d.answers[n].Outcome != Miss {
		t.Errorf("the new one answers %+v", d.answers[n:])
	}
}

// Two faults on one box that overlap and end in the other order leave it as it was, and only at the end of both.
func TestOverlappingFaults(t *testing.T) {
	d := drive(spec(1, 1, Fault{Kind: Freeze, At: time.Second, For: 3 * time.Second}, Fault{Kind: Freeze, At: 2 * time.Second, For: time.Second},
		Fault{Kind: Kill, At: 10 * time.Second, For: 4 * time.Second}, Fault{Kind: Kill, At: 11 * time.Second, For: time.Second}))
	d.until(3500 * time.Millisecond)
	d.send(1, "1", "read", false)
	d.until(3900 * time.Millisecond)
	if len(d.answers) != 0 {
		t.Error("a frozen box answered as the shorter of two freezes ended")
	}
	d.until(5 * time.Second)
	if len(d.answers) == 0 {
		t.Error("the box did not go on after both")
	}
	for at, want := range map[time.Duration]AcceptorState{12500 * time.Millisecond: Refusing} {
		if d.until(at); d.doors[1] != want {
			t.Errorf("at %s the door is %v", at, d.doors[1])
		}
	}
	d.until(20 * time.Second)
	if e := d.entries()["box-0"]; d.doors[1] != Accepting || e.State != Up || e.Started != 14*time.Second {
		t.Errorf("after both kills: door %v, entry %+v", d.doors[1], e)
	}
}

// Whatever faults there are, each state they change is back at its end, and a portal with work goes on.
func TestFaultsUndoThemselves(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		kinds := []FaultKind{Drain, Kill, Freeze, Partition, Slow, Stall, Flap, CorruptResponse, PacketLoss, DiscoveryLag, DiscoveryDown, DiscoveryEmpty, OriginSlow, OriginStall}
		var faults []Fault
		for range rapid.IntRange(1, 8).Draw(r, "faults") {
			faults = append(faults, Fault{Kind: rapid.SampledFrom(kinds).Draw(r, "kind"),
				At:     time.Duration(rapid.IntRange(0, 2000).Draw(r, "at")) * time.Millisecond,
				For:    time.Duration(rapid.IntRange(1, 3000).Draw(r, "for")) * time.Millisecond,
				Factor: 0.5, Share: 0.3, Lag: time.Second, Period: 500 * time.Millisecond,
				Select: Selector{Count: rapid.IntRange(0, 2).Draw(r, "count")}})
		}
		d := drive(spec(rapid.Uint64().Draw(r, "seed"), 3, faults...))
		d.day(3*time.Second, 20*time.Millisecond)
		d.until(30 * time.Second)
		for _, s := range d.servers {
			if s.kills != 0 && !s.fell() || s.frozen != 0 || s.stalled != 0 || s.draining != 0 || len(s.slow)+len(s.spoilt)+len(s.lossy) != 0 ||
				s.cuts[0]+s.cuts[1] != 0 || s.origin != nil && (s.origin.down != 0 || s.origin.factor < 0.99 || s.origin.factor > 1.01) {
				r.Fatalf("%s is left as %+v", s.id, s)
			}
		}
		if d.roster.lag != 0 || d.roster.down != 0 || d.roster.hidden != 0 {
			r.Fatalf("the roster is left as %+v", d.roster)
		}
		n := len(d.answers)
		if d.send(1, "7", "read", false) {
			if d.until(40 * time.Second); len(d.answers) == n {
				r.Fatal("no answer at the end")
			}
		}
	})
}

func (s *server) fell() bool { return s.box != nil && s.box.fallen }

// A cold box that is sent more than three times what it can do falls over and stays down; a warm one only queues.
func TestColdBoxPushedOver(t *testing.T) {
	for _, cold := range []bool{false, true} {
		sp := spec(1, 1)
		kind := *standard
		kind.MissWork, kind.Slots, kind.Queue = 1, 1000, 1000
		sp.CacheServers[0].Kind = &kind
		if cold {
			sp.Faults = []Fault{{Kind: Kill, At: time.Millisecond, For: time.Millisecond}}
		}
		d := drive(sp)
		d.until(10 * time.Millisecond)
		for i := range 500 {
			d.until(d.t + 4*time.Millisecond) // 250 a second of 15 ms: 3.75 cores' worth, of 0.4 when cold
			d.send(1, fmt.Sprint(i), "read", false)
		}
		if len(d.fell) > 0 != cold {
			t.Errorf("cold %v: fell over %v", cold, d.fell)
		}
	}
}

// Calls of discovery are handled one after another; a watch gets what changed, and ends when discovery goes down.
func TestRoster(t *testing.T) {
	d := drive(spec(1, 2, Fault{Kind: Drain, At: 3 * time.Second, For: time.Second, Select: Selector{IDs: []string{"box-1"}}},
		Fault{Kind: DiscoveryDown, At: 8 * time.Second, For: time.Second}))
	v := d.List().Version
	d.take(d.Step(0, DiscoveryCall{Call: 1, Watch: true, After: v}))
	d.take(d.Step(0, DiscoveryCall{Call: 2}))
	d.until(time.Second)
	if len(d.told) != 2 || d.told[0].Call != 1 || len(d.told[0].List.Entries) != 0 || !d.told[1].List.IsFull || len(d.told[1].List.Entries) != 3 || !d.told[1].Ends {
		t.Fatalf("told %+v", d.told)
	}
	d.until(7 * time.Second)
	var said []string
	for _, to := range d.told[2:] {
		if to.List != nil {
			said = append(said, fmt.Sprint(to.List.Entries[0].ID, " ", to.List.Entries[0].State, " ", to.List.Version-v))
		}
	}
	if fmt.Sprint(said) != "[box-1 draining 1 box-1 up 2]" {
		t.Errorf("the watch said %v", said)
	}
	d.until(8500 * time.Millisecond)
	if last := d.told[len(d.told)-1]; !last.Ends || !last.Failed {
		t.Errorf("as discovery went down: %+v", last)
	}
	d.take(d.Step(8600*time.Millisecond, DiscoveryCall{Call: 3}))
	if last := d.told[len(d.told)-1]; last.Call != 3 || !last.Failed {
		t.Errorf("while it is down: %+v", last)
	}
}

// The work that a box does in a time is what its cores can do, however many requests share them.
func TestBoxSharesItsCores(t *testing.T) {
	for n, want := range map[int]time.Duration{1: 100 * time.Millisecond, 2: 100 * time.Millisecond, 8: 400 * time.Millisecond} {
		b := newBox(standard, 1, 0, false, RandomStream(1, "t"))
		b.memory.put(Copy{Key: "k"})
		for i := range n {
			b.arrive(0, &Request{Key: "k", Seq: uint64(i), Work: 100 * time.Millisecond}, true)
		}
		b.fill(0)
		at := b.wake()
		b.advance(at)
		if done := b.finish(at); len(done) != n || at < want || at > want+time.Microsecond {
			t.Errorf("%d requests: %d done at %s, want %s", n, len(done), at, want)
		}
	}
}

func TestCacheGivesUpByBytes(t *testing.T) {
	for fifo, lost := range map[bool]string{true: "a", false: "b"} {
		c := newCache(3*(10+1+overhead), fifo)
		for _, k := range []string{"a", "b", "c"} {
			c.put(Copy{Key: k, Size: 10})
		}
		c.get("a")
		c.put(Copy{Key: "d", Size: 10})
		for _, k := range []string{"a", "b", "c", "d"} {
			if _, ok := c.get(k); ok == (k == lost) {
				t.Errorf("FIFO %v: %s held: %v", fifo, k, ok)
			}
		}
	}
}

// A request that is at a box when the list begins to say that it drains is finished and answered; one that comes then
// is turned away.
func TestChangeOfTheListCrossesARequest(t *testing.T) {
	sp := spec(1, 1, Fault{Kind: Drain, At: time.Second, For: 5 * time.Second})
	kind := *standard
	kind.MissWork, kind.ErrorRate = 1, 0
	sp.CacheServers[0].Kind = &kind
	sp.Classes[0] = ClassSpec{"read", 800 * time.Millisecond, 800 * time.Millisecond}
	sp.Discovery.MinLag, sp.Discovery.MaxLag = 10*time.Millisecond, 10*time.Millisecond
	d := drive(sp)
	d.until(900 * time.Millisecond)
	d.send(1, "1", "read", false)
	d.until(1100 * time.Millisecond)
	if e := d.entries()["box-0"]; e.State != Draining || len(d.answers) != 0 {
		t.Fatalf("%+v with %d answers while the request is at work", e, len(d.answers))
	}
	d.send(1, "2", "read", false)
	d.until(4 * time.Second)
	if len(d.answers) < 2 || d.answers[0].Request != "2" || d.answers[0].Outcome != RejectedUnseen || d.answers[1].Request != "1" || d.answers[1].Outcome != Miss {
		t.Errorf("answers %+v", d.answers)
	}
}
