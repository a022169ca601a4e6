package policy

import (
	"container/heap"
	"math"
)

// slotOrder yields the cache servers that a request for a slot may go to, in the order of weighted rendezvous hashing.
// The owner of the slot comes first. Routers agree on the order without communicating. An order is valid until the
// router's next event, or until the next call of orderOf.
//
// The first pass over all servers finds only the owner. Each further pass, a call of rank, puts the next servers of
// the order into a heap, about twice as many as the pass before. So a key that is spread over many servers costs
// little more than a key that is served by its owner alone.
type slotOrder struct {
	router     *Router
	slot       uint64
	req        *request
	hasOwner   bool          // the owner has already been returned
	last       float64       // score of the server that was returned last
	limit      float64       // all servers with scores below limit have been found
	step       float64       // amount by which the next call of rank raises limit
	isComplete bool          // all servers have been found, so rank need not be called again
	remaining  rankedServers // heap of the servers that rank has found and that have not been returned yet
}

// firstRankedServers is how many servers the first call of rank finds on average: those that follow the owner directly
// in the order. The number varies, because a call of rank finds all servers with scores in a certain range.
const firstRankedServers = 8

// keyServer is a cache server that the endpoint list holds as live, with the values from which a lower bound of its
// score is cheap to compute.
type keyServer struct {
	hash      uint64
	maxWeight float64 // upper bound of rendezvousWeight, which changes with time
	server    *server
}

// orderOf returns the order of the servers for a slot. It leaves out servers that the request may not go to.
func (r *Router) orderOf(slot uint64, req *request) slotOrder {
	step := firstRankedServers / max(r.totalWeight, minTotalWeight)
	return slotOrder{router: r, slot: slot, req: req, step: step, remaining: r.ranked[:0]}
}

// next returns the next server of the order, or nil at the end.
func (o *slotOrder) next() *server {
	if !o.hasOwner {
		o.hasOwner = true
		owner, score := o.owner()
		o.last, o.limit = score, score
		return owner
	}
	for len(o.remaining) == 0 && !o.isComplete {
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

// owner returns the server with the lowest score, and the score of this server. If the request may go to no server, the
// server is nil.
func (o *slotOrder) owner() (best *server, lowest float64) {
	lowest = math.Inf(1)
	for i := range o.router.keyServers {
		candidate := &o.router.keyServers[i]
		draw := o.draw(candidate)
		if 1-draw >= lowest*candidate.maxWeight || !o.includes(candidate.server) {
			continue // 1-draw is at most -log(draw), so the first condition rules out most servers without a logarithm
		}
		if score := o.score(candidate.server, draw); score < lowest {
			best, lowest = candidate.server, score
		}
	}
	return best, lowest
}

// rank finds the next servers of the order. It raises limit by step and puts the servers whose scores are between the
// old and the new limit into the heap, which must be empty before.
func (o *slotOrder) rank() {
	from := o.limit
	o.limit += o.step
	o.step *= 2
	o.isComplete = true
	for i := range o.router.keyServers {
		candidate := &o.router.keyServers[i]
		draw := o.draw(candidate)
		if 1-draw >= o.limit*candidate.maxWeight {
			o.isComplete = false
			continue
		}
		score := o.score(candidate.server, draw)
		switch {
		case math.IsInf(score, 1): // a server with weight 0 has no slots yet
		case score >= o.limit:
			o.isComplete = false
		case score >= from && score > o.last && o.includes(candidate.server):
			o.remaining = append(o.remaining, rankedServer{score: score, server: candidate.server})
		}
	}
	heap.Init(&o.remaining)
	o.router.ranked = o.remaining
}

// drop removes the first server from the heap.
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

// draw returns a pseudo-random number between 0 and 1 for the server and the slot, the same at every router.
func (o *slotOrder) draw(candidate *keyServer) float64 {
	return unitInterval(mix(o.slot ^ candidate.hash))
}

// score returns the value by which the servers of the order are sorted. The server with the lowest score comes first.
func (o *slotOrder) score(srv *server, draw float64) float64 {
	return -math.Log(draw) / o.router.rendezvousWeight(srv)
}

// rankedServer is a server with its score for a slot.
type rankedServer struct {
	score  float64
	server *server
}

// rankedServers implements heap.Interface. Push and Pop are never called: heap.Init builds the whole heap at once, and
// slotOrder.drop removes its items.
type rankedServers []rankedServer

// Len implements heap.Interface.
func (s rankedServers) Len() int { return len(s) }

// Less implements heap.Interface.
func (s rankedServers) Less(i, j int) bool { return s[i].score < s[j].score }

// Swap implements heap.Interface.
func (s rankedServers) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push completes heap.Interface. It is never called, because heap.Init builds the whole heap at once.
func (s rankedServers) Push(any) {}

// Pop completes heap.Interface. It is never called, because slotOrder.drop removes the items.
func (s rankedServers) Pop() any { return nil }
