package datagram

import (
	"encoding/binary"
	"testing"

	"pgregory.net/rapid"
)

const (
	testMagic   = 'T'
	testVersion = 2
	testKind    = 7
)

// newDatagram returns a datagram with one field of each size that Reader can read.
func newDatagram() []byte {
	data := append(Begin(testMagic, testVersion, testKind), 0x01)
	data = binary.BigEndian.AppendUint16(data, 0x0203)
	data = binary.BigEndian.AppendUint32(data, 0x04050607)
	data = binary.BigEndian.AppendUint64(data, 0x08090a0b0c0d0e0f)
	return Seal(data)
}

func TestFieldsAreReadInOrder(t *testing.T) {
	kind, fields, ok := Open(newDatagram(), testMagic, testVersion)
	if !ok || kind != testKind {
		t.Fatalf("Open returned kind %d, %v; want %d, true", kind, ok, testKind)
	}
	if got := fields.U8(); got != 0x01 {
		t.Errorf("U8() = %#x, want 0x01", got)
	}
	if got := fields.U16(); got != 0x0203 {
		t.Errorf("U16() = %#x, want 0x0203", got)
	}
	if got := fields.U32(); got != 0x04050607 {
		t.Errorf("U32() = %#x, want 0x04050607", got)
	}
	if fields.IsEmpty() {
		t.Error("IsEmpty() = true before the last field")
	}
	if got := fields.U64(); got != 0x08090a0b0c0d0e0f {
		t.Errorf("U64() = %#x, want 0x08090a0b0c0d0e0f", got)
	}
	if !fields.IsEmpty() || !fields.IsValid() {
		t.Errorf("after the last field empty %v, valid %v; want both", fields.IsEmpty(), fields.IsValid())
	}
}

func TestReadingPastTheEndIsInvalid(t *testing.T) {
	_, fields, ok := Open(Seal(append(Begin(testMagic, testVersion, testKind), 1, 2)), testMagic, testVersion)
	if !ok {
		t.Fatal("the datagram was not opened")
	}
	if got := fields.U32(); got != 0 || fields.IsValid() {
		t.Errorf("U32() of two bytes = %d, valid %v; want 0, false", got, fields.IsValid())
	}
	if got := fields.U8(); got != 0 || fields.IsValid() {
		t.Errorf("U8() after that = %d, valid %v; want 0, false", got, fields.IsValid())
	}
}

func TestForeignDatagramIsNotOpened(t *testing.T) {
	for _, test := range []struct {
		name string
		data []byte
	}{
		{"empty", nil},
		{"of another magic byte", Seal(Begin('U', testVersion, testKind))},
		{"of another version", Seal(Begin(testMagic, testVersion+1, testKind))},
		{"cut short", newDatagram()[:12]},
		{"without a checksum", Begin(testMagic, testVersion, testKind)},
		{"longer than MaxSize", Seal(append(Begin(testMagic, testVersion, testKind), make([]byte, MaxPayload+1)...))},
	} {
		if _, _, ok := Open(test.data, testMagic, testVersion); ok {
			t.Errorf("a datagram %s was opened", test.name)
		}
	}
	longest := Seal(append(Begin(testMagic, testVersion, testKind), make([]byte, MaxPayload)...))
	if _, _, ok := Open(longest, testMagic, testVersion); !ok || len(longest) != MaxSize {
		t.Errorf("a datagram of %d bytes: opened %v, want %d bytes and true", len(longest), ok, MaxSize)
	}
}

func TestDamagedDatagramIsNotOpened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := newDatagram()
		data[rapid.IntRange(0, len(data)-1).Draw(t, "at")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if _, _, ok := Open(data, testMagic, testVersion); ok {
			t.Fatal("a datagram with a flipped bit was opened")
		}
	})
}
