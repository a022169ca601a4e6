// Package outlier bounds how much of a fleet of servers its nodes eject by their own judgment. A server that does
// worse than the others gives up a part of its keys; but where much is unavailable already, because it drains, warms
// up or does not respond, one more slow server is better than none. The package has no clock and no I/O.
package outlier

import (
	"cmp"
	"slices"
)

// Server is one server as a node sees it.
type Server struct {
	Capacity float64 // relative to the others, above 0
	// UnavailableFraction is the part of it that is out whatever a node decides: 1 where it drains or is
	// unresponsive, what it lacks while it warms up.
	UnavailableFraction float64
	EjectionFraction    float64 // part of its keys that a node would have it give up, by how badly it does
	TieBreaker          uint64  // orders servers that do equally badly, the same at every node
}

// available is the capacity that is not out whatever a node decides.
func (s Server) available() float64 { return s.Capacity * (1 - s.UnavailableFraction) }

// Budget is the fraction of all capacity that may be out at once.
type Budget struct {
	MaxFraction float64 // no bound unless it is between 0 and 1
}

// IsBounded reports whether there is a bound.
func (b Budget) IsBounded() bool { return b.MaxFraction > 0 && b.MaxFraction < 1 }

// Grant fills granted, as long as servers, with the part of its keys that each gives up: its EjectionFraction while
// the budget lasts, the worst first. What is unavailable anyhow is counted before, and is not given back where it
// exceeds the budget. Nodes that saw the same grant the same, so that what is ejected at all of them together stays
// near the budget. It reports whether a server gives up less than its EjectionFraction.
func (b Budget) Grant(servers []Server, granted []float64) (isLimited bool) {
	left := b.left(servers)
	clear(granted)
	for _, i := range ejectionOrder(servers) {
		available, part := servers[i].available(), servers[i].EjectionFraction
		if !b.IsBounded() {
			granted[i] = part
			continue
		}
		if part*available > left {
			part, isLimited = max(0, left)/available, true
		}
		granted[i] = part
		left -= part * available
	}
	return isLimited
}

// left is the capacity that may still be ejected; negative where more is unavailable than the budget allows.
func (b Budget) left(servers []Server) float64 {
	var total, left float64
	for _, server := range servers {
		total += server.Capacity
		left -= server.Capacity * server.UnavailableFraction
	}
	return left + total*b.MaxFraction
}

// ejectionOrder returns the indexes of the servers that have something to give up, the worst first.
func ejectionOrder(servers []Server) []int {
	order := make([]int, 0, len(servers))
	for i, server := range servers {
		if server.EjectionFraction > 0 && server.UnavailableFraction < 1 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		a, b := servers[i], servers[j]
		return cmp.Or(cmp.Compare(b.EjectionFraction, a.EjectionFraction), cmp.Compare(a.TieBreaker, b.TieBreaker))
	})
	return order
}

// IsSpent reports whether so much is out, or would be by the servers' EjectionFraction, that no further server may be
// taken out on gossip alone.
func (b Budget) IsSpent(servers []Server) bool {
	if !b.IsBounded() {
		return false
	}
	var total, out float64
	for _, server := range servers {
		total += server.Capacity
		out += server.Capacity * (server.UnavailableFraction + (1-server.UnavailableFraction)*server.EjectionFraction)
	}
	return out >= total*b.MaxFraction
}
