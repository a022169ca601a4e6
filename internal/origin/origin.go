// Package origin speaks HTTP/1.1 to the origin. It uses net/http's request and response codec on connections
// of the node's own pool, not its Transport, which sends a request again by itself.
package origin

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"shelfproxy/internal/forward"
)

const (
	maxBody    = 64 << 10 // of a value; one that is said to be larger may never end
	maxHeader  = 64 << 10
	maxInterim = 8 // 1xx answers ahead of one
)

// Codec writes the origin's requests and reads its responses. Its connections carry one request at a time.
type Codec struct{ Host string }

// Append appends the HTTP request of a forward.
func (c Codec) Append(b []byte, f *forward.Forward, _ time.Time) []byte {
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/alive"}, Host: c.Host,
		Header: http.Header{"User-Agent": {""}}}
	if q := f.Flow; q != nil {
		req.URL.Path = "/" + string(q.Key)
		req.Header["X-Request-Id"] = []string{string(q.ID)}
		req.Header["X-Extras"] = []string{string(q.Extras)}
		if q.Write {
			req.Method = http.MethodPut
			req.Body, req.ContentLength = io.NopCloser(bytes.NewReader(q.Value)), int64(len(q.Value))
		}
	}
	w := bytes.NewBuffer(b)
	if err := req.Write(w); err != nil {
		return nil // only a writer that fails makes it fail, and a buffer never does
	}
	return w.Bytes()
}

// NewReader returns a reader of the responses on a connection.
func (Codec) NewReader(c net.Conn) forward.Reader {
	limit := &io.LimitedReader{R: c}
	return reader{bufio.NewReader(limit), limit}
}

type reader struct {
	*bufio.Reader
	limit *io.LimitedReader // net/http's codec takes a header of any size
}

func (r reader) Wait() error {
	r.limit.N = maxHeader + 2*maxBody // a body may be chunked
	_, err := r.Peek(1)
	return err
}

func (r reader) Read() (forward.Answer, error) {
	resp, err := http.ReadResponse(r.Reader, nil)
	// 1xx answers come ahead of the one that counts; after 101 the connection would speak another protocol.
	for n := 0; err == nil && resp.StatusCode < 200; n++ {
		if n == maxInterim || resp.StatusCode == http.StatusSwitchingProtocols {
			return forward.Answer{}, forward.ErrGarbage
		}
		resp, err = http.ReadResponse(r.Reader, nil)
	}
	if err != nil {
		return forward.Answer{}, bad(err)
	}
	defer resp.Body.Close()
	body, err := read(resp)
	if err != nil {
		return forward.Answer{}, bad(err)
	}
	a := forward.Answer{End: forward.Errored, Load: []byte(resp.Header.Get("X-Load")), Close: resp.Close}
	switch {
	case resp.StatusCode == http.StatusOK:
		a.End, a.Value = forward.Served, body
	case resp.Header.Get("X-Not-Run") == "1":
		a.End = forward.Busy
	}
	return a, nil
}

// read reads the body into a buffer of its own, as the answer outlives the connection's.
func read(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBody {
		return nil, forward.ErrGarbage
	}
	if resp.ContentLength >= 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err == nil && len(body) > maxBody {
		err = forward.ErrGarbage
	}
	return body, err
}

// bad tells a connection that broke from one that sent what is no response.
func bad(err error) error {
	var broken net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken) {
		return err
	}
	return forward.ErrGarbage
}
