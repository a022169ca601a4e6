package lease

import (
	"encoding/json"
	"testing"
	"time"

	"shelfproxy/internal/golden"
)

// TestGoldenDatagrams checks that the datagrams of earlier releases are decoded, and that their messages are encoded to the
// same bytes.
func TestGoldenDatagrams(t *testing.T) {
	common := header{PeerListID: 1, ResourceID: 2, Token: 3}
	messages := []struct {
		name string
		m    message
	}{
		{"ask", leaseRequest{header: header{PeerListID: 0x01020304, ResourceID: 0x11121314, Token: 0x2122232425262728}, Round: 7, IsHolder: true}},
		{"ask_new", leaseRequest{header: common, Round: 4}},
		{"answer_granted", leaseAnswer{header: common, Round: 4, Reason: ReasonGranted}},
		{"answer_taken", leaseAnswer{header: common, Round: 4, Reason: ReasonTaken, HighestToken: 99, TakenForMS: 1500}},
		{"answer_moved", leaseAnswer{header: common, Round: 4, Reason: ReasonPeersChanged, HighestToken: 1 << 40, TakenForMS: 1}},
		{"release", leaseRelease{common}},
		{"word", announcement{common}},
	}
	var lines golden.Lines
	for _, test := range messages {
		lines.Hex(test.name, test.m.encode())
	}
	lines.Text("name", string(json.RawMessage(mustJSON(t, HashName("prober")))))
	golden.Check(t, "datagrams.golden", lines.Bytes())
	file := golden.Read(t, "datagrams.golden")
	for _, test := range messages {
		if got, err := decode(golden.Hex(t, file, test.name)); err != nil || got != test.m {
			t.Errorf("%s: decoded as %+v, %v; want %+v", test.name, got, err, test.m)
		}
	}
}

// TestGoldenStatus guards the JSON form of the status, which operators' scripts read.
func TestGoldenStatus(t *testing.T) {
	var lines golden.Lines
	lines.Text("held", mustJSON(t, Status{Resource: "prober", Holder: 2, Token: 77, IsHeldHere: true, HeldFor: time.Second, State: "held"}))
	lines.Text("idle", mustJSON(t, Status{Resource: "caller", Holder: -1, State: "idle"}))
	golden.Check(t, "status.golden", lines.Bytes())
}

func mustJSON(t *testing.T, v any) string {
	t.Helper()
	text, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
