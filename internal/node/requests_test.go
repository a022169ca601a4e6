package node

import (
	"testing"
	"time"

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
