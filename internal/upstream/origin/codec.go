// Package origin speaks HTTP/1.1 to the origin. It uses net/http's request and response codec on connections of the node's own
// pool, not its Transport, which retries requests by itself.
package origin

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"time"

	"shelfproxy/internal/upstream"
)

// healthCheckPath is what a health check requests.
const healthCheckPath = "/alive"

// Codec writes the requests to the origin and reads its responses. Its connections carry one request at a time. Memory bounds long
// responses.
type Codec struct {
	Host   string // of the Host header
	Memory *upstream.ResponseMemory
}

// AppendRequest appends the HTTP request of an attempt, with the remaining time as the parameter d: the origin gets a request after a
// cache server, and what that took is no longer left of the time that the client gave.
func (c Codec) AppendRequest(b []byte, attempt *upstream.Attempt, now time.Time) []byte {
	httpRequest := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: healthCheckPath}, Host: c.Host,
		Header: http.Header{"User-Agent": {""}}}
	if request := attempt.Request; request != nil {
		httpRequest.URL.Path = "/" + string(request.Key)
		httpRequest.Header["X-Request-Id"] = []string{string(request.ID)}
		httpRequest.Header["X-Extras"] = []string{string(request.ParametersWithTimeout(attempt.Deadline.Sub(now)))}
		if request.IsWrite {
			httpRequest.Method = http.MethodPut
			httpRequest.Body, httpRequest.ContentLength = io.NopCloser(bytes.NewReader(request.Value)), int64(len(request.Value))
		}
	}
	buffer := bytes.NewBuffer(b)
	if err := httpRequest.Write(buffer); err != nil {
		return nil // only a writer that fails makes it fail, and a buffer never does
	}
	return buffer.Bytes()
}

// NewDecoder returns a decoder for the responses on one connection.
func (c Codec) NewDecoder() upstream.Decoder { return &decoder{memory: c.Memory} }
