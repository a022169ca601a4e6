package control

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"shelfproxy/internal/golden"
)

// TestGoldenCalls: the HTTP answers that shelfproxy ctl of another release gets.
func TestGoldenCalls(t *testing.T) {
	s := New("")
	s.HandleQuery("status", func(q url.Values) (any, error) { return map[string]any{"key": q.Get("key"), "n": 3}, nil })
	s.HandleQuery("behind", func(url.Values) (any, error) { return nil, ErrBusy })
	s.HandleCommand("drain", func(url.Values) (any, error) { return nil, errors.New("no such node") })
	var lines golden.Lines
	for _, call := range [][2]string{{"GET", "/status?key=a%20b"}, {"GET", "/behind"}, {"POST", "/drain"}, {"GET", "/drain"}, {"POST", "/status"}, {"PUT", "/status"}, {"GET", "/"}} {
		w := httptest.NewRecorder()
		s.ServeHTTP(w, httptest.NewRequest(call[0], call[1], http.NoBody))
		lines.Text(call[0]+" "+call[1], fmt.Sprintf("%d %s %q", w.Code, w.Header().Get("Content-Type"), w.Body.String()))
	}
	golden.Check(t, "calls.golden", lines.Bytes())
}
