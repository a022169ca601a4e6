// Package control serves operators' calls to a running process on a Unix socket, the control socket. A call is an HTTP request;
// each call has its own path, and answers are JSON. The parts of the process that are switched on register their calls. The
// permissions of the socket's directory decide which users may make calls.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"
)

// Limits of one call.
const (
	maxHeaderBytes = 4 << 10
	readTimeout    = time.Second
	writeTimeout   = 2 * time.Second
)

// Handler handles one call and returns the value that is written as JSON. It must not wait for other nodes.
type Handler func(query url.Values) (any, error)

// ErrInUse is returned by Serve if another process serves the socket. That process may be a predecessor that is about to end.
var ErrInUse = errors.New("another process answers there")

// ErrBusy is returned by a Handler if its part of the process is overloaded. The call was not carried out.
var ErrBusy = errors.New("busy")

// Server serves the registered calls on a control socket.
type Server struct {
	path     string
	queries  map[string]Handler // handlers of read-only calls, by URL path
	commands map[string]Handler // handlers of calls that change something, by URL path
}

// New returns a server for a socket at path. If path is empty, Serve does nothing.
func New(path string) *Server {
	return &Server{path: path, queries: map[string]Handler{}, commands: map[string]Handler{}}
}

// HandleQuery registers a read-only call (GET). It must not be called after Serve.
func (s *Server) HandleQuery(name string, handler Handler) { s.queries["/"+name] = handler }

// HandleCommand registers a call that changes the state of the process (POST). It must not be called after Serve.
func (s *Server) HandleCommand(name string, handler Handler) { s.commands["/"+name] = handler }

// Serve opens the socket and serves calls until stop is closed. It replaces a socket file that a dead process left behind. Serve
// returns ErrInUse if another process serves the socket. It returns nil at once if there is no path or no call.
func (s *Server) Serve(stop <-chan struct{}) error {
	if s.path == "" || len(s.queries)+len(s.commands) == 0 {
		return nil
	}
	listener, err := s.listen()
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	server := &http.Server{ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes, Handler: s}
	go func() { // this goroutine ends when stop is closed; Serve returns after that
		<-stop
		_ = server.Close() // an error is ignored: the socket is closed in any case
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// listen opens the socket, or returns ErrInUse if another process serves it.
func (s *Server) listen() (net.Listener, error) {
	// Dial and Listen on a Unix socket return at once, so they need no context that can be cancelled.
	conn, err := new(net.Dialer).DialContext(context.Background(), "unix", s.path)
	if err == nil {
		_ = conn.Close() // an error is ignored: nothing was written
		return nil, fmt.Errorf("%s: %w", s.path, ErrInUse)
	}
	_ = os.Remove(s.path) // a dead process left the file; if it can't be removed, Listen returns the reason
	return new(net.ListenConfig).Listen(context.Background(), "unix", s.path)
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	handler := s.handler(r.Method, r.URL.Path)
	if handler == nil {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	answer, err := handler(r.URL.Query())
	switch {
	case errors.Is(err, ErrBusy):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(answer) // an error is ignored: the caller has closed the connection
	}
}

// handler returns the handler of a call, or nil if there is no such call.
func (s *Server) handler(method, path string) Handler {
	switch method {
	case http.MethodGet:
		return s.queries[path]
	case http.MethodPost:
		return s.commands[path]
	default:
		return nil
	}
}
