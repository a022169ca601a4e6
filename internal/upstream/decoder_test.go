package upstream_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"weak"

	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
	"shelfproxy/internal/upstream/resp"
)

const testMaxResponse = 500 << 10

// decoderProtocol is one encoding of responses, with the codec that decodes it.
type decoderProtocol struct {
	name     string
	newCodec func(maxValue int) upstream.Codec
	encode   func(value string) string // returns the bytes of a response with the value
}

var decoderProtocols = []decoderProtocol{
	{"cache server", func(maxValue int) upstream.Codec { return resp.Codec{MaxValue: maxValue} },
		func(value string) string {
			return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
		}},
	{"origin", func(maxValue int) upstream.Codec { return origin.Codec{MaxValue: maxValue} },
		func(value string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value)
		}},
	{"origin, chunked", func(maxValue int) upstream.Codec { return origin.Codec{MaxValue: maxValue} },
		func(value string) string {
			return fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(value), value)
		}},
}

// TestDecodersReturnResponsesCutAnywhere checks that responses that arrive in pieces of any size are returned complete and in
// order, with lengths up to the largest allowed, and that the memory for a long one is asked for before its bytes have come.
func TestDecodersReturnResponsesCutAnywhere(t *testing.T) {
	for _, protocol := range decoderProtocols {
		t.Run(protocol.name, func(t *testing.T) {
			decoder := protocol.newCodec(testMaxResponse).NewDecoder()
			var stream bytes.Buffer
			var want []string
			for _, size := range []int{1, 10, 4000, 16 << 10, 16<<10 - 30, 64 << 10, 64<<10 + 1, 399_998, testMaxResponse, 3, 70 << 10, 12} {
				value := strings.Repeat(string(rune('a'+len(want))), size)
				want = append(want, value)
				stream.WriteString(protocol.encode(value))
			}
			got := decodeInPieces(t, decoder, &stream)
			if !slices.Equal(got, want) {
				t.Errorf("got %d responses, want %d, each with the value that was sent", len(got), len(want))
			}
			if needed := decoder.NeededMemory(); needed != 0 {
				t.Errorf("memory is asked for %d bytes after the last response, want 0", needed)
			}
		})
	}
}

// decodeInPieces passes the stream to the decoder in pieces of random sizes, and returns the values of the responses.
func decodeInPieces(t *testing.T, decoder upstream.Decoder, stream *bytes.Buffer) (values []string) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 1))
	for stream.Len() > 0 {
		piece := stream.Next(1 + random.IntN([]int{3, 5000, 100_000}[random.IntN(3)]))
		for len(piece) > 0 {
			n := copy(decoder.ReadBuffer(), piece)
			piece = piece[n:]
			decoder.BytesRead(n)
			for decoder.Buffered() > 0 {
				response, ok, err := decoder.NextResponse(false)
				if err != nil {
					t.Fatalf("response %d: got error %v, want none", len(values), err)
				}
				if !ok {
					checkNeededMemory(t, decoder)
					break
				}
				values = append(values, string(response.Value))
			}
		}
	}
	return values
}

// checkNeededMemory checks that the memory that the decoder asks for holds what has arrived, if that is more than a read buffer.
func checkNeededMemory(t *testing.T, decoder upstream.Decoder) {
	t.Helper()
	const readBuffer = 16 << 10
	if buffered, needed := decoder.Buffered(), decoder.NeededMemory(); buffered > readBuffer && needed < buffered {
		t.Errorf("%d bytes of a response have arrived and memory is asked for %d, want as many at least", buffered, needed)
	}
}

// TestDecodersRejectResponsesThatAreTooLong checks that a response that is longer than allowed is malformed as soon as its length
// is known, as noise is.
func TestDecodersRejectResponsesThatAreTooLong(t *testing.T) {
	for _, test := range []struct {
		name  string
		codec upstream.Codec
		input string
	}{
		{"cache server, too long", resp.Codec{MaxValue: testMaxResponse}, "*3\r\n$3221225472\r\nx"},
		{"cache server, a little too long", resp.Codec{MaxValue: testMaxResponse}, fmt.Sprintf("*3\r\n$%d\r\nx", testMaxResponse+1)},
		{"cache server, noise", resp.Codec{}, "\x00\xff"},
		{"origin, too long", origin.Codec{MaxValue: testMaxResponse}, "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nx"},
		{"origin, noise", origin.Codec{}, "\x00\xff"},
	} {
		t.Run(test.name, func(t *testing.T) {
			decoder := test.codec.NewDecoder()
			decoder.BytesRead(copy(decoder.ReadBuffer(), test.input))
			if _, _, err := decoder.NextResponse(false); !errors.Is(err, upstream.ErrMalformedResponse) {
				t.Errorf("got error %v, want %v", err, upstream.ErrMalformedResponse)
			}
		})
	}
}

// Guards against values that stay in memory for as long as the connection on which they arrived is idle.
func TestDecodersRetainNoValue(t *testing.T) {
	for _, protocol := range decoderProtocols {
		decoder := protocol.newCodec(testMaxResponse).NewDecoder()
		retained := receiveWeakly(t, decoder, protocol.encode(strings.Repeat("v", 70<<10)))
		for range 10 { // a value that is not referenced may survive the first collection
			runtime.GC()
		}
		if retained.Value() != nil {
			t.Errorf("%s: the decoder retains a value that it has returned, want it free", protocol.name)
		}
		runtime.KeepAlive(decoder)
	}
}

// receiveWeakly passes a response to the decoder and returns a weak pointer to its value.
func receiveWeakly(t *testing.T, decoder upstream.Decoder, text string) weak.Pointer[byte] {
	t.Helper()
	for text != "" {
		n := copy(decoder.ReadBuffer(), text)
		text = text[n:]
		decoder.BytesRead(n)
		response, ok, err := decoder.NextResponse(false)
		if err != nil {
			t.Fatalf("got error %v, want none", err)
		}
		if ok {
			return weak.Make(&response.Value[0])
		}
	}
	t.Fatal("got no response, want one")
	return weak.Pointer[byte]{}
}
