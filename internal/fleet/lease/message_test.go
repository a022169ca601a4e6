package lease

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"shelfproxy/internal/fleet/agreement"
)

func TestDecodedMessageEqualsEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawMessage(t)
		data := want.encode()
		if got, err := decode(data); err != nil || got != want {
			t.Fatalf("decoded as %+v, %v; want %+v", got, err, want)
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err := decode(data); !errors.Is(err, agreement.ErrCorruptMessage) {
			t.Fatalf("with a flipped bit decoded as %+v, %v; want ErrCorruptMessage", got, err)
		}
	})
}

func drawMessage(t *rapid.T) message {
	kind := rapid.ByteRange(kindRequest, kindAnnouncement).Draw(t, "kind")
	common := header{PeerListID: rapid.Uint32().Draw(t, "peer list"), ResourceID: rapid.Uint32().Draw(t, "resource"),
		Token: rapid.Uint64().Draw(t, "token")}
	switch kind {
	case kindRequest:
		return leaseRequest{header: common, Round: 7, IsHolder: true}
	case kindAnswer:
		return leaseAnswer{header: common, Round: 7, Reason: ReasonTokenSuperseded, HighestToken: rapid.Uint64().Draw(t, "highest token"),
			TakenForMS: rapid.Uint32().Draw(t, "taken for")}
	case kindRelease:
		return leaseRelease{common}
	default:
		return announcement{common}
	}
}

func FuzzReceivedDatagram(f *testing.F) {
	f.Add(leaseRequest{header: header{Token: 1}}.encode())
	f.Add(leaseAnswer{header: header{Token: 1}}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		core := newTestCore(t, Config{Nodes: 3, Resources: []string{"a"}, LeaseDuration: time.Second})
		core.Step(0, MessageReceived{1, data})
	})
}
