package tests

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"shelfproxy/tests/harness"
)

// Guards against an abandoned attempt that takes the answers of other requests along. A node with few descriptors sends several
// attempts over each connection. The server never answers the requests for one key, and the clients that sent them give up. All
// other requests have to be answered, on the same connection or on another one.
func TestAbandonedAttemptLeavesOthersOnItsConnection(t *testing.T) {
	t.Parallel()
	server, release := harness.NewStuckCacheServer(t)
	node := harness.NewNode(t, server)
	node.Config.Limits = harness.FewDescriptors()
	node.Config.Settings.Classes[0].PriorityWeight = 10 // a node that lags behind with its own work does not shed reads of this weight
	node.Start()
	stuck := node.Dial()
	const requests = 40 // more than the connections that a node with few descriptors opens
	for i := range requests {
		stuck.Send("CACHE.GET", harness.StuckKey, fmt.Sprint("s", i), "c=read,d=600")
	}
	others := node.Dial()
	node.WaitFor("all connections are in use", func() bool { return server.Connections() > 20 })
	for i := range requests {
		others.Get("free", fmt.Sprint("f", i))
	}
	for range requests {
		stuck.Want("-")
	}
	release()
	for i := range requests {
		others.Want(fmt.Sprint("value-f", i))
	}
}

// Guards against a client that is served with another request's value. A node with few descriptors puts several attempts on each
// connection, and the server drops reads with little time left without a word: its next answer belongs to the read behind.
func TestReadBehindADroppedOneGetsItsOwnValue(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, func(command []string) string {
		if command[1] == "dropped" {
			return ""
		}
		return harness.Hit(command)
	}))
	node.Config.Limits = harness.FewDescriptors()
	node.Config.Settings.Classes[0].PriorityWeight = 10 // a node that lags behind with its own work does not shed reads of this weight
	node.Start()
	const requests = 60 // more than the connections that a node with few descriptors opens
	hurried, patient := node.Dial(), node.Dial()
	for i := range requests {
		hurried.Send("CACHE.GET", "dropped", fmt.Sprint("h", i), "c=read,d=150")
		patient.Send("CACHE.GET", "k", fmt.Sprint("p", i), "c=read,d=2900")
	}
	for i := range requests {
		hurried.Want("-")
		patient.Want(fmt.Sprint("value-p", i))
	}
}

// Guards against an at-most-once write that is executed twice. A server may have executed a request whose connection broke or
// whose response is corrupt. So the node must not retry such a write; it retries a read at another server.
func TestAtMostOnceWriteIsNotRetriedOnceItMayHaveBeenExecuted(t *testing.T) {
	t.Parallel()
	for _, reply := range []string{harness.CloseConnection, "?what\r\n", "$9223372036854775807\r\n", "*99999999\r\n", "+PONG\r\n"} {
		node := harness.NewNode(t, harness.NewCacheServer(t, func([]string) string { return reply }))
		var writes atomic.Int64
		node.Origin.Handle(func(w http.ResponseWriter, request *http.Request) {
			if request.Method == http.MethodPut {
				writes.Add(1)
				writeRaw(t, w, "nonsense\r\n\r\n")
				return
			}
			fmt.Fprint(w, "origin")
		})
		client := node.Start().Dial()
		client.Get("k", "id1").Want("origin")
		client.Send("CACHE.SET", "k", "id2", "c=cert,d=600", "v").Want("-ERR failed")
		if writes.Load() != 1 {
			t.Errorf("reply %q: the write was sent %d times, want once", reply, writes.Load())
		}
	}
}

// writeRaw takes over an HTTP connection, writes the bytes of response unchanged and closes the connection.
func writeRaw(t *testing.T, w http.ResponseWriter, response string) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		t.Errorf("take over a connection: %v", err)
		return
	}
	_, _ = io.WriteString(conn, response) // the node may already have closed the connection
	_ = conn.Close()
}

