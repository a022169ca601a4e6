package simulation

import "time"

// stream is one end of a byte stream between two parties. Bytes that are written at one end arrive at the other in order. They
// are cut into segments at arbitrary places, and each segment has its own delay. A reset overtakes data in transit.
type stream struct {
	world *world
	peer  *stream
	link  link // delays of the data that is written at this end

	lastAt         Time // when the last segment written at this end arrives
	isClosed       bool // this end was closed, or the peer's close arrived; this end sends and receives nothing any more
	isUnresponsive bool // data that is written at this end is dropped silently

	data  func(b []byte, sent Time) // called with each segment that arrives, and the time at which the peer wrote it
	ended func(reset bool)          // called when the peer's close or reset arrives
}

// link holds the delays of the data that is written at one end of a stream.
type link struct {
	minDelay, maxDelay time.Duration // bounds of the one-way delay of a segment
	segmentProbability float64       // probability that a write is cut into segments
	lateProbability    float64       // probability that a segment is late: by up to maxLateness, in addition to its delay
	maxLateness        time.Duration
}

// pipe returns the two ends of a new stream. forward has the delays of the data that is written at the end a, and backward has
// those of the data that is written at the end b.
func (w *world) pipe(forward, backward link) (a, b *stream) {
	a, b = &stream{world: w, link: forward}, &stream{world: w, link: backward}
	a.peer, b.peer = b, a
	return a, b
}

// arrival returns a random arrival time for a segment that is sent now. The time is not before the arrival of the segments that
// were sent earlier from this end.
func (e *stream) arrival() Time {
	at := e.world.now + e.world.drawBetween(e.link.minDelay, e.link.maxDelay)
	if e.world.networkFault(e.link.lateProbability) {
		at += e.world.drawBetween(0, e.link.maxLateness)
	}
	e.lastAt = max(e.lastAt, at)
	return e.lastAt
}

// write sends a copy of b to the peer, cut into segments.
func (e *stream) write(b []byte) {
	if e.isClosed || e.isUnresponsive || len(b) == 0 {
		return
	}
	b = append([]byte(nil), b...)
	sent := e.world.now
	for len(b) > 0 {
		n := len(b)
		if e.world.chance(e.link.segmentProbability) {
			n = 1 + e.world.rng.IntN(n)
		}
		segment := b[:n]
		b = b[n:]
		e.world.at(e.arrival(), func() {
			if !e.peer.isClosed && !e.isUnresponsive && e.peer.data != nil {
				e.peer.data(segment, sent)
			}
		})
	}
}

// close closes the stream at this end. The peer sees the end after all data that was written here, as with a TCP FIN.
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

// reset ends the stream at once. The peer sees the reset after a network delay; data that arrives later is dropped, in both
// directions.
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

// endSeen handles the close or reset of the peer when it arrives at this end.
func (e *stream) endSeen(reset bool) {
	if e.isClosed {
		return
	}
	e.isClosed = true
	if e.ended != nil {
		e.ended(reset)
	}
}

// breakAfterWrites makes this end fail at once. The peer first receives all data that was written at this end, and then sees a
// reset.
func (e *stream) breakAfterWrites() {
	e.isClosed = true
	if !e.isUnresponsive {
		e.world.at(e.arrival(), func() { e.peer.endSeen(true) })
	}
}
