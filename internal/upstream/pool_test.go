package upstream_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/request"
	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/resp"
)

const testTimeout = 10 * time.Second

// cacheServer is a server that responds to each command once the test allows it, and counts its connections.
type cacheServer struct {
	addr        string
	connections atomic.Int64
	received    chan string   // gets the key of each command; never closed
	respond     chan struct{} // allows one response for each element; never closed
}

// startCacheServer starts a server that is stopped at the end of the test.
func startCacheServer(t *testing.T) *cacheServer {
	t.Helper()
	var listenConfig net.ListenConfig
	listener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := listener.Close(); err != nil {
			t.Errorf("closing the listener: %v", err)
		}
	})
	server := &cacheServer{addr: listener.Addr().String(), received: make(chan string, 64), respond: make(chan struct{}, 64)}
	go server.accept(listener) // ends when the listener is closed
	return server
}

func (s *cacheServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.connections.Add(1)
		go s.serve(conn) // ends when the pool closes the connection
	}
}

func (s *cacheServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }() // the connection is of no further use, whatever the error
	for reader := redcon.NewReader(conn); ; {
		command, err := reader.ReadCommand()
		if err != nil {
			return
		}
		s.received <- string(command.Args[1])
		<-s.respond
		if _, err := conn.Write([]byte("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n")); err != nil {
			return
		}
	}
}

// awaitCommand waits until the server has received a command, for testTimeout at most.
func (s *cacheServer) awaitCommand(t *testing.T) {
	t.Helper()
	select {
	case <-s.received:
	case <-time.After(testTimeout):
		t.Fatal("the server received no command")
	}
}

// TestConnectionsFollowDemand checks that an attempt that finds the only connection busy is pipelined, as long as the attempt
// ahead of it is young. Continued demand opens a second connection, and no third one.
func TestConnectionsFollowDemand(t *testing.T) {
	for _, test := range []struct {
		name               string
		pipelineWithin     time.Duration
		needsNewConnection bool
		want               []int64 // total of connections opened after each round of two attempts at once
	}{
		{"pipelined while young", time.Hour, false, []int64{1, 1, 2, 2, 2}},
		{"never pipelined", 0, false, []int64{2, 2}},
		{"at most once: connections of their own", time.Hour, true, []int64{2, 4}},
	} {
		t.Run(test.name, func(t *testing.T) {
			server := startCacheServer(t)
			outcomes := make(chan upstream.Outcome, 8)
			limits := upstream.Limits{ConnectTimeout: testTimeout, IdleTimeout: time.Minute, MaxStreams: 32, MaxConnections: 8,
				MaxQueued: 8, PipelineWithin: test.pipelineWithin}
			pool := upstream.NewPool(server.addr, resp.Codec{}, limits, upstream.Budgets{Descriptors: upstream.NewDescriptorBudget(8)},
				func(_ *upstream.Attempt, response upstream.Response) { outcomes <- response.Outcome }, func() {})
			t.Cleanup(func() { pool.Update(server.addr, true) })
			send := func(key string) {
				attempt := &upstream.Attempt{Request: &request.Request{Key: []byte(key), ID: []byte(key)}, SentAt: time.Now(),
					Deadline: time.Now().Add(time.Minute), NeedsNewConnection: test.needsNewConnection}
				if outcome, ok := pool.Send(attempt); !ok {
					t.Fatalf("%s ended at once as %v, want it in flight", key, outcome)
				}
			}
			for round, want := range test.want {
				hasOwnConnections := want > 1 // the attempts do not share a connection
				send("a")
				server.awaitCommand(t) // the connection of the first attempt is busy now
				send("b")
				if hasOwnConnections {
					server.awaitCommand(t) // arrives while the first attempt has no response, so on another connection
				}
				server.respond <- struct{}{}
				server.respond <- struct{}{}
				for range 2 {
					if got := <-outcomes; got != upstream.Served {
						t.Fatalf("round %d: got outcome %v, want %v", round, got, upstream.Served)
					}
				}
				if !hasOwnConnections {
					server.awaitCommand(t)
				}
				if got := server.connections.Load(); got != want {
					t.Errorf("round %d: got %d connections, want %d", round, got, want)
				}
			}
		})
	}
}
