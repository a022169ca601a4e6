// Package control serves the operators' calls to a running process on a Unix socket: HTTP with one path for each call, answered
// in JSON. The parts of the process that are switched on register their calls. The permissions of the socket's directory decide
// who may call.
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

// Bounds of one call.
const (
	maxHeaderBytes = 4 << 10
	readTimeout    = time.Second
	writeTimeout   = 2 * time.Second
)

// Handler carries out one call and returns the value that is written as JSON. It must not wait for other nodes.
type Handler func(query url.Values) (any, error)

// ErrInUse is returned by Serve if another process answers at the path. It may be a predecessor that is about to end.
var ErrInUse = errors.New("another process answers there")

// ErrBusy is returned by a Handler whose part of the process is overloaded. The call was not carried out.
var ErrBusy = errors.New("busy")

// Server is a control socket with its calls.
type Server struct {
	path     string
	queries  map[string]Handler // by URL path
	commands map[string]Handler // by URL path
}

// New returns a server for a socket at path. With an empty path Serve does nothing.
func New(path string) *Server {
	return &Server{path: path, queries: map[string]Handler{}, commands: map[string]Handler{}}
}

// HandleQuery registers a call that changes nothing (GET). It must not be called after Serve.
func (s *Server) HandleQuery(name string, handler Handler) { s.queries["/"+name] = handler }

// HandleCommand registers a call that changes something (POST). It must not be called after Serve.
func (s *Server) HandleCommand(name string, handler Handler) { s.commands["/"+name] = handler }

// Serve opens the socket and serves calls until stop is closed. A socket file that a dead process left behind is replaced.
// Serve returns ErrInUse if another process answers at the path, and nil at once if there is no path or no call.
func (s *Server) Serve(stop <-chan struct{}) error {
	if s.path == "" || len(s.queries)+len(s.commands) == 0 {
		return nil
	}
	listener, err := s.listen()
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	server := &http.Server{ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes, Handler: s}
	go func() { // ends with stop, after which Serve returns
		<-stop
		_ = server.Close() // the socket goes away in any case
	}()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// listen opens the socket unless another process answers there.
func (s *Server) listen() (net.Listener, error) {
	// Both calls are local and return at once, so there is nothing to cancel.
	conn, err := new(net.Dialer).DialContext(context.Background(), "unix", s.path)
	if err == nil {
		_ = conn.Close() // nothing was written
		return nil, fmt.Errorf("%s: %w", s.path, ErrInUse)
	}
	_ = os.Remove(s.path) // left by a dead process; if it cannot be removed Listen says why
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
		_ = json.NewEncoder(w).Encode(answer) // fails only if the caller is gone
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
