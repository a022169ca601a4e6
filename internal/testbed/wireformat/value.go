package wireformat

import (
	"bytes"
	"fmt"

	"shelfproxy/internal/testbed/model"
)

// MaxValue is the size of the longest value that the protocol allows, in bytes.
const MaxValue = 64 << 10

// EncodeValue returns the value that servers answer to a request. The value holds the id of the request, so that a client
// can tell it from the values of other requests. It is padded to the size of the record.
func EncodeValue(request string, record model.Copy) []byte {
	value := fmt.Appendf(nil, "%s|%s|v%d|", request, record.Key, record.Version)
	if padding := record.Size - len(value); padding > 0 {
		value = append(value, bytes.Repeat([]byte{'.'}, padding)...)
	}
	return value
}

// RequestOfValue returns the request id that a value holds, or "" if the value does not have the form of EncodeValue.
func RequestOfValue(value []byte) string {
	id, rest, ok := bytes.Cut(value, []byte{'|'})
	if !ok || bytes.Count(rest, []byte{'|'}) < 2 {
		return ""
	}
	return string(id)
}

// encodeLoad returns a load report as text, with the latency in milliseconds.
func encodeLoad(load model.Load) string {
	return fmt.Sprintf("latency_ms=%.1f,inflight=%d", load.Latency.Seconds()*1000, load.Inflight)
}
