package admission

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const ms = time.Millisecond

func table(places int) *ConnectionTable {
	return NewConnectionTable(DefaultConnectionPolicy(places, 2500*ms, time.Minute, 50*ms))
}

// request makes a connection ask and be answered.
func request(t *ConnectionTable, now Time, id uint64, kind Command) {
	t.CommandReceived(now, id, kind)
	t.ResponsesWritten(now+10*ms, id, 1)
}

// Each stage keeps a connection for its own time while there is room.
func TestPatienceByStage(t *testing.T) {
	for name, test := range map[string]struct {
		see  func(t *ConnectionTable)
		want time.Duration // from time 0 on
	}{
		"fresh":          {func(t *ConnectionTable) {}, 2500 * ms},
		"half a command": {func(t *ConnectionTable) { t.PartialCommand(time.Second, 1) }, 3500 * ms},
		"greeted":        {func(t *ConnectionTable) { request(t, 0, 1, CommandOther) }, time.Minute + 10*ms},
		"once":           {func(t *ConnectionTable) { request(t, 0, 1, CommandRequest) }, time.Minute + 10*ms},
		"rude":           {func(t *ConnectionTable) { request(t, 0, 1, CommandInvalid) }, 2010 * ms},
		"rude, then polite": {func(t *ConnectionTable) {
			request(t, 0, 1, CommandInvalid)
			request(t, 20*ms, 1, CommandRequest)
		}, time.Minute + 30*ms},
		"half a command after one": {func(t *ConnectionTable) {
			request(t, 0, 1, CommandRequest)
			t.PartialCommand(time.Second, 1)
			t.PartialCommand(3*time.Second, 1) // more of it came
		}, 3500 * ms},
	} {
		tab := table(100)
		tab.Accepted(0, 1)
		test.see(tab)
		at, ok := tab.NextExpiry(0)
		if d := at - test.want; !ok || d < -ms || d > ms {
			t.Errorf("%s: given up at %s, want %s", name, at, test.want)
		}
		if got := tab.ExpireIdle(at-ms, 10); len(got) != 0 {
			t.Errorf("%s: given up too early", name)
		}
		if got := tab.ExpireIdle(at, 10); !slices.Equal(got, []uint64{1}) {
			t.Errorf("%s: gives up %v", name, got)
		}
		if got := tab.ExpireIdle(at+time.Hour, 10); len(got) != 0 {
			t.Errorf("%s: given up twice", name)
		}
	}
}

// A request that is out keeps its connection, however crowded the table is; so does one that crosses the decision.
func TestOpenRequestsKeepTheirPlace(t *testing.T) {
	tab := table(4)
	for id := range uint64(4) {
		tab.Accepted(0, id)
		tab.CommandReceived(0, id, CommandRequest)
	}
	if got := tab.ExpireIdle(time.Hour, 10); len(got) != 0 {
		t.Errorf("gives up %v with requests out", got)
	}
	if ok, _, found := tab.Admit(time.Hour); ok || found {
		t.Error("finds a victim among connections with requests out")
	}
	tab.ResponsesWritten(time.Hour, 2, 1)
	_, victim, found := tab.Admit(time.Hour + ms)
	if !found || victim != 2 {
		t.Fatalf("victim %d, %v", victim, found)
	}
	tab.CommandReceived(time.Hour+2*ms, 2, CommandRequest) // it came as the connection was given up
	tab.ResponsesWritten(time.Hour+3*ms, 2, 1)
	if _, _, again := tab.Admit(time.Hour + 4*ms); again {
		t.Error("another is given up while room is on its way")
	}
	tab.Closed(time.Hour+5*ms, 2)
	if ok, _, _ := tab.Admit(time.Hour + 6*ms); !ok || tab.Len() != 3 {
		t.Errorf("no room after one went; %d in use", tab.Len())
	}
}

