package peers

import (
	"errors"
	"testing"
)

func TestInvalidAddressIsNamed(t *testing.T) {
	valid := Addresses{Listen: "127.0.0.1:1", Peers: []string{"127.0.0.1:1", "127.0.0.2:1"}, Broadcast: "127.0.0.9:1"}
	if err := valid.Validate(); err != nil {
		t.Errorf("valid addresses: got %v, want none", err)
	}
	for field, breakField := range map[string]func(a *Addresses){
		"peer_listen": func(a *Addresses) { a.Listen = "127.0.0.1" },
		"peers_all":   func(a *Addresses) { a.Broadcast = "nowhere:1" },
		"peers[1]":    func(a *Addresses) { a.Peers = []string{"127.0.0.1:1", ""} },
	} {
		addresses := valid
		breakField(&addresses)
		var invalid *AddressError
		if err := addresses.Validate(); !errors.As(err, &invalid) || invalid.Field != field {
			t.Errorf("got %v, want an error of the field %s", err, field)
		}
	}
}

func TestSelfIsTheIndexAmongThePeers(t *testing.T) {
	for want, listen := range map[int]string{0: "a:1", 1: "b:1", -1: "c:1"} {
		if got := (Addresses{Listen: listen, Peers: []string{"a:1", "b:1"}}).Self(); got != want {
			t.Errorf("%s: got index %d, want %d", listen, got, want)
		}
	}
}

func TestAddedAndRemovedPeersAreCounted(t *testing.T) {
	for _, test := range []struct {
		before, after []string
		want          int
	}{
		{nil, nil, 0},
		{[]string{"a:1", "b:1"}, []string{"b:1", "a:1"}, 0},
		{[]string{"a:1"}, []string{"a:1", "b:1"}, 1},
		{[]string{"a:1", "b:1"}, []string{"a:1"}, 1},
		{[]string{"a:1", "b:1"}, []string{"a:1", "c:1"}, 2},
	} {
		if got := (Addresses{Peers: test.before}).CountChanges(Addresses{Peers: test.after}); got != test.want {
			t.Errorf("from %v to %v: got %d changes, want %d", test.before, test.after, got, test.want)
		}
	}
}
