package agreement

import (
	"errors"
	"math"
	"testing"
	"time"

	"shelfproxy/internal/fleet/datagram"
)

func TestMajorityIsMoreThanHalf(t *testing.T) {
	for nodes, want := range map[int]int{1: 1, 2: 2, 3: 2, 4: 3, 5: 3, 80: 41, 1000: 501} {
		if got := Majority(nodes); got != want {
			t.Errorf("Majority(%d) = %d, want %d", nodes, got, want)
		}
	}
}

func TestOnlyOtherNodesOfTheFleetArePeers(t *testing.T) {
	for _, test := range []struct {
		node, self, nodes int
		want              bool
	}{{0, 1, 3, true}, {2, 1, 3, true}, {1, 1, 3, false}, {3, 1, 3, false}, {-1, 1, 3, false}} {
		if got := IsPeer(test.node, test.self, test.nodes); got != test.want {
			t.Errorf("IsPeer(%d, %d, %d) = %v, want %v", test.node, test.self, test.nodes, got, test.want)
		}
	}
}

func TestNodeMustBeOnTheList(t *testing.T) {
	for _, test := range []struct {
		self, nodes int
		want        error
	}{{0, 1, nil}, {4, 5, nil}, {0, 0, ErrNotInFleet}, {5, 5, ErrNotInFleet}, {-1, 5, ErrNotInFleet}, {0, 6, ErrNotInFleet}} {
		if got := ValidateNodes(test.self, test.nodes, 5); !errors.Is(got, test.want) {
			t.Errorf("ValidateNodes(%d, %d, 5) = %v, want %v", test.self, test.nodes, got, test.want)
		}
	}
}

func TestNameIsHashedByFNV1a(t *testing.T) {
	for name, want := range map[string]uint32{"": 0x811c9dc5, "a": 0xe40c292c, "foobar": 0xbf9cf968} { // published test vectors of FNV-1a
		if got := HashName(name); got != want {
			t.Errorf("HashName(%q) = %#x, want %#x", name, got, want)
		}
	}
}

func TestClockDriftMustBeBelowOneHalf(t *testing.T) {
	for _, test := range []struct {
		drift float64
		want  error
	}{{0, nil}, {0.49, nil}, {0.5, ErrClockDrift}, {-0.01, ErrClockDrift}, {math.NaN(), ErrClockDrift}, {math.Inf(1), ErrClockDrift}} {
		if got := ValidateClockDrift(test.drift); !errors.Is(got, test.want) {
			t.Errorf("ValidateClockDrift(%v) = %v, want %v", test.drift, got, test.want)
		}
	}
}

func TestHolderStopsBeforeGrantExpires(t *testing.T) {
	if got, want := HolderTimeout(time.Second, 0.25), 750*time.Millisecond; got != want {
		t.Errorf("HolderTimeout(1s, 0.25) = %v, want %v", got, want)
	}
	for elapsed, want := range map[time.Duration]bool{time.Second: false, 1249 * time.Millisecond: false, 1250 * time.Millisecond: true} {
		if got := HasExpired(elapsed, time.Second, 0.25); got != want {
			t.Errorf("HasExpired(%v, 1s, 0.25) = %v, want %v", elapsed, got, want)
		}
	}
}

func TestForeignOrDamagedMessageIsCorrupt(t *testing.T) {
	protocol := Protocol{Magic: 'T', Version: 3}
	data := datagram.Seal(append(protocol.Begin(7), 42))
	kind, fields, err := protocol.Open(data)
	if err != nil || kind != 7 || fields.U8() != 42 || !fields.IsEmpty() {
		t.Fatalf("Open of a message = kind %d, %v; want kind 7 with the byte 42", kind, err)
	}
	for _, other := range []Protocol{{Magic: 'U', Version: 3}, {Magic: 'T', Version: 4}} {
		if _, _, err := other.Open(data); !errors.Is(err, ErrCorruptMessage) {
			t.Errorf("Open as %+v: %v, want ErrCorruptMessage", other, err)
		}
	}
	data[3] ^= 1
	if _, _, err := protocol.Open(data); !errors.Is(err, ErrCorruptMessage) {
		t.Errorf("Open of a damaged message: %v, want ErrCorruptMessage", err)
	}
}

func TestInvalidFieldIsNamed(t *testing.T) {
	err := InvalidField("lease", "must be at least %s", time.Second)
	var invalid *FieldError
	if !errors.As(err, &invalid) || invalid.Field != "lease" || err.Error() != "lease: must be at least 1s" {
		t.Errorf("InvalidField = %#v, want a FieldError of the field lease", err)
	}
}