// Patience never grows with the pressure, and does so by no cliff: from one connection to the next it changes by a
// small factor only.
func TestPatienceShrinksSmoothly(t *testing.T) {
	tab := table(200)
	last := math.Inf(1)
	for i := range uint64(200) {
		tab.Accepted(0, i)
		now := 10 * time.Second // the drift is over
		wait := float64(tab.patience(int(StageOneRequest), tab.Crowding(now)))
		if wait > last || wait < last*0.85 && !math.IsInf(last, 1) {
			t.Errorf("with %d connections patience goes from %s to %s", i+1, time.Duration(last), time.Duration(wait))
		}
		last = wait
	}
	if d := time.Duration(last) - 50*ms; d < -ms || d > ms {
		t.Errorf("in a full table patience is %s", time.Duration(last))
	}
	fills := table(200)
	for i := range uint64(30) {
		fills.Accepted(0, i)
	}
	if slow := table(200); true {
		for i := range uint64(30) {
			slow.Accepted(time.Duration(i)*100*ms, i)
		}
		if a, b := fills.Crowding(0), slow.Crowding(2900*ms); a <= b {
			t.Errorf("a table that fills at once has pressure %.2f, one that fills slowly %.2f", a, b)
		}
	}
}

// play runs a table against clients, in steps of a millisecond, and tells how many were turned away for want of a
// place and which kept connections were lost.
type client struct {
	id    uint64
	next  Time
	every time.Duration
}

// One-shot clients that never close, at four times the rate that the table could hold for 2 s, and 400 connections
// that say nothing, do not keep usual clients out nor cost those with a rhythm their connections.
func TestCrowds(t *testing.T) {
	for name, crowd := range map[string]struct {
		every time.Duration // between two of the crowd
		speak bool
	}{"one-shot clients": {5 * ms, true}, "silent connections": {7 * ms, false}} {
		tab := table(100) // 2 s of 200 a second would be 400
		var regulars []client
		id := uint64(0)
		for range 20 {
			id++
			tab.Accepted(0, id)
			regulars = append(regulars, client{id, time.Duration(id) * 7 * ms, 150 * ms}) // they are there before the crowd
		}
		lost, shut, opened := 0, 0, 0
		closed := map[uint64]bool{}
		gone := func(now Time, ids ...uint64) {
			for _, id := range ids {
				closed[id] = true
				tab.Closed(now, id)
			}
		}
		for now := Time(0); now < 10*time.Second; now += ms {
			if now > time.Second && now%crowd.every == 0 {
				opened++
				if ok, victim, found := tab.Admit(now); ok {
					id++
					tab.Accepted(now, id)
					if crowd.speak {
						request(tab, now, id, CommandRequest)
					}
				} else {
					shut++
					if found {
						gone(now, victim)
					}
				}
			}
			for i := range regulars {
				if r := &regulars[i]; now >= r.next {
					if closed[r.id] {
						lost++
						closed[r.id] = false
						tab.Accepted(now, r.id)
					}
					request(tab, now, r.id, CommandRequest)
					r.next += r.every
				}
			}
			gone(now, tab.ExpireIdle(now, 1000)...)
		}
		t.Logf("%s: %d opened, %d found no place at once, %d reconnects of regulars in %d requests", name, opened, shut, lost, 20*10000/150)
		if lost > 20 || crowd.speak && shut > opened/4 { // silent ones may wait
			t.Errorf("%s: regular clients lost their connections %d times, %d of %d found no place", name, lost, shut, opened)
		}
	}
}

