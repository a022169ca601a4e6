package control

import (
	"errors"
	"fmt"
	"net/http/httptest"
	"net/url"
	"testing"

	"shelfproxy/internal/golden"
)

// TestGoldenCalls guards against changed HTTP answers, which "shelfproxy ctl" of another release would not understand.
func TestGoldenCalls(t *testing.T) {
	server := New("")
	server.HandleQuery("status", func(query url.Values) (any, error) {
		return map[string]any{"key": query.Get("key"), "n": 3}, nil
	})
	server.HandleQuery("behind", func(url.Values) (any, error) { return nil, ErrBusy })
	server.HandleCommand("drain", func(url.Values) (any, error) { return nil, errors.New("no such node") })
	var lines golden.Lines
	for _, call := range []struct{ method, target string }{
		{"GET", "/status?key=a%20b"},
		{"GET", "/behind"},
		{"POST", "/drain"},
		{"GET", "/drain"},
		{"POST", "/status"},
		{"PUT", "/status"},
		{"GET", "/"},
	} {
		response := httptest.NewRecorder()
		server.ServeHTTP(response, httptest.NewRequestWithContext(t.Context(), call.method, call.target, nil))
		lines.Text(call.method+" "+call.target,
			fmt.Sprintf("%d %s %q", response.Code, response.Header().Get("Content-Type"), response.Body.String()))
	}
	golden.Check(t, "calls.golden", lines.Bytes())
}
