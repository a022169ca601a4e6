package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// TestEventsOfUnknownIDsAreIgnored checks that an event causes no actions if the router does not know its request,
// attempt or server.
func TestEventsOfUnknownIDsAreIgnored(t *testing.T) {
	driver := newDriver(t, testSettings(), "s1")
	for _, event := range []Event{
		Outcome{ID: 99}, ClientDisconnected{99}, ResponseStarted{ID: 99}, TimerFired{99}, HealthChecked{Server: "x"},
	} {
		if got := driver.handle(event); len(got) != 0 {
			t.Errorf("%T: got %v, want nothing", event, got)
		}
	}
	id, _ := driver.request("high", "k", nil)
	if got := driver.handle(Outcome{ID: id, Attempt: 7, Reason: Succeeded}); len(got) != 0 {
		t.Errorf("outcome of an attempt that was never made: got %v, want nothing", got)
	}
}

// TestSameEventsGiveTheSameActions checks that two routers with the same seed return the same actions for the same
// events.
func TestSameEventsGiveTheSameActions(t *testing.T) {
	original, twin := newTrainedDriver(t), newTrainedDriver(t)
	for i := range 200 {
		key := fmt.Sprint("k", i%17)
		id, got := original.request("high", key, nil)
		if _, want := twin.request("high", key, nil); !reflect.DeepEqual(got, want) {
			t.Fatalf("request %d: got %v, want %v as from the twin", id, got, want)
		}
		reason := Reason(i % 9)
		original.now, twin.now = original.now+7*ms, twin.now+7*ms
		got, want := original.endAttempt(id, reason, 7*ms), twin.endAttempt(id, reason, 7*ms)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("outcome of request %d: got %v, want %v as from the twin", id, got, want)
		}
	}
}

// TestRandomEventsKeepTheInvariants feeds random events that are possible in operation to a router, and checks the
// invariants that a single router can keep. Each request gets one final answer, by its deadline. An at-most-once
// request that was possibly executed is not retried. A request has one attempt in flight at most. Nothing is sent to a
// server that is known to drain. Two routers that get the same events must return the same actions.
func TestRandomEventsKeepTheInvariants(t *testing.T) {
	for seed := range uint64(20) {
		settings := testSettings()
		// With odd seeds, the router is one of 400, with costs at which it closes idle connections.
		if seed%2 == 1 {
			settings.Nodes, settings.ConnectionCost, settings.HandshakeCost = 400, 0.03, 0.03
		}
		run := newRandomRun(t, seed, settings)
		for step := range 3000 {
			run.driver.now += time.Duration(run.rng.IntN(10)) * ms
			run.fireTimers()
			if step%2 == 0 && step < 2000 {
				run.sendRequest(uint64(step + 1))
			}
			run.endAttempts()
			if step%500 == 499 {
				run.drainOne()
			}
		}
		run.checkAllAnswered()
	}
}

// trackedRequest is a request together with what its client and the servers know of its progress.
type trackedRequest struct {
	Request
	inFlight, sends  int
	possiblyExecuted bool
	isEnded          bool
}

// randomRun gives two routers the same random events and checks their actions.
type randomRun struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	driver, twin *routerDriver
	servers      []string
	draining     string
	timers       []SetTimer
	requests     map[uint64]*trackedRequest
	order        []uint64 // ids of the requests, in the order in which they were sent
}

// newRandomRun returns a run with two routers that have the same four cache servers.
func newRandomRun(t *testing.T, seed uint64, settings Settings) *randomRun {
	t.Helper()
	servers := []string{"s1", "s2", "s3", "s4"}
	return &randomRun{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), servers: servers,
		driver: newDriver(t, settings, servers...), twin: newDriver(t, settings, servers...),
		requests: map[uint64]*trackedRequest{},
	}
}

// handle gives the same event to both routers, and checks that they return the same actions and that these actions are
// allowed.
func (run *randomRun) handle(event Event) {
	run.t.Helper()
	actions := run.driver.handle(event)
	run.twin.now = run.driver.now
	if want := run.twin.handle(event); !reflect.DeepEqual(actions, want) {
		run.t.Fatalf("seed %d: after %v got %v, want %v as from the twin", run.seed, event, actions, want)
	}
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			run.checkSend(action, event)
		case Reject:
			run.checkReject(action)
		case Fail:
			run.checkFail(action)
		case SetTimer:
			run.timers = append(run.timers, action)
		}
	}
}

