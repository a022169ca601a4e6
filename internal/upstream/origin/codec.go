// Package origin implements HTTP/1.1 for connections to the origin. It uses the request and response codec of net/http on
// connections of upstream.Pool. It does not use the Transport of net/http, which retries requests by itself.
package origin

import (
	"bytes"
	"cmp"
	"io"
	"net/http"
	"net/url"
	"time"

	"shelfproxy/internal/upstream"
)

// healthCheckPath is the URL path that a health check requests.
const healthCheckPath = "/alive"

// Codec encodes requests to the origin and decodes its responses. A connection carries one request at a time.
type Codec struct {
	Host     string // value of the Host header
	MaxValue int    // largest value that is accepted, in bytes; 0 stands for upstream.DefaultMaxValue
}

// AppendRequest appends the HTTP request of an attempt, with the remaining time in milliseconds as the parameter d. The client's
// own timeout would be too long: the origin gets a request after a cache server, and that has taken some of the time.
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
		return nil // Write fails only if its writer fails, and a buffer never does
	}
	return buffer.Bytes()
}

// NewDecoder returns a decoder for the responses on one connection.
func (c Codec) NewDecoder() upstream.Decoder {
	return &decoder{maxValue: cmp.Or(c.MaxValue, upstream.DefaultMaxValue)}
}
