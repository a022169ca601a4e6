package discovery

import (
	"errors"
	"testing"
)

func TestListValidatorKeepsTheLastGoodList(t *testing.T) {
	up, draining := Server{ID: "s", State: Up}, Server{ID: "s", State: Draining}
	full := func(version int64, servers ...Server) List {
		return List{Version: version, IsFull: true, Servers: servers}
	}
	change := func(version int64, servers ...Server) List { return List{Version: version, Servers: servers} }
	for name, test := range map[string]struct {
		lists       []List
		want        []error
		wantVersion int64
	}{
		"in order":                    {[]List{change(41), change(42, draining), full(50, up)}, []error{nil, nil, nil}, 50},
		"empty, each time":            {[]List{full(42), full(43), change(44, draining)}, []error{ErrEmptyList, ErrEmptyList, nil}, 44},
		"all drain":                   {[]List{full(42, draining)}, []error{nil}, 42},
		"older, but without a change": {[]List{change(40), change(42, draining)}, []error{nil, nil}, 42},
		"no change at all":            {[]List{change(41)}, []error{nil}, 41},
		"stale once":                  {[]List{full(40, up), change(42, draining)}, []error{ErrStaleList, nil}, 42},
		"stale twice, then accepted":  {[]List{full(3, up), full(3, up), change(4, draining)}, []error{ErrStaleList, nil, nil}, 4},
	} {
		var validator ListValidator
		validator.SetVersion(41)
		for i, list := range test.lists {
			if err := validator.Accept(list); !errors.Is(err, test.want[i]) {
				t.Errorf("%s: list %d: got %v, want %v", name, i, err, test.want[i])
			}
		}
		if validator.Version() != test.wantVersion {
			t.Errorf("%s: got version %d, want %d", name, validator.Version(), test.wantVersion)
		}
	}
}
