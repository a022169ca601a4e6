package outlier

import (
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// tolerance is the allowed rounding error of sums of floating-point numbers.
const tolerance = 1e-9

// newFleet returns servers of capacity 1. It calls change for each server, so that change can set the other fields.
func newFleet(count int, change func(i int, server *Server)) []Server {
	servers := make([]Server, count)
	for i := range servers {
		servers[i] = Server{Capacity: 1, TieBreaker: uint64(i)}
		change(i, &servers[i])
	}
	return servers
}

// outliers returns a function for newFleet that sets EjectionFraction of the servers whose index is at least the
// parameter from and less than the parameter until.
func outliers(from, until int, ejectionFraction float64) func(int, *Server) {
	return func(i int, server *Server) {
		if i >= from && i < until {
			server.EjectionFraction = ejectionFraction
		}
	}
}

// unavailable returns a function for newFleet that sets UnavailableFraction of the servers whose index is less than the
// parameter until.
func unavailable(until int, fraction float64) func(int, *Server) {
	return func(i int, server *Server) {
		if i < until {
			server.UnavailableFraction = fraction
		}
	}
}

// both returns a function for newFleet that applies two changes to each server.
func both(first, other func(int, *Server)) func(int, *Server) {
	return func(i int, server *Server) {
		first(i, server)
		other(i, server)
	}
}

// ejected returns the capacity that the servers give up if each gives up its granted fraction.
func ejected(servers []Server, granted []float64) (capacity float64) {
	for i, server := range servers {
		capacity += server.Capacity * (1 - server.UnavailableFraction) * granted[i]
	}
	return capacity
}

// TestGrantEjectsTheWorstWithinTheBudget checks that outliers give up their EjectionFraction while the budget lasts,
// and that capacity that is unavailable for other reasons leaves less of the budget for ejections.
func TestGrantEjectsTheWorstWithinTheBudget(t *testing.T) {
	everyEighth := func(i int, server *Server) {
		if i%8 == 0 {
			server.EjectionFraction = 0.95
		}
	}
	for name, test := range map[string]struct {
		maxFraction float64
		servers     []Server
		wantEjected float64 // sum of the capacity that all servers give up
		wantLimited bool
	}{
		"no bound":                       {0, newFleet(10, outliers(0, 8, 0.95)), 7.6, false},
		"within the budget":              {0.34, newFleet(12, outliers(0, 3, 0.95)), 2.85, false},
		"more than the budget":           {0.34, newFleet(12, outliers(0, 9, 0.95)), 4.08, true},
		"some servers drain":             {0.34, newFleet(12, both(unavailable(3, 1), outliers(3, 9, 1))), 1.08, true},
		"more drain than the budget has": {0.25, newFleet(12, both(unavailable(6, 1), outliers(6, 9, 1))), 0, true},
		"some servers are in slow start": {0.5, newFleet(10, both(unavailable(4, 0.75), outliers(4, 10, 1))), 2, true},
		"300 servers, one in eight bad":  {0.34, newFleet(300, everyEighth), 36.1, false},
		"one server":                     {0.34, newFleet(1, outliers(0, 1, 1)), 0.34, true},
	} {
		granted := make([]float64, len(test.servers))
		isLimited := Budget{test.maxFraction}.Grant(test.servers, granted)
		if got := ejected(test.servers, granted); math.Abs(got-test.wantEjected) > tolerance {
			t.Errorf("%s: got a capacity of %v ejected, want %v", name, got, test.wantEjected)
		}
		if isLimited != test.wantLimited {
			t.Errorf("%s: got limited %v, want %v", name, isLimited, test.wantLimited)
		}
	}
}

// TestGrantStaysWithinTheBudget checks Grant with random fleets. The ejected and the unavailable capacity together must
// not exceed the budget; if the unavailable capacity alone exceeds it, nothing may be ejected. The servers with the
// highest EjectionFraction must be ejected first. The order of the slice must not change the result.
func TestGrantStaysWithinTheBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fraction := rapid.Float64Range(0, 1)
		servers := newFleet(rapid.IntRange(1, 40).Draw(t, "servers"), func(_ int, server *Server) {
			server.Capacity = rapid.Float64Range(0.1, 5).Draw(t, "capacity")
			server.UnavailableFraction = fraction.Draw(t, "unavailable")
			server.EjectionFraction = fraction.Draw(t, "ejection")
		})
		budget := Budget{rapid.Float64Range(0.01, 0.99).Draw(t, "max fraction")}
		granted := make([]float64, len(servers))
		isLimited := budget.Grant(servers, granted)
		total, unavailable := 0.0, 0.0
		for _, server := range servers {
			total, unavailable = total+server.Capacity, unavailable+server.Capacity*server.UnavailableFraction
		}
		left := total*budget.MaxFraction - unavailable
		if got := ejected(servers, granted); got > max(0, left)+tolerance {
			t.Fatalf("got a capacity of %v ejected, want at most %v", got, max(0, left))
		}
		checkWorstGoFirst(t, servers, granted)

		reversed, reversedGrants := slices.Clone(servers), make([]float64, len(servers))
		slices.Reverse(reversed)
		if got := budget.Grant(reversed, reversedGrants); got != isLimited {
			t.Fatalf("servers reversed: got limited %v, want %v", got, isLimited)
		}
		slices.Reverse(reversedGrants)
		for i, want := range granted {
			if got := reversedGrants[i]; math.Abs(got-want) > tolerance {
				t.Fatalf("servers reversed: got %v granted to server %d, want %v", got, i, want)
			}
		}
	})
}

// checkWorstGoFirst checks that no server gives up more than its EjectionFraction. If a server gives up less, servers
// with a lower EjectionFraction must give up nothing.
func checkWorstGoFirst(t *rapid.T, servers []Server, granted []float64) {
	t.Helper()
	for i, worse := range servers {
		if granted[i] < 0 || granted[i] > worse.EjectionFraction {
			t.Fatalf("got %v granted to server %d, want from 0 to %v", granted[i], i, worse.EjectionFraction)
		}
		if worse.UnavailableFraction >= 1 || granted[i] >= worse.EjectionFraction-tolerance {
			continue
		}
		for j, better := range servers {
			isBetter := worse.EjectionFraction > better.EjectionFraction && better.UnavailableFraction < 1
			if isBetter && granted[j] > tolerance {
				t.Fatalf("server %d was limited to %v while the better server %d got %v", i, granted[i], j, granted[j])
			}
		}
	}
}
