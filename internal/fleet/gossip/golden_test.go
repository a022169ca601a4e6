package gossip

import (
	"reflect"
	"testing"

	"shelfproxy/internal/golden"
)

// TestGoldenDatagrams: datagrams recorded from earlier releases can be decoded, and the events from which they were made are
// still encoded to the same bytes.
func TestGoldenDatagrams(t *testing.T) {
	var buffer Buffer
	buffer.KeyRequested(0x010203)
	buffer.KeyRequested(0xfffffe)
	for range 9 { // more attempts than an observation can count
		buffer.AttemptEnded(0x0a0b0c, true)
	}
	buffer.AttemptEnded(0x0a0b0d, false)
	buffer.AttemptEnded(0x0a0b0d, true)
	buffer.Recovered(0x112233)
	buffer.Unresponsive(0x445566)
	var lines golden.Lines
	lines.Hex("keys_and_notes", buffer.Encode())
	buffer.KeyRequested(7)
	lines.Hex("a_key_alone", buffer.Encode())
	golden.Check(t, "datagrams.golden", lines.Bytes())

	got, err := Decode(golden.Hex(t, golden.Read(t, "datagrams.golden"), "keys_and_notes"))
	want := Message{
		Keys: []Fingerprint{0x010203, 0xfffffe},
		Observations: []Observation{
			{Server: 0x0a0b0c, Attempts: 7, Failures: 7},
			{Server: 0x0a0b0d, Attempts: 2, Failures: 1},
			{Server: 0x112233, Recovered: true},
			{Server: 0x445566, Unresponsive: true},
		},
	}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v; want %+v", got, err, want)
	}
}
