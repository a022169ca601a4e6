package rollout

import (
	"encoding/json"
	"reflect"
	"testing"

	"shelfproxy/internal/golden"
)

// TestGoldenDatagrams checks that the datagrams of earlier releases are decoded, and that their messages are encoded to the
// same bytes.
func TestGoldenDatagrams(t *testing.T) {
	full := heartbeat{Incarnation: 0x0102030405060708, Sequence: 9, State: numStates - 1, IsAbstaining: true, LastDone: 10, Release: 0x0a0b0c0d,
		Halt: haltState{Epoch: 3, IsHalted: true, Reason: numReasons - 1, Node: 4}, Order: releaseOrder{Epoch: 5, Release: 0x1a1b1c1d},
		Health: health{IsKnown: true, Failed: 6, Slow: 7},
		Grants: []grant{{Holder: 1, Incarnation: 2, Request: 3, Slot: 4, ZoneSlot: 5, Zone: 6},
			{Holder: 0xfffe, Incarnation: 1 << 60, Request: 1 << 30, Slot: 255, ZoneSlot: 254, Zone: 0xabcd}}}
	messages := []struct {
		name string
		m    message
	}{
		{"beacon", full},
		{"beacon_least", heartbeat{Incarnation: 1, Sequence: 1}},
		{"ask", slotRequest{Incarnation: 1, Number: 2, Slot: 3, ZoneSlot: 4, Zone: 0x1234}},
		{"answer_granted", slotAnswer{Incarnation: 1, Number: 2, Reason: ReasonGranted}},
		{"answer_refused", slotAnswer{Incarnation: 1, Number: 2, Reason: numReasons - 1}},
	}
	var lines golden.Lines
	for _, test := range messages {
		lines.Hex(test.name, test.m.encode())
	}
	golden.Check(t, "datagrams.golden", lines.Bytes())
	file := golden.Read(t, "datagrams.golden")
	for _, test := range messages {
		if got, err := decode(golden.Hex(t, file, test.name)); err != nil || !reflect.DeepEqual(got, test.m) {
			t.Errorf("%s: decoded as %+v, %v; want %+v", test.name, got, err, test.m)
		}
	}
}

// TestGoldenStatus guards the JSON form of the status, which operators' scripts read.
func TestGoldenStatus(t *testing.T) {
	var lines golden.Lines
	for _, test := range []struct {
		name   string
		status Status
	}{
		{"halted", Status{Node: 1, State: "fit", WantsDrain: true, Halted: "failed", HaltedBy: 3, Ready: 5, Budget: 2,
			Out: []NodeStatus{{Node: 3, State: "out", Slot: 1}, {Node: 4, State: "silent", Slot: -1}}}},
		{"quiet", Status{HaltedBy: -1}},
	} {
		text, err := json.Marshal(test.status)
		if err != nil {
			t.Fatal(err)
		}
		lines.Text(test.name, string(text))
	}
	golden.Check(t, "status.golden", lines.Bytes())
}
