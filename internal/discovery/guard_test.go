package discovery

import "testing"

func TestGuardKeepsTheLastGoodList(t *testing.T) {
	up, gone := Server{ID: "s", State: Up}, Server{ID: "s", State: Draining}
	whole := func(v int64, s ...Server) List { return List{Version: v, IsFull: true, Servers: s} }
	change := func(v int64, s ...Server) List { return List{Version: v, Servers: s} }
	for name, test := range map[string]struct {
		lists []List
		want  []error
		held  int64
	}{
		"in order":                       {[]List{change(41), change(42, gone), whole(50, up)}, []error{nil, nil, nil}, 50},
		"empty, each time":               {[]List{whole(42), whole(43), change(44, gone)}, []error{ErrEmptyList, ErrEmptyList, nil}, 44},
		"all drain":                      {[]List{whole(42, gone)}, []error{nil}, 42},
		"older, but without news":        {[]List{change(40), change(42, gone)}, []error{nil, nil}, 42},
		"no change at all":               {[]List{change(41)}, []error{nil}, 41},
		"stale once":                     {[]List{whole(40, up), change(42, gone)}, []error{ErrStaleList, nil}, 42},
		"counts anew, which is believed": {[]List{whole(3, up), whole(3, up), change(4, gone)}, []error{ErrStaleList, nil, nil}, 4},
	} {
		var g ListValidator
		g.SetVersion(41)
		for i, l := range test.lists {
			if err := g.Accept(l); err != test.want[i] {
				t.Errorf("%s: list %d: %v, want %v", name, i, err, test.want[i])
			}
		}
		if g.Version() != test.held {
			t.Errorf("%s: holds %d, want %d", name, g.Version(), test.held)
		}
	}
}
