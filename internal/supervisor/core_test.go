package supervisor

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tickInterval is the time between two ticks of a harness.
const tickInterval = 50 * time.Millisecond

func testConfig(instances, maxConcurrent int) Config {
	return Config{
		Instances:         instances,
		MaxConcurrent:     maxConcurrent,
		ReadyTimeout:      2 * time.Second,
		ObservationPeriod: time.Second,
		TerminateTimeout:  3 * time.Second,
		HangTimeout:       5 * time.Second,
		MinBackoff:        100 * time.Millisecond,
		MaxBackoff:        5 * time.Second,
		MaxFailureRate:    0.2,
		MinSamples:        10,
		Seed:              1,
	}
}

// fatalf is what a harness needs of *testing.T and *rapid.T.
type fatalf interface {
	Helper()
	Fatalf(format string, args ...any)
}

// harness simulates the processes that a core starts. A test decides what each of them does; after each step the harness checks
// what must hold at any time.
type harness struct {
	t         fatalf
	core      *Core
	now       Time
	alive     map[int]*fakeProcess // by number
	logged    map[LogEventKind]int
	isStopped bool
}

type fakeProcess struct {
	instance      int
	isReady       bool
	isTerminating bool
	isKilled      bool
}

func newHarness(t fatalf, cfg Config) *harness {
	t.Helper()
	core, err := New(cfg)
	if err != nil {
		t.Fatalf("%v", err)
	}
	h := &harness{t: t, core: core, alive: map[int]*fakeProcess{}, logged: map[LogEventKind]int{}}
	h.step(Tick{})
	return h
}

// step lets the core handle an event, carries out its effects and checks them.
func (h *harness) step(ev Event) {
	h.t.Helper()
	for _, effect := range h.core.Step(h.now, ev) {
		switch e := effect.(type) {
		case Start:
			if h.alive[e.Process] != nil {
				h.t.Fatalf("process %d is started twice", e.Process)
			}
			h.alive[e.Process] = &fakeProcess{instance: e.Instance}
		case Terminate:
			h.terminate(e.Process)
		case Kill:
			if h.alive[e.Process] == nil {
				h.t.Fatalf("process %d is killed, and has ended", e.Process)
			}
			h.alive[e.Process].isKilled = true
		case Stopped:
			h.isStopped = true
		case LogEvent:
			h.logged[e.Kind]++
		}
	}
	h.check()
}

// terminate tells a process to terminate, which must happen once, and only when another one serves or all are stopped.
func (h *harness) terminate(number int) {
	h.t.Helper()
	process := h.alive[number]
	if process == nil || process.isTerminating {
		h.t.Fatalf("process %d is told to terminate, and has ended or was told before", number)
	}
	if !h.core.isStopping && !h.anotherServes(process.instance, number) {
		h.t.Fatalf("process %d of instance %d is told to terminate, and no other serves", number, process.instance)
	}
	process.isTerminating = true
}

// anotherServes reports whether a process of an instance other than the given one is ready and was not told to terminate.
func (h *harness) anotherServes(instance, except int) bool {
	for number, process := range h.alive {
		if number != except && process.instance == instance && process.isReady && !process.isTerminating {
			return true
		}
	}
	return false
}

// check fails the test if an instance has more than one process that serves or starts, or too many instances are replaced.
func (h *harness) check() {
	h.t.Helper()
	replaced := 0
	for i := range h.core.instances {
		if h.core.instances[i].isBeingReplaced {
			replaced++
		}
		serving, starting := 0, 0
		for _, process := range h.alive {
			switch {
			case process.instance != i || process.isTerminating:
			case process.isReady:
				serving++
			default:
				starting++
			}
		}
		if serving > 1 || starting > 1 {
			h.t.Fatalf("instance %d has %d processes that serve and %d that start, want one of each at most", i, serving, starting)
		}
	}
	if replaced > h.core.cfg.MaxConcurrent {
		h.t.Fatalf("%d instances are being replaced, want %d at most", replaced, h.core.cfg.MaxConcurrent)
	}
}

func (h *harness) becomeReady(number int) {
	h.t.Helper()
	h.alive[number].isReady = true
	h.step(Ready{number})
}

func (h *harness) exit(number int, isClean bool) {
	h.t.Helper()
	delete(h.alive, number)
	h.step(Exited{number, isClean})
}

// reportsNoFailure is a report of a process that is idle.
func reportsNoFailure(number int) ResponseCounts { return ResponseCounts{Process: number} }

