package upstream

import (
	"errors"
	"time"
)

// Errors of Decoder.NextResponse.
var (
	ErrMalformedResponse = errors.New("malformed response")
	ErrResponseTooLarge  = errors.New("response exceeds the available response memory")
)

// Response is what a server sent in response to an attempt.
type Response struct {
	Outcome         Outcome
	Value           []byte // the value or receipt of a Served attempt
	LoadReport      []byte // what the server says of its load; nil without a report
	ConnectionClose bool   // the server closes the connection after this response
}

// Codec is the protocol of an endpoint. It is safe for concurrent use.
type Codec interface {
	// AppendRequest appends the bytes of an attempt that is written at now.
	AppendRequest(b []byte, attempt *Attempt, now time.Time) []byte
	// NewDecoder returns a decoder for the responses of one connection.
	NewDecoder() Decoder
}

// Decoder splits the bytes that arrive on one connection into responses, in order. It has no clock and does no I/O. It is not safe
// for concurrent use.
type Decoder interface {
	// ReadBuffer returns the buffer for the next bytes of the connection. It is never empty.
	ReadBuffer() []byte
	// BytesRead says that the first n bytes of the buffer were filled.
	BytesRead(n int)
	// NextResponse returns the next complete response; false if more bytes are needed. ended says that no more bytes will come.
	// The error is ErrMalformedResponse for bytes that are no response, and ErrResponseTooLarge for a response that the
	// available response memory can't take.
	NextResponse(ended bool) (Response, bool, error)
	// Buffered returns the number of bytes that arrived and belong to no response yet.
	Buffered() int
	// Release gives the reserved response memory back. It is the last call.
	Release()
}
