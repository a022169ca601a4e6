package policy

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"
)

// TestEventsOfUnknownIDsAreIgnored: events of requests, attempts and servers that the router does not know change nothing.
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
		t.Errorf("outcome of an attempt never made: got %v, want nothing", got)
	}
}

// TestSameEventsGiveTheSameActions: two routers with the same seed that see the same events do the same.
func TestSameEventsGiveTheSameActions(t *testing.T) {
	original, twin := newTrainedDriver(t), newTrainedDriver(t)
	for i := range 200 {
		key := fmt.Sprint("k", i%17)
		id, got := original.request("high", key, nil)
		if _, want := twin.request("high", key, nil); !reflect.DeepEqual(got, want) {
			t.Fatalf("request %d: got %v, want %v as at the twin", id, got, want)
		}
		reason := Reason(i % 9)
		original.now, twin.now = original.now+7*ms, twin.now+7*ms
		got, want := original.endAttempt(id, reason, 7*ms), twin.endAttempt(id, reason, 7*ms)
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("outcome of request %d: got %v, want %v as at the twin", id, got, want)
		}
	}
}

// TestRandomEventsKeepTheInvariants drives legal random events and checks what one router can see of the invariants: one
// final answer each and in time, no retry of an at-most-once request that was possibly executed, one attempt in flight,
// and nothing to a server that is known to drain. The same events must give the same actions.
func TestRandomEventsKeepTheInvariants(t *testing.T) {
	for seed := range uint64(20) {
		settings := testSettings()
		if seed%2 == 1 { // one router among many, with costs that make it close idle connections
			settings.Nodes, settings.ConnectionCost, settings.HandshakeCost = 400, 0.03, 0.03
		}
		play := newRandomPlay(t, seed, settings)
		for step := range 3000 {
			play.driver.now += time.Duration(play.rng.IntN(10)) * ms
			play.fireTimers()
			if step%2 == 0 && step < 2000 {
				play.sendRequest(uint64(step + 1))
			}
			play.endAttempts()
			if step%500 == 499 {
				play.drainOne()
			}
		}
		play.checkAllAnswered()
	}
}

// playedRequest is a request as a client and the servers see it.
type playedRequest struct {
	Request
	inFlight, sends  int
	possiblyExecuted bool
	isEnded          bool
}

// randomPlay gives two routers the same random events and checks what they do.
type randomPlay struct {
	t            *testing.T
	seed         uint64
	rng          *rand.Rand
	driver, twin *routerDriver
	servers      []string
	draining     string
	timers       []SetTimer
	requests     map[uint64]*playedRequest
	order        []uint64 // of the requests
}

// newRandomPlay returns a play with four cache servers.
func newRandomPlay(t *testing.T, seed uint64, settings Settings) *randomPlay {
	t.Helper()
	servers := []string{"s1", "s2", "s3", "s4"}
	return &randomPlay{
		t: t, seed: seed, rng: rand.New(rand.NewPCG(seed, 1)), servers: servers,
		driver: newDriver(t, settings, servers...), twin: newDriver(t, settings, servers...),
		requests: map[uint64]*playedRequest{},
	}
}

// handle gives both routers an event and checks their actions.
func (play *randomPlay) handle(event Event) {
	play.t.Helper()
	actions := play.driver.handle(event)
	play.twin.now = play.driver.now
	if want := play.twin.handle(event); !reflect.DeepEqual(actions, want) {
		play.t.Fatalf("seed %d: after %v got %v, want %v as at the twin", play.seed, event, actions, want)
	}
	for _, action := range actions {
		switch action := action.(type) {
		case Send:
			play.checkSend(action, event)
		case Reject:
			play.checkReject(action)
		case Fail:
			play.checkFail(action)
		case SetTimer:
			play.timers = append(play.timers, action)
		}
	}
}

