package outlier

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// fleet is n servers of one size.
func fleet(n int, change func(i int, s *Server)) []Server {
	servers := make([]Server, n)
	for i := range servers {
		servers[i] = Server{Capacity: 1, TieBreaker: uint64(i)}
		change(i, &servers[i])
	}
	return servers
}

func ejected(servers []Server, granted []float64) (sum float64) {
	for i, s := range servers {
		sum += s.Capacity * (1 - s.UnavailableFraction) * granted[i]
	}
	return sum
}

func TestGrant(t *testing.T) {
	bad := func(from, to int, wants float64) func(int, *Server) {
		return func(i int, s *Server) {
			if i >= from && i < to {
				s.EjectionFraction = wants
			}
		}
	}
	for name, test := range map[string]struct {
		share   float64
		servers []Server
		want    float64 // sizes given up by judgment
		short   bool
	}{
		"no bound":                       {0, fleet(10, bad(0, 8, 0.95)), 7.6, false},
		"within the budget":              {0.34, fleet(12, bad(0, 3, 0.95)), 2.85, false},
		"more than the budget":           {0.34, fleet(12, bad(0, 9, 0.95)), 4.08, true},
		"some drain":                     {0.34, fleet(12, func(i int, s *Server) { s.UnavailableFraction = b2f(i < 3); bad(3, 9, 1)(i, s) }), 1.08, true},
		"more drain than the budget has": {0.25, fleet(12, func(i int, s *Server) { s.UnavailableFraction = b2f(i < 6); bad(6, 9, 1)(i, s) }), 0, true},
		"cold ones count by what they lack": {0.5, fleet(10, func(i int, s *Server) {
			if i < 4 {
				s.UnavailableFraction = 0.75
			}
			bad(4, 10, 1)(i, s)
		}), 2, true},
		"300 servers, one in eight bad": {0.34, fleet(300, func(i int, s *Server) { s.EjectionFraction = 0.95 * b2f(i%8 == 0) }), 36.1, false},
		"one server":                    {0.34, fleet(1, bad(0, 1, 1)), 0.34, true},
	} {
		granted := make([]float64, len(test.servers))
		short := Budget{test.share}.Grant(test.servers, granted)
		if got := ejected(test.servers, granted); math.Abs(got-test.want) > 1e-9 || short != test.short {
			t.Errorf("%s: %v given up, want %v; short %v", name, got, test.want, short)
		}
	}
}

func b2f(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// TestGrantKeepsTheBudget: whatever there is, no more is given up than the budget has left, the worst go first, and the
// order in which servers are named changes nothing.
func TestGrantKeepsTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		unit := rapid.Float64Range(0, 1)
		servers := fleet(rapid.IntRange(1, 40).Draw(t, "servers"), func(i int, s *Server) {
			s.Capacity, s.UnavailableFraction, s.EjectionFraction = rapid.Float64Range(0.1, 5).Draw(t, "size"), unit.Draw(t, "out"), unit.Draw(t, "wants")
		})
		b := Budget{rapid.Float64Range(0.01, 0.99).Draw(t, "share")}
		granted := make([]float64, len(servers))
		short := b.Grant(servers, granted)
		all, out := 0.0, 0.0
		for _, s := range servers {
			all, out = all+s.Capacity, out+s.Capacity*s.UnavailableFraction
		}
		if given := ejected(servers, granted); given > max(0, all*b.MaxFraction-out)+1e-9 {
			t.Fatalf("%v given up where %v were left", given, all*b.MaxFraction-out)
		}
		for i, s := range servers {
			if granted[i] < 0 || granted[i] > s.EjectionFraction {
				t.Fatalf("server %d gives up %v and wants to give up %v", i, granted[i], s.EjectionFraction)
			}
			for j, o := range servers {
				if s.EjectionFraction > o.EjectionFraction && o.UnavailableFraction < 1 && s.UnavailableFraction < 1 && granted[i] < s.EjectionFraction-1e-9 && granted[j] > 1e-9 {
					t.Fatalf("server %d got less than the better server %d", i, j)
				}
			}
		}
		turned, again := slices.Clone(servers), make([]float64, len(servers))
		slices.Reverse(turned)
		if b.Grant(turned, again) != short {
			t.Fatal("another order, another verdict")
		}
		slices.Reverse(again)
		for i := range again {
			if math.Abs(again[i]-granted[i]) > 1e-9 {
				t.Fatalf("another order, another grant for server %d", i)
			}
		}
	})
}
