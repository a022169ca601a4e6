package rollout

import (
	"errors"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"shelfproxy/internal/fleet/agreement"
	"shelfproxy/internal/fleet/datagram"
)

func TestDecodedHeartbeatEqualsEncoded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawHeartbeat(t)
		data := want.encode()
		if len(data) > datagram.MaxSize {
			t.Fatalf("the heartbeat has %d bytes, want at most %d", len(data), datagram.MaxSize)
		}
		if got, err := decode(data); err != nil || !reflect.DeepEqual(got, message(want)) {
			t.Fatalf("decoded as %+v, %v; want %+v", got, err, want)
		}
		const checksumSize = 4
		fields := data[:len(data)-checksumSize]
		later := datagram.Seal(append(slices.Clone(fields), 1, 2, 3)) // the bytes 1, 2, 3 stand for fields that a later release may add
		if got, err := decode(later); err != nil || !reflect.DeepEqual(got, message(want)) {
			t.Fatalf("of a later release decoded as %+v, %v; want %+v", got, err, want)
		}
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if got, err := decode(data); !errors.Is(err, agreement.ErrCorruptMessage) {
			t.Fatalf("with a flipped bit decoded as %+v, %v; want ErrCorruptMessage", got, err)
		}
	})
}

func drawHeartbeat(t *rapid.T) heartbeat {
	beat := heartbeat{
		Incarnation:  rapid.Uint64().Draw(t, "incarnation"),
		Sequence:     rapid.Uint32().Draw(t, "sequence"),
		State:        State(rapid.IntRange(0, int(numStates)-1).Draw(t, "state")),
		IsAbstaining: rapid.Bool().Draw(t, "abstaining"),
		LastDone:     rapid.Uint32().Draw(t, "last done"),
		Halt:         haltState{Epoch: rapid.Uint16().Draw(t, "epoch"), IsHalted: true, Reason: ReasonNodeUnhealthy, Node: 3},
		Order:        releaseOrder{Epoch: 1, Release: 2},
		Health:       health{IsKnown: true, Failed: rapid.Byte().Draw(t, "failed"), Slow: rapid.Byte().Draw(t, "slow")},
	}
	for range rapid.IntRange(0, maxGrants).Draw(t, "grants") {
		beat.Grants = append(beat.Grants, grant{
			Holder:      rapid.Uint16().Draw(t, "holder"),
			Incarnation: rapid.Uint64().Draw(t, "holder's incarnation"),
			Request:     rapid.Uint32().Draw(t, "request"),
			Slot:        1, ZoneSlot: 2, Zone: 3,
		})
	}
	return beat
}

func FuzzDecode(f *testing.F) {
	f.Add(heartbeat{Grants: []grant{{Holder: 1}}}.encode())
	f.Add(slotRequest{Incarnation: 1}.encode())
	f.Add(slotAnswer{Reason: ReasonSlotTaken}.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		core := newTestCore(t, testConfig(0, 3, 1))
		core.Step(0, MessageReceived{1, data})
	})
}
