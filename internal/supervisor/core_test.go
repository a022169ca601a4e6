package supervisor

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// tickInterval is the time between two Tick events that a fakeMachine sends to its core.
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

// testingT is the part of *testing.T and *rapid.T that a fakeMachine uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fakeMachine simulates the processes that a core starts. A test decides what each process does. After each event of the core,
// fakeMachine checks the rules in its method check.
type fakeMachine struct {
	t         testingT
	core      *Core
	now       Time
	alive     map[int]*fakeProcess // processes that have not ended, by number
	logged    map[LogEventKind]int
	isStopped bool
}

type fakeProcess struct {
	instance      int
	isReady       bool
	isTerminating bool
	isKilled      bool
}

func newFakeMachine(t testingT, cfg Config) *fakeMachine {
	t.Helper()
	core, err := New(cfg)
	if err != nil {
		t.Fatalf("%v", err)
	}
	m := &fakeMachine{t: t, core: core, alive: map[int]*fakeProcess{}, logged: map[LogEventKind]int{}}
	m.step(Tick{})
	return m
}

// step has the core handle an event, carries out the effects, and checks that no rule of check is violated.
func (m *fakeMachine) step(ev Event) {
	m.t.Helper()
	for _, effect := range m.core.Step(m.now, ev) {
		m.apply(effect)
	}
	m.check()
}

func (m *fakeMachine) apply(effect Effect) {
	m.t.Helper()
	switch e := effect.(type) {
	case Start:
		if m.alive[e.Process] != nil {
			m.t.Fatalf("process %d is started twice", e.Process)
		}
		m.alive[e.Process] = &fakeProcess{instance: e.Instance}
	case Terminate:
		m.terminate(e.Process)
	case Kill:
		m.kill(e.Process)
	case Stopped:
		m.isStopped = true
	case LogEvent:
		m.logged[e.Kind]++
	}
}

func (m *fakeMachine) kill(number int) {
	m.t.Helper()
	if m.alive[number] == nil {
		m.t.Fatalf("process %d is killed, but it has ended", number)
	}
	m.alive[number].isKilled = true
}

// terminate tells a process to terminate. It fails the test if the process was told to terminate before. It also fails the test
// if no other process of the instance serves, unless the core is stopping all processes.
func (m *fakeMachine) terminate(number int) {
	m.t.Helper()
	process := m.alive[number]
	if process == nil || process.isTerminating {
		m.t.Fatalf("process %d is told to terminate, but it has ended or was told before", number)
	}
	if !m.core.isStopping && !m.isServedWithout(process.instance, number) {
		m.t.Fatalf("process %d of instance %d is told to terminate, but no other process serves", number, process.instance)
	}
	process.isTerminating = true
}

// isServedWithout reports whether an instance has a ready process that was not told to terminate. The process whose number is
// except does not count.
func (m *fakeMachine) isServedWithout(instance, except int) bool {
	for number, process := range m.alive {
		if number != except && process.instance == instance && process.isReady && !process.isTerminating {
			return true
		}
	}
	return false
}

// check fails the test if an instance has more than one process that serves or more than one that starts, or if more than
// MaxConcurrent instances are being replaced.
func (m *fakeMachine) check() {
	m.t.Helper()
	replaced := 0
	for i := range m.core.instances {
		if m.core.instances[i].isBeingReplaced {
			replaced++
		}
		serving, starting := 0, 0
		for _, process := range m.alive {
			switch {
			case process.instance != i || process.isTerminating:
			case process.isReady:
				serving++
			default:
				starting++
			}
		}
		if serving > 1 || starting > 1 {
			m.t.Fatalf("instance %d has %d processes that serve and %d that start, want one of each at most", i, serving, starting)
		}
	}
	if replaced > m.core.cfg.MaxConcurrent {
		m.t.Fatalf("%d instances are being replaced, want %d at most", replaced, m.core.cfg.MaxConcurrent)
	}
}

func (m *fakeMachine) becomeReady(number int) {
	m.t.Helper()
	m.alive[number].isReady = true
	m.step(Ready{number})
}

