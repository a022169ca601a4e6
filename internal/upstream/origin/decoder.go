package origin

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"

	"shelfproxy/internal/upstream"
)

const (
	chunkSize     = 4 << 10  // initial size of a read buffer, in bytes
	maxUnreserved = 64 << 10 // bytes of a response that needs no response memory
	maxHeaderSize = 64 << 10 // bytes of all headers ahead of a body
)

// protocolPrefix starts every response.
var protocolPrefix = []byte("HTTP/1.")

// errIncomplete says that the response has not come completely.
var errIncomplete = errors.New("incomplete response")

// decoder implements upstream.Decoder. It keeps the bytes of one response and has net/http read them from the start each time that
// more bytes came.
type decoder struct {
	memory   *upstream.ResponseMemory
	reserved int    // bytes of memory
	buffer   []byte // buffer[:end] holds the bytes that belong to no response yet
	end      int
	needed   int // buffered bytes before which a further look at them is of no use

	input  bytes.Reader  // over buffer[:end]
	reader *bufio.Reader // over input
}

// Buffered implements upstream.Decoder.
func (d *decoder) Buffered() int { return d.end }

// BytesRead implements upstream.Decoder.
func (d *decoder) BytesRead(n int) { d.end += n }

// ReadBuffer implements upstream.Decoder.
func (d *decoder) ReadBuffer() []byte {
	if d.end == len(d.buffer) || d.needed > len(d.buffer) {
		larger := make([]byte, max(chunkSize, 2*len(d.buffer), d.needed))
		copy(larger, d.buffer)
		d.buffer = larger
	}
	return d.buffer[d.end:]
}

// NextResponse implements upstream.Decoder.
func (d *decoder) NextResponse(ended bool) (upstream.Response, bool, error) {
	if !d.startsLikeResponse() {
		return upstream.Response{}, false, upstream.ErrMalformedResponse
	}
	if !ended && d.end < d.needed {
		return upstream.Response{}, false, nil
	}
	d.needed = 0
	d.resetReader()
	response, err := d.readResponse(ended)
	switch {
	case errors.Is(err, errIncomplete) && d.end < d.maxResponseSize():
		return upstream.Response{}, false, d.reserve()
	case err != nil:
		return upstream.Response{}, false, upstream.ErrMalformedResponse
	}
	d.Release()
	d.discardRead()
	return response, true, nil
}

func (d *decoder) startsLikeResponse() bool {
	n := min(d.end, len(protocolPrefix))
	return bytes.Equal(d.buffer[:n], protocolPrefix[:n])
}

// maxResponseSize bounds the bytes of one response, headers and all. A chunked body takes more bytes than its value.
func (d *decoder) maxResponseSize() int { return maxHeaderSize + 2*d.memory.MaxResponse() }

func (d *decoder) resetReader() {
	d.input.Reset(d.buffer[:d.end])
	if d.reader == nil {
		d.reader = bufio.NewReader(&d.input)
	} else {
		d.reader.Reset(&d.input)
	}
}

// unread returns the number of bytes that net/http has not taken.
func (d *decoder) unread() int { return d.input.Len() + d.reader.Buffered() }

// reserve takes response memory for what an incomplete response needs past its present reservation.
func (d *decoder) reserve() error {
	if missing := max(d.needed, d.end) - d.reserved; missing > maxUnreserved {
		if !d.memory.Reserve(missing) {
			return upstream.ErrResponseTooLarge
		}
		d.reserved += missing
	}
	return nil
}

// discardRead keeps the bytes behind the response that was read.
func (d *decoder) discardRead() {
	rest := d.unread()
	copy(d.buffer, d.buffer[d.end-rest:d.end])
	if d.end = rest; rest == 0 && len(d.buffer) > chunkSize {
		d.buffer = nil // the memory of a long response must not stay with its connection
	}
}

// Release implements upstream.Decoder.
func (d *decoder) Release() {
	d.memory.Release(d.reserved)
	d.reserved, d.needed = 0, 0
}

// responseOf maps an HTTP response to one of this node.
func responseOf(httpResponse *http.Response, body []byte) upstream.Response {
	response := upstream.Response{Outcome: upstream.Errored, LoadReport: []byte(httpResponse.Header.Get("X-Load")),
		ConnectionClose: httpResponse.Close}
	switch {
	case httpResponse.StatusCode == http.StatusOK:
		response.Outcome, response.Value = upstream.Served, body
	case httpResponse.Header.Get("X-Not-Run") == "1":
		response.Outcome = upstream.ServerBusy
	}
	return response
}
