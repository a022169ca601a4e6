package wireformat

import (
	"strings"

	"github.com/tidwall/redcon"

	"shelfproxy/internal/testbed/model"
)

// respNull is the RESP2 encoding of a null bulk string.
const respNull = "$-1\r\n"

// EncodeRESP encodes the response of a cache server to the request with the given id. The encoding is corrupt if the
// response has a Corruption.
func EncodeRESP(id string, response model.Response) []byte {
	encoded := encodeIntactRESP(id, response)
	switch response.Corruption {
	case model.CorruptNoise:
		return []byte("\x00\xff\x13noise\r\n\x80\x80")
	case model.CorruptEndlessLine:
		return []byte("*" + strings.Repeat("9", 200))
	case model.CorruptLength:
		return []byte("*3\r\n$5\r\nlonger than it says\r\n$3\r\nhit\r\n$-1\r\n")
	case model.CorruptHugeValue:
		return []byte("*3\r\n$3221225472\r\n")
	case model.CorruptDuplicate:
		return append(encoded, encoded...)
	case model.CorruptTrailingNoise:
		return append(encoded, "\x00noise"...)
	case model.CorruptLoadReport: // the load report replaces the null at the end
		if response.Outcome == model.Hit || response.Outcome == model.Miss {
			return append(encoded[:len(encoded)-len(respNull)], "$7\r\n=,=\x00 ==\r\n"...)
		}
	}
	return encoded
}

// encodeIntactRESP encodes the response of a cache server without corruption.
func encodeIntactRESP(id string, response model.Response) []byte {
	switch response.Outcome {
	case model.Pong:
		if response.HasLoad {
			return redcon.AppendBulkString(nil, encodeLoad(response.Load))
		}
		return redcon.AppendString(nil, "PONG")
	case model.Rejected:
		return redcon.AppendError(nil, "BUSY")
	case model.Failed:
		return redcon.AppendError(nil, "ERR failed")
	case model.Miss:
		encoded := redcon.AppendArray(nil, 3)
		encoded = redcon.AppendNull(encoded)
		encoded = redcon.AppendBulkString(encoded, "miss")
		return redcon.AppendNull(encoded)
	default:
		encoded := redcon.AppendArray(nil, 3)
		encoded = redcon.AppendBulk(encoded, EncodeValue(id, response.Copy))
		encoded = redcon.AppendBulkString(encoded, "hit")
		return redcon.AppendNull(encoded)
	}
}
