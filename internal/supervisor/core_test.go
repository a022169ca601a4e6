package supervisor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func config(instances, atOnce int) Config {
	return Config{Instances: instances, MaxConcurrent: atOnce, ReadyTimeout: 2 * time.Second, ObservationPeriod: time.Second, TerminateTimeout: 3 * time.Second, HangTimeout: 5 * time.Second,
		MinBackoff: 100 * time.Millisecond, MaxBackoff: 5 * time.Second, MaxFailureRate: 0.2, MinSamples: 10, Seed: 1}
}

// world plays the processes that a core wants: what each does is the test's.
type world struct {
	t     interface{ Fatalf(string, ...any) }
	c     *Core
	now   Time
	alive map[int]*played
	notes map[LogEventKind]int
	done  bool
	most  int // instances without a process that serves, of those that had one, while no process crashed
}

type played struct {
	instance     int
	ready, ended bool // told to end
	killed       bool
}

func newWorld(t interface{ Fatalf(string, ...any) }, cfg Config) *world {
	c, err := New(cfg)
	if err != nil {
		t.Fatalf("%v", err)
	}
	w := &world{t: t, c: c, alive: map[int]*played{}, notes: map[LogEventKind]int{}}
	w.step(Tick{})
	return w
}

func (w *world) step(ev Event) {
	for _, e := range w.c.Step(w.now, ev) {
		switch e := e.(type) {
		case Start:
			if w.alive[e.Process] != nil {
				w.t.Fatalf("process %d is started twice", e.Process)
			}
			w.alive[e.Process] = &played{instance: e.Instance}
		case Terminate:
			p := w.alive[e.Process]
			if p == nil || p.ended {
				w.t.Fatalf("process %d is told to end, and is not there or was told", e.Process)
			}
			if !w.c.stopping && !w.serves(p.instance, e.Process) {
				w.t.Fatalf("process %d of instance %d is told to end, and no other serves", e.Process, p.instance)
			}
			p.ended = true
		case Kill:
			if w.alive[e.Process] == nil {
				w.t.Fatalf("process %d is killed, and is not there", e.Process)
			}
			w.alive[e.Process].killed = true
		case Stopped:
			w.done = true
		case LogEvent:
			w.notes[e.Kind]++
		}
	}
	w.check()
}

// serves tells whether a process of an instance but one is ready and was not told to end.
func (w *world) serves(instance, but int) bool {
	for id, p := range w.alive {
		if id != but && p.instance == instance && p.ready && !p.ended {
			return true
		}
	}
	return false
}

func (w *world) check() {
	replaced := 0
	for i := range w.c.all {
		if w.c.all[i].rolling {
			replaced++
		}
		serve, start := 0, 0
		for _, p := range w.alive {
			switch {
			case p.instance != i || p.ended:
			case p.ready:
				serve++
			default:
				start++
			}
		}
		if serve > 1 || start > 1 {
			w.t.Fatalf("instance %d has %d processes that serve and %d that start", i, serve, start)
		}
	}
	if replaced > w.c.cfg.MaxConcurrent {
		w.t.Fatalf("%d are replaced at once", replaced)
	}
}

func (w *world) ready(id int) { w.alive[id].ready = true; w.step(Ready{id}) }

func (w *world) exit(id int, clean bool) {
	delete(w.alive, id)
	w.step(Exited{id, clean})
}

// calm has all that was started become ready and all that was told to end go, for a while.
func (w *world) calm(span time.Duration) {
	for end := w.now + span; w.now < end; w.now += 50 * time.Millisecond {
		for id := 1; id <= w.c.lastID; id++ {
			switch p := w.alive[id]; {
			case p == nil:
			case p.ended || p.killed:
				w.exit(id, !p.killed)
			case !p.ready:
				w.ready(id)
			default:
				w.step(ResponseCounts{id, 0, 0})
			}
		}
		w.step(Tick{})
	}
}

// process is the one that serves at an instance.
func (w *world) process(instance int) int {
	if p := w.c.all[instance].current; p != nil {
		return p.id
	}
	return 0
}

// TestRoll: what becomes of a roll, by what its first successor does.
func TestRoll(t *testing.T) {
	for name, test := range map[string]struct {
		successor func(w *world, id int)
		replaced  int // of three instances
		halted    bool
	}{
		"all go well":          {func(w *world, id int) { w.ready(id) }, 3, false},
		"crashes at its start": {func(w *world, id int) { w.exit(id, false) }, 0, true},
		"is never ready":       {func(w *world, id int) { w.now += 2 * time.Second; w.step(Tick{}); w.exit(id, false) }, 0, true},
		"ends soon after":      {func(w *world, id int) { w.ready(id); w.now += 300 * time.Millisecond; w.exit(id, false) }, 1, true},
		"fails more than others": {func(w *world, id int) {
			w.step(ResponseCounts{w.process(1), 100, 5})
			w.step(ResponseCounts{w.process(2), 100, 8})
			w.ready(id)
			w.step(ResponseCounts{id, 100, 40})
		}, 1, true},
		"fails as the others do": {func(w *world, id int) {
			w.step(ResponseCounts{w.process(1), 100, 35})
			w.step(ResponseCounts{w.process(2), 100, 38})
			w.ready(id)
			w.step(ResponseCounts{id, 100, 40})
		}, 3, false},
	} {
		w := newWorld(t, config(3, 1))
		w.calm(2 * time.Second)
		before := []int{w.process(0), w.process(1), w.process(2)}
		w.step(ReplaceAllRequested{})
		test.successor(w, w.c.lastID)
		w.calm(10 * time.Second)
		replaced := 0
		for i, id := range before {
			if w.process(i) != id {
				replaced++
			}
			if w.process(i) == 0 {
				t.Errorf("%s: instance %d does not serve", name, i)
			}
		}
		if _, halted := w.c.Statuses(w.now); replaced != test.replaced || halted != test.halted || (w.notes[LogAllReplaced] > 0) == halted {
			t.Errorf("%s: %d replaced, want %d; halted %v, want %v; notes %v", name, replaced, test.replaced, halted, test.halted, w.notes)
		}
		if test.halted { // the way on
			w.step(ResumeRequested{})
			w.step(ReplaceAllRequested{})
			w.calm(20 * time.Second)
			if w.notes[LogAllReplaced] == 0 {
				t.Errorf("%s: it does not go on", name)
			}
		}
	}
}

