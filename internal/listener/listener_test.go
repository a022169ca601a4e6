package listener

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"shelfproxy/internal/counters"
	"shelfproxy/internal/request"
)

// echo serves each request with its id.
type echo struct{}

func (echo) Handle(f *request.Request)           { f.Reply(request.Response{Kind: request.Served, Value: f.ID}) }
func (echo) ClientDisconnected(*request.Request) {}

// TestQueueIsAcceptedAtTheEnd: connections that the system has taken, and the listener not yet, as it closes are accepted, and what
// was sent on them is answered; then they end in order.
func TestQueueIsAcceptedAtTheEnd(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := New(ln, echo{}, []string{"read"}, nil, Limits{MaxConnections: 64, MaxPipelined: 3, MaxValue: 100, WriteTimeout: time.Second, FirstCommandTimeout: time.Second, CrowdedIdleTimeout: time.Second, IdleTimeout: time.Second},
		counters.New([]string{"read"}, request.ResponseKinds(), nil))
	var all []net.Conn
	for i := range 20 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprintf(c, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$4\r\nid%02d\r\n$13\r\nc=read,d=3000\r\n", i)
		all = append(all, c)
	}
	l.Close() // before it has accepted one
	served := make(chan error)
	go func() { served <- l.Serve() }()
	for i, c := range all {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		got, err := io.ReadAll(c)
		if want := fmt.Sprintf("$4\r\nid%02d\r\n", i); string(got) != want || err != nil {
			t.Errorf("connection %d got %q, %v", i, got, err)
		}
	}
	if err := <-served; err != nil {
		t.Errorf("it ended with %v", err)
	}
	l.Wait()
	if c, err := net.Dial("tcp", ln.Addr().String()); err == nil {
		c.Close()
		t.Error("it still listens")
	} else if !strings.Contains(err.Error(), "refused") {
		t.Error(err)
	}
}
