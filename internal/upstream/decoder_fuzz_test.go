package upstream_test

import (
	"fmt"
	"slices"
	"testing"

	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
	"shelfproxy/internal/upstream/resp"
)

// FuzzDecoders checks that a decoder neither panics nor loops forever, whatever a server sends and wherever the bytes are cut.
// The responses must be those of the same bytes in one piece.
func FuzzDecoders(f *testing.F) {
	for _, seed := range []string{"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n+PONG\r\n", "*3\r\n$-1\r\n$4\r\nmiss\r\n$9\r\nqueue=2,x\r\n", "-ERR failed util=0.6\r\n-BUSY\r\n",
		"*3\r\n$99999\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: queue=1\r\n\r\nabHTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nto the end"} {
		f.Add([]byte(seed), uint8(3), false)
		f.Add([]byte(seed), uint8(1), true)
	}
	f.Fuzz(func(t *testing.T, input []byte, piece uint8, isHTTP bool) {
		const maxValue = 128 << 10
		codec := upstream.Codec(resp.Codec{MaxValue: maxValue})
		if isHTTP {
			codec = origin.Codec{MaxValue: maxValue}
		}
		decode := func(pieceSize int) []string { return describeResponses(t, codec.NewDecoder(), input, pieceSize) }
		pieceSize := int(piece) + 1
		inOnePiece, inPieces := decode(len(input)+1), decode(pieceSize)
		if !slices.Equal(inPieces, inOnePiece) {
			t.Fatalf("in pieces of %d got %s, want %s as in one piece", pieceSize, inPieces, inOnePiece)
		}
	})
}

// describeResponses passes the input to the decoder in pieces, and returns a text for each response and each error.
func describeResponses(t *testing.T, decoder upstream.Decoder, input []byte, pieceSize int) (responses []string) {
	t.Helper()
	// decodeBuffered decodes the complete responses and reports whether the connection stays open.
	decodeBuffered := func(ended bool) bool {
		for range len(input) + 1 {
			if decoder.Buffered() == 0 {
				return true
			}
			response, ok, err := decoder.NextResponse(ended)
			if err != nil {
				responses = append(responses, err.Error())
				return false
			}
			if !ok {
				return true
			}
			responses = append(responses, fmt.Sprintf("%v %q %q %v", response.Outcome, response.Value, response.LoadReport, response.ConnectionClose))
			if response.ConnectionClose { // the connection is closed, whatever follows
				return false
			}
		}
		t.Fatalf("got more responses than the %d bytes of the input", len(input))
		return false
	}
	for rest := input; len(rest) > 0; {
		n := copy(decoder.ReadBuffer(), rest[:min(pieceSize, len(rest))])
		if n == 0 {
			t.Fatal("got an empty read buffer, want space for the next bytes")
		}
		rest = rest[n:]
		if decoder.BytesRead(n); !decodeBuffered(false) {
			return responses
		}
	}
	decodeBuffered(true)
	return responses
}
