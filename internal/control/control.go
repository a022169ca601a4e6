// Package control takes operators' calls of a running node at a Unix socket: HTTP with a path for each call, answered in
// JSON. The parts of a node that are switched on register theirs. The socket's folder decides who may call.
package control

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"time"
)

const (
	longestCall = 4 << 10
	readWithin  = time.Second
	writeWithin = 2 * time.Second
)

// Handler carries one call out. Its answer is written as JSON. It must not wait for other nodes.
type Handler func(query url.Values) (any, error)

// ErrInUse says that another process takes calls at the path. It may be one that this one replaces, and end.
var ErrInUse = errors.New("another process answers there")

// ErrBusy says that the part is behind with its own work; the call was not carried out.
var ErrBusy = errors.New("busy")

// Server is the socket and its calls.
type Server struct {
	path  string
	look  map[string]Handler // by path; may be made again and again
	steer map[string]Handler // changes something
}

// New makes a server for a socket at a path; an empty one means none.
func New(path string) *Server {
	return &Server{path: path, look: map[string]Handler{}, steer: map[string]Handler{}}
}

// HandleQuery registers a call that changes nothing (GET).
func (s *Server) HandleQuery(name string, c Handler) { s.look["/"+name] = c }

// HandleCommand registers a call that changes something (POST).
func (s *Server) HandleCommand(name string, c Handler) { s.steer["/"+name] = c }

// Serve takes calls until stop is closed. All calls have to be registered before.
func (s *Server) Serve(stop <-chan struct{}) error {
	if s.path == "" || len(s.look)+len(s.steer) == 0 {
		return nil
	}
	if c, err := net.Dial("unix", s.path); err == nil { // another process answers there
		c.Close()
		return fmt.Errorf("control: %s: %w", s.path, ErrInUse)
	}
	os.Remove(s.path) // of a process before
	ln, err := net.Listen("unix", s.path)
	if err != nil {
		return fmt.Errorf("control: %w", err)
	}
	server := &http.Server{ReadTimeout: readWithin, WriteTimeout: writeWithin, MaxHeaderBytes: longestCall, Handler: s}
	go func() {
		<-stop
		server.Close()
	}()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	calls := s.look
	if q.Method == http.MethodPost {
		calls = s.steer
	}
	call := calls[q.URL.Path]
	if call == nil || q.Method != http.MethodGet && q.Method != http.MethodPost {
		http.Error(w, "no such call", http.StatusNotFound)
		return
	}
	answer, err := call(q.URL.Query())
	switch {
	case errors.Is(err, ErrBusy):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	}
}