// Guards against stray bytes that a node takes for the response to the next request. Cache server and origin send a valid
// response followed by noise or by a second response. These extra bytes belong to no request and must be discarded.
func TestBytesBehindAResponseReachNoRequest(t *testing.T) {
	t.Parallel()
	var served atomic.Int64
	server := harness.NewCacheServer(t, func(command []string) string {
		if command[1] == "absent" {
			return harness.Miss
		}
		if served.Add(1)%2 == 0 {
			return harness.Hit(command) + harness.HitWith("value-of-another")
		}
		return harness.Hit(command) + "noise\r\n"
	})
	node := harness.NewNode(t, server)
	node.Origin.Handle(func(w http.ResponseWriter, request *http.Request) {
		id := harness.RequestID(request)
		w.WriteHeader(http.StatusEarlyHints)
		header := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(id))
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Errorf("take over a connection: %v", err)
			return
		}
		_, _ = io.WriteString(conn, header+id+header+"of-another"[:len(id)]) // the node may already have closed the connection
	})
	node.Config.Settings.Limits.MaxStreams = 1 // one attempt per connection, so that attempts wait for a free connection
	node.Config.Limits = harness.FewDescriptors()
	node.Start()
	var clients []*harness.Client
	for i := range 40 {
		clients = append(clients, node.Dial().Get("k", fmt.Sprint("id", i)))
	}
	for i, client := range clients {
		client.Want(fmt.Sprint("value-id", i))
		id := fmt.Sprint("o", i)
		answer := client.Get("absent", id).Answer()
		if answer == harness.Closed { // the node was short of descriptors and closed this idle connection; clients send again
			answer = node.Dial().Get("absent", id).Answer()
		}
		if answer != id {
			t.Fatalf("answer %q, want %q", answer, id)
		}
	}
}

// A request whose connection is refused was never executed, so it is sent to another server. In this test the other server is the
// origin.
func TestRefusedConnectionIsRetriedElsewhere(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t, harness.NewCacheServer(t, harness.Hit))
	node.Config.Known.Instances[1].Address = "127.0.0.1:1"
	node.Start().Dial().Get("k", "id").Want("from-origin-id")
}

// Guards against attempts that wait for a free connection until the request's deadline of one minute. The attempt ends early, and
// the policy then ends the request with an error well before its deadline.
func TestAttemptWithoutAFreeConnectionEndsEarly(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t)
	node.Config.Limits = harness.FewDescriptors()
	node.SetDeadlines(longDeadline)
	released := make(chan struct{})
	release := sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	node.Origin.Handle(func(w http.ResponseWriter, request *http.Request) {
		<-released
		fmt.Fprint(w, harness.RequestID(request))
	})
	node.Start()
	const requests = 30            // more than the connections to the origin
	observer := node.NewObserver() // the node may close an idle connection to make room, so the test needs an Observer
	var clients []*harness.Client
	for i := range requests {
		clients = append(clients, node.Dial().Send("CACHE.SET", "k", fmt.Sprint(i), "c=cert,d=60000", "v"))
	}
	node.WaitFor("requests without a connection are answered", func() bool {
		answered := 0
		for _, answer := range []string{"failed", "refused"} {
			answered += observer.Counter(fmt.Sprintf("flows_answered{class=%q,answer=%q}", "cert", answer))
		}
		return answered == requests-node.Origin.Requests()
	})
	release()
	for i, client := range clients {
		if answer := client.Answer(); answer != fmt.Sprint(i) && answer != "-ERR failed" && answer != "-BUSY" {
			t.Errorf("answer %q to request %d, want its value, -ERR failed or -BUSY", answer, i)
		}
	}
}

// Guards against an at-most-once request that ends with an unknown outcome. A server may close an idle connection just as a
// request is written to it, and then nobody knows whether the request was executed. So an at-most-once request always gets a new
// connection; other requests reuse idle ones.
func TestAtMostOnceWriteUsesANewConnection(t *testing.T) {
	t.Parallel()
	node := harness.NewNode(t)
	node.Origin.Handle(func(w http.ResponseWriter, request *http.Request) { fmt.Fprint(w, request.RemoteAddr) })
	client := node.Start().Dial()
	for class, reuses := range map[string]bool{"put": true, "cert": false} {
		var last string
		for i := range 3 {
			from := client.Send("CACHE.SET", "k", fmt.Sprint(class, i), "c="+class+",d=2900", "v").Answer()
			if i > 0 && (from == last) != reuses {
				t.Errorf("%s: sent from %s after %s, want reuse of the connection: %v", class, from, last, reuses)
			}
			last = from
		}
	}
}