// Clients that take none of their answers are cut off when too much is owed to all, the one stuck for longest first;
// one that reads slowly stays.
func TestStuckReaders(t *testing.T) {
	p := DefaultConnectionPolicy(10, time.Second, time.Minute, 50*ms)
	p.MaxUnsentBytes, p.StuckTimeout = 1<<20, 250*ms
	tab := NewConnectionTable(p)
	for id := range uint64(4) {
		tab.Accepted(0, id)
		tab.CommandReceived(0, id, CommandRequest)
		tab.AddUnsentBytes(time.Duration(id)*ms, id, 300<<10)
	}
	if _, found := tab.NextStuck(100 * ms); found {
		t.Error("cut off before it can be told stuck from slow")
	}
	tab.AddUnsentBytes(200*ms, 0, -100<<10) // it reads
	id, found := tab.NextStuck(300 * ms)
	if !found || id != 1 {
		t.Fatalf("cuts off %d, %v; want 1", id, found)
	}
	if id, found := tab.NextStuck(300 * ms); found {
		t.Errorf("cuts off %d when no longer too much is owed", id)
	}
	tab.Closed(301*ms, 1)
	tab.Closed(301*ms, 2)
	if tab.owed != 500<<10 || len(tab.heavy) != 2 {
		t.Errorf("%d bytes are owed to %d", tab.owed, len(tab.heavy))
	}
}

// Whatever happens, what is counted is what is there, queues are in order, and only idle connections are given up.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		tab := table(rapid.IntRange(1, 12).Draw(r, "places"))
		open, given := map[uint64]int{}, map[uint64]bool{}
		now, next := Time(0), uint64(0)
		for range rapid.IntRange(1, 200).Draw(r, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(r, "wait")) * ms
			ids := make([]uint64, 0, len(open))
			for id := range open {
				ids = append(ids, id)
			}
			slices.Sort(ids)
			pick := func() (uint64, bool) {
				if len(ids) == 0 {
					return 0, false
				}
				return rapid.SampledFrom(ids).Draw(r, "id"), true
			}
			give := func(id uint64) {
				if open[id] > 0 || given[id] {
					r.Fatalf("%d was given up with %d out, given before: %v", id, open[id], given[id])
				}
				given[id] = true
			}
			switch rapid.IntRange(0, 6).Draw(r, "event") {
			case 0:
				if ok, victim, found := tab.Admit(now); ok {
					next++
					tab.Accepted(now, next)
					open[next] = 0
				} else if found {
					give(victim)
				}
			case 1:
				if id, ok := pick(); ok {
					tab.CommandReceived(now, id, Command(rapid.IntRange(0, 2).Draw(r, "kind")))
					open[id]++
				}
			case 2:
				if id, ok := pick(); ok && open[id] > 0 {
					n := rapid.IntRange(1, open[id]).Draw(r, "answers")
					tab.ResponsesWritten(now, id, n)
					open[id] -= n
				}
			case 3:
				if id, ok := pick(); ok {
					tab.PartialCommand(now, id)
				}
			case 4, 5:
				for _, id := range tab.ExpireIdle(now, 3) {
					give(id)
				}
			case 6:
				if id, ok := pick(); ok {
					tab.Closed(now, id)
					delete(open, id)
					delete(given, id)
				}
			}
			if tab.Len() != len(open) || tab.leaving != len(given) {
				r.Fatalf("%d used and %d leaving, want %d and %d", tab.Len(), tab.leaving, len(open), len(given))
			}
			queued := 0
			for i := range tab.queues {
				for e := tab.queues[i].head; e != nil; e = e.next {
					queued++
					if e.next != nil && e.next.since < e.since || e.open > 0 || e.given {
						r.Fatalf("queue %d is out of order or holds what is not idle", i)
					}
				}
			}
			for id, n := range open {
				if n == 0 && !given[id] {
					queued--
				}
			}
			if queued != 0 {
				r.Fatalf("%d more are queued than are idle", queued)
			}
		}
	})
}

