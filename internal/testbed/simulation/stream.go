package simulation

import "time"

// stream is one end of a byte stream between two parties. What is written at one end arrives at the other in order, cut into
// segments anywhere, each with a delay of its own; a reset overtakes data in transit.
type stream struct {
	world *world
	peer  *stream
	link  link // for what is written here

	lastAt         Time // when the last segment arrives
	isClosed       bool // by either end: nothing more arrives or leaves
	isUnresponsive bool // what is written here is dropped silently

	data  func(b []byte, sent Time) // called with each segment that arrives
	ended func(reset bool)          // called when the peer has closed or reset the stream
}

// link is what the network does to what is written to a stream.
type link struct {
	minDelay, maxDelay time.Duration // one way
	segmentOdds        float64       // chance that a write is cut into segments
	lateOdds           float64       // chance that a segment is late by up to maxLateness
	maxLateness        time.Duration
}

// pipe makes the two ends of a stream, each with the link for what is written there.
func (w *world) pipe(forward, backward link) (a, b *stream) {
	a, b = &stream{world: w, link: forward}, &stream{world: w, link: backward}
	a.peer, b.peer = b, a
	return a, b
}

// arrival draws when a segment that is sent now arrives, after all that was sent before.
func (e *stream) arrival() Time {
	at := e.world.now + e.world.drawBetween(e.link.minDelay, e.link.maxDelay)
	if e.world.networkFault(e.link.lateOdds) {
		at += e.world.drawBetween(0, e.link.maxLateness)
	}
	e.lastAt = max(e.lastAt, at)
	return e.lastAt
}

// write sends a copy of bytes.
func (e *stream) write(b []byte) {
	if e.isClosed || e.isUnresponsive || len(b) == 0 {
		return
	}
	b = append([]byte(nil), b...)
	sent := e.world.now
	for len(b) > 0 {
		n := len(b)
		if e.world.chance(e.link.segmentOdds) {
			n = 1 + e.world.rng.IntN(n)
		}
		piece := b[:n]
		b = b[n:]
		e.world.at(e.arrival(), func() {
			if !e.peer.isClosed && !e.isUnresponsive && e.peer.data != nil {
				e.peer.data(piece, sent)
			}
		})
	}
}

// close ends the stream from this end after what was written, as a FIN does.
func (e *stream) close() {
	if e.isClosed {
		return
	}
	e.isClosed = true
	if e.isUnresponsive {
		return
	}
	e.world.at(e.arrival(), func() { e.peer.endSeen(false) })
}

// reset ends the stream at once and drops data in transit, both ways.
func (e *stream) reset() {
	if e.isClosed {
		return
	}
	e.isClosed = true
	if e.isUnresponsive {
		return
	}
	e.world.after(e.world.drawBetween(e.link.minDelay, e.link.maxDelay), func() { e.peer.endSeen(true) })
}

// endSeen handles the peer's close or reset.
func (e *stream) endSeen(reset bool) {
	if e.isClosed {
		return
	}
	e.isClosed = true
	if e.ended != nil {
		e.ended(reset)
	}
}

// breakAfterWrites breaks the stream after what was written here: the peer sees a reset behind it, and this end has failed.
func (e *stream) breakAfterWrites() {
	e.isClosed = true
	if !e.isUnresponsive {
		e.world.at(e.arrival(), func() { e.peer.endSeen(true) })
	}
}
