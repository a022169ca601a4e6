package lease

import (
	"encoding/json"
	"testing"
	"time"

	"shelfproxy/internal/golden"
)

// TestGoldenDatagrams: the datagrams of earlier releases are read, and the same bytes are written.
func TestGoldenDatagrams(t *testing.T) {
	messages := []struct {
		name string
		m    message
	}{
		{"ask", message{kind: kindAsk, fleet: 0x01020304, duty: 0x11121314, token: 0x2122232425262728, round: 7, flags: flagHeld}},
		{"ask_new", message{kind: kindAsk, fleet: 1, duty: 2, token: 3, round: 4}},
		{"answer_granted", message{kind: kindAnswer, fleet: 1, duty: 2, token: 3, round: 4, why: ReasonGranted}},
		{"answer_taken", message{kind: kindAnswer, fleet: 1, duty: 2, token: 3, round: 4, why: ReasonTaken, high: 99, left: 1500}},
		{"answer_moved", message{kind: kindAnswer, fleet: 1, duty: 2, token: 3, round: 4, why: ReasonPeersChanged, high: 1 << 40, left: 1}},
		{"release", message{kind: kindRelease, fleet: 1, duty: 2, token: 3}},
		{"word", message{kind: kindWord, fleet: 1, duty: 2, token: 3}},
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
			t.Errorf("%s: read as %+v, %v; want %+v", test.name, got, err, test.m)
		}
	}
}

// TestGoldenStatus: operators' scripts read the status as JSON, and the words of reasons and events from the log.
func TestGoldenStatus(t *testing.T) {
	var lines golden.Lines
	lines.Text("held", mustJSON(t, Status{Resource: "prober", Holder: 2, Token: 77, IsHeldHere: true, Since: time.Second, State: "held"}))
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
