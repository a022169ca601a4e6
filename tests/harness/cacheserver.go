package harness

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"

	"shelfproxy/internal/testbed/respcmd"
)

// Replies that a Handler may return.
const (
	Miss            = "*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n"
	Busy            = "-BUSY\r\n"
	CloseConnection = "close" // closes the connection instead of replying
)

// Handler returns the bytes that a cache server replies to a command. The words of the command are its name, the key, the id, the
// extra parameters and, for a write, the value. A connection's commands are handled in their order.
type Handler func(command []string) string

// Hit is a Handler that replies with a value made of "value-" and the request's id.
func Hit(command []string) string { return HitWith("value-" + command[2]) }

// HitWith returns the reply for a hit with the given value.
func HitWith(value string) string {
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
}

// HitOnly returns a Handler that replies as Hit does for one key and with a miss for every other key.
func HitOnly(key string) Handler {
	return func(command []string) string {
		if command[1] == key {
			return Hit(command)
		}
		return Miss
	}
}

// CacheServer is a fake cache server that answers commands with the replies of its handler. It answers health checks itself.
type CacheServer struct {
	Address string

	listener net.Listener
	handle   Handler

	mu                  sync.Mutex
	commands            [][]string
	connections         int
	ignoresHealthChecks bool
}

// NewCacheServer starts a cache server.
func NewCacheServer(t testing.TB, handle Handler) *CacheServer {
	t.Helper()
	listener := Listen(t, "127.0.0.1:0")
	s := &CacheServer{Address: listener.Addr().String(), listener: listener, handle: handle}
	ServeConnections(listener, s.Serve)
	return s
}

// StuckKey is the key that the server of NewStuckCacheServer does not answer.
const StuckKey = "stuck"

// NewStuckCacheServer starts a cache server that does not answer commands for StuckKey, nor later commands on the same
// connection, until release is called. release may be called more than once; the cleanup of the test calls it too.
func NewStuckCacheServer(t testing.TB) (server *CacheServer, release func()) {
	t.Helper()
	released := make(chan struct{})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release)
	return NewCacheServer(t, func(command []string) string {
		if command[1] == StuckKey {
			<-released
		}
		return Hit(command)
	}), release
}

// Serve serves a connection until it ends.
func (s *CacheServer) Serve(conn net.Conn) {
	s.connectionsChanged(1)
	defer s.connectionsChanged(-1)
	respcmd.ServeAll(conn, func(command []string) (string, bool) {
		if command[0] == respcmd.Ping {
			return s.healthCheck(), true
		}
		s.mu.Lock()
		s.commands = append(s.commands, command)
		s.mu.Unlock()
		reply := s.handle(command)
		return reply, reply != CloseConnection
	})
}

// healthCheck returns the reply to a health check; it is empty if the server ignores health checks.
func (s *CacheServer) healthCheck() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ignoresHealthChecks {
		return ""
	}
	return respcmd.Pong
}

// IgnoreHealthChecks makes the server send no replies to health checks from now on.
func (s *CacheServer) IgnoreHealthChecks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoresHealthChecks = true
}

func (s *CacheServer) connectionsChanged(by int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections += by
}

// StopAccepting closes the listener, so that new connections are refused.
func (s *CacheServer) StopAccepting(t testing.TB) {
	t.Helper()
	if err := s.listener.Close(); err != nil {
		t.Fatalf("close the listener of a cache server: %v", err)
	}
}

// Commands returns the commands that the server has received so far, without health checks.
func (s *CacheServer) Commands() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.commands)
}

// Connections returns the number of connections that are open.
func (s *CacheServer) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connections
}
