package membership

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"shelfproxy/internal/fleet/datagram"
)

// TestMessageRoundTrip: decode returns the message that was encoded, and rejects the datagram if any single bit is flipped.
func TestMessageRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := anyMessage(t)
		data := want.encode()
		if got, err := decode(data); err != nil || fmt.Sprint(got) != fmt.Sprint(want) || len(data) > datagram.MaxSize {
			t.Fatalf("got %v, %v from %d bytes, want %v", got, err, len(data), want)
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err := decode(data); err == nil {
			t.Fatalf("a corrupt datagram was decoded as %v", got)
		}
	})
}

func anyMessage(t *rapid.T) message {
	m := message{
		kind:     rapid.ByteRange(kindPing, kindPingRequest).Draw(t, "kind"),
		sequence: rapid.Uint32().Draw(t, "sequence"),
		target:   rapid.Uint16().Draw(t, "target"),
	}
	for range rapid.IntRange(0, maxUpdates).Draw(t, "updates") {
		m.updates = append(m.updates, update{
			node:        rapid.Uint16().Draw(t, "node"),
			incarnation: minIncarnation + rapid.Uint64Range(0, maxIncarnationOffset).Draw(t, "incarnation"),
			refutations: rapid.Byte().Draw(t, "refutations"),
			state:       Alive,
		})
	}
	return m
}
