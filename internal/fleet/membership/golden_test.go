package membership

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"shelfproxy/internal/golden"
)

// TestGoldenDatagrams: the datagrams of earlier releases are read, and the same bytes are written.
func TestGoldenDatagrams(t *testing.T) {
	var all []news
	for state := Unknown + 1; state < states; state++ {
		all = append(all, news{node: uint16(state) * 300, life: lifeFrom + uint64(state)<<33 + 5, word: uint8(state) + 7, state: state})
	}
	messages := []struct {
		name string
		m    message
	}{
		{"ping", message{kind: kindPing, fleet: 0x01020304, seq: 5, news: all}},
		{"ping_alone", message{kind: kindPing, fleet: 1, seq: 2}},
		{"ack", message{kind: kindAck, fleet: 1, seq: 2, news: all[:1]}},
		{"ask", message{kind: kindAsk, fleet: 1, seq: 2, node: 0x1234}},
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

// TestGoldenStatus: operators' scripts read the members as JSON.
func TestGoldenStatus(t *testing.T) {
	var lines golden.Lines
	for state := Unknown; state < states; state++ {
		text, err := json.Marshal(Member{Node: 3, State: state.String(), Incarnation: 1_700_000_000_000, Duration: time.Second})
		if err != nil {
			t.Fatal(err)
		}
		lines.Text("member", string(text))
	}
	golden.Check(t, "status.golden", lines.Bytes())
}