// runHealthy lets time pass in which every process becomes ready, reports, and ends when it is told to.
func (h *harness) runHealthy(duration time.Duration) {
	h.t.Helper()
	for end := h.now + duration; h.now < end; h.now += tickInterval {
		for number := 1; number <= h.core.lastProcess; number++ {
			switch process := h.alive[number]; {
			case process == nil:
			case process.isTerminating || process.isKilled:
				h.exit(number, !process.isKilled)
			case !process.isReady:
				h.becomeReady(number)
			default:
				h.step(reportsNoFailure(number))
			}
		}
		h.step(Tick{})
	}
}

// current is the number of the process that serves at an instance, 0 if there is none.
func (h *harness) current(instance int) int {
	if process := h.core.instances[instance].current; process != nil {
		return process.number
	}
	return 0
}

// TestReplacingAllHaltsAtUnhealthySuccessor: how far replacing all instances gets depends on what its first successor does; after
// a halt it can be resumed.
func TestReplacingAllHaltsAtUnhealthySuccessor(t *testing.T) {
	for name, test := range map[string]struct {
		successor    func(h *harness, number int)
		wantReplaced int // of three instances
		wantHalted   bool
	}{
		"becomes ready":        {func(h *harness, number int) { h.becomeReady(number) }, 3, false},
		"crashes at its start": {func(h *harness, number int) { h.exit(number, false) }, 0, true},
		"is never ready": {func(h *harness, number int) {
			h.now += 2 * time.Second
			h.step(Tick{})
			h.exit(number, false)
		}, 0, true},
		"crashes soon after": {func(h *harness, number int) {
			h.becomeReady(number)
			h.now += 300 * time.Millisecond
			h.exit(number, false)
		}, 1, true},
		"fails more than others": {func(h *harness, number int) {
			h.step(ResponseCounts{h.current(1), 100, 5})
			h.step(ResponseCounts{h.current(2), 100, 8})
			h.becomeReady(number)
			h.step(ResponseCounts{number, 100, 40})
		}, 1, true},
		"fails as the others do": {func(h *harness, number int) {
			h.step(ResponseCounts{h.current(1), 100, 35})
			h.step(ResponseCounts{h.current(2), 100, 38})
			h.becomeReady(number)
			h.step(ResponseCounts{number, 100, 40})
		}, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testConfig(3, 1))
			h.runHealthy(2 * time.Second)
			before := []int{h.current(0), h.current(1), h.current(2)}
			h.step(ReplaceAllRequested{})
			test.successor(h, h.core.lastProcess)
			h.runHealthy(10 * time.Second)
			replaced := 0
			for i, number := range before {
				if h.current(i) != number {
					replaced++
				}
				if h.current(i) == 0 {
					t.Errorf("instance %d does not serve", i)
				}
			}
			_, halted := h.core.Statuses(h.now)
			if replaced != test.wantReplaced || halted != test.wantHalted {
				t.Errorf("%d replaced, halted %v; want %d, %v; logged %v", replaced, halted, test.wantReplaced, test.wantHalted, h.logged)
			}
			if isDone := h.logged[LogAllReplaced] > 0; isDone == halted {
				t.Errorf("logged that all are replaced: %v, want %v", isDone, !halted)
			}
			if test.wantHalted {
				h.step(ResumeRequested{})
				h.step(ReplaceAllRequested{})
				h.runHealthy(20 * time.Second)
				if h.logged[LogAllReplaced] == 0 {
					t.Errorf("replacing does not go on after a resume; logged %v", h.logged)
				}
			}
		})
	}
}

// TestCrashedProcessIsRestartedWithBackoff: a process that ends by itself is started again, at once if it drained, else after a
// growing wait.
func TestCrashedProcessIsRestartedWithBackoff(t *testing.T) {
	h := newHarness(t, testConfig(1, 1))
	h.runHealthy(2 * time.Second)
	h.exit(h.current(0), true)
	if got := len(h.alive); got != 1 {
		t.Errorf("%d processes right after one drained, want 1", got)
	}
	const pollInterval = 10 * time.Millisecond
	start := h.now
	for range 12 {
		for number := range h.alive {
			h.exit(number, false)
		}
		for len(h.alive) == 0 {
			h.now += pollInterval
			h.step(Tick{})
		}
	}
	if took := h.now - start; took < 5*time.Second || took > time.Minute {
		t.Errorf("twelve failed starts took %v, want 5s to 1m", took)
	}
	h.runHealthy(5 * time.Second)
	if statuses, _ := h.core.Statuses(h.now); statuses[0].Failures != 0 || statuses[0].State != "serves" {
		t.Errorf("status after the recovery: %+v, want no failures and serves", statuses[0])
	}
	h.step(StopRequested{})
	h.runHealthy(time.Second)
	if !h.isStopped || len(h.alive) > 0 {
		t.Errorf("stopped %v with %d processes left, want true and none", h.isStopped, len(h.alive))
	}
}

