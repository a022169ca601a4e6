package discovery

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// watchReport is one call of the report function of a watch.
type watchReport struct {
	list List
	err  error
}

// startWatch opens a watch on a test server with this handler. It returns the reports of the watch and its stop function.
func startWatch(t *testing.T, callTimeout time.Duration, handler http.HandlerFunc) (reports <-chan watchReport, stop func()) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	client := &Client{Addr: strings.TrimPrefix(server.URL, "http://"), CallTimeout: callTimeout}
	all := make(chan watchReport, 16)
	stop = client.Watch(42, func(list List, err error) { all <- watchReport{list, err} })
	t.Cleanup(stop)
	return all, stop
}

// nextReport waits up to 10 s for the next report of a watch.
func nextReport(t *testing.T, reports <-chan watchReport) watchReport {
	t.Helper()
	select {
	case report := <-reports:
		return report
	case <-time.After(10 * time.Second):
		t.Fatal("the watch reported nothing")
		return watchReport{}
	}
}

// TestClientReportsListsThenTheError: a watch reports its lists as they arrive, and then the error that ended the watch.
func TestClientReportsListsThenTheError(t *testing.T) {
	reports, _ := startWatch(t, 0, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.RequestURI() != WatchPath(42) {
			t.Errorf("called with %s, want %s", r.URL.RequestURI(), WatchPath(42))
		}
		if _, err := io.WriteString(w, testList+"\n\n"); err != nil {
			t.Error(err)
		}
	})
	if got := nextReport(t, reports); got.err != nil || got.list.Version != 43 {
		t.Errorf("got %+v, want version 43", got)
	}
	if got := nextReport(t, reports); !errors.Is(got.err, ErrWatchClosed) {
		t.Errorf("got %+v, want %v", got, ErrWatchClosed)
	}
}

// TestClientFindsUnresponsiveServer: a call that the server does not answer ends with an error.
func TestClientFindsUnresponsiveServer(t *testing.T) {
	reports, _ := startWatch(t, 50*time.Millisecond, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	if got := nextReport(t, reports); got.err == nil {
		t.Errorf("got %+v, want an error", got)
	}
}

// TestStoppedWatchReportsNoError: stop ends the call of a watch. A stopped watch reports nothing more, not even an error.
func TestStoppedWatchReportsNoError(t *testing.T) {
	called, ended := make(chan struct{}), make(chan struct{})
	reports, stop := startWatch(t, 0, func(_ http.ResponseWriter, r *http.Request) {
		close(called)
		<-r.Context().Done()
		close(ended)
	})
	<-called
	stop()
	<-ended
	select {
	case got := <-reports:
		t.Errorf("got %+v after the watch was stopped", got)
	case <-time.After(20 * time.Millisecond):
	}
}
