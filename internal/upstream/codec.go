package upstream

import (
	"errors"
	"time"
)

// ErrMalformedResponse is the error of Decoder.NextResponse for bytes that are not a valid response.
var ErrMalformedResponse = errors.New("malformed response")

// DefaultMaxValue is the largest value, in bytes, that a decoder accepts unless its codec says otherwise. It is the limit in the
// protocol's documentation.
const DefaultMaxValue = 64 << 10

// Response is what a server sent in response to an attempt.
type Response struct {
	Outcome         Outcome
	Value           []byte // the value or receipt of a Served attempt
	LoadReport      []byte // the server's report of its load, as it was sent; empty without a report
	ConnectionClose bool   // the server closes the connection after this response
	// ReservedMemory is the part of the pool's ResponseMemory, in bytes, that holds the value. It belongs to whoever has the
	// response, who releases it once the value is written or dropped.
	ReservedMemory int
	MemoryWait     time.Duration // how long the response was not read for lack of memory; the server is not to blame for it
}

// Codec encodes requests and decodes responses in the protocol of an endpoint. It is safe for concurrent use.
type Codec interface {
	// AppendRequest appends the bytes of an attempt to b. The attempt is written at the time now.
	AppendRequest(b []byte, attempt *Attempt, now time.Time) []byte
	// NewDecoder returns a decoder for the responses of one connection.
	NewDecoder() Decoder
}

// Decoder splits the bytes that arrive on one connection into responses, in order. It has no clock and does no I/O. It is not safe
// for concurrent use.
type Decoder interface {
	// ReadBuffer returns the buffer for the next bytes of the connection. It is never empty.
	ReadBuffer() []byte
	// BytesRead records that the first n bytes of the read buffer were filled.
	BytesRead(n int)
	// NextResponse returns the next complete response; false if more bytes are needed. ended says that no more bytes will come.
	// The error is ErrMalformedResponse for bytes that are not a valid response.
	NextResponse(ended bool) (Response, bool, error)
	// Buffered returns the number of bytes that have arrived and belong to no returned response.
	Buffered() int
	// NeededMemory returns the bytes of memory that the incomplete response takes beside the usual read buffer, as far as its size
	// is known; 0 if it is not known, or the read buffer is enough.
	NeededMemory() int
	// DiscardValue has the value of the incomplete response dropped as it arrives. The response then has an empty value. It returns
	// false if the decoder can't do so.
	DiscardValue() bool
}
