package zones

import (
	"testing"

	"pgregory.net/rapid"
)

func TestReach(t *testing.T) {
	quiet := Load{Origin: 0.1, Near: 0.1, All: 0.1}
	for name, test := range map[string]struct {
		load   Load
		closer bool
	}{
		"all is quiet":                                 {quiet, true},
		"nothing is known":                             {Load{}, true},
		"the origin is crowded":                        {Load{Origin: 0.3}, false},
		"requests wait for the origin":                 {Load{Waiting: 1}, false},
		"all servers are slow":                         {Load{Near: 0.3, All: 0.3}, false},
		"the own zone has more than it can carry":      {Load{Near: 0.19, All: 0.05}, false},
		"the own zone is a little slower than others":  {Load{Near: 0.1, All: 0.05}, true},
		"other zones are slow, and few servers are ok": {Load{Near: 0, All: 0.15}, true},
	} {
		var r Reach
		for range 20 {
			r.Step(quiet)
		}
		before := r.Weight()
		r.Step(test.load)
		if got := r.Weight() < before; got != test.closer {
			t.Errorf("%s: the weight went from %.3f to %.3f", name, before, r.Weight())
		}
	}
}

// It stays within its bounds whatever comes, and a crowd brings all servers back within seconds of steps.
func TestReachIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r Reach
		for range rapid.IntRange(0, 400).Draw(t, "steps") {
			share := rapid.Float64Range(0, 1)
			r.Step(Load{share.Draw(t, "origin"), share.Draw(t, "near"), share.Draw(t, "all"), rapid.IntRange(0, 2).Draw(t, "waiting")})
			if w := r.Weight(); w < Least-1e-9 || w > 1 {
				t.Fatalf("weight %v", w)
			}
		}
		for range 16 { // 4 s
			r.Step(Load{Origin: 1})
		}
		if r.Weight() < 0.999 {
			t.Fatalf("weight %v after 4 s of a crowd", r.Weight())
		}
	})
}
