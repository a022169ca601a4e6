package harness

import (
	"net"
	"syscall"
	"testing"
	"time"
)

// connectTimeout is how long a dial may take before the listen backlog counts as full. While the backlog has room, a connection
// on loopback is established at once.
const connectTimeout = 300 * time.Millisecond

// UnacceptingServer is a cache server whose listen backlog is full, so that no connection to it is established before Accept.
type UnacceptingServer struct {
	CacheServer
	fillers []net.Conn // connections that fill the listen backlog
}

// NewUnacceptingServer starts a cache server whose listen backlog is full.
func NewUnacceptingServer(t testing.TB, handle Handler) *UnacceptingServer {
	t.Helper()
	listener := Listen(t, LoopbackAddress())
	server := &UnacceptingServer{CacheServer: CacheServer{Address: listener.Addr().String(), listener: listener, handle: handle}}
	t.Cleanup(func() {
		for _, conn := range server.fillers {
			_ = conn.Close() // Accept may already have closed the other end
		}
	})
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatalf("get the listener's socket: %v", err)
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), 0) }); err != nil || listenErr != nil {
		t.Fatalf("shorten the listen backlog: %v, %v", err, listenErr)
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	for {
		conn, err := dialer.DialContext(t.Context(), "tcp", server.Address)
		if err != nil {
			return server // the backlog is full
		}
		server.fillers = append(server.fillers, conn)
	}
}

// Accept accepts and closes the connections that fill the backlog. From then on connections are established and served, including
// those that waited.
func (s *UnacceptingServer) Accept(t testing.TB) {
	t.Helper()
	for range s.fillers {
		conn, err := s.listener.Accept()
		if err != nil {
			t.Fatalf("accept a connection that fills the backlog: %v", err)
		}
		_ = conn.Close() // an error does no harm: this connection only filled the backlog and is never used
	}
	ServeConnections(s.listener, s.Serve)
}
