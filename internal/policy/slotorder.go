package policy

import (
	"container/heap"
	"math"
)

// slotOrder yields the cache servers that a request for a slot may go to, in the order of weighted rendezvous hashing:
// the owner of the slot first. Routers agree on the order without communicating. An order is valid until the router's
// next event, or until the router returns another one.
//
// Servers are looked at all together, the owner first, then as many as are expected to be asked for, twice as many each
// time: so a key that is spread over many servers costs little more than one that is not.
type slotOrder struct {
	router    *Router
	slot      uint64
	req       *request
	hasOwner  bool          // the owner was yielded
	last      float64       // score of the server that was yielded last
	limit     float64       // up to which scores have been ranked
	step      float64       // by which limit grows next
	isRanked  bool          // no server has a score above limit
	remaining rankedServers // a heap of those with scores from last to limit
}

// firstRankedServers is how many servers are expected among those that are ranked first.
const firstRankedServers = 8

// keyServer is a server that serves keys, with what tells at a glance that it has no low score for a slot.
type keyServer struct {
	hash      uint64
	maxWeight float64 // of the server's weights at any time
	server    *server
}

// orderOf returns the order of the servers for a slot, as far as the request may go there.
func (r *Router) orderOf(slot uint64, req *request) slotOrder {
	step := firstRankedServers / max(r.totalWeight, minTotalWeight)
	return slotOrder{router: r, slot: slot, req: req, step: step, remaining: r.ranked[:0]}
}

// next returns the next server of the order; nil at its end.
func (o *slotOrder) next() *server {
	if !o.hasOwner {
		o.hasOwner = true
		owner, score := o.owner()
		o.last, o.limit = score, score
		return owner
	}
	for len(o.remaining) == 0 && !o.isRanked {
		o.rank()
	}
	if len(o.remaining) == 0 {
		return nil
	}
	first := o.remaining[0]
	o.last = first.score
	o.drop()
	return first.server
}

// owner returns the server with the lowest score, and the score; nil if there is none.
func (o *slotOrder) owner() (best *server, lowest float64) {
	lowest = math.Inf(1)
	for i := range o.router.keyServers {
		candidate := &o.router.keyServers[i]
		draw := o.draw(candidate)
		if 1-draw >= lowest*candidate.maxWeight || !o.includes(candidate.server) {
			continue // the first: -log(draw) is no less than 1-draw; this spares most of the logarithms
		}
		if score := o.score(candidate.server, draw); score < lowest {
			best, lowest = candidate.server, score
		}
	}
	return best, lowest
}

// rank puts the next servers into the heap, which is empty.
func (o *slotOrder) rank() {
	from := o.limit
	o.limit += o.step
	o.step *= 2
	o.isRanked = true
	for i := range o.router.keyServers {
		candidate := &o.router.keyServers[i]
		draw := o.draw(candidate)
		if 1-draw >= o.limit*candidate.maxWeight {
			o.isRanked = false
			continue
		}
		score := o.score(candidate.server, draw)
		switch {
		case math.IsInf(score, 1): // it has no slots yet
		case score >= o.limit:
			o.isRanked = false
		case score >= from && score > o.last && o.includes(candidate.server):
			o.remaining = append(o.remaining, rankedServer{score: score, server: candidate.server})
		}
	}
	heap.Init(&o.remaining)
	o.router.ranked = o.remaining
}

// drop takes the first server out of the heap.
func (o *slotOrder) drop() {
	last := len(o.remaining) - 1
	o.remaining[0] = o.remaining[last]
	o.remaining = o.remaining[:last]
	if last > 1 {
		heap.Fix(&o.remaining, 0)
	}
}

// includes reports whether requests for the slot may go to the server.
func (o *slotOrder) includes(srv *server) bool {
	return keepsSlot(srv, o.slot) && !o.router.isExcluded(srv) && !o.req.avoids(srv)
}

// draw is the server's draw for the slot, the same at every router.
func (o *slotOrder) draw(candidate *keyServer) float64 {
	return unitInterval(mix(o.slot ^ candidate.hash))
}

// score is what the order is by, the lowest first.
func (o *slotOrder) score(srv *server, draw float64) float64 {
	return -math.Log(draw) / o.router.rendezvousWeight(srv)
}

// rankedServer is a server with its score for a slot.
type rankedServer struct {
	score  float64
	server *server
}

// rankedServers implements heap.Interface, but Push and Pop do nothing: a heap is made whole and shrinks by
// slotOrder.drop.
type rankedServers []rankedServer

// Len implements heap.Interface.
func (s rankedServers) Len() int { return len(s) }

// Less implements heap.Interface.
func (s rankedServers) Less(i, j int) bool { return s[i].score < s[j].score }

// Swap implements heap.Interface.
func (s rankedServers) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s rankedServers) Push(any) {}

// Pop implements heap.Interface.
func (s rankedServers) Pop() any { return nil }
