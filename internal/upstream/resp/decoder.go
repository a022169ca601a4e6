package resp

import (
	"bytes"

	"shelfproxy/internal/upstream"
)

// chunkSize is the size of a read buffer in bytes. Values are slices of the chunk that they were read into. A chunk is never
// overwritten, as a value may still be on its way to a client.
const chunkSize = 16 << 10

// decoder implements upstream.Decoder. buffer[start:end] holds the bytes that belong to no response yet.
type decoder struct {
	memory     *upstream.ResponseMemory
	buffer     []byte
	start, end int
	needed     int // minimum size in bytes of the response that begins at buffer[start]; 0 if not known
	reserved   int // number of bytes reserved from memory
}

// Buffered implements upstream.Decoder.
func (d *decoder) Buffered() int { return d.end - d.start }

// BytesRead implements upstream.Decoder.
func (d *decoder) BytesRead(n int) { d.end += n }

// ReadBuffer returns the unused rest of the chunk. A response that does not fit there moves to a new chunk. If the response is
// known to be long, the new chunk is as large as the response and what follows it.
func (d *decoder) ReadBuffer() []byte {
	if d.end == len(d.buffer) || d.start+d.needed > len(d.buffer) {
		partial := d.buffer[d.start:d.end]
		size := max(chunkSize, 2*len(partial))
		if d.isLong() {
			size = d.needed + maxHeaderLength // space for what follows the value, such as a load report
		}
		d.replaceBuffer(size, partial)
	}
	return d.buffer[d.end:]
}

// replaceBuffer replaces the buffer by one of at least size bytes, which starts with the unconsumed bytes and has space after
// them.
func (d *decoder) replaceBuffer(size int, unconsumed []byte) {
	d.buffer = make([]byte, max(size, len(unconsumed)+1))
	d.start, d.end = 0, copy(d.buffer, unconsumed)
}

// isLong reports whether the response that begins at buffer[start] is known to need a buffer of its own.
func (d *decoder) isLong() bool { return d.needed > chunkSize }

// NextResponse implements upstream.Decoder. It ignores whether the connection has ended, as no RESP2 value is completed by that.
func (d *decoder) NextResponse(bool) (upstream.Response, bool, error) {
	if d.Buffered() < d.needed {
		return upstream.Response{}, false, nil
	}
	parsed, size, err := parseReply(d.buffer[d.start:d.end], false, d.memory.MaxResponse())
	if err != nil {
		return upstream.Response{}, false, err
	}
	if size.consumed == 0 {
		return upstream.Response{}, false, d.expect(size.needed)
	}
	d.start += size.consumed
	if d.isLong() { // the buffer now belongs to the long value
		d.replaceBuffer(chunkSize, d.buffer[d.start:d.end])
	}
	d.Release()
	response, err := responseOf(parsed)
	return response, err == nil, err
}

// expect records that the response that begins at buffer[start] takes at least needed bytes, and reserves memory for a long
// response. If needed is 0, the size is not known.
func (d *decoder) expect(needed int) error {
	if needed == 0 {
		return nil
	}
	d.needed = needed
	if d.isLong() && d.reserved == 0 {
		if !d.memory.Reserve(needed) {
			return upstream.ErrResponseTooLarge
		}
		d.reserved = needed
	}
	return nil
}

// Release implements upstream.Decoder.
func (d *decoder) Release() {
	d.memory.Release(d.reserved)
	d.reserved, d.needed = 0, 0
}

// busyPrefix is the start of the error with which a server rejects a command.
var busyPrefix = []byte("BUSY")

// responseOf converts a RESP2 value to a response. The value is PONG, an error, or an array of the value, the state of the cache
// and a load report.
func responseOf(value reply) (upstream.Response, error) {
	switch {
	case value.kind == simpleString:
		return upstream.Response{Outcome: upstream.Served}, nil // PONG answers a health check
	case value.kind == simpleError && !startsWithCapital(value.data):
		return upstream.Response{}, upstream.ErrMalformedResponse
	case value.kind == simpleError && bytes.HasPrefix(value.data, busyPrefix):
		return upstream.Response{Outcome: upstream.ServerBusy, LoadReport: trailingLoadReport(value.data)}, nil
	case value.kind == simpleError:
		return upstream.Response{Outcome: upstream.Errored, LoadReport: trailingLoadReport(value.data)}, nil
	case value.kind == array && len(value.items) == maxItems && value.items[0].kind == bulkString:
		response := upstream.Response{Outcome: upstream.Served, Value: value.items[0].data, LoadReport: value.items[2].data}
		if value.items[0].isNull {
			response.Outcome = upstream.Missed
		}
		return response, nil
	}
	return upstream.Response{}, upstream.ErrMalformedResponse
}

func startsWithCapital(text []byte) bool { return len(text) > 0 && text[0] >= 'A' && text[0] <= 'Z' }

// trailingLoadReport returns the load report at the end of the text of an error; nil if there is none.
func trailingLoadReport(text []byte) []byte {
	if i := bytes.LastIndexByte(text, ' '); i >= 0 && bytes.IndexByte(text[i:], '=') >= 0 {
		return text[i+1:]
	}
	return nil
}
