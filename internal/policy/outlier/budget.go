// Package outlier bounds how much of a fleet's server capacity the nodes eject because servers are outliers. An
// outlier, which is slower or fails more often than the others, gives up a part of its keys. But if much capacity is
// unavailable already, because servers drain, are in slow start or do not respond, a slow server is better than none.
// The package has no clock and no I/O.
package outlier

import (
	"cmp"
	"slices"
)

// Server is a node's view of one server.
type Server struct {
	Capacity float64 // capacity relative to the other servers, above 0
	// UnavailableFraction is the fraction of Capacity that can't be used, for reasons other than ejection. It is 1 if
	// the server drains or is unresponsive. During slow start it is the fraction of its slots that the server does not
	// have yet.
	UnavailableFraction float64
	EjectionFraction    float64 // fraction of its keys that the server should give up because it is an outlier
	TieBreaker          uint64  // orders servers of equal EjectionFraction; each node uses the same value
}

// available returns the capacity that the server would offer if none of it were ejected.
func (s Server) available() float64 { return s.Capacity * (1 - s.UnavailableFraction) }

// Budget bounds how much of the capacity of all servers may be out of use at once, either unavailable or ejected.
type Budget struct {
	// MaxFraction is the largest fraction of all capacity that may be out of use at once. 0 or less, or 1 or more,
	// means no bound.
	MaxFraction float64
}

// IsBounded reports whether the budget has a bound.
func (b Budget) IsBounded() bool { return b.MaxFraction > 0 && b.MaxFraction < 1 }

// Grant sets granted[i] to the fraction of its keys that servers[i] gives up; both slices must have the same length.
// Unavailable capacity is charged to the budget first; if it alone exceeds the budget, no server gives up keys. Then
// the servers give up keys in the order of EjectionFraction, the highest first, each as much as its EjectionFraction
// while the budget lasts. Nodes with the same view grant the same fractions, so the capacity that all nodes together
// eject stays near the budget. The result is true if a server gives up less than its EjectionFraction because of the
// budget.
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

// left returns how much capacity may be ejected. The result is negative if the unavailable capacity alone exceeds the
// budget.
func (b Budget) left(servers []Server) float64 {
	var total, left float64
	for _, server := range servers {
		total += server.Capacity
		left -= server.Capacity * server.UnavailableFraction
	}
	return left + total*b.MaxFraction
}

// ejectionOrder returns the indexes of the servers that should give up keys, the highest EjectionFraction first. A
// server whose whole capacity is unavailable is left out.
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

// IsSpent reports whether the budget is used up by the unavailable capacity together with the capacity that outliers
// should give up. If so, no server may be taken out of use only because other nodes report it as unresponsive.
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