// After a change of the list that drains a server, the server gets no new requests and its connections are closed. A watch that
// broke, or that sent no valid list, is opened again.
func TestDrainingServerGetsNothingNew(t *testing.T) {
	t.Parallel()
	draining, other := harness.NewCacheServer(t, harness.Hit), harness.NewCacheServer(t, harness.Hit)
	node := harness.NewNode(t, draining, other).Start()
	client := node.Dial()
	read := func(from, until int) {
		for i := from; i < until; i++ {
			client.Get(fmt.Sprint("k", i), fmt.Sprint("id", i)).Want("value-")
		}
	}
	read(0, 40)
	if len(draining.Commands()) == 0 || len(other.Commands()) == 0 {
		t.Fatalf("the servers got %d and %d requests, want some at both", len(draining.Commands()), len(other.Commands()))
	}
	drain(node, 43, draining.Address)
	node.WaitFor("connections to the draining server are closed", func() bool { return draining.Connections() == 0 })
	before := len(draining.Commands())
	read(40, 80)
	if sent := len(draining.Commands()) - before; sent > 0 {
		t.Errorf("%d requests were sent to a draining server, want none", sent)
	}
	node.Discovery.NextWatch()
	node.Discovery.BreakWatch()
	if query := node.Discovery.NextWatch(); !strings.Contains(query, "after=43") {
		t.Errorf("the new watch has the query %q, want changes after version 43", query)
	}
	node.Discovery.PublishText("no JSON")
	node.Discovery.NextWatch()
	read(80, 90)
	if malformed := client.Counter("discovery_watches_garbage"); malformed != 1 {
		t.Errorf("%d malformed watches were counted, want 1", malformed)
	}
}

// Guards against long values that are truncated. Values of up to 6 MB arrive complete from a cache server and from the origin. A
// value of 3 GB is too long for the node's memory: the request fails at once, and its client's connection stays open.
func TestLongValuesAreServedComplete(t *testing.T) {
	t.Parallel()
	sizes := map[string]int{"short": 100, "long": 399_998, "longest": 6<<20 - 100}
	value := func(key, id string) string { return id + strings.Repeat("v", sizes[key]) }
	const hugeSize = "3221225472"
	server := harness.NewCacheServer(t, func(command []string) string {
		if command[1] == "huge" {
			return "*3\r\n$" + hugeSize + "\r\n" + strings.Repeat("x", 1000)
		}
		if strings.HasPrefix(command[1], "o-") {
			return harness.Miss
		}
		return harness.HitWith(value(command[1], command[2]))
	})
	node := harness.NewNode(t, server)
	node.Origin.Handle(func(w http.ResponseWriter, request *http.Request) {
		key := strings.TrimPrefix(request.URL.Path, "/o-")
		if key == "/huge" {
			w.Header().Set("Content-Length", hugeSize)
		}
		fmt.Fprint(w, value(key, harness.RequestID(request)))
	})
	client := node.Start().Dial()
	for i, key := range []string{"short", "long", "o-long", "longest", "o-short", "long"} {
		id := fmt.Sprint("id", i)
		want := value(strings.TrimPrefix(key, "o-"), id)
		if got := client.Get(key, id).Answer(); got != want {
			t.Errorf("%s: %d bytes, %.40q; want %d bytes", key, len(got), got, len(want))
		}
	}
	if answer := client.Get("huge", "id-huge").Answer(); !strings.HasPrefix(answer, "-") {
		t.Errorf("a value of 3 GB: answer %.40q, want an error", answer)
	}
	if answer := client.Get("short", "after").Answer(); answer != value("short", "after") {
		t.Errorf("after a value of 3 GB: answer %.40q, want the value", answer)
	}
}

// Guards against requests for a server that go to whatever process is at the server's former address, over a connection that was in
// use as the list named the new address.
func TestServerThatMovesGetsItsRequestsAtItsNewAddress(t *testing.T) {
	t.Parallel()
	before, release := harness.NewStuckCacheServer(t)
	defer release()
	after := harness.NewCacheServer(t, harness.Hit)
	node := harness.NewNode(t, before).Start()
	busy, client := node.Dial(), node.Dial()
	busy.Get(harness.StuckKey, "busy")
	node.WaitFor("the request is at the former address", func() bool { return len(before.Commands()) == 1 })
	lists := client.Counter("discovery_lists")
	node.Discovery.Publish(harness.NewList(harness.InitialVersion+1, false, harness.NewInstance("s0", after.Address, harness.KindCacheServer, harness.Up)))
	node.WaitFor("the list is known", func() bool { return client.Counter("discovery_lists") > lists })
	release()
	busy.Want("value-busy")
	for i := range 5 {
		client.Get("k", fmt.Sprint("id", i)).Want("value-id")
	}
	if got := len(before.Commands()); got != 1 {
		t.Errorf("%d commands at the former address, want the one from before the move", got)
	}
}