// checkSend checks that an attempt is allowed.
func (play *randomPlay) checkSend(send Send, event Event) {
	play.t.Helper()
	request := play.requests[send.ID]
	isUnsafeRetry := request.possiblyExecuted && request.Class == "unsafe"
	if request.isEnded || request.inFlight > 0 || send.Server == play.draining || isUnsafeRetry {
		play.t.Fatalf("seed %d: after %v got %v for %+v, want no attempt", play.seed, event, send, request)
	}
	request.inFlight, request.sends = request.inFlight+1, request.sends+1
}

// checkReject checks that a request may be answered, and that trying again is harmless.
func (play *randomPlay) checkReject(reject Reject) {
	play.t.Helper()
	request := play.requests[reject.ID]
	mayHaveEffect := request.possiblyExecuted && (request.Class == "unsafe" || request.Class == "keyed-zone")
	if request.isEnded || mayHaveEffect {
		play.t.Fatalf("seed %d: got %v for %+v, want no rejection", play.seed, reject, request)
	}
	request.isEnded = true
}

// checkFail checks that a request may be answered.
func (play *randomPlay) checkFail(fail Fail) {
	play.t.Helper()
	request := play.requests[fail.ID]
	if request.isEnded {
		play.t.Fatalf("seed %d: got a second answer %v for %+v", play.seed, fail, request)
	}
	request.isEnded = true
}

// fireTimers fires those that have come due.
func (play *randomPlay) fireTimers() {
	play.t.Helper()
	timers := play.timers
	play.timers = nil
	for _, timer := range timers {
		if timer.At <= play.driver.now {
			play.handle(TimerFired{timer.Token})
		} else {
			play.timers = append(play.timers, timer)
		}
	}
}

// sendRequest sends a random request with a deadline of a second.
func (play *randomPlay) sendRequest(id uint64) {
	play.t.Helper()
	classes := play.driver.router.settings.Classes
	request := Request{
		ID:       id,
		Key:      fmt.Sprint("k", play.rng.IntN(30)),
		Deadline: play.driver.now + time.Second,
		Class:    classes[play.rng.IntN(len(classes))].Name,
		Write:    play.rng.IntN(5) == 0,
	}
	play.requests[id] = &playedRequest{Request: request}
	play.order = append(play.order, id)
	play.handle(request)
}

// endAttempts ends some of the attempts in flight, and all whose deadline has passed.
func (play *randomPlay) endAttempts() {
	play.t.Helper()
	for _, id := range play.order {
		request := play.requests[id]
		isLate := play.driver.now >= request.Deadline
		if request.inFlight == 0 || !isLate && play.rng.IntN(20) > 0 {
			continue
		}
		reason := Reason(play.rng.IntN(int(CorruptResponse) + 1))
		if isLate {
			reason = TimedOut
		}
		request.inFlight--
		request.isEnded = request.isEnded || reason == Succeeded
		switch reason {
		case Errored, TimedOut, Reset, Cancelled, CorruptResponse:
			request.possiblyExecuted = true
		}
		play.handle(Outcome{
			ID: id, Attempt: request.sends - 1, Reason: reason, Took: 20 * ms, Ended: request.isEnded,
		})
	}
}

// drainOne has another cache server drain.
func (play *randomPlay) drainOne() {
	play.t.Helper()
	play.draining = play.servers[play.rng.IntN(len(play.servers))]
	list := EndpointUpdate{Scope: FullUpdate, Servers: []Server{{ID: originID, Kind: "origin"}}}
	for _, id := range play.servers {
		entry := Server{ID: id, Kind: "cache"}
		if id == play.draining {
			entry.State = Draining
		}
		list.Servers = append(list.Servers, entry)
	}
	play.handle(list)
}

// checkAllAnswered checks that each request got its final answer.
func (play *randomPlay) checkAllAnswered() {
	play.t.Helper()
	for _, id := range play.order {
		if request := play.requests[id]; !request.isEnded {
			play.t.Fatalf("seed %d: got no final answer for %+v", play.seed, request)
		}
	}
}
