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

// server answers each command once it is told to, and counts its connections.
type server struct {
	addr   string
	opened atomic.Int64
	seen   chan string
	answer chan struct{}
}

func newServer(t *testing.T) *server {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &server{addr: ln.Addr().String(), seen: make(chan string, 64), answer: make(chan struct{}, 64)}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.opened.Add(1)
			go func() {
				defer c.Close()
				for rd := redcon.NewReader(c); ; {
					cmd, err := rd.ReadCommand()
					if err != nil {
						return
					}
					s.seen <- string(cmd.Args[1])
					<-s.answer
					c.Write([]byte("*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n"))
				}
			}()
		}
	}()
	return s
}

// TestConnectionsFollowUse: a forward that finds the only connection at work is written behind, as long as that one is
// young; use that goes on brings a second connection, and no third.
func TestConnectionsFollowUse(t *testing.T) {
	for _, test := range []struct {
		name  string
		share time.Duration
		fresh bool
		want  []int64 // connections opened after each round of two forwards at once
	}{
		{"shared while young", time.Hour, false, []int64{1, 1, 2, 2, 2}},
		{"never shared", 0, false, []int64{2, 2}},
		{"what must not run twice has its own", time.Hour, true, []int64{2, 4}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(t)
			ended := make(chan upstream.Outcome, 8)
			p := upstream.NewPool(s.addr, resp.Codec{}, upstream.Limits{ConnectTimeout: 10 * time.Second, IdleTimeout: time.Minute,
				MaxStreams: 32, MaxConnections: 8, MaxQueued: 8, PipelineWithin: test.share}, upstream.NewDescriptorBudget(8),
				func(_ *upstream.Attempt, a upstream.Response) { ended <- a.Outcome }, func() {})
			t.Cleanup(func() { p.Update(s.addr, true) })
			send := func(key string) {
				f := &upstream.Attempt{Request: &request.Request{Key: []byte(key), ID: []byte(key)}, SentAt: time.Now(),
					Deadline: time.Now().Add(time.Minute), NeedsNewConnection: test.fresh}
				if end, ok := p.Send(f); !ok {
					t.Fatalf("%s ended at once: %v", key, end)
				}
			}
			for round, want := range test.want {
				send("a")
				<-s.seen // its connection is at work now
				send("b")
				for end := time.Now().Add(10 * time.Second); s.opened.Load() < want && time.Now().Before(end); {
					time.Sleep(time.Millisecond) // else the first one could be free before the second one is there
				}
				s.answer <- struct{}{}
				s.answer <- struct{}{}
				for range 2 {
					if end := <-ended; end != upstream.Served {
						t.Fatalf("round %d: ended as %v", round, end)
					}
				}
				<-s.seen
				if got := s.opened.Load(); got != want {
					t.Errorf("round %d: %d connections were opened, want %d", round, got, want)
				}
			}
		})
	}
}
