package control

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// answerTimeout bounds how long a test waits for a server in this process.
const answerTimeout = 5 * time.Second

// TestSocketOfRunningServerIsNotReplaced: a successor learns that its predecessor still answers, and does not take the socket
// away from it; a file that nobody answers at is replaced.
func TestSocketOfRunningServerIsNotReplaced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	newServer := func() *Server {
		server := New(path)
		server.HandleQuery("status", func(url.Values) (any, error) { return "up", nil })
		return server
	}
	stop, served := make(chan struct{}), make(chan error, 1)
	go func() { served <- newServer().Serve(stop) }() // the test waits for its end below
	awaitAnswer(t, path)

	if err := newServer().Serve(t.Context().Done()); !errors.Is(err, ErrInUse) {
		t.Errorf("server at a path in use: %v, want %v", err, ErrInUse)
	}
	awaitAnswer(t, path) // from the first one, still
	close(stop)
	if err := <-served; err != nil {
		t.Errorf("first server ended with %v, want nil", err)
	}
}

// awaitAnswer calls status until it is answered.
func awaitAnswer(t *testing.T, path string) {
	t.Helper()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return new(net.Dialer).DialContext(ctx, "unix", path)
		}}}
	ctx, cancel := context.WithTimeout(t.Context(), answerTimeout)
	defer cancel()
	retry := time.NewTicker(time.Millisecond)
	defer retry.Stop()
	for {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://node/status", nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err == nil {
			if err := response.Body.Close(); err != nil {
				t.Error(err)
			}
			if response.StatusCode != http.StatusOK {
				t.Errorf("status answered %s, want 200 OK", response.Status)
			}
			return
		}
		select {
		case <-retry.C:
		case <-ctx.Done():
			t.Fatalf("no answer at %s: %v", path, err)
		}
	}
}
