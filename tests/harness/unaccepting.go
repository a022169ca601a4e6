package harness

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// connectTimeout is how long a dial may take before the queue counts as full; on loopback it is up at once otherwise.
const connectTimeout = 300 * time.Millisecond

// UnacceptingServer is a cache server whose listening queue is full: a connection to it is not established before Accept.
type UnacceptingServer struct {
	CacheServer
	fillers []net.Conn // the connections that fill the queue
}

// NewUnacceptingServer starts a cache server whose listening queue is full.
func NewUnacceptingServer(t testing.TB, handle Handler) *UnacceptingServer {
	t.Helper()
	listener := Listen(t, LoopbackAddress())
	server := &UnacceptingServer{CacheServer: CacheServer{Address: listener.Addr().String(), listener: listener, handle: handle}}
	t.Cleanup(func() {
		for _, conn := range server.fillers {
			_ = conn.Close() // Accept may have ended it
		}
	})
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatalf("the listener'server socket: %v", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		t.Fatalf("shorten the listening queue: %v, %v", err, listenErr)
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	for {
		conn, err := dialer.DialContext(t.Context(), "tcp", server.Address)
		if err != nil {
			return server // the queue is full
		}
		server.fillers = append(server.fillers, conn)
	}
}

// Accept establishes the connections that wait, and serves them.
func (s *UnacceptingServer) Accept(t testing.TB) {
	t.Helper()
	for range s.fillers {
		conn, err := s.listener.Accept()
		if err != nil {
			t.Fatalf("accept a connection that fills the queue: %v", err)
		}
		_ = conn.Close() // nobody uses it
	}
	ServeConnections(s.listener, s.Serve)
}
