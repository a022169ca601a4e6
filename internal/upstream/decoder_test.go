package upstream_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
	"shelfproxy/internal/upstream/resp"
)

// TestDecoders feeds answers in pieces of any size, cut anywhere, to both decoders. Each comes out whole and in order,
// whatever its length up to the most; a longer one is garbage at once, one for which there is no room is told apart, and all
// that was taken of the room is given back.
func TestDecoders(t *testing.T) {
	const most, room = 500 << 10, 2 << 20
	protocols := map[string]struct {
		codec func(*upstream.ResponseMemory) upstream.Codec
		text  func(value string) string
	}{
		"target": {func(r *upstream.ResponseMemory) upstream.Codec { return resp.Codec{Memory: r} },
			func(v string) string { return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$3\r\nhit\r\n$-1\r\n", len(v), v) }},
		"origin": {func(r *upstream.ResponseMemory) upstream.Codec { return origin.Codec{Memory: r} },
			func(v string) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(v), v)
			}},
		"origin, chunked": {func(r *upstream.ResponseMemory) upstream.Codec { return origin.Codec{Memory: r} },
			func(v string) string {
				return fmt.Sprintf("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(v), v)
			}},
	}
	for name, p := range protocols {
		rng := rand.New(rand.NewPCG(1, 1))
		r := upstream.NewResponseMemory(room, most)
		d := p.codec(r).NewDecoder()
		var wire bytes.Buffer
		var want []string
		for _, n := range []int{1, 10, 4000, 16 << 10, 16<<10 - 30, 64 << 10, 64<<10 + 1, 399_998, most, 3, 70 << 10, 12} {
			want = append(want, strings.Repeat(string(rune('a'+len(want))), n))
			wire.WriteString(p.text(want[len(want)-1]))
		}
		var got []string
		for wire.Len() > 0 {
			piece := wire.Next(1 + rng.IntN([]int{3, 5000, 100_000}[rng.IntN(3)]))
			for len(piece) > 0 {
				n := copy(d.ReadBuffer(), piece)
				piece = piece[n:]
				d.BytesRead(n)
				for d.Buffered() > 0 {
					a, ok, err := d.NextResponse(false)
					if err != nil {
						t.Fatalf("%s: answer %d: %v", name, len(got), err)
					}
					if !ok {
						break
					}
					got = append(got, string(a.Value))
				}
			}
		}
		if strings.Join(got, " ") != strings.Join(want, " ") {
			t.Errorf("%s: %d answers came out of %d, or not as they were sent", name, len(got), len(want))
		}
		if d.Release(); r.Available() != room {
			t.Errorf("%s: %d bytes of the room are not given back", name, room-r.Available())
		}
	}
	for name, test := range map[string]struct {
		codec upstream.Codec
		text  string
		want  error
	}{
		"target, too long":        {resp.Codec{Memory: upstream.NewResponseMemory(room, most)}, "*3\r\n$3221225472\r\nx", upstream.ErrMalformedResponse},
		"target, a little longer": {resp.Codec{Memory: upstream.NewResponseMemory(room, most)}, fmt.Sprintf("*3\r\n$%d\r\nx", most+1), upstream.ErrMalformedResponse},
		"target, no room":         {resp.Codec{Memory: upstream.NewResponseMemory(100_000, most)}, "*3\r\n$200000\r\nx", upstream.ErrResponseTooLarge},
		"origin, too long":        {origin.Codec{Memory: upstream.NewResponseMemory(room, most)}, "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nx", upstream.ErrMalformedResponse},
		"origin, no room":         {origin.Codec{Memory: upstream.NewResponseMemory(100_000, most)}, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\nx", upstream.ErrResponseTooLarge},
		"origin, noise":           {origin.Codec{}, "\x00\xff", upstream.ErrMalformedResponse},
		"target, noise":           {resp.Codec{}, "\x00\xff", upstream.ErrMalformedResponse},
	} {
		d := test.codec.NewDecoder()
		d.BytesRead(copy(d.ReadBuffer(), test.text))
		if _, _, err := d.NextResponse(false); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
}
