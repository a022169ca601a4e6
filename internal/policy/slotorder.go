package policy

import (
	"container/heap"
	"math"
)

// slotOrder yields the cache servers that a request for a slot may go to, in the order of weighted rendezvous hashing:
// the owner of the slot first. Routers agree on the order without communicating. All servers are looked at once for the
// owner, and once more for all the others together, however many of these are asked for. An order is valid until the
// router's next event.
type slotOrder struct {
	router    *Router
	slot      uint64
	req       *request
	yielded   int
	remaining rankedServers // a heap, from the second server on
}

// orderOf returns the order of the servers for a slot, as far as the request may go there. It ends the order that was
// returned before.
func (r *Router) orderOf(slot uint64, req *request) slotOrder {
	return slotOrder{router: r, slot: slot, req: req}
}

// next returns the next server of the order; nil at its end.
func (o *slotOrder) next() *server {
	o.yielded++
	if o.yielded == 1 {
		return o.owner()
	}
	if o.yielded == 2 {
		o.rank()
		o.drop() // the owner
	}
	if len(o.remaining) == 0 {
		return nil
	}
	first := o.remaining[0].server
	o.drop()
	return first
}

// owner returns the server with the lowest score, or nil.
func (o *slotOrder) owner() (best *server) {
	lowest := math.Inf(1)
	for _, srv := range o.router.keyServers {
		if !o.includes(srv) {
			continue
		}
		weight, draw := o.router.rendezvousWeight(srv), o.draw(srv)
		if 1-draw >= lowest*weight { // cannot win, as -log(draw) is no less; spares most of the logarithms
			continue
		}
		if score := -math.Log(draw) / weight; score > 0 && score < lowest {
			best, lowest = srv, score
		}
	}
	return best
}

// rank puts all servers of the order into the heap.
func (o *slotOrder) rank() {
	o.remaining = o.router.ranked[:0]
	for _, srv := range o.router.keyServers {
		if !o.includes(srv) {
			continue
		}
		score := -math.Log(o.draw(srv)) / o.router.rendezvousWeight(srv)
		o.remaining = append(o.remaining, rankedServer{score: score, server: srv})
	}
	o.router.ranked = o.remaining
	heap.Init(&o.remaining)
}

// drop takes the first server out of the heap, if there is one.
func (o *slotOrder) drop() {
	last := len(o.remaining) - 1
	if last < 0 {
		return
	}
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
func (o *slotOrder) draw(srv *server) float64 { return unitInterval(mix(o.slot ^ srv.hash)) }

// rankedServer is a server with its score for a slot; the lowest score is first.
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