func (m *fakeMachine) exit(number int, isClean bool) {
	m.t.Helper()
	delete(m.alive, number)
	m.step(Exited{number, isClean})
}

// idleReport returns the report of a process that has given no responses.
func idleReport(number int) ResponseCounts { return ResponseCounts{Process: number} }

// runHealthy lets time pass during which every process behaves well: it becomes ready, sends reports, and ends when it is told to.
func (m *fakeMachine) runHealthy(duration time.Duration) {
	m.t.Helper()
	for end := m.now + duration; m.now < end; m.now += tickInterval {
		for number := 1; number <= m.core.lastProcess; number++ {
			switch process := m.alive[number]; {
			case process == nil:
			case process.isTerminating || process.isKilled:
				m.exit(number, !process.isKilled)
			case !process.isReady:
				m.becomeReady(number)
			default:
				m.step(idleReport(number))
			}
		}
		m.step(Tick{})
	}
}

// current returns the number of the process that serves at an instance, or 0 if there is none.
func (m *fakeMachine) current(instance int) int {
	if process := m.core.instances[instance].current; process != nil {
		return process.number
	}
	return 0
}

// allCurrent returns the number of the serving process of each instance, 0 for an instance without one.
func (m *fakeMachine) allCurrent() []int {
	var numbers []int
	for i := range m.core.instances {
		numbers = append(numbers, m.current(i))
	}
	return numbers
}

// TestReplacingAllHaltsAtUnhealthySuccessor guards against a faulty release that is installed on every instance. Replacing must
// halt if the first successor crashes, is never ready, or fails more often than the other instances, but not if all instances
// fail about equally often. After a halt, an operator can resume replacing.
func TestReplacingAllHaltsAtUnhealthySuccessor(t *testing.T) {
	for name, test := range map[string]struct {
		successor    func(m *fakeMachine, number int)
		wantReplaced int // how many of the three instances have a new process at the end of the test
		wantHalted   bool
	}{
		"becomes ready":        {func(m *fakeMachine, number int) { m.becomeReady(number) }, 3, false},
		"crashes at its start": {func(m *fakeMachine, number int) { m.exit(number, false) }, 0, true},
		"is never ready": {func(m *fakeMachine, number int) {
			m.now += 2 * time.Second
			m.step(Tick{})
			m.exit(number, false)
		}, 0, true},
		"crashes soon after": {func(m *fakeMachine, number int) {
			m.becomeReady(number)
			m.now += 300 * time.Millisecond
			m.exit(number, false)
		}, 1, true},
		"fails more than others": {func(m *fakeMachine, number int) {
			m.step(ResponseCounts{m.current(1), 100, 5})
			m.step(ResponseCounts{m.current(2), 100, 8})
			m.becomeReady(number)
			m.step(ResponseCounts{number, 100, 40})
		}, 1, true},
		"fails as the others do": {func(m *fakeMachine, number int) {
			m.step(ResponseCounts{m.current(1), 100, 35})
			m.step(ResponseCounts{m.current(2), 100, 38})
			m.becomeReady(number)
			m.step(ResponseCounts{number, 100, 40})
		}, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			machine := newFakeMachine(t, testConfig(3, 1))
			machine.runHealthy(2 * time.Second)
			before := machine.allCurrent()
			machine.step(ReplaceAllRequested{})
			test.successor(machine, machine.core.lastProcess)
			machine.runHealthy(10 * time.Second)
			replaced := 0
			for i, number := range machine.allCurrent() {
				if number != before[i] {
					replaced++
				}
				if number == 0 {
					t.Errorf("instance %d does not serve", i)
				}
			}
			_, halted := machine.core.Statuses(machine.now)
			if replaced != test.wantReplaced || halted != test.wantHalted {
				t.Errorf("%d replaced, halted %v; want %d, %v; logged %v", replaced, halted, test.wantReplaced, test.wantHalted, machine.logged)
			}
			if isDone := machine.logged[LogAllReplaced] > 0; isDone == halted {
				t.Errorf("logged that all are replaced: %v, want %v", isDone, !halted)
			}
			if test.wantHalted {
				machine.checkResumes(t)
			}
		})
	}
}

