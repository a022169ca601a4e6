package listener

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"syscall"
	"testing"
	"time"

	"shelfproxy/internal/request"
)

// echoHandler answers each request with the request's id as the value.
type echoHandler struct{}

func (echoHandler) Handle(r *request.Request) {
	r.Reply(request.Response{Kind: request.Served, Value: r.ID})
}
func (echoHandler) ClientDisconnected(*request.Request) {}

// TestQueuedConnectionsAreServedAtClose guards against losing connections that are in the kernel's queue when the listener closes.
// They must be accepted, the commands sent on them answered, and the connections then closed gracefully.
func TestQueuedConnectionsAreServedAtClose(t *testing.T) {
	var listenConfig net.ListenConfig
	netListener, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{MaxConnections: 64, MaxPipelined: 3, MaxValue: 100, WriteTimeout: time.Second, FirstCommandTimeout: time.Second,
		CrowdedIdleTimeout: time.Second, IdleTimeout: time.Second}
	listener := New(netListener, echoHandler{}, []string{"read"}, nil, limits, newTestCounters(), slog.New(slog.DiscardHandler))
	var dialer net.Dialer
	var clients []net.Conn
	for i := range 20 {
		client, err := dialer.DialContext(t.Context(), "tcp", netListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := client.Close(); err != nil {
				t.Errorf("closing client %d: %v", i, err)
			}
		})
		if _, err := fmt.Fprintf(client, "*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$4\r\nid%02d\r\n$13\r\nc=read,d=3000\r\n", i); err != nil {
			t.Fatal(err)
		}
		clients = append(clients, client)
	}
	listener.Close() // before any connection is accepted
	served := make(chan error, 1)
	go func() { served <- listener.Serve() }()
	for i, client := range clients {
		if err := client.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(client)
		if want := fmt.Sprintf("$4\r\nid%02d\r\n", i); string(got) != want || err != nil {
			t.Errorf("client %d got %q and error %v, want %q and none", i, got, err, want)
		}
	}
	if err := <-served; err != nil {
		t.Errorf("Serve returned %v, want no error", err)
	}
	listener.Wait()
	_, err = dialer.DialContext(t.Context(), "tcp", netListener.Addr().String())
	if !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection after the end: got error %v, want %v", err, syscall.ECONNREFUSED)
	}
}
