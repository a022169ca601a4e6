package node

import (
	"testing"
	"time"

	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
)

// disconnectCase is a point at which a request waits when its client disconnects.
type disconnectCase struct {
	name            string
	startWaiting    func(t *testing.T, node *testNode) *request.Request // brings a request to that point and returns it
	afterDisconnect func(node *testNode)                                // what happens next; nil if nothing does
}

var disconnectCases = []disconnectCase{
	{name: "for the event loop", startWaiting: func(_ *testing.T, node *testNode) *request.Request {
		read := node.newRequest("id", "read")
		read.Cancel()
		node.core.HandleRequest(read)
		return read
	}},
	{name: "for a connection to the cache server", startWaiting: func(_ *testing.T, node *testNode) *request.Request {
		return node.handle("id", "read")
	}},
	{name: "for a connection to the origin", startWaiting: func(_ *testing.T, node *testNode) *request.Request {
		return node.handleMissed("id")
	}},
	{name: "between a miss and its fetch", startWaiting: func(_ *testing.T, node *testNode) *request.Request {
		read := node.handle("id", "read")
		node.cacheServer.writeAll()
		return read
	}, afterDisconnect: func(node *testNode) { node.cacheServer.endOldest(upstream.Missed) }},
	{name: "between a miss and its fetch, noticed by the listener alone", startWaiting: func(t *testing.T, node *testNode) *request.Request {
		read := node.handle("id", "read")
		node.cacheServer.writeAll()
		read.Cancel()
		node.cacheServer.endOldest(upstream.Missed)
		if got := len(node.origin.waiting); got > 0 {
			t.Errorf("%d fetches for a cancelled request, want none", got)
		}
		return read
	}},
	{name: "in the origin's queue", startWaiting: func(_ *testing.T, node *testNode) *request.Request {
		node.fillOrigin()
		return node.handle("id", "put")
	}, afterDisconnect: func(node *testNode) {
		for len(node.origin.inFlight) > 0 {
			node.origin.endOldest(upstream.Served)
		}
	}},
	{name: "for the fetch of another request", startWaiting: func(_ *testing.T, node *testNode) *request.Request {
		node.handleMissed("first")
		node.origin.writeAll()
		return node.handle("id", "read")
	}, afterDisconnect: func(node *testNode) { node.origin.endOldest(upstream.Served) }},
	{name: "in a backoff", startWaiting: func(_ *testing.T, node *testNode) *request.Request {
		read := node.handleMissed("id")
		node.origin.writeAll()
		node.origin.endOldest(upstream.ServerBusy)
		return read
	}},
}

// TestNothingIsStartedForDisconnectedClient checks that no further attempt is written for a request once its client has
// disconnected, wherever the request waits, and that the request is forgotten. Requests that wait for the value that it was to
// fetch have the value fetched for them.
func TestNothingIsStartedForDisconnectedClient(t *testing.T) {
	for _, test := range disconnectCases {
		t.Run(test.name, func(t *testing.T) {
			node := newTestNode(t)
			r := test.startWaiting(t, node)
			node.core.ClientDisconnected(r)
			waiting := len(node.cacheServer.waiting) + len(node.origin.waiting)
			if test.afterDisconnect != nil {
				test.afterDisconnect(node)
			}
			node.passTime(10 * time.Second)
			if got := node.cacheServer.writeAll() + node.origin.writeAll(); got > 0 {
				t.Errorf("%d attempts written after the client disconnected (%d waited then), want none", got, waiting)
			}
			if node.core.byRequest[r] != nil {
				t.Error("the request is still known, want it forgotten")
			}
		})
	}
}

// TestWaitersFetchForThemselvesWhenFetchingClientDisconnects checks requests that wait for another request's fetch, which was
// never written. When the client of that other request disconnects, the waiting requests go to the cache server and the origin
// themselves.
func TestWaitersFetchForThemselvesWhenFetchingClientDisconnects(t *testing.T) {
	node := newTestNode(t)
	first := node.handleMissed("first")
	node.handle("second", "read")
	node.core.ClientDisconnected(first)
	if got := node.cacheServer.writeAll(); got != 1 {
		t.Fatalf("%d attempts at the cache server, want 1", got)
	}
	node.cacheServer.endOldest(upstream.Missed)
	if got := node.origin.writeAll(); got != 1 {
		t.Fatalf("%d fetches, want 1", got)
	}
	if got := string(node.origin.inFlight[0].Request.ID); got != "second" {
		t.Errorf("the fetch is for request %q, want %q", got, "second")
	}
	node.origin.endOldest(upstream.Served)
	if node.responses != 1 {
		t.Errorf("%d responses, want 1", node.responses)
	}
}
