package gossip

import (
	"reflect"
	"testing"

	"shelfproxy/internal/golden"
)

// TestGoldenDatagrams: the datagrams of earlier releases are read, and the same bytes are written.
func TestGoldenDatagrams(t *testing.T) {
	var ledger Ledger
	ledger.Asked(0x010203)
	ledger.Asked(0xfffffe)
	for range 9 { // more than a note counts
		ledger.Saw(0x0a0b0c, true)
	}
	ledger.Saw(0x0a0b0d, false)
	ledger.Saw(0x0a0b0d, true)
	ledger.Alive(0x112233)
	ledger.Silent(0x445566)
	var lines golden.Lines
	lines.Hex("keys_and_notes", ledger.Take())
	ledger.Asked(7)
	lines.Hex("a_key_alone", ledger.Take())
	golden.Check(t, "datagrams.golden", lines.Bytes())

	got, err := Decode(golden.Hex(t, golden.Read(t, "datagrams.golden"), "keys_and_notes"))
	want := News{Keys: []Mark{0x010203, 0xfffffe}, Notes: []Note{{Server: 0x0a0b0c, Seen: 7, Bad: 7}, {Server: 0x0a0b0d, Seen: 2, Bad: 1},
		{Server: 0x112233, Answered: true}, {Server: 0x445566, Silent: true}}}
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("read as %+v, %v; want %+v", got, err, want)
	}
}