// Descriptors go to the side that shows need, from one that does not use them; the sum stays, and when two sides are
// in need the limits settle. The series is in the test's log.
func TestSplit(t *testing.T) {
	policy := DescriptorSplitPolicy{Start: [NumSides]int{176, 105, 35}, Floor: [NumSides]int{64, 24, 8}, Step: 8, Hold: 2 * time.Second, Fade: 5 * time.Second}
	s := NewDescriptorSplit(policy)
	sum := func(l [NumSides]int) int { return l[0] + l[1] + l[2] }
	var series []string
	var turned [NumSides]int64
	turns, last := 0, [NumSides]int{}
	for i := range 240 { // a minute
		now := time.Duration(i) * 250 * ms
		want := [NumSides]int{40, 30, 10}
		switch {
		case i >= 40 && i < 120:
			want[Clients] = 400 // more than there is
		case i >= 120:
			want[CacheServers], want[Origin] = 300, 200
		}
		var uses [NumSides]SideUsage
		before := s.Limits()
		for side := range NumSides {
			uses[side].InUse = min(want[side], before[side])
			turned[side] += int64(want[side] - uses[side].InUse)
			uses[side].Exhausted = turned[side]
		}
		if s.Rebalance(now, uses) {
			for side := range NumSides {
				if d := s.Limits()[side] - before[side]; d*last[side] < 0 {
					turns++
				}
				if d := s.Limits()[side] - before[side]; d != 0 {
					last[side] = d
				}
				if s.Limits()[side] < uses[side].InUse {
					t.Fatalf("at %s a side with %d in use gets %d", now, uses[side].InUse, s.Limits()[side])
				}
			}
		}
		l := s.Limits()
		if sum(l) != sum(policy.Start) {
			t.Fatalf("the sum goes from %d to %d", sum(policy.Start), sum(l))
		}
		for side := range NumSides {
			if l[side] < policy.Floor[side] {
				t.Fatalf("side %d is at %d, under its floor", side, l[side])
			}
		}
		if i%20 == 0 {
			series = append(series, fmt.Sprint(l))
		}
	}
	t.Logf("clients, targets, origin every 5 s: %v", series)
	l := s.Limits()
	if turns > 6 || l[CacheServers] < 120 || l[Clients] > 120 {
		t.Errorf("%d times a side went back the other way, at the end %v", turns, l)
	}
}

// A burst that is worked off is fine; a queue that stays behind has a rising share refused, and none a while later.
func TestSojourn(t *testing.T) {
	s := &QueueDelay{Target: 5 * ms, Interval: 100 * ms}
	feed := func(from, to Time, wait func(i int) time.Duration) {
		i := 0
		for now := from; now < to; now += 2 * ms {
			s.Observe(now, wait(i))
			i++
		}
	}
	feed(0, time.Second, func(i int) time.Duration { return time.Duration(50-i%50) * ms }) // down to 1 ms each time
	if l := s.Level(time.Second); l != 0 {
		t.Errorf("bursts that are worked off: level %.2f", l)
	}
	feed(time.Second, 1300*ms, func(int) time.Duration { return 8 * ms })
	early := s.Level(1300 * ms)
	feed(1300*ms, 3*time.Second, func(int) time.Duration { return 8 * ms })
	if late := s.Level(3 * time.Second); early <= 0 || early > 0.6 || late != 1 {
		t.Errorf("behind: level %.2f after 300 ms, %.2f after 2 s", early, late)
	}
	if l := s.Level(5 * time.Second); l != 0 {
		t.Errorf("after a quiet: level %.2f", l)
	}
	s.Observe(time.Hour, 0) // a jump costs nothing
}

// Hundreds of commands of one connection wait behind each other; big items count for more; a full line takes no more.
func TestIntake(t *testing.T) {
	q := &FairQueue[string]{Quantum: 2, MaxPerConnection: 200}
	for i := range 250 {
		if ok := q.Add(1, 1, fmt.Sprint("a", i)); ok != (i < 200) {
			t.Fatalf("item %d of a line: taken %v", i, ok)
		}
	}
	q.Add(2, 1, "b0")
	q.Add(3, 5, "c0")
	var got []string
	for {
		v, _, ok := q.Next()
		if !ok {
			break
		}
		got = append(got, v)
	}
	if b, c := slices.Index(got, "b0"), slices.Index(got, "c0"); b > 2 || c < 3 || c > 9 || len(got) != 202 || q.Len() != 0 {
		t.Errorf("b0 is number %d and c0 number %d of %d", b, c, len(got))
	}
	if !slices.IsSortedFunc(slices.DeleteFunc(got, func(s string) bool { return s[0] != 'a' }), func(a, b string) int { return len(a) - len(b) }) {
		t.Error("a connection's own items change their order")
	}
	if len(q.lines) != 0 {
		t.Errorf("%d empty lines are kept", len(q.lines))
	}
}

