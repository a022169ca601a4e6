package upstream_test

import (
	"fmt"
	"testing"

	"shelfproxy/internal/upstream"
	"shelfproxy/internal/upstream/origin"
	"shelfproxy/internal/upstream/resp"
)

// FuzzDecoders: whatever a server sends, and wherever it is cut, a decoder neither panics nor goes round in circles, the answers are
// those of the same bytes in one piece, and what was taken of the room is given back.
func FuzzDecoders(f *testing.F) {
	for _, s := range []string{"*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-1\r\n+PONG\r\n", "*3\r\n$-1\r\n$4\r\nmiss\r\n$9\r\nqueue=2,x\r\n", "-ERR failed util=0.6\r\n-BUSY\r\n",
		"*3\r\n$99999\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: queue=1\r\n\r\nabHTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nto the end"} {
		f.Add([]byte(s), uint8(3), false)
		f.Add([]byte(s), uint8(1), true)
	}
	f.Fuzz(func(t *testing.T, text []byte, piece uint8, http bool) {
		const all = 1 << 20
		room := upstream.NewResponseMemory(all, 128<<10)
		codec := upstream.Codec(resp.Codec{Memory: room})
		if http {
			codec = origin.Codec{Memory: room}
		}
		play := func(piece int) (out []string) {
			d := codec.NewDecoder()
			defer func() {
				if d.Release(); room.Available() != all {
					t.Fatalf("%d bytes of the room are not given back", all-room.Available())
				}
			}()
			take := func(ended bool) bool {
				for range len(text) + 1 {
					if d.Buffered() == 0 {
						return true
					}
					a, ok, err := d.NextResponse(ended)
					if err != nil {
						out = append(out, err.Error())
						return false
					}
					if !ok {
						return true
					}
					out = append(out, fmt.Sprintf("%v %q %q %v", a.Outcome, a.Value, a.LoadReport, a.ConnectionClose))
					if a.ConnectionClose { // what follows is nothing to anybody
						return false
					}
				}
				t.Fatal("more answers than bytes")
				return false
			}
			for rest := text; len(rest) > 0; {
				n := copy(d.ReadBuffer(), rest[:min(piece, len(rest))])
				if n == 0 {
					t.Fatal("no space")
				}
				rest = rest[n:]
				if d.BytesRead(n); !take(false) {
					return out
				}
			}
			take(true)
			return out
		}
		if whole, cut := fmt.Sprint(play(len(text)+1)), fmt.Sprint(play(int(piece)+1)); whole != cut {
			t.Fatalf("in one piece %s, in pieces of %d %s", whole, int(piece)+1, cut)
		}
	})
}
