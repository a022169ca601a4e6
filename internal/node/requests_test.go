package node

import (
	"testing"
	"time"

	"shelfproxy/internal/admission"
	"shelfproxy/internal/policy"
	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// TestRequestIsAnsweredByItsDeadline checks a request whose attempts get no response. It is answered when its client's timeout
// has passed, less the time that the request was in transit.
func TestRequestIsAnsweredByItsDeadline(t *testing.T) {
	node := newTestNode(t)
	open := node.handle("id", "read")
	node.cacheServer.writeAll()
	const resolution = time.Millisecond
	node.passTime(open.ClientTimeout - clientTransitTime - resolution)
	if node.responses != 0 {
		t.Errorf("%d responses before the deadline, want none", node.responses)
	}
	node.passTime(resolution)
	if node.responses != 1 {
		t.Errorf("%d responses at the deadline, want 1", node.responses)
	}
}

// TestRequestIDIsUniqueWhileItIsOwedAResponse checks two requests with the same id. The second is invalid while the first is owed
// a response. Once the first is answered, the id may be used again.
func TestRequestIDIsUniqueWhileItIsOwedAResponse(t *testing.T) {
	node := newTestNode(t)
	var kinds []request.ResponseKind
	handle := func() {
		r := node.newRequest("id", "read")
		r.Reply = func(response request.Response) { kinds = append(kinds, response.Kind) }
		node.core.HandleRequest(r)
	}
	handle()
	handle()
	if len(kinds) != 1 || kinds[0] != request.Invalid {
		t.Fatalf("got responses %v to a request with an id in use, want %v alone", kinds, request.Invalid)
	}
	node.cacheServer.writeAll()
	node.cacheServer.endOldest(upstream.Served)
	handle()
	node.cacheServer.writeAll()
	node.cacheServer.endOldest(upstream.Served)
	if len(kinds) != 3 || kinds[1] != request.Served || kinds[2] != request.Served {
		t.Errorf("got responses %v, want %v for the first request and the last", kinds, request.Served)
	}
	if requests, ids, _ := node.core.Retained(); requests != 0 || ids != 0 {
		t.Errorf("%d requests and %d ids are retained in the end, want none", requests, ids)
	}
}

// TestRequestMemoryIsReleased checks that a request gives its memory back, with what the listener has reserved for its command, once
// it is answered and nothing is in flight for it, whatever its end.
func TestRequestMemoryIsReleased(t *testing.T) {
	const commandMemory = 10_000
	for name, play := range map[string]func(node *testNode, r *request.Request){
		"answered": func(node *testNode, r *request.Request) {
			node.core.HandleRequest(r)
			node.origin.writeAll()
			node.origin.endOldest(upstream.Served)
		},
		"cancelled before it is handled": func(node *testNode, r *request.Request) {
			r.Cancel()
			node.core.HandleRequest(r)
		},
		"with an id that is in use": func(node *testNode, r *request.Request) {
			other := node.handle(string(r.ID), "read")
			node.core.HandleRequest(r)
			node.core.ClientDisconnected(other)
		},
		"without its value": func(node *testNode, r *request.Request) {
			r.IsValueDiscarded = true
			var answer request.ResponseKind
			r.Reply = func(response request.Response) { answer = response.Kind }
			node.core.HandleRequest(r)
			if answer != request.Rejected || node.origin.writeAll() != 0 {
				t.Errorf("without its value: got answer %v, want %v and nothing forwarded", answer, request.Rejected)
			}
		},
		"timed out": func(node *testNode, r *request.Request) {
			node.core.HandleRequest(r)
			node.origin.writeAll()
			node.passTime(r.ClientTimeout)
		},
	} {
		node := newTestNode(t)
		r := node.newRequest("id", "put")
		r.CommandMemory = commandMemory
		node.memory.Reserve(commandMemory, admission.LongCommand)
		play(node, r)
		if used := node.memory.Used(); used != 0 {
			t.Errorf("%s: %d bytes are reserved in the end, want 0", name, used)
		}
	}
}

// TestRequestKeepsItsMemoryWhileItIsInFlight checks that the memory of a request whose client has disconnected is not given to
// others while an attempt, which holds the value, is in flight.
func TestRequestKeepsItsMemoryWhileItIsInFlight(t *testing.T) {
	node := newTestNode(t)
	r := node.handle("id", "put")
	node.origin.writeAll()
	node.core.ClientDisconnected(r)
	if used := node.memory.Used(); used != bytesPerRequest {
		t.Errorf("%d bytes are reserved while the attempt is in flight, want %d", used, bytesPerRequest)
	}
	node.origin.endOldest(upstream.Served)
	if used := node.memory.Used(); used != 0 {
		t.Errorf("%d bytes are reserved in the end, want 0", used)
	}
}

// TestWaitForMemoryIsNotBlamedOnTheServer checks that the policy is not told of the time in which this node did not read a response:
// it would take the server for slow, and other nodes would hear so by gossip.
func TestWaitForMemoryIsNotBlamedOnTheServer(t *testing.T) {
	const took, memoryWait = 400 * time.Millisecond, 300 * time.Millisecond
	node := newTestNode(t)
	node.handle("id", "read")
	node.cacheServer.writeAll()
	node.passTime(took)
	node.core.attemptEnded(node.cacheServer.inFlight[0], upstream.Response{Outcome: upstream.Served, Value: []byte("v"), MemoryWait: memoryWait})
	outcome, ok := node.core.events[0].(policy.Outcome)
	if !ok || outcome.Took != took-memoryWait {
		t.Errorf("the policy is told of %+v, want an outcome that took %v", node.core.events[0], took-memoryWait)
	}
}
