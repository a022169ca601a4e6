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
	maxValue   int // largest value that is accepted, in bytes
	buffer     []byte
	start, end int
	needed     int // minimum size in bytes of the response that begins at buffer[start]; 0 if not known
	longBuffer int // size in bytes of the buffer for that response, if it is long
	discarding int // bytes of a value that have not arrived yet and are discarded as they do
}

// Buffered implements upstream.Decoder.
func (d *decoder) Buffered() int { return d.end - d.start }

// BytesRead implements upstream.Decoder.
func (d *decoder) BytesRead(n int) {
	discarded := min(n, d.discarding)
	d.discarding -= discarded
	d.end += copy(d.buffer[d.end:], d.buffer[d.end+discarded:d.end+n])
}

// ReadBuffer returns the unused rest of the chunk. A response that does not fit there moves to a new chunk. If the response is
// known to be long, the new chunk is as large as the response and what follows it.
func (d *decoder) ReadBuffer() []byte {
	if d.end == len(d.buffer) || d.start+d.needed > len(d.buffer) {
		partial := d.buffer[d.start:d.end]
		size := max(chunkSize, 2*len(partial))
		if d.isLong() {
			size = d.longBuffer
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
	parsed, size, err := parseReply(d.buffer[d.start:d.end], false, d.maxValue)
	if err != nil {
		return upstream.Response{}, false, err
	}
	if size.consumed == 0 {
		d.expect(size.needed)
		return upstream.Response{}, false, nil
	}
	d.start += size.consumed
	if d.isLong() { // the buffer now belongs to the long value
		d.replaceBuffer(chunkSize, d.buffer[d.start:d.end])
	}
	d.needed, d.longBuffer = 0, 0
	response, err := responseOf(parsed)
	return response, err == nil, err
}

// expect records that the response that begins at buffer[start] takes at least needed bytes. If needed is 0, the size is not
// known. The buffer for a long response has space for what follows the value, such as a load report.
func (d *decoder) expect(needed int) {
	d.needed = max(d.needed, needed)
	if d.needed > d.longBuffer {
		d.longBuffer = d.needed + maxHeaderLength
	}
}

// NeededMemory implements upstream.Decoder.
func (d *decoder) NeededMemory() int {
	if d.isLong() {
		return d.longBuffer
	}
	return 0
}

// emptyValue is the beginning of a response whose value is empty.
var emptyValue = []byte("*3\r\n$0\r\n")

// DiscardValue implements upstream.Decoder. What has arrived of the response is replaced by the beginning of one with an empty
// value. It returns false if the response is not one with a value, or the value is complete.
func (d *decoder) DiscardValue() bool {
	headerSize, valueSize := valueExtent(d.buffer[d.start:d.end])
	arrived := d.Buffered() - headerSize
	if headerSize == 0 || arrived >= valueSize {
		return false
	}
	d.discarding, d.needed, d.longBuffer = valueSize-arrived, 0, 0
	d.replaceBuffer(chunkSize, emptyValue)
	return true
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
