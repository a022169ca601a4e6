package rollout

import (
	"encoding/json"
	"reflect"
	"testing"

	"shelfproxy/internal/golden"
)

// TestGoldenDatagrams: the datagrams of earlier releases are read, and the same bytes are written.
func TestGoldenDatagrams(t *testing.T) {
	full := beacon{Start: 0x0102030405060708, Count: 9, State: states - 1, Learns: true, Done: 10, Release: 0x0a0b0c0d,
		Halt: halt{Epoch: 3, On: true, Reason: reasons - 1, By: 4}, Order: order{Epoch: 5, Release: 0x1a1b1c1d},
		Health: health{Known: true, Failed: 6, Slow: 7},
		Table: []entry{{Holder: 1, Start: 2, Ask: 3, Slot: 4, Zone: 5, Name: 6},
			{Holder: 0xfffe, Start: 1 << 60, Ask: 1 << 30, Slot: 255, Zone: 254, Name: 0xabcd}}}
	messages := []struct {
		name string
		m    interface{ encode() []byte }
	}{
		{"beacon", full},
		{"beacon_least", beacon{Start: 1, Count: 1}},
		{"ask", ask{Start: 1, Ask: 2, Slot: 3, Zone: 4, Name: 0x1234}},
		{"answer_granted", answer{Start: 1, Ask: 2, Reason: ReasonGranted}},
		{"answer_refused", answer{Start: 1, Ask: 2, Reason: reasons - 1}},
	}
	var lines golden.Lines
	for _, test := range messages {
		lines.Hex(test.name, test.m.encode())
	}
	golden.Check(t, "datagrams.golden", lines.Bytes())
	file := golden.Read(t, "datagrams.golden")
	for _, test := range messages {
		if got, err := decode(golden.Hex(t, file, test.name)); err != nil || !reflect.DeepEqual(got, test.m) {
			t.Errorf("%s: read as %+v, %v; want %+v", test.name, got, err, test.m)
		}
	}
}

// TestGoldenStatus: operators' scripts read the status as JSON.
func TestGoldenStatus(t *testing.T) {
	var lines golden.Lines
	for _, test := range []struct {
		name   string
		status Status
	}{
		{"halted", Status{Node: 1, State: "fit", WantsDrain: true, Halted: "failed", HaltedBy: 3, Ready: 5, Budget: 2,
			Out: []StatusNode{{Node: 3, State: "out", Slot: 1}, {Node: 4, State: "silent", Slot: -1}}}},
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
