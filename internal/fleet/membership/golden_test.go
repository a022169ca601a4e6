package membership

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"shelfproxy/internal/golden"
)

// TestGoldenDatagrams: datagrams recorded from earlier releases can be decoded, and their messages are encoded to the same bytes.
func TestGoldenDatagrams(t *testing.T) {
	var all []update
	for state := Unknown + 1; state < numStates; state++ {
		all = append(all, update{node: uint16(state) * 300, incarnation: minIncarnation + uint64(state)<<33 + 5, refutations: uint8(state) + 7, state: state})
	}
	messages := []struct {
		name    string
		message message
	}{
		{"ping", message{kind: kindPing, peerListID: 0x01020304, sequence: 5, updates: all}},
		{"ping_alone", message{kind: kindPing, peerListID: 1, sequence: 2}},
		{"ack", message{kind: kindAck, peerListID: 1, sequence: 2, updates: all[:1]}},
		{"ask", message{kind: kindPingRequest, peerListID: 1, sequence: 2, target: 0x1234}},
	}
	var lines golden.Lines
	for _, test := range messages {
		lines.Hex(test.name, test.message.encode())
	}
	golden.Check(t, "datagrams.golden", lines.Bytes())
	file := golden.Read(t, "datagrams.golden")
	for _, test := range messages {
		if got, err := decode(golden.Hex(t, file, test.name)); err != nil || !reflect.DeepEqual(got, test.message) {
			t.Errorf("%s: decoded as %+v, %v; want %+v", test.name, got, err, test.message)
		}
	}
}

// TestGoldenStatus: the JSON of Member stays the same, because operators' scripts parse it.
func TestGoldenStatus(t *testing.T) {
	var lines golden.Lines
	for state := Unknown; state < numStates; state++ {
		text, err := json.Marshal(Member{Node: 3, State: state.String(), Incarnation: 1_700_000_000_000, Duration: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		lines.Text("member", string(text))
	}
	golden.Check(t, "status.golden", lines.Bytes())
}