// TestCrashes: a process that ends by itself is started again, at once where it went out in order, else later and later.
func TestCrashes(t *testing.T) {
	w := newWorld(t, config(1, 1))
	w.calm(2 * time.Second)
	w.exit(w.process(0), true)
	if len(w.alive) != 1 {
		t.Error("one that went out in order is not started at once")
	}
	waits := 0
	for range 12 {
		for id := range w.alive {
			w.exit(id, false)
		}
		for len(w.alive) == 0 {
			w.now += 10 * time.Millisecond
			waits++
			w.step(Tick{})
		}
	}
	if at := time.Duration(waits) * 10 * time.Millisecond; at < 5*time.Second || at > time.Minute {
		t.Errorf("twelve failed starts took %v", at)
	}
	w.calm(5 * time.Second)
	if s, _ := w.c.Statuses(w.now); s[0].Failures != 0 || s[0].State != "serves" {
		t.Errorf("one that serves again: %+v", s)
	}
	w.step(StopRequested{})
	w.calm(time.Second)
	if !w.done || len(w.alive) > 0 {
		t.Errorf("stopped: done %v, %d processes", w.done, len(w.alive))
	}
}

// TestOverdue: who does not end in time is killed.
func TestOverdue(t *testing.T) {
	w := newWorld(t, config(2, 1))
	w.calm(2 * time.Second)
	w.step(ReplaceRequested{0})
	w.ready(w.c.lastID)
	for range 100 {
		w.now += 50 * time.Millisecond
		w.step(Tick{})
	}
	if w.notes[LogTerminateTimeout] != 1 {
		t.Errorf("killed %d that were overdue", w.notes[LogTerminateTimeout])
	}
}

// TestHangs: a process that said how it goes and says nothing any more is replaced at once, also while replacing is halted, and
// killed where it does not end.
func TestHangs(t *testing.T) {
	w := newWorld(t, config(2, 1))
	w.calm(2 * time.Second)
	hung := w.process(0)
	w.step(HaltRequested{})
	w.step(ResponseCounts{hung, 10, 0})
	w.now += w.c.cfg.HangTimeout
	w.step(ResponseCounts{w.process(1), 10, 0}) // the other one goes on
	next := w.c.lastID
	if w.notes[LogHung] != 1 || next == hung || w.alive[hung].ended {
		t.Fatalf("%d hang, the last process is %d, the one that hangs was told to end before another serves: %v", w.notes[LogHung], next, w.alive[hung].ended)
	}
	w.ready(next)
	for range 100 { // it does not end
		w.now += 50 * time.Millisecond
		w.step(ResponseCounts{w.process(1), 10, 0})
		w.step(ResponseCounts{next, 10, 0})
	}
	if !w.alive[hung].killed || w.process(0) != next || w.notes[LogStarted] != 3 {
		t.Errorf("killed %v, process %d serves, %d started", w.alive[hung].killed, w.process(0), w.notes[LogStarted])
	}
}

// TestAnyOrder: whatever processes and operators do, in whatever order, no instance that serves is told to end before another
// process of its own does, no more than the settings say are replaced at once, and all is well once all behave.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 4).Draw(t, "instances")
		w := newWorld(t, config(n, rapid.IntRange(1, n).Draw(t, "at once")))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			var ids []int
			for id := 1; id <= w.c.lastID; id++ {
				if w.alive[id] != nil {
					ids = append(ids, id)
				}
			}
			pick := 0
			if len(ids) > 0 {
				pick = rapid.SampledFrom(ids).Draw(t, "process")
			}
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				if pick > 0 && !w.alive[pick].ready && !w.alive[pick].killed {
					w.ready(pick)
				}
			case 3:
				if pick > 0 {
					w.exit(pick, rapid.Bool().Draw(t, "clean"))
				}
			case 4:
				w.step(ReplaceAllRequested{})
			case 5:
				w.step(ReplaceRequested{rapid.IntRange(-1, n).Draw(t, "instance")})
			case 6:
				w.step(HaltRequested{})
			case 7:
				w.step(ResumeRequested{})
			case 8:
				w.step(ResponseCounts{pick, rapid.IntRange(0, 50).Draw(t, "answers"), rapid.IntRange(0, 50).Draw(t, "failed")})
			default:
				w.step(Tick{})
			}
		}
		w.step(ResumeRequested{})
		w.calm(time.Minute)
		w.step(ResumeRequested{}) // a start that failed at the end may have halted it
		w.calm(time.Minute)
		for i := range n {
			if w.process(i) == 0 || w.c.all[i].wanted || len(w.c.all[i].old) > 0 {
				t.Fatalf("instance %d in the end: %+v", i, w.c.all[i])
			}
		}
		w.step(StopRequested{})
		w.calm(10 * time.Second)
		if !w.done {
			t.Fatalf("it does not stop")
		}
	})
}