// checkResumes fails the test unless all instances are replaced after an operator's resume.
func (m *fakeMachine) checkResumes(t *testing.T) {
	t.Helper()
	m.step(ResumeRequested{})
	m.step(ReplaceAllRequested{})
	m.runHealthy(20 * time.Second)
	if m.logged[LogAllReplaced] == 0 {
		t.Errorf("replacing does not continue after a resume; logged %v", m.logged)
	}
}

// TestCrashedProcessIsRestartedWithBackoff checks that a process that ends by itself is started again: at once if it drained,
// otherwise after a growing wait. Without the wait, a program that crashes at its start would be started in a tight loop.
func TestCrashedProcessIsRestartedWithBackoff(t *testing.T) {
	machine := newFakeMachine(t, testConfig(1, 1))
	machine.runHealthy(2 * time.Second)
	machine.exit(machine.current(0), true)
	if got := len(machine.alive); got != 1 {
		t.Errorf("%d processes right after one drained, want 1", got)
	}
	const pollInterval = 10 * time.Millisecond
	start := machine.now
	for range 12 {
		for number := range machine.alive {
			machine.exit(number, false)
		}
		for len(machine.alive) == 0 {
			machine.now += pollInterval
			machine.step(Tick{})
		}
	}
	if took := machine.now - start; took < 5*time.Second || took > time.Minute {
		t.Errorf("twelve failed starts took %v, want 5s to 1m", took)
	}
	machine.runHealthy(5 * time.Second)
	if statuses, _ := machine.core.Statuses(machine.now); statuses[0].FailedStarts != 0 || statuses[0].State != "serves" {
		t.Errorf("status after the recovery: %+v, want no failures and serves", statuses[0])
	}
	machine.step(StopRequested{})
	machine.runHealthy(time.Second)
	if !machine.isStopped || len(machine.alive) > 0 {
		t.Errorf("stopped %v with %d processes left, want true and none", machine.isStopped, len(machine.alive))
	}
}

// TestProcessThatDoesNotTerminateIsKilled checks that a replaced process that does not end within TerminateTimeout is killed,
// and only once, however many ticks follow.
func TestProcessThatDoesNotTerminateIsKilled(t *testing.T) {
	machine := newFakeMachine(t, testConfig(2, 1))
	machine.runHealthy(2 * time.Second)
	machine.step(ReplaceRequested{0})
	machine.becomeReady(machine.core.lastProcess)
	for range 100 {
		machine.now += tickInterval
		machine.step(Tick{})
	}
	if got := machine.logged[LogTerminateTimeout]; got != 1 {
		t.Errorf("%d processes were killed after the terminate timeout, want 1", got)
	}
}

// TestHungProcessIsReplacedWhileHalted guards against an instance that stays out of service because its process hangs while
// replacing is halted. A process that stopped sending reports must be replaced at once, and killed if it does not terminate.
func TestHungProcessIsReplacedWhileHalted(t *testing.T) {
	machine := newFakeMachine(t, testConfig(2, 1))
	machine.runHealthy(2 * time.Second)
	hung, healthy := machine.current(0), machine.current(1)
	machine.step(HaltRequested{})
	machine.step(ResponseCounts{hung, 10, 0})
	for range machine.core.cfg.HangTimeout / tickInterval {
		machine.now += tickInterval
		machine.step(ResponseCounts{healthy, 10, 0})
	}
	successor := machine.core.lastProcess
	if machine.logged[LogHung] != 1 || successor == hung {
		t.Fatalf("%d processes hang and the last process is %d, want one, and a successor of %d", machine.logged[LogHung], successor, hung)
	}
	if machine.alive[hung].isTerminating {
		t.Fatalf("process %d was told to terminate before its successor serves", hung)
	}
	machine.becomeReady(successor)
	for range 100 { // time passes, and the hung process does not end
		machine.now += tickInterval
		machine.step(ResponseCounts{healthy, 10, 0})
		machine.step(ResponseCounts{successor, 10, 0})
	}
	if !machine.alive[hung].isKilled || machine.current(0) != successor || machine.logged[LogStarted] != 3 {
		t.Errorf("killed %v, process %d serves, %d started; want true, %d, 3",
			machine.alive[hung].isKilled, machine.current(0), machine.logged[LogStarted], successor)
	}
}