// Whatever comes and goes, each connection's items come out in their order, none twice, and a connection waits for no
// more turns than there are others.
func TestIntakeKeepsOrderAndTurns(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := &FairQueue[int]{Quantum: rapid.IntRange(1, 4).Draw(r, "quantum"), MaxPerConnection: 20}
		in, out := map[uint64]int{}, map[uint64]int{}
		for range rapid.IntRange(1, 300).Draw(r, "steps") {
			id := uint64(rapid.IntRange(0, 5).Draw(r, "id"))
			if rapid.Bool().Draw(r, "add") {
				if q.Add(id, rapid.IntRange(1, 6).Draw(r, "cost"), in[id]) {
					in[id]++
				} else if in[id]-out[id] < 20 {
					r.Fatalf("%d is full with %d", id, in[id]-out[id])
				}
			} else if v, id, ok := q.Next(); ok {
				if v != out[id] {
					r.Fatalf("%d gives %d, want %d", id, v, out[id])
				}
				out[id]++
			}
			left := 0
			for id := range in {
				left += in[id] - out[id]
			}
			if q.Len() != left {
				r.Fatalf("%d wait, want %d", q.Len(), left)
			}
		}
		for v, id, ok := q.Next(); ok; v, id, ok = q.Next() {
			if v != out[id] {
				r.Fatalf("%d gives %d, want %d", id, v, out[id])
			}
			out[id]++
		}
		for id := range in {
			if in[id] != out[id] {
				r.Fatalf("%d of %d came out", out[id], in[id])
			}
		}
	})
}

// However much fails, second attempts stay a share of the first ones; a node with few requests still gets some.
func TestBudget(t *testing.T) {
	b := &RetryBudget{Ratio: 0.2, MinPerSecond: 1, MaxSaved: 10}
	second := 0
	for i := range 10000 { // 1000 a second for 10 s, and all fail
		now := time.Duration(i) * ms
		b.RecordAttempt(now)
		for range 5 {
			if b.AllowRetry(now) {
				second++
			}
		}
	}
	if second < 1900 || second > 2100 {
		t.Errorf("%d second attempts on 10000 first ones", second)
	}
	quiet := &RetryBudget{Ratio: 0.2, MinPerSecond: 1, MaxSaved: 10}
	granted := 0
	for i := range 100 { // one a second
		quiet.RecordAttempt(time.Duration(i) * time.Second)
		if quiet.AllowRetry(time.Duration(i) * time.Second) {
			granted++
		}
	}
	if granted != 100 {
		t.Errorf("%d of 100 second attempts of a quiet node", granted)
	}
}

// After a quiet minute a node has in hand what its last second earned: 300 nodes of 18 requests a second a third of a
// second's requests each, one of 80 a second what it always had.
func TestSavedSecondAttemptsFollowTheRate(t *testing.T) {
	for _, test := range []struct{ rate, least, most int }{{1, 3, 3}, {18, 4, 8}, {80, 24, 30}, {1000, 30, 30}} {
		b := &RetryBudget{Ratio: 0.34, MinPerSecond: 0.5, MaxSaved: 30, Burst: 3}
		for i := range 60 * test.rate {
			b.RecordAttempt(time.Minute * time.Duration(i) / time.Duration(60*test.rate))
		}
		saved := 0
		for b.AllowRetry(time.Minute) {
			saved++
		}
		if saved < test.least || saved > test.most {
			t.Errorf("%d requests a second: %d second attempts are saved up, want %d to %d", test.rate, saved, test.least, test.most)
		}
	}
}
