package upstream_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
	"shelfproxy/internal/upstream/resp"
)

const (
	testMaxResponse    = 500 << 10
	testResponseMemory = 2 << 20
)

// decoderProtocol is one encoding of responses, with the codec that decodes it.
type decoderProtocol struct {
	name     string
	newCodec func(*upstream.ResponseMemory) upstream.Codec
	encode   func(value string) string // returns the bytes of a response with the value
}

var decoderProtocols = []decoderProtocol{
	{"cache server", func(memory *upstream.ResponseMemory) upstream.Codec { return resp.Codec{Memory: memory} },
		func(value string) string {
			return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(value), value)
		}},
	{"origin", func(memory *upstream.ResponseMemory) upstream.Codec { return origin.Codec{Memory: memory} },
		func(value string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(value), value)
		}},
	{"origin, chunked", func(memory *upstream.ResponseMemory) upstream.Codec { return origin.Codec{Memory: memory} },
		func(value string) string {
			return fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(value), value)
		}},
}

// TestDecodersReturnResponsesCutAnywhere checks that responses that arrive in pieces of any size are returned complete and in
// order, with lengths up to the largest allowed, and that all reserved response memory is released.
func TestDecodersReturnResponsesCutAnywhere(t *testing.T) {
	for _, protocol := range decoderProtocols {
		t.Run(protocol.name, func(t *testing.T) {
			memory := upstream.NewResponseMemory(testResponseMemory, testMaxResponse)
			decoder := protocol.newCodec(memory).NewDecoder()
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
			if decoder.Release(); memory.Available() != testResponseMemory {
				t.Errorf("%d bytes of response memory are available in the end, want %d", memory.Available(), testResponseMemory)
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
					break
				}
				values = append(values, string(response.Value))
			}
		}
	}
	return values
}

// TestDecodersRejectResponsesTheyCanNotTake checks two errors. A response that is longer than allowed is malformed as soon as its
// length is known. A response that exceeds the available response memory has an error of its own.
func TestDecodersRejectResponsesTheyCanNotTake(t *testing.T) {
	ample := upstream.NewResponseMemory(testResponseMemory, testMaxResponse)
	scarce := upstream.NewResponseMemory(100_000, testMaxResponse)
	for _, test := range []struct {
		name  string
		codec upstream.Codec
		input string
		want  error
	}{
		{"cache server, too long", resp.Codec{Memory: ample}, "*3\r\n$3221225472\r\nx", upstream.ErrMalformedResponse},
		{"cache server, a little too long", resp.Codec{Memory: ample}, fmt.Sprintf("*3\r\n$%d\r\nx", testMaxResponse+1), upstream.ErrMalformedResponse},
		{"cache server, no memory", resp.Codec{Memory: scarce}, "*3\r\n$200000\r\nx", upstream.ErrResponseTooLarge},
		{"cache server, noise", resp.Codec{}, "\x00\xff", upstream.ErrMalformedResponse},
		{"origin, too long", origin.Codec{Memory: ample}, "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nx", upstream.ErrMalformedResponse},
		{"origin, no memory", origin.Codec{Memory: scarce}, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nx", upstream.ErrResponseTooLarge},
		{"origin, noise", origin.Codec{}, "\x00\xff", upstream.ErrMalformedResponse},
	} {
		t.Run(test.name, func(t *testing.T) {
			decoder := test.codec.NewDecoder()
			decoder.BytesRead(copy(decoder.ReadBuffer(), test.input))
			if _, _, err := decoder.NextResponse(false); !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
		})
	}
}