// TestPauseOfTheSupervisorReplacesNothing guards against healthy processes that are replaced or killed after a pause of the
// supervisor. While the supervisor does not run it reads no reports, so this time must not count towards the timeouts of
// processes.
func TestPauseOfTheSupervisorReplacesNothing(t *testing.T) {
	machine := newFakeMachine(t, testConfig(4, 2))
	machine.runHealthy(2 * time.Second)
	machine.step(ReplaceRequested{0})
	machine.step(Tick{})
	before := machine.allCurrent()
	cfg := machine.core.cfg
	machine.now += 2 * max(cfg.HangTimeout, cfg.ReadyTimeout, cfg.TerminateTimeout)
	machine.step(Tick{})
	machine.runHealthy(time.Second)
	if hung, late := machine.logged[LogHung], machine.logged[LogNotReady]; hung != 0 || late != 0 {
		t.Errorf("after the pause %d processes hang and %d are not ready in time, want none", hung, late)
	}
	if after := machine.allCurrent(); !slices.Equal(before[1:], after[1:]) {
		t.Errorf("processes %v serve after the pause, want %v", after[1:], before[1:])
	}
}

// TestInstancesServeUnderAnyEvents sends random events of processes and operators, in any order, and checks three rules. A
// serving process is not told to terminate before another process of the same instance serves. At most MaxConcurrent instances
// are replaced at the same time. All instances serve again once every process behaves well.
func TestInstancesServeUnderAnyEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.IntRange(1, 4).Draw(t, "instances")
		machine := newFakeMachine(t, testConfig(instances, rapid.IntRange(1, instances).Draw(t, "at once")))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			machine.stepAny(t, instances)
		}
		machine.step(ResumeRequested{})
		machine.runHealthy(time.Minute)
		machine.step(ResumeRequested{}) // a start that failed in the last random step may have halted replacing
		machine.runHealthy(time.Minute)
		for i := range instances {
			if in := &machine.core.instances[i]; machine.current(i) == 0 || in.replaceRequested || len(in.ending) > 0 {
				t.Fatalf("instance %d is %+v in the end, want it to serve with nothing left to do", i, in)
			}
		}
		machine.step(StopRequested{})
		machine.runHealthy(10 * time.Second)
		if !machine.isStopped {
			t.Fatalf("the core does not report that it has stopped")
		}
	})
}

// stepAny lets a random time pass and then sends a random event of a process or an operator.
func (m *fakeMachine) stepAny(t *rapid.T, instances int) {
	m.now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
	var numbers []int
	for number := 1; number <= m.core.lastProcess; number++ {
		if m.alive[number] != nil {
			numbers = append(numbers, number)
		}
	}
	picked := 0
	if len(numbers) > 0 {
		picked = rapid.SampledFrom(numbers).Draw(t, "process")
	}
	switch rapid.IntRange(0, 9).Draw(t, "what") {
	case 0, 1, 2:
		if picked > 0 && !m.alive[picked].isReady && !m.alive[picked].isKilled {
			m.becomeReady(picked)
		}
	case 3:
		if picked > 0 {
			m.exit(picked, rapid.Bool().Draw(t, "clean"))
		}
	case 4:
		m.step(ReplaceAllRequested{})
	case 5:
		m.step(ReplaceRequested{rapid.IntRange(-1, instances).Draw(t, "instance")})
	case 6:
		m.step(HaltRequested{})
	case 7:
		m.step(ResumeRequested{})
	case 8:
		m.step(ResponseCounts{picked, rapid.IntRange(0, 50).Draw(t, "answers"), rapid.IntRange(0, 50).Draw(t, "failed")})
	default:
		m.step(Tick{})
	}
}
