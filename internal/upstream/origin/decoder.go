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
	maxHeaderSize = 64 << 10 // maximum size of all headers ahead of a body, in bytes
)

// protocolPrefix is the start of every response.
var protocolPrefix = []byte("HTTP/1.")

// errIncomplete says that a response is incomplete and more bytes are needed.
var errIncomplete = errors.New("incomplete response")

// decoder implements upstream.Decoder. It keeps the bytes of one response. Each time that more bytes have come, net/http parses
// the response again from its start.
type decoder struct {
	maxValue int    // largest value that is accepted, in bytes
	buffer   []byte // buffer[:end] holds the bytes that belong to no response yet
	end      int
	needed   int // number of buffered bytes below which it is of no use to parse again

	isBufferTaken bool // buffer belongs to the value of the response that was read last

	input  bytes.Reader  // reads buffer[:end]
	reader *bufio.Reader // reads input for net/http
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
		return upstream.Response{}, false, nil
	case err != nil:
		return upstream.Response{}, false, upstream.ErrMalformedResponse
	}
	d.discardRead()
	return response, true, nil
}

func (d *decoder) startsLikeResponse() bool {
	n := min(d.end, len(protocolPrefix))
	return bytes.Equal(d.buffer[:n], protocolPrefix[:n])
}

// maxResponseSize returns the maximum size of one response in bytes, headers included. A body may have twice the size of the
// largest value, as a chunked body takes more bytes than its value.
func (d *decoder) maxResponseSize() int { return maxHeaderSize + 2*d.maxValue }

func (d *decoder) resetReader() {
	d.input.Reset(d.buffer[:d.end])
	if d.reader == nil {
		d.reader = bufio.NewReader(&d.input)
	} else {
		d.reader.Reset(&d.input)
	}
}

// unread returns the number of buffered bytes that net/http has not read.
func (d *decoder) unread() int { return d.input.Len() + d.reader.Buffered() }

// NeededMemory implements upstream.Decoder. A response whose length is not known takes twice its bytes, as the buffer grows by
// doubling; the usual largest value is assumed at first.
func (d *decoder) NeededMemory() int {
	switch {
	case d.needed > chunkSize:
		return d.needed
	case d.end > chunkSize:
		return 2 * max(d.end, upstream.DefaultMaxValue)
	}
	return 0
}

// DiscardValue implements upstream.Decoder. It always returns false: the connection carries no other attempt and can be closed.
func (d *decoder) DiscardValue() bool { return false }

// discardRead removes the response that was read from the buffer, and keeps the bytes after it.
func (d *decoder) discardRead() {
	rest := d.buffer[d.end-d.unread() : d.end]
	if d.isBufferTaken || len(rest) == 0 && len(d.buffer) > chunkSize { // the memory of a long response must not stay with its connection
		d.buffer = make([]byte, max(chunkSize, len(rest)))
	}
	d.end = copy(d.buffer, rest)
	d.isBufferTaken = false
	d.input.Reset(nil) // it would keep the buffer that was replaced in memory
}

// responseOf converts an HTTP response to an upstream.Response.
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
