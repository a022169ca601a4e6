package simulation

import "time"

// stream is one end of a byte stream between two parties. What is written at one end comes to the other in order, cut into
// segments anywhere, each a little later; a reset overtakes what is on its way.
type stream struct {
	w    *world
	far  *stream
	link link // of what is written here

	lastAt         Time // when the last segment arrives
	isClosed       bool // closed or reset here: nothing more comes in or goes out
	isUnresponsive bool // what is written here goes nowhere, and nobody is told

	data  func(b []byte, sent Time)
	ended func(reset bool)
}

// link is what a stream does to what is written to it.
type link struct {
	least, most time.Duration // one way
	cut         float64       // chance that a write is cut into segments
	slow        float64       // chance that a segment is late by up to slowBy
	slowBy      time.Duration
}

// pipe makes a stream between two parties.
func (w *world) pipe(there, back link) (a, b *stream) {
	a, b = &stream{w: w, link: there}, &stream{w: w, link: back}
	a.far, b.far = b, a
	return a, b
}

// arrival is when what is sent now comes, after all that was sent before.
func (e *stream) arrival() Time {
	at := e.w.now + e.w.drawBetween(e.link.least, e.link.most)
	if e.w.networkFault(e.link.slow) {
		at += e.w.drawBetween(0, e.link.slowBy)
	}
	e.lastAt = max(e.lastAt, at)
	return e.lastAt
}

// write sends bytes; they are copied.
func (e *stream) write(b []byte) {
	if e.isClosed || e.isUnresponsive || len(b) == 0 {
		return
	}
	b = append([]byte(nil), b...)
	sent := e.w.now
	for len(b) > 0 {
		n := len(b)
		if e.w.chance(e.link.cut) {
			n = 1 + e.w.rng.IntN(n)
		}
		piece := b[:n]
		b = b[n:]
		e.w.at(e.arrival(), func() {
			if f := e.far; !f.isClosed && !e.isUnresponsive && f.data != nil {
				f.data(piece, sent)
			}
		})
	}
}

// close ends the stream from this end, after what was written: a FIN.
func (e *stream) close() {
	if e.isClosed {
		return
	}
	e.isClosed = true
	if e.isUnresponsive {
		return
	}
	e.w.at(e.arrival(), func() { e.far.cut(false) })
}

// reset ends it at once, with what is on its way on it, both ways.
func (e *stream) reset() {
	if e.isClosed {
		return
	}
	e.isClosed = true
	if e.isUnresponsive {
		return
	}
	e.w.after(e.w.drawBetween(e.link.least, e.link.most), func() { e.far.cut(true) })
}

// cut is how the end of the stream shows here.
func (e *stream) cut(reset bool) {
	if e.isClosed {
		return
	}
	e.isClosed = true
	if e.ended != nil {
		e.ended(reset)
	}
}

// snap breaks the stream after what was written here: the far end sees a reset behind it, and this one has failed.
func (e *stream) snap() {
	e.isClosed = true
	if !e.isUnresponsive {
		e.w.at(e.arrival(), func() { e.far.cut(true) })
	}
}
