// Package ejection bounds how much of a fleet of servers its nodes take out of service by their own judgment. A server that
// does worse than the others gives up a part of its keys; but where much is out already, because it drains, is cold or does
// not answer, one more slow server is worth more than none. It has no clock and no I/O.
package outlier

import (
	"cmp"
	"slices"
)

// Server is one server as a node sees it.
type Server struct {
	Size  float64 // against the others, above 0
	Out   float64 // part of it that is out whatever a node decides: 1 where it drains or is silent, what it lacks while cold
	Wants float64 // part of its keys that a node would have it give up, by how badly it does
	Order uint64  // breaks ties, the same at every node
}

// Budget is the share of all sizes that may be out at once. The zero value is no bound.
type Budget struct{ Share float64 }

// On tells whether there is a bound.
func (b Budget) On() bool { return b.Share > 0 && b.Share < 1 }

// Grant fills granted, as long as servers, with the part of its keys that each gives up: what it wants while the budget
// lasts, the worst first. What is out anyhow is counted before, and is not given back where it is more than the budget.
// Nodes that saw the same grant the same, so that what is ejected at all of them together stays near the budget. It tells
// whether somebody got less than was wanted.
func (b Budget) Grant(servers []Server, granted []float64) (short bool) {
	var all, left float64
	for _, s := range servers {
		all += s.Size
		left -= s.Size * s.Out
	}
	left += all * b.Share
	order := make([]int, 0, len(servers))
	for i, s := range servers {
		granted[i] = 0
		if s.Wants > 0 && s.Out < 1 {
			order = append(order, i)
		}
	}
	slices.SortFunc(order, func(i, j int) int {
		x, y := servers[i], servers[j]
		return cmp.Or(cmp.Compare(y.Wants, x.Wants), cmp.Compare(x.Order, y.Order))
	})
	for _, i := range order {
		s := servers[i]
		here := s.Size * (1 - s.Out) // what is cold is out already
		part := s.Wants
		if !b.On() {
			granted[i] = part
			continue
		}
		if part*here > left {
			part, short = max(0, left)/here, true
		}
		granted[i] = part
		left -= part * here
	}
	return short
}

// Over tells whether so much is out that nothing more may be taken out on a word alone.
func (b Budget) Over(servers []Server) bool {
	if !b.On() {
		return false
	}
	var all, out float64
	for _, s := range servers {
		all += s.Size
		out += s.Size * (s.Out + (1-s.Out)*s.Wants)
	}
	return out >= all*b.Share
}
