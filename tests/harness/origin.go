package harness

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
)

// Origin is a fake origin. It answers with "from-origin-" and the request's id, unless Handle has replaced its handler.
type Origin struct {
	Address string

	t        testing.TB
	mu       sync.Mutex
	handler  http.HandlerFunc
	requests []*http.Request
	returned int // number of requests that NextRequest has returned
}

// NewOrigin starts an origin.
func NewOrigin(t testing.TB) *Origin {
	t.Helper()
	o := &Origin{t: t, handler: func(w http.ResponseWriter, request *http.Request) {
		fmt.Fprint(w, "from-origin-", RequestID(request))
	}}
	o.Address = startHTTP(t, o)
	return o
}

// RequestID returns the id of a node's request to the origin.
func RequestID(request *http.Request) string { return request.Header.Get("X-Request-Id") }

// Handle replaces the handler of all requests from now on, health checks included.
func (o *Origin) Handle(handler http.HandlerFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handler = handler
}

// healthCheckPath is the path of health checks of the origin.
const healthCheckPath = "/alive"

// ServeHTTP serves a request.
func (o *Origin) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	o.mu.Lock()
	if request.URL.Path != healthCheckPath {
		o.requests = append(o.requests, request)
	}
	handler := o.handler
	o.mu.Unlock()
	handler(w, request)
}

// Requests returns the number of requests that the origin has received so far, without health checks.
func (o *Origin) Requests() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.requests)
}

// NextRequest waits for the next request, in the order in which they came. Its body may have been read and closed.
func (o *Origin) NextRequest() *http.Request {
	o.t.Helper()
	WaitFor(o.t, "the origin receives a request", func() bool { return o.Requests() > o.returned })
	o.mu.Lock()
	defer o.mu.Unlock()
	o.returned++
	return o.requests[o.returned-1]
}
