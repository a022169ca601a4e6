package harness

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"
)

const (
	watchHeartbeat = time.Second // interval between the empty lines of a watch
	breakWatch     = "break"     // queued instead of a line; ends the watch that takes it
	maxUnsent      = 8           // maximum number of lines that are queued for the watches
)

// Discovery is a fake discovery service. Each watch begins with an empty change of the initial list. A published list or change
// is sent to only one of the open watches.
type Discovery struct {
	Address string

	t     testing.TB
	texts chan string // lines to send to the watches; never closed

	mu      sync.Mutex
	queries []string // queries of the watches that NextWatch has not returned yet
	open    int      // number of open watches
}

// NewDiscovery starts a discovery service.
func NewDiscovery(t testing.TB) *Discovery {
	t.Helper()
	d := &Discovery{t: t, texts: make(chan string, maxUnsent)}
	d.Address = startHTTP(t, d)
	return d
}

// startHTTP starts an HTTP server, which the cleanup of the test stops, and returns its address.
func startHTTP(t testing.TB, handler http.Handler) (address string) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return server.Listener.Addr().String()
}

// ServeHTTP serves a watch.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	d.watchOpened(request.URL.RawQuery)
	defer d.watchClosed()
	fmt.Fprintf(w, `{"generation":%d,"reset":false,"instances":[]}`+"\n", InitialVersion)
	w.(http.Flusher).Flush()
	heartbeat := time.NewTicker(watchHeartbeat)
	defer heartbeat.Stop()
	for {
		text := ""
		select {
		case text = <-d.texts:
		case <-heartbeat.C:
		case <-request.Context().Done():
			return
		}
		if text == breakWatch {
			return
		}
		fmt.Fprintln(w, text)
		w.(http.Flusher).Flush()
	}
}

func (d *Discovery) watchOpened(query string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queries = append(d.queries, query)
	d.open++
}

func (d *Discovery) watchClosed() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
}

// Publish sends a list or a change to one of the open watches.
func (d *Discovery) Publish(list List) {
	d.t.Helper()
	d.PublishText(EncodeJSON(d.t, list))
}

// PublishText sends any text as a line to one of the open watches.
func (d *Discovery) PublishText(text string) {
	d.t.Helper()
	select {
	case d.texts <- text:
	case <-time.After(Timeout):
		d.t.Fatalf("no watch took %q within %s", text, Timeout)
	}
}

// BreakWatch ends one of the open watches.
func (d *Discovery) BreakWatch() {
	d.t.Helper()
	d.PublishText(breakWatch)
}

// OpenWatches returns the number of open watches.
func (d *Discovery) OpenWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.open
}

// UnseenWatches returns the number of watches, open or ended, that NextWatch has not returned yet.
func (d *Discovery) UnseenWatches() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.queries)
}

// NextWatch waits for the next watch and returns the query that it was opened with.
func (d *Discovery) NextWatch() string {
	d.t.Helper()
	WaitFor(d.t, "discovery is watched", func() bool { return d.UnseenWatches() > 0 })
	d.mu.Lock()
	defer d.mu.Unlock()
	query := d.queries[0]
	d.queries = d.queries[1:]
	return query
}