// TestProcessThatDoesNotTerminateIsKilled: a replaced process that does not end in time is killed, once.
func TestProcessThatDoesNotTerminateIsKilled(t *testing.T) {
	h := newHarness(t, testConfig(2, 1))
	h.runHealthy(2 * time.Second)
	h.step(ReplaceRequested{0})
	h.becomeReady(h.core.lastProcess)
	for range 100 {
		h.now += tickInterval
		h.step(Tick{})
	}
	if got := h.logged[LogTerminateTimeout]; got != 1 {
		t.Errorf("%d processes were killed after the terminate timeout, want 1", got)
	}
}

// TestHungProcessIsReplacedWhileHalted: a process that has reported and reports no more is replaced at once, also while replacing
// is halted, and killed if it does not terminate.
func TestHungProcessIsReplacedWhileHalted(t *testing.T) {
	h := newHarness(t, testConfig(2, 1))
	h.runHealthy(2 * time.Second)
	hung, healthy := h.current(0), h.current(1)
	h.step(HaltRequested{})
	h.step(ResponseCounts{hung, 10, 0})
	h.now += h.core.cfg.HangTimeout
	h.step(ResponseCounts{healthy, 10, 0})
	successor := h.core.lastProcess
	if h.logged[LogHung] != 1 || successor == hung {
		t.Fatalf("%d hang and the last process is %d, want one, and a successor of %d", h.logged[LogHung], successor, hung)
	}
	if h.alive[hung].isTerminating {
		t.Fatalf("process %d was told to terminate before its successor serves", hung)
	}
	h.becomeReady(successor)
	for range 100 { // the hung process does not end
		h.now += tickInterval
		h.step(ResponseCounts{healthy, 10, 0})
		h.step(ResponseCounts{successor, 10, 0})
	}
	if !h.alive[hung].isKilled || h.current(0) != successor || h.logged[LogStarted] != 3 {
		t.Errorf("killed %v, process %d serves, %d started; want true, %d, 3",
			h.alive[hung].isKilled, h.current(0), h.logged[LogStarted], successor)
	}
}

// TestInstancesServeUnderAnyEvents: whatever processes and operators do, in any order, no process that serves is told to terminate
// before another one of its instance does, no more than MaxConcurrent instances are replaced at once, and all serve once every
// process behaves.
func TestInstancesServeUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 4).Draw(t, "instances")
		h := newHarness(t, testConfig(instances, rapid.IntRange(1, instances).Draw(t, "at once")))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h.stepAny(t, instances)
		}
		h.step(ResumeRequested{})
		h.runHealthy(time.Minute)
		h.step(ResumeRequested{}) // a start that failed at the end may have halted replacing
		h.runHealthy(time.Minute)
		for i := range instances {
			if in := &h.core.instances[i]; h.current(i) == 0 || in.replaceRequested || len(in.ending) > 0 {
				t.Fatalf("instance %d in the end: %+v, want it to serve with nothing left to do", i, in)
			}
		}
		h.step(StopRequested{})
		h.runHealthy(10 * time.Second)
		if !h.isStopped {
			t.Fatalf("it does not stop")
		}
	})
}

// stepAny lets time pass and has a process or an operator do anything.
func (h *harness) stepAny(t *rapid.T, instances int) {
	h.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
	var numbers []int
	for number := 1; number <= h.core.lastProcess; number++ {
		if h.alive[number] != nil {
			numbers = append(numbers, number)
		}
	}
	picked := 0
	if len(numbers) > 0 {
		picked = rapid.SampledFrom(numbers).Draw(t, "process")
	}
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0, 1, 2:
		if picked > 0 && !h.alive[picked].isReady && !h.alive[picked].isKilled {
			h.becomeReady(picked)
		}
	case 3:
		if picked > 0 {
			h.exit(picked, rapid.Bool().Draw(t, "clean"))
		}
	case 4:
		h.step(ReplaceAllRequested{})
	case 5:
		h.step(ReplaceRequested{rapid.IntRange(-1, instances).Draw(t, "instance")})
	case 6:
		h.step(HaltRequested{})
	case 7:
		h.step(ResumeRequested{})
	case 8:
		h.step(ResponseCounts{picked, rapid.IntRange(0, 50).Draw(t, "answers"), rapid.IntRange(0, 50).Draw(t, "failed")})
	default:
		h.step(Tick{})
	}
}
