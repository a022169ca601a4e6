package wireformat

import (
	"bytes"
	"strconv"
	"strings"

	"shelfproxy/internal/testbed/model"
)

// EncodeHTTP encodes the response of the origin to the request with the given id. The encoding is corrupt if the response
// has a Corruption. last says that the connection ends after the response.
func EncodeHTTP(id string, response model.Response) (encoded []byte, last bool) {
	encoded = encodeIntactHTTP(id, response)
	switch response.Corruption {
	case model.CorruptNoise:
		return []byte("\x00\xff\x13noise\r\n\r\n"), false
	case model.CorruptEndlessLine:
		return []byte("HTTP/1.1 200 " + strings.Repeat("x", 200)), false
	case model.CorruptLength:
		return []byte("HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nshort"), false
	case model.CorruptHugeValue:
		return []byte("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\n"), false
	case model.CorruptDuplicate:
		return append(encoded, encoded...), false
	case model.CorruptTrailingNoise:
		return append(encoded, "\x00noise"...), false
	case model.CorruptLoadReport:
		return bytes.Replace(encoded, []byte("X-Load: latency_ms="), []byte("X-Load: =,=latency"), 1), false
	}
	return encoded, false
}

// encodeIntactHTTP encodes the response of the origin without corruption.
func encodeIntactHTTP(id string, response model.Response) []byte {
	load := "X-Load: " + encodeLoad(response.Load) + "\r\n"
	switch response.Outcome {
	case model.Pong:
		body := ""
		if response.HasLoad {
			body = encodeLoad(response.Load)
		}
		return HTTPText("200 OK", load, body, false)
	case model.Rejected:
		return HTTPText("503 Service Unavailable", load+"X-Not-Run: 1\r\n", "", false)
	case model.Failed:
		return HTTPText("500 Internal Server Error", load, "", false)
	case model.Written: // without Size, so that the receipt is not padded to the size of the record
		receipt := EncodeValue(id, model.Copy{Key: response.Copy.Key, Version: response.Copy.Version})
		return HTTPText("200 OK", load, string(receipt), false)
	default:
		return HTTPText("200 OK", load, string(EncodeValue(id, response.Copy)), false)
	}
}

// HTTPText returns an HTTP/1.1 response. headers holds complete header lines. If last is true, a header says that the
// connection is closed after the response.
func HTTPText(status, headers, body string, last bool) []byte {
	if last {
		headers += "Connection: close\r\n"
	}
	return []byte("HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}
