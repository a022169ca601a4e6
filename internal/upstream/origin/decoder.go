// Package origin speaks HTTP/1.1 to the origin. It uses net/http's request and response codec on connections
// of the node's own pool, not its Transport, which sends a request again by itself.
package origin

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"shelfproxy/internal/upstream"
)

const (
	maxHeader  = 64 << 10
	maxInterim = 8 // 1xx answers ahead of one
)

// Codec writes the origin's requests and reads its responses. Its connections carry one request at a time.
type Codec struct {
	Host   string
	Memory *upstream.ResponseMemory
}

// AppendRequest appends the HTTP request of a forward, with the time that is left as d: the origin is asked after a cache server, and
// what that took is gone from the time that the client gave.
func (c Codec) AppendRequest(b []byte, f *upstream.Attempt, now time.Time) []byte {
	req := &http.Request{Method: http.MethodGet, URL: &url.URL{Path: "/alive"}, Host: c.Host,
		Header: http.Header{"User-Agent": {""}}}
	if q := f.Request; q != nil {
		req.URL.Path = "/" + string(q.Key)
		req.Header["X-Request-Id"] = []string{string(q.ID)}
		req.Header["X-Extras"] = []string{string(q.ParametersWithTimeout(f.Deadline.Sub(now)))}
		if q.IsWrite {
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

// NewDecoder returns a decoder of the responses on a connection.
func (c Codec) NewDecoder() upstream.Decoder { return &decoder{room: c.Memory} }

const (
	chunk = 4 << 10
	short = 64 << 10 // a response up to that takes no room
)

// decoder keeps what came of one response and has net/http's codec read it, anew with each part that comes.
type decoder struct {
	room *upstream.ResponseMemory
	took int // of it
	buf  []byte
	end  int
	want int // bytes before which there is nothing new to see
	in   bytes.Reader
	rd   *bufio.Reader
}

func (d *decoder) Buffered() int { return d.end }

func (d *decoder) BytesRead(n int) { d.end += n }

func (d *decoder) ReadBuffer() []byte {
	if d.end == len(d.buf) || d.want > len(d.buf) {
		bigger := make([]byte, max(chunk, 2*len(d.buf), d.want))
		copy(bigger, d.buf)
		d.buf = bigger
	}
	return d.buf[d.end:]
}

var proto = []byte("HTTP/1.")

func (d *decoder) NextResponse(ended bool) (upstream.Response, bool, error) {
	all := d.buf[:d.end]
	if n := min(len(all), len(proto)); !bytes.Equal(all[:n], proto[:n]) {
		return upstream.Response{}, false, upstream.ErrMalformedResponse
	}
	if !ended && d.end < d.want {
		return upstream.Response{}, false, nil
	}
	d.want = 0
	d.in.Reset(all)
	if d.rd == nil {
		d.rd = bufio.NewReader(&d.in)
	} else {
		d.rd.Reset(&d.in)
	}
	a, err := d.response(ended)
	switch {
	case errors.Is(err, errMore) && d.end < maxHeader+2*d.room.MaxResponse(): // a body may be chunked
		if need := max(d.want, d.end) - d.took; need > short {
			if !d.room.Reserve(need) {
				return upstream.Response{}, false, upstream.ErrResponseTooLarge
			}
			d.took += need
		}
		return upstream.Response{}, false, nil
	case err != nil:
		return upstream.Response{}, false, upstream.ErrMalformedResponse
	}
	d.Release()
	rest := d.in.Len() + d.rd.Buffered()
	copy(d.buf, all[len(all)-rest:])
	if d.end = rest; rest == 0 && len(d.buf) > chunk {
		d.buf = nil // a large response must not hold its room for good
	}
	return a, true, nil
}

func (d *decoder) Release() {
	d.room.Release(d.took)
	d.took, d.want = 0, 0
}

// errMore says that the response has not come whole.
var errMore = errors.New("more bytes are wanted")

// more makes the end of what came into a wish for more. The codec has an error of its own, which it does not export, for the end
// within a trailer.
func more(err error) error {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || err != nil && err.Error() == "http: unexpected EOF reading trailer" {
		return errMore
	}
	return err
}

// response reads one response, with the 1xx answers that may come ahead of it.
func (d *decoder) response(ended bool) (upstream.Response, error) {
	var resp *http.Response
	// 1xx answers come ahead of the one that counts; after 101 the connection would speak another protocol. The codec takes half a
	// line at the end for a whole one, so each header is read once all of it is there.
	for n := 0; resp == nil || resp.StatusCode < 200; n++ {
		if resp != nil && (n > maxInterim || resp.StatusCode == http.StatusSwitchingProtocols) {
			return upstream.Response{}, upstream.ErrMalformedResponse
		}
		rest := d.buf[d.end-d.in.Len()-d.rd.Buffered() : d.end]
		if !bytes.Contains(rest, []byte("\n\r\n")) && !bytes.Contains(rest, []byte("\n\n")) {
			return upstream.Response{}, errMore
		}
		var err error
		if resp, err = http.ReadResponse(d.rd, nil); err != nil {
			return upstream.Response{}, more(err)
		}
	}
	defer resp.Body.Close()
	body, err := d.body(resp, ended)
	if err != nil {
		return upstream.Response{}, err
	}
	a := upstream.Response{Outcome: upstream.Errored, LoadReport: []byte(resp.Header.Get("X-Load")), ConnectionClose: resp.Close}
	switch {
	case resp.StatusCode == http.StatusOK:
		a.Outcome, a.Value = upstream.Served, body
	case resp.Header.Get("X-Not-Run") == "1":
		a.Outcome = upstream.ServerBusy
	}
	return a, nil
}

// body reads the body into a buffer of its own, as the answer outlives the decoder's.
func (d *decoder) body(resp *http.Response, ended bool) ([]byte, error) {
	most := d.room.MaxResponse()
	if resp.ContentLength > int64(most) {
		return nil, upstream.ErrMalformedResponse
	}
	if n := resp.ContentLength; n >= 0 {
		if have := d.in.Len() + d.rd.Buffered(); int64(have) < n {
			d.want = d.end + int(n) - have
			return nil, errMore
		}
		body := make([]byte, n)
		_, err := io.ReadFull(resp.Body, body)
		return body, more(err)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(most)+1))
	switch {
	case len(body) > most:
		return nil, upstream.ErrMalformedResponse
	case err != nil:
		return nil, more(err)
	case len(resp.TransferEncoding) == 0 && !ended: // its end is that of the connection
		return nil, errMore
	}
	return body, nil
}
