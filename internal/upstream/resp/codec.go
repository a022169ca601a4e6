// Package resp implements RESP2, the protocol of Redis, for connections to the cache servers.
package resp

import (
	"cmp"
	"time"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/upstream"
)

// Codec encodes commands to cache servers and decodes their responses.
type Codec struct {
	MaxValue int // largest value that is accepted, in bytes; 0 stands for upstream.DefaultMaxValue
}

// AppendRequest appends the command of an attempt. It is the client's command with the remaining time, in milliseconds, as the
// parameter d. A health check is a PING.
func (Codec) AppendRequest(b []byte, attempt *upstream.Attempt, now time.Time) []byte {
	request := attempt.Request
	if request == nil {
		return append(b, "*1\r\n$4\r\nPING\r\n"...)
	}
	if request.IsWrite {
		b = redcon.AppendArray(b, 5)
		b = redcon.AppendBulkString(b, "CACHE.SET")
	} else {
		b = redcon.AppendArray(b, 4)
		b = redcon.AppendBulkString(b, "CACHE.GET")
	}
	b = redcon.AppendBulk(b, request.Key)
	b = redcon.AppendBulk(b, request.ID)
	b = redcon.AppendBulk(b, request.ParametersWithTimeout(attempt.Deadline.Sub(now)))
	if request.IsWrite {
		b = redcon.AppendBulk(b, request.Value)
	}
	return b
}

// NewDecoder returns a decoder for the responses on one connection.
func (c Codec) NewDecoder() upstream.Decoder {
	return &decoder{maxValue: cmp.Or(c.MaxValue, upstream.DefaultMaxValue)}
}
