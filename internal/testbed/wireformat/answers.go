// Package wording puts what the model says into the bytes of the protocol, and reads what nodes send. It has no clock and no
// I/O: the emulator's sockets and the simulation's streams both speak with it.
package wireformat

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/model"
)

// EncodeValue is what servers answer for a request: it names the request that it was made for, so that a client can tell
// it from any other, and is padded to the size of the record.
func EncodeValue(request string, c model.Copy) []byte {
	b := fmt.Appendf(nil, "%s|%s|v%d|", request, c.Key, c.Version)
	if n := c.Size - len(b); n > 0 {
		b = append(b, bytes.Repeat([]byte{'.'}, n)...)
	}
	return b
}

// RequestOfValue is the request that a value names; empty for what is no value of a server.
func RequestOfValue(value []byte) string {
	id, rest, ok := bytes.Cut(value, []byte{'|'})
	if !ok || bytes.Count(rest, []byte{'|'}) < 2 {
		return ""
	}
	return string(id)
}

// report is a load report in the form of the protocol.
func report(l model.Load) string {
	return fmt.Sprintf("latency_ms=%.1f,inflight=%d", l.Latency.Seconds()*1000, l.Inflight)
}

// EncodeRESP words an answer of a box.
func EncodeRESP(id string, a model.Response) []byte {
	var b []byte
	switch a.Outcome {
	case model.Pong:
		if a.HasLoad {
			b = redcon.AppendBulkString(b, report(a.Load))
		} else {
			b = redcon.AppendString(b, "PONG")
		}
	case model.RejectedUnseen:
		b = redcon.AppendError(b, "BUSY")
	case model.Failed:
		b = redcon.AppendError(b, "ERR failed")
	case model.Miss:
		b = redcon.AppendArray(b, 3)
		b = redcon.AppendNull(b)
		b = redcon.AppendBulkString(b, "miss")
		b = redcon.AppendNull(b)
	default:
		b = redcon.AppendArray(b, 3)
		b = redcon.AppendBulk(b, EncodeValue(id, a.Copy))
		b = redcon.AppendBulkString(b, "hit")
		b = redcon.AppendNull(b)
	}
	switch a.Corruption {
	case model.CorruptNoise:
		return []byte("\x00\xff\x13noise\r\n\x80\x80")
	case model.CorruptEndlessLine:
		return []byte("*" + strings.Repeat("9", 200))
	case model.CorruptLength:
		return []byte("*3\r\n$5\r\nlonger than it says\r\n$3\r\nhit\r\n$-1\r\n")
	case model.CorruptHugeValue:
		return []byte("*3\r\n$3221225472\r\n")
	case model.CorruptDuplicate:
		return append(b, b...)
	case model.CorruptTrailingNoise:
		return append(b, "\x00noise"...)
	case model.CorruptLoadReport:
		if n := len(b) - len("$-1\r\n"); a.Outcome == model.Hit || a.Outcome == model.Miss {
			return append(b[:n], "$7\r\n=,=\x00 ==\r\n"...)
		}
	}
	return b
}

// EncodeHTTP words an answer of the origin. last says that the connection ends with it.
func EncodeHTTP(id string, a model.Response) (b []byte, last bool) {
	load := "X-Load: " + report(a.Load) + "\r\n"
	switch a.Outcome {
	case model.Pong:
		body := ""
		if a.HasLoad {
			body = report(a.Load)
		}
		b = HTTPText("200 OK", load, body, false)
	case model.RejectedUnseen:
		b = HTTPText("503 Service Unavailable", load+"X-Not-Run: 1\r\n", "", false)
	case model.Failed:
		b = HTTPText("500 Internal Server Error", load, "", false)
	case model.Written:
		b = HTTPText("200 OK", load, string(EncodeValue(id, model.Copy{Key: a.Copy.Key, Version: a.Copy.Version})), false)
	default:
		b = HTTPText("200 OK", load, string(EncodeValue(id, a.Copy)), false)
	}
	switch a.Corruption {
	case model.CorruptNoise:
		return []byte("\x00\xff\x13noise\r\n\r\n"), false
	case model.CorruptEndlessLine:
		return []byte("HTTP/1.1 200 " + strings.Repeat("x", 200)), false
	case model.CorruptLength:
		return []byte("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nshort"), false
	case model.CorruptHugeValue:
		return []byte("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n"), false
	case model.CorruptDuplicate:
		return append(b, b...), false
	case model.CorruptTrailingNoise:
		return append(b, "\x00noise"...), false
	case model.CorruptLoadReport:
		return bytes.Replace(b, []byte("X-Load: latency_ms="), []byte("X-Load: =,=latency"), 1), false
	}
	return b, false
}

// HTTPText is an HTTP/1.1 response.
func HTTPText(status, headers, body string, last bool) []byte {
	if last {
		headers += "Connection: close\r\n"
	}
	return []byte("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}