// checkSend checks that the request may have one more attempt, at this server, and records the attempt.
func (run *randomRun) checkSend(send Send, event Event) {
	run.t.Helper()
	request := run.requests[send.ID]
	isUnsafeRetry := request.possiblyExecuted && request.Class == "unsafe"
	if request.isEnded || request.inFlight > 0 || send.Server == run.draining || isUnsafeRetry {
		run.t.Fatalf("seed %d: after %v got %v for %+v, want no attempt", run.seed, event, send, request)
	}
	request.inFlight, request.sends = request.inFlight+1, request.sends+1
}

// checkReject checks that the request has no final answer yet. A rejection tells the client to retry, so a retry must
// be harmless.
func (run *randomRun) checkReject(reject Reject) {
	run.t.Helper()
	request := run.requests[reject.ID]
	mayHaveEffect := request.possiblyExecuted && (request.Class == "unsafe" || request.Class == "keyed-zone")
	if request.isEnded || mayHaveEffect {
		run.t.Fatalf("seed %d: got %v for %+v, want no rejection", run.seed, reject, request)
	}
	request.isEnded = true
}

// checkFail checks that the request has no final answer yet.
func (run *randomRun) checkFail(fail Fail) {
	run.t.Helper()
	request := run.requests[fail.ID]
	if request.isEnded {
		run.t.Fatalf("seed %d: got a second answer %v for %+v", run.seed, fail, request)
	}
	request.isEnded = true
}

// fireTimers fires the timers that are due.
func (run *randomRun) fireTimers() {
	run.t.Helper()
	timers := run.timers
	run.timers = nil
	for _, timer := range timers {
		if timer.At <= run.driver.now {
			run.handle(TimerFired{timer.Token})
		} else {
			run.timers = append(run.timers, timer)
		}
	}
}

// sendRequest sends a random request whose deadline is in one second.
func (run *randomRun) sendRequest(id uint64) {
	run.t.Helper()
	classes := run.driver.router.settings.Classes
	request := Request{
		ID:       id,
		Key:      fmt.Sprint("k", run.rng.IntN(30)),
		Deadline: run.driver.now + time.Second,
		Class:    classes[run.rng.IntN(len(classes))].Name,
		Write:    run.rng.IntN(5) == 0,
	}
	run.requests[id] = &trackedRequest{Request: request}
	run.order = append(run.order, id)
	run.handle(request)
}

// endAttempts ends some of the attempts in flight, picked at random, and all attempts of requests whose deadline has
// passed.
func (run *randomRun) endAttempts() {
	run.t.Helper()
	for _, id := range run.order {
		request := run.requests[id]
		isLate := run.driver.now >= request.Deadline
		if request.inFlight == 0 || !isLate && run.rng.IntN(20) > 0 {
			continue
		}
		reason := Reason(run.rng.IntN(int(CorruptResponse) + 1))
		if isLate {
			reason = TimedOut
		}
		request.inFlight--
		request.isEnded = request.isEnded || reason == Succeeded
		switch reason {
		case Errored, TimedOut, Reset, Cancelled, CorruptResponse:
			request.possiblyExecuted = true
		}
		run.handle(Outcome{
			ID: id, Attempt: request.sends - 1, Reason: reason, Took: 20 * ms, Ended: request.isEnded,
		})
	}
}

// drainOne sends both routers an endpoint list on which one random cache server drains and the others are live.
func (run *randomRun) drainOne() {
	run.t.Helper()
	run.draining = run.servers[run.rng.IntN(len(run.servers))]
	list := EndpointUpdate{Scope: FullUpdate, Servers: []Server{{ID: originID, Kind: "origin"}}}
	for _, id := range run.servers {
		entry := Server{ID: id, Kind: "cache"}
		if id == run.draining {
			entry.State = Draining
		}
		list.Servers = append(list.Servers, entry)
	}
	run.handle(list)
}

// checkAllAnswered checks that each request got its final answer.
func (run *randomRun) checkAllAnswered() {
	run.t.Helper()
	for _, id := range run.order {
		if request := run.requests[id]; !request.isEnded {
			run.t.Fatalf("seed %d: got no final answer for %+v", run.seed, request)
		}
	}
}
