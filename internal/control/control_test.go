package control

import (
	"errors"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// answerTimeout bounds how long a test waits for a server in this process.
const answerTimeout = 5 * time.Second

// startServer serves a query and two commands at path. The caller must call stop, which waits until Serve has returned.
func startServer(t *testing.T, path string) (stop func()) {
	t.Helper()
	server := New(path)
	server.HandleQuery("status", func(query url.Values) (any, error) { return query.Get("key"), nil })
	server.HandleCommand("drain", func(url.Values) (any, error) { return nil, ErrBusy })
	server.HandleCommand("roll", func(url.Values) (any, error) { return nil, errors.New("to: which release?") })
	stopServer, served := make(chan struct{}), make(chan error, 1)
	go func() { served <- server.Serve(stopServer) }() // stop waits for this goroutine
	stop = func() {
		t.Helper()
		close(stopServer)
		if err := <-served; err != nil {
			t.Errorf("Serve = %v, want nil after a stop", err)
		}
	}
	awaitAnswer(t, path)
	return stop
}

// awaitAnswer repeats the call "status" until it is answered, and fails the test after answerTimeout.
func awaitAnswer(t *testing.T, path string) {
	t.Helper()
	retry, deadline := time.NewTicker(time.Millisecond), time.After(answerTimeout)
	defer retry.Stop()
	for {
		_, err := Query(t.Context(), path, "status", nil)
		if err == nil {
			return
		}
		select {
		case <-retry.C:
		case <-deadline:
			t.Fatalf("no answer at %s: %v", path, err)
		}
	}
}

// TestSocketOfRunningServerIsNotReplaced guards against a successor that takes the control socket away from a predecessor that
// still serves it: Serve must return ErrInUse. A file at the path that no process serves must be replaced.
func TestSocketOfRunningServerIsNotReplaced(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control")
	if err := os.WriteFile(path, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	stop := startServer(t, path)
	successor := New(path)
	successor.HandleQuery("status", func(url.Values) (any, error) { return "successor", nil })
	if err := successor.Serve(t.Context().Done()); !errors.Is(err, ErrInUse) {
		t.Errorf("Serve at a path in use = %v, want %v", err, ErrInUse)
	}
	awaitAnswer(t, path) // the first server still serves the socket
	stop()
}

func TestClientReturnsAnswersAndErrors(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control")
	defer startServer(t, path)()
	if got, err := Query(t.Context(), path, "status", url.Values{"key": {"a b"}}); err != nil || got != "\"a b\"\n" {
		t.Errorf("status = %q, %v; want the key as JSON", got, err)
	}
	for call, want := range map[string]string{"drain": "busy", "roll": "to: which release?", "status": "no such call"} {
		if got, err := Command(t.Context(), path, call, nil); err == nil || err.Error() != want || got != "" {
			t.Errorf("%s = %q, %v; want the error %q", call, got, err, want)
		}
	}
}

func TestServeWithoutPathOrCallsEndsAtOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "control")
	withCalls := New("")
	withCalls.HandleQuery("status", func(url.Values) (any, error) { return "up", nil })
	for name, server := range map[string]*Server{"no path": withCalls, "no calls": New(path)} {
		if err := server.Serve(nil); err != nil {
			t.Errorf("%s: Serve = %v, want nil", name, err)
		}
	}
	if _, err := os.Stat(path); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("a server without calls opened its socket: %v", err)
	}
}
